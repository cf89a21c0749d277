// Package runner connects the job executor of a host with the scheduling
// leader: it keeps the executor's lease, carries out the leader's start and
// stop orders, and reports run ends. Package executor does the corresponding
// work for the tasks of the platform's worker.
//
// A Runner owns the last known state of one executor and the session with the
// leader. Run starts four goroutines that repeat these steps:
//   - renewOnce extends the lease and reads the executor's lists of running and
//     ended runs.
//   - pollOnce waits at the leader for orders.
//   - reportOnce sends ends and refusals as soon as they occur.
//   - drainOnce stops the remaining runs of a draining executor.
//
// Each order has a goroutine of its own; at most maxConcurrentOrders starts and as many
// stops are carried out at a time.
//
// The executor keeps an end until the leader has stored it.
package runner

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/pacer"
	"damaskspread.example/damaskspread/wire"
)

const (
	maxConcurrentOrders = 8
	// reportDelay collects ends and refusals that occur close together into one
	// report.
	reportDelay = 12 * time.Millisecond
	// exitDelay is how long an executor usually takes to exit after it announced
	// that it leaves. Only afterwards it is called to learn whether it has ended.
	exitDelay = 600 * time.Millisecond
)

// Leader sends requests to the scheduling leader. Calls are concurrent.
type Leader interface {
	Exchange(ctx context.Context, request *wire.ExchangeRequest) (*wire.ExchangeResponse, error)
	// Redirect sets the leader for the next calls; nil makes the next call look
	// it up.
	Redirect(leader *wire.Leadership)
}

// Runner is the agent's part for one executor. Set the exported fields, then
// call Init before any other method.
type Runner struct {
	Executor damaskspread.TaskExecutor
	Leader   Leader
	Clock    damaskspread.Clock
	Elapsed  damaskspread.ElapsedClock
	// Pacer limits best-effort tasks; nil sets no paces.
	Pacer *pacer.Pacer
	Host  string
	Zone  string
	// StopWithin is the longest time that the executor takes to stop a run.
	StopWithin time.Duration
	// DrainFor is the shortest time that an executor keeps running after it
	// announced that it is draining.
	DrainFor time.Duration

	// RefusalRetention is how long a refused run stays refused; one minute if 0.
	RefusalRetention time.Duration

	// mu guards the fields down to pressureVersion. Times are elapsed times.
	mu sync.Mutex
	// info is the present executor, or nil.
	info *wire.ExecutorInfo
	// drainAt is when the draining executor ends; 0 if it is not draining.
	drainAt time.Duration
	// departsBy is when the agent ends at the latest; 0 before FinishDeparture.
	departsBy time.Duration
	// left is the executor that left last, nil once another one was announced.
	left   *wire.ExecutorInfo
	leftAt time.Duration
	// leftEnded is set once left has ended or its lease is over.
	leftEnded bool
	// departures are the executors that have left and ended, until a leader has stored
	// that, the latest last.
	departures []*departure
	// silenceReportedAt is when the leader was last told that the executor doesn't
	// respond; 0 in a new session.
	silenceReportedAt time.Duration
	// outdated counts the latest announcements with a lower sequence number than
	// that of info, outdatedSequence is the number of the last of them.
	outdated         int
	outdatedSequence int64
	// candidate is an announced executor that may have replaced the present one, which
	// responded lately; candidateAt is when it was announced last.
	candidate     *wire.ExecutorInfo
	candidateAt   time.Duration
	executorClock clockReading
	lastContact   time.Duration
	renewFailures int
	// unanswered is set if a start got no response, or the latest renewal was canceled
	// before its response, until a later renewal gets one.
	unanswered bool
	// lateStartUntil is the time up to which a start without response may be carried out.
	lateStartUntil time.Duration
	// respondsSlowly is set if the latest response took longer than shortRenewMargin.
	respondsSlowly bool
	// reportedCapacity is the latest capacity that the leader is known to have
	// received in this session.
	reportedCapacity *wire.Resources

	session      string
	sessionCount int
	epoch        int64
	// token is the first fencing token of the session; 0 until the leader has given one.
	token int64
	// tokens are those of the calls, also before the leader has given the next ones.
	tokens callTokens
	// listsRead is set once the executor's lists were read with token. The executor
	// refuses the calls of earlier sessions from then on.
	listsRead   bool
	sessionOpen bool
	// cancelPoll and cancelRenewal cancel the present poll and renewal; nil before
	// the first.
	cancelPoll, cancelRenewal context.CancelFunc

	leaseUntil time.Duration
	// renewedUntil is the end of the lease that the executor is known to have.
	renewedUntil   time.Duration
	ordersReceived int64
	endsRecorded   int64
	unrecordedEnds endList
	running        []*wire.TaskRun
	// listed has the runs of running. occupancy is nil until occupied is called.
	listed    map[runKey]bool
	occupancy *occupancy
	// listsVersion counts the lists read; reportedVersion is that of the list of
	// runs that the leader has, reportedAt when it was sent.
	listsVersion, reportedVersion int64
	reportedAt                    time.Duration
	pendingRefusals               []*wire.StartRefusal
	// checksDue holds the runs to look up in the executor's lists, and from when. It
	// outlives the session: a run that is stopped has an owner until it is looked up.
	checksDue map[runKey]time.Duration
	// fencesDue holds the runs whose stop got no response, with the highest token with which
	// their start may have been called.
	fencesDue map[runKey]int64
	// startOwners holds the one order of each run that may start it.
	startOwners map[runKey]*wire.StartOrder
	// stopOrders holds the runs that the leader has ordered to stop, until they have ended
	// or are refused. They are started no more.
	stopOrders map[runKey]bool
	// refusedRuns holds the runs that were refused within refusalRetention.
	refusedRuns map[runKey]refusedRun
	steps       map[runKey]*wire.JobStep
	// keptSteps holds the steps received in this session, by Group.Name.
	keptSteps map[string]*keptStep
	paces     map[runKey]int
	// pacesDue is set after a pace call without response: the next renewal waits less.
	pacesDue bool
	// ramps holds the limits of the runs that began at a limited pace.
	ramps map[runKey]*pacer.Ramp
	// drainStops holds the runs that drainOnce has ordered to stop.
	drainStops map[runKey]bool
	crashes    crashWatch
	trace      runTrace
	// pressureVersion is the version of the pacer's interference weights.
	pressureVersion int64

	renewWake  chan struct{}
	reportWake chan struct{}
	// startSlots and stopSlots limit the orders that are carried out at a time.
	startSlots   chan struct{}
	stopSlots    chan struct{}
	activeOrders sync.WaitGroup
}

