// Package scheduler turns pending tasks into claims at an entry.
//
// The Planner is the decision part: a pure step from changes of the state to
// records, without goroutines or clocks. It owns the queues, the index of
// commitments (including claims that the log has not shown yet) and the
// quarantine of workers. Scheduler runs a planner: one goroutine takes
// changes, one plans and appends, and one fences expired hosts. A single
// append is in progress at a time, so an outage of the log leaves no backlog
// of claims behind.
//
// Open questions: the replayer checks no quotas, so a team's quota may be
// exceeded briefly while its ownership moves between entries.
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
	// roundEvery is short against the 4.8 s for urgent work and leaves the log
	// room: ten appends per second and entry at most.
	roundEvery    = 100 * time.Millisecond
	appendTimeout = 10 * time.Second
	fenceTimeout  = 2 * time.Second
)

// Follower is the view of the state that the scheduler needs.
type Follower interface {
	View(read func(*replayer.State))
	Age() time.Duration
}

// Subscription delivers the changes of the state. When reload is set, changes
// were dropped and the whole state has to be read again.
type Subscription interface {
	Next(ctx context.Context) (changes []replayer.Change, reload bool, err error)
}

// Scheduler runs a planner against the log.
type Scheduler struct {
	Follower     Follower
	Subscription Subscription
	Recorder     damaskspread.Appender
	Clock        damaskspread.Clock
	Planner      *Planner
	// Fence stops all tasks of a worker with a token below minToken and returns
	// the worker's tasks; nil if workers can't be reached from here.
	Fence func(ctx context.Context, host *wire.HostSpec, minToken int64) ([]*wire.WorkerTask, error)

	mu sync.Mutex
}

// Run schedules until the tomb dies.
func (s *Scheduler) Run(t *tomb.Tomb) error {
	s.locked(func() {
		s.Follower.View(func(state *replayer.State) { s.Planner.Reload(state, s.Clock.Now()) })
	})
	t.Go(func() error { return s.observe(t) })
	if s.Fence != nil {
		t.Go(func() error { return s.fence(t) })
	}
	return s.plan(t)
}

func (s *Scheduler) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *Scheduler) observe(t *tomb.Tomb) error {
	ctx := t.Context(nil) //nolint:staticcheck // The tomb's own background context.
	for {
		changes, reload, err := s.Subscription.Next(ctx)
		if !t.Alive() {
			return nil
		}
		if err != nil {
			return err
		}
		s.locked(func() {
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

func (s *Scheduler) plan(t *tomb.Tomb) error {
	ticker := s.Clock.NewTicker(roundEvery)
	defer ticker.Stop()
	for {
		select {
		case <-t.Dying():
			return nil
		case <-ticker.Chan():
			s.Round(t.Context(nil)) //nolint:staticcheck // The tomb's own background context.
		}
	}
}

// Round plans once and appends the records.
func (s *Scheduler) Round(ctx context.Context) {
	var records []*wire.Record
	s.locked(func() { records = s.Planner.Plan(s.Clock.Now(), s.Follower.Age()) })
	if len(records) == 0 {
		return
	}
	s.append(ctx, records)
}

func (s *Scheduler) append(ctx context.Context, records []*wire.Record) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := s.Recorder.AppendRecords(ctx, records)
	if err != nil {
		log.Warn().Err(err).Int("records", len(records)).Msg("append of scheduling records failed")
	}
	s.locked(func() { s.Planner.Appended(records, err, s.Clock.Now()) })
}

func (s *Scheduler) fence(t *tomb.Tomb) error {
	ticker := s.Clock.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-t.Dying():
			return nil
		case <-ticker.Chan():
			s.FenceExpired(t.Context(nil)) //nolint:staticcheck // The tomb's own background context.
		}
	}
}

// FenceExpired fences the expired hosts whose worker is reachable and releases
// their tasks.
func (s *Scheduler) FenceExpired(ctx context.Context) {
	var fences []Fence
	s.locked(func() { fences = s.Planner.Fences(s.Clock.Now(), s.Follower.Age()) })
	for _, f := range fences {
		tasks, err := s.fenceHost(ctx, f)
		if err != nil {
			log.Info().Err(err).Str("host", f.Spec.GetHost()).Msg("expired host could not be fenced")
			continue
		}
		var records []*wire.Record
		s.locked(func() { records = s.Planner.Fenced(f, tasks, s.Clock.Now()) })
		if len(records) > 0 {
			s.append(ctx, records)
		}
	}
}

func (s *Scheduler) fenceHost(ctx context.Context, f Fence) ([]*wire.WorkerTask, error) {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	return s.Fence(ctx, f.Spec, f.MinToken)
}

// Reconfigure makes the planner follow a new objective and read the teams and
// zones again. The daemon calls it once a change of the document is in force:
// the planner's own look at the changed section may come before that.
func (s *Scheduler) Reconfigure(objective damaskspread.Objective) {
	s.locked(func() {
		s.Follower.View(func(state *replayer.State) { s.Planner.Reconfigure(state, objective, s.Clock.Now()) })
	})
}

// Explain says where a task is and why. The second result is false for an
// unknown task.
func (s *Scheduler) Explain(task string) (e Explanation, ok bool) {
	s.locked(func() {
		s.Follower.View(func(state *replayer.State) { e, ok = s.Planner.Explain(state, task) })
	})
	return e, ok
}

// Throttles returns the tasks that have to be throttled.
func (s *Scheduler) Throttles() (list []estimator.Response) {
	s.locked(func() { list = s.Planner.Throttles() })
	return list
}
