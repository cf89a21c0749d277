// Package scheduler assigns pending tasks to hosts. Every entry process (entry)
// runs one scheduler, which appends claims to the log for the tasks that the entry
// owns.
//
// A Planner makes the decisions. It turns changes of the replayed state into
// log records and uses no goroutines or clocks. It owns the queues of pending
// tasks, the index of committed resources (including claims that the log does
// not show yet) and the quarantine of failing workers.
//
// A Scheduler runs a Planner with up to four goroutines: one waits for changes
// of the state, one plans and appends on every tick, one fences expired hosts on
// every tick if Fence is set, and one reads the workers of silent hosts if Read is
// set. The last two wait for further goroutines, one for each call. A scheduling cycle
// waits for the result of its append, so an outage of the log leaves no backlog of
// claims.
//
// Known limitation: the replayer doesn't check quotas, so a team may briefly
// exceed its quota while the ownership of its tasks moves between entries.
package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/estimator"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

const (
	// cycleInterval is short compared to the 4.8 s within which urgent tasks
	// have to start, and limits an entry to ten appends per second.
	cycleInterval = 100 * time.Millisecond
	// workerCallInterval is the time between two checks which workers to fence or read.
	workerCallInterval = time.Second
	appendTimeout      = 10 * time.Second
)

// Follower gives access to the replayed state.
type Follower interface {
	// View calls read with the state locked for reading.
	View(read func(*replayer.State))
	// Age returns how old the state may be.
	Age() time.Duration
}

// Subscription delivers the changes of the replayed state.
type Subscription interface {
	// Next waits for changes. If reload is set, changes were dropped and the
	// whole state has to be read again.
	Next(ctx context.Context) (changes []replayer.Change, reload bool, err error)
}

// Scheduler runs a Planner and appends its records to the log. All methods are
// safe for concurrent use.
type Scheduler struct {
	Follower     Follower
	Subscription Subscription
	Recorder     damaskspread.Appender
	Clock        damaskspread.Clock
	Planner      *Planner
	// Fence makes a worker stop all tasks with a token below minToken and
	// returns the worker's tasks. It is called concurrently. If Fence is nil, expired
	// hosts are not fenced.
	Fence func(ctx context.Context, host *wire.HostSpec, minToken int64) ([]*wire.WorkerTask, error)
	// Read returns the tasks of a host's worker, or none if the worker has another
	// boot. It is called concurrently. If Read is nil, silent hosts are not read.
	Read func(ctx context.Context, host *wire.HostSpec) ([]*wire.WorkerTask, error)

	// mu protects Planner.
	mu sync.Mutex
}

// Run schedules tasks until t dies. It returns an error if the subscription
// fails.
func (s *Scheduler) Run(t *tomb.Tomb) error {
	s.withLock(func() {
		s.Follower.View(func(state *replayer.State) { s.Planner.Reload(state, s.Clock.Now()) })
	})
	t.Go(func() error { return s.observeLoop(t) })
	if s.Fence != nil {
		t.Go(func() error { return s.callPeriodically(t, workerCallInterval, s.FenceExpired) })
	}
	if s.Read != nil {
		t.Go(func() error { return s.callPeriodically(t, workerCallInterval, s.ReadSilent) })
	}
	return s.callPeriodically(t, cycleInterval, s.RunCycle)
}

func (s *Scheduler) withLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *Scheduler) observeLoop(t *tomb.Tomb) error {
	ctx := t.Context(nil) //nolint:staticcheck // The tomb's own background context.
	for {
		changes, reload, err := s.Subscription.Next(ctx)
		if !t.Alive() {
			return nil
		}
		if err != nil {
			return err
		}
		s.withLock(func() {
			s.Follower.View(func(state *replayer.State) {
				if reload {
					s.Planner.Reload(state, s.Clock.Now())
					return
				}
				s.Planner.Observe(state, changes, s.Clock.Now())
			})
		})
	}
}

// callPeriodically calls a function at each tick until the tomb dies. Ticks during a call
// are left out.
func (s *Scheduler) callPeriodically(t *tomb.Tomb, interval time.Duration, call func(ctx context.Context)) error {
	ticker := s.Clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-t.Dying():
			return nil
		case <-ticker.Chan():
			call(t.Context(nil)) //nolint:staticcheck // The tomb's own background context.
		}
	}
}

// RunCycle runs one scheduling cycle: it plans once and appends the records. A
// failed append is logged and reported to the planner.
func (s *Scheduler) RunCycle(ctx context.Context) {
	s.appendPlanned(ctx, func(now time.Time) []*wire.Record { return s.Planner.Plan(now, s.Follower.Age()) })
}

// appendPlanned appends the records that a function returns, if any. The function is
// called with the lock held.
func (s *Scheduler) appendPlanned(ctx context.Context, plan func(now time.Time) []*wire.Record) {
	var records []*wire.Record
	s.withLock(func() { records = plan(s.Clock.Now()) })
	if len(records) > 0 {
		s.appendRecords(ctx, records)
	}
}

func (s *Scheduler) appendRecords(ctx context.Context, records []*wire.Record) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := s.Recorder.AppendRecords(ctx, records)
	if err != nil {
		log.Warn().Err(err).Int("records", len(records)).Msg("append of scheduling records failed")
	}
	s.withLock(func() { s.Planner.HandleAppendResult(records, err, s.Clock.Now()) })
}

// FenceExpired fences the expired hosts that this entry owns, several at a time. For
// each worker that confirms, it appends the results of the worker's tasks and returns
// the unfinished ones to the queue.
func (s *Scheduler) FenceExpired(ctx context.Context) {
	var fences []Fence
	s.withLock(func() { fences = s.Planner.HostsToFence(s.Clock.Now(), s.Follower.Age()) })
	callEach(fences, func(f Fence) { s.fenceHost(ctx, f) })
}

func (s *Scheduler) fenceHost(ctx context.Context, f Fence) {
	fenceCtx, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	tasks, err := s.Fence(fenceCtx, f.Spec, f.MinToken)
	if err != nil {
		log.Info().Err(err).Str("host", f.Spec.GetHost()).Msg("fencing of expired host failed")
		return
	}
	s.appendPlanned(ctx, func(now time.Time) []*wire.Record { return s.Planner.FencedRecords(f, tasks, now) })
}

// Reconfigure sets the objective and reads the configuration of teams and zones
// again. It has to be called after a configuration change takes effect: the
// planner also reads the configuration when it observes the changed section,
// but that may be before the change takes effect.
func (s *Scheduler) Reconfigure(objective damaskspread.Objective) {
	s.withLock(func() {
		s.Follower.View(func(state *replayer.State) { s.Planner.Reconfigure(state, objective, s.Clock.Now()) })
	})
}

// Explain returns where a task is and why. ok is false if the task is unknown.
func (s *Scheduler) Explain(task string) (e Explanation, ok bool) {
	s.withLock(func() {
		s.Follower.View(func(state *replayer.State) { e, ok = s.Planner.Explain(state, task) })
	})
	return e, ok
}

// Throttles returns the tasks to be throttled, in no particular order.
func (s *Scheduler) Throttles() (list []estimator.Response) {
	s.withLock(func() { list = s.Planner.Throttles() })
	return list
}