// runKey identifies one run of a task.
type runKey struct {
	task string
	run  int32
}

// refusedRun is why and when the start of a run was refused.
type refusedRun struct {
	reason damaskspread.StartRefusal
	at     time.Duration
}

// clockReading is a reading of the executor's clock and the elapsed time of
// this process when it was received.
type clockReading struct {
	clockMs int64
	at      time.Duration
}

// Init prepares the runner. ExecutorAnnounced and ExecutorLeft may be called
// from then on, also before Run.
func (r *Runner) Init() {
	r.renewWake = make(chan struct{}, 1)
	r.reportWake = make(chan struct{}, 1)
	r.startSlots = make(chan struct{}, maxConcurrentOrders)
	r.stopSlots = make(chan struct{}, maxConcurrentOrders)
	// An earlier process may have called starts.
	r.watchLateStart()
	r.resetSession()
}

// Run blocks until the tomb dies and all orders in progress have returned.
func (r *Runner) Run(tb *tomb.Tomb) error {
	ctx := tb.Context(context.Background())
	passes := []func(context.Context){r.renewOnce, r.pollOnce, r.reportOnce, r.drainOnce}
	var running sync.WaitGroup
	for _, pass := range passes {
		running.Go(func() {
			for ctx.Err() == nil {
				pass(ctx)
			}
		})
	}
	running.Wait()
	r.activeOrders.Wait()
	r.traceShutdown()
	return nil
}

// resetSession gives the next session a new name and clears the state of the
// last one. The caller holds the mutex unless the runner is not shared yet.
func (r *Runner) resetSession() {
	if r.cancelPoll != nil {
		r.cancelPoll()
	}
	if r.cancelRenewal != nil {
		r.cancelRenewal()
	}
	r.sessionCount++
	if r.session == "" {
		r.session = strconv.FormatUint(rand.Uint64(), 36)
	}
	base, _, _ := cutLast(r.session)
	r.session = base + "." + strconv.Itoa(r.sessionCount)
	r.token = 0
	r.sessionOpen = false
	r.listsRead = false
	r.silenceReportedAt = 0
	r.ordersReceived = 0
	r.pendingRefusals = nil
	r.reportedCapacity = nil
	r.keptSteps = map[string]*keptStep{}
	r.trace.shown = map[runKey]bool{}
}

// resetExecutor clears the state of the last incarnation of the executor and
// begins with a new one. The caller holds the mutex.
func (r *Runner) resetExecutor(info *wire.ExecutorInfo) {
	r.resetSession()
	if r.left != nil && !r.leftEnded {
		// Another executor in its place proves that it has ended.
		r.markEnded()
	}
	r.info = info
	r.candidate = nil
	r.left = nil
	r.outdated = 0
	r.drainAt = 0
	r.leaseUntil = 0
	r.renewedUntil = 0
	r.endsRecorded = 0
	r.renewFailures = 0
	r.unanswered = false
	r.respondsSlowly = false
	r.unrecordedEnds = newEndList()
	r.setRunning(nil)
	r.refusedRuns = map[runKey]refusedRun{}
	r.startOwners = map[runKey]*wire.StartOrder{}
	r.stopOrders = map[runKey]bool{}
	r.steps = map[runKey]*wire.JobStep{}
	r.paces = map[runKey]int{}
	r.ramps = map[runKey]*pacer.Ramp{}
	r.drainStops = map[runKey]bool{}
	r.checksDue = map[runKey]time.Duration{}
	r.fencesDue = map[runKey]int64{}
	r.crashes.reset()
	r.trace.reset()
	r.executorClock = clockReading{
		clockMs: info.GetClockMs(),
		at:      r.Elapsed.Elapsed(),
	}
}

// isPresent reports whether an incarnation is still the present executor. The caller
// holds the mutex.
func (r *Runner) isPresent(info *wire.ExecutorInfo) bool {
	return r.info != nil && sameIncarnation(r.info, info)
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

// waitForSignal returns at a signal, after a timeout, or when the context ends.
func (r *Runner) waitForSignal(ctx context.Context, wake chan struct{}, timeout time.Duration) {
	timer := r.Clock.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-wake:
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

func (r *Runner) pause(ctx context.Context, duration time.Duration) {
	damaskspread.Pause(ctx, r.Clock, duration)
}
