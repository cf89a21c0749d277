// Package runner is the agent's side of scheduling: it keeps the lease of the
// executor on its host, carries out the leader's orders, and reports ends.
//
// A Runner owns the view of one executor and the session with the leader. Its
// goroutines: renew keeps the lease and reads the lists of the executor, poll
// waits at the leader for orders, report sends news at once, and each order
// has one of its own, at most maxOrders at a time.
//
// An end is dropped by the executor only after the leader has stored it.
package runner

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/phuslu/log"
	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/pacer"
	"damaskspread.example/damaskspread/wire"
)

const (
	maxOrders = 8
	// reportGap lets ends gather before they are reported.
	reportGap = 12 * time.Millisecond
	// leftDelay covers the time between an executor's farewell and its end.
	leftDelay = 600 * time.Millisecond
)

// Leader reaches the scheduling leader.
type Leader interface {
	Exchange(ctx context.Context, request *wire.ExchangeRequest) (*wire.ExchangeResponse, error)
	// Redirect tells where the leader is; nil makes the next call look for it.
	Redirect(leader *wire.Leadership)
}

// Runner runs the tasks of one executor. Its fields are set before Run.
type Runner struct {
	Executor damaskspread.TaskExecutor
	Leader   Leader
	Clock    damaskspread.Clock
	Elapsed  damaskspread.ElapsedClock
	Pacer    *pacer.Pacer
	Host     string
	Zone     string
	// StopWithin is the longest time that a stop takes.
	StopWithin time.Duration
	// DrainFor is how long an executor keeps running after its notice.
	DrainFor time.Duration

	mu       sync.Mutex
	info     *wire.ExecutorInfo
	drainAt  time.Duration
	left     *wire.ExecutorInfo
	leftAt   time.Duration
	reading  reading
	contact  time.Duration
	failures int

	session    string
	sessions   int
	epoch      int64
	listed     bool
	opened     bool
	leaseUntil time.Duration
	received   int64
	recorded   int64
	ends       map[int64]*wire.RunEnd
	running    []*wire.TaskRun
	refusals   []*wire.StartRefusal
	checks     map[runKey]time.Duration
	// starting has the order that is in charge of each run's start.
	starting map[runKey]*wire.StartOrder
	// refused are runs that the leader was told won't start here.
	refused map[runKey]damaskspread.StartRefusal
	steps   map[runKey]*wire.JobStep
	paces   map[runKey]int
	stopped map[runKey]bool
	// pressureVersion is the version of the pacer's weights.
	pressureVersion int64

	renewWake  chan struct{}
	reportWake chan struct{}
	slots      chan struct{}
	orders     sync.WaitGroup
}

// runKey names one run of a task.
type runKey struct {
	task string
	run  int32
}

// reading is the executor's clock at a moment of this process.
type reading struct {
	clockMs int64
	at      time.Duration
}

// Init prepares the runner for announcements before Run.
func (r *Runner) Init() {
	r.renewWake = make(chan struct{}, 1)
	r.reportWake = make(chan struct{}, 1)
	r.slots = make(chan struct{}, maxOrders)
	r.resetSession()
}

// Run works until the tomb dies.
func (r *Runner) Run(tb *tomb.Tomb) error {
	ctx := tb.Context(context.Background())
	loops := []func(context.Context){r.renewLoop, r.pollLoop, r.reportLoop, r.drainLoop}
	var running sync.WaitGroup
	for _, loop := range loops {
		running.Go(func() {
			for ctx.Err() == nil {
				loop(ctx)
			}
		})
	}
	running.Wait()
	r.orders.Wait()
	return nil
}

// resetSession forgets all that belongs to a session. The caller holds the
// mutex or is the only user.
func (r *Runner) resetSession() {
	r.sessions++
	if r.session == "" {
		r.session = strconv.FormatUint(rand.Uint64(), 36)
	}
	base, _, _ := cutLast(r.session)
	r.session = base + "." + strconv.Itoa(r.sessions)
	r.opened = false
	r.listed = false
	r.received = 0
	r.refusals = nil
	r.checks = map[runKey]time.Duration{}
}

// resetExecutor starts with another incarnation of the executor.
func (r *Runner) resetExecutor(info *wire.ExecutorInfo) {
	r.resetSession()
	r.info = info
	r.left = nil
	r.drainAt = 0
	r.leaseUntil = 0
	r.recorded = 0
	r.failures = 0
	r.ends = map[int64]*wire.RunEnd{}
	r.running = nil
	r.refused = map[runKey]damaskspread.StartRefusal{}
	r.starting = map[runKey]*wire.StartOrder{}
	r.steps = map[runKey]*wire.JobStep{}
	r.paces = map[runKey]int{}
	r.stopped = map[runKey]bool{}
	r.reading = reading{
		clockMs: info.GetClockMs(),
		at:      r.Elapsed.Elapsed(),
	}
}

// ExecutorAnnounced implements damaskspread.ExecutorSink.
func (r *Runner) ExecutorAnnounced(info *wire.ExecutorInfo) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.info == nil && r.left != nil && sameIncarnation(r.left, info):
		return
	case r.info == nil || (!sameIncarnation(r.info, info) && info.GetBornUnixMs() >= r.info.GetBornUnixMs()):
		r.resetExecutor(info)
		log.Info().Str("executor", info.GetId()).Int64("born", info.GetBornUnixMs()).Msg("executor found")
	case !sameIncarnation(r.info, info) || info.GetSequence() < r.info.GetSequence():
		log.Warn().Str("executor", info.GetId()).Int64("born", info.GetBornUnixMs()).Int64("sequence", info.GetSequence()).
			Msg("late announcement ignored")
		return
	}
	r.noteDraining(info)
	r.info = info
	signal(r.renewWake)
}

// noteDraining plans the stop of what still runs when the executor leaves.
func (r *Runner) noteDraining(info *wire.ExecutorInfo) {
	if !info.GetDraining() {
		return
	}
	remaining := max(time.Duration(info.GetRemainingMs())*time.Millisecond, 0)
	if r.drainAt == 0 {
		remaining = max(remaining, r.DrainFor)
		log.Info().Str("executor", info.GetId()).Dur("remaining", remaining).Msg("executor is draining")
		signal(r.reportWake)
	}
	r.drainAt = max(r.drainAt, r.Elapsed.Elapsed()+remaining)
}

// ExecutorLeft implements damaskspread.ExecutorSink.
func (r *Runner) ExecutorLeft(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.info.GetId() != id {
		return
	}
	log.Info().Str("executor", id).Msg("executor left")
	r.left = r.info
	r.leftAt = r.Elapsed.Elapsed()
	r.info = nil
	r.resetSession()
}

func sameIncarnation(a, b *wire.ExecutorInfo) bool {
	return a.GetId() == b.GetId() && a.GetBornUnixMs() == b.GetBornUnixMs()
}

func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// await waits for a wake or a timeout.
func (r *Runner) await(ctx context.Context, wake chan struct{}, timeout time.Duration) {
	timer := r.Clock.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-wake:
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

// pause waits without being woken.
func (r *Runner) pause(ctx context.Context, duration time.Duration) {
	damaskspread.Pause(ctx, r.Clock, duration)
}
