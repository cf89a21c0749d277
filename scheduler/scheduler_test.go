package scheduler_test

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/estimator"
	"damaskspread.example/damaskspread/placer"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/scheduler"
	"damaskspread.example/damaskspread/wire"
)

// fakeLog is a fake of an entry's log, follower and subscription.
type fakeLog struct {
	mu        sync.Mutex
	state     *replayer.State
	offset    int64
	appendErr error
	appends   int
	changes   chan []replayer.Change
}

func (l *fakeLog) View(read func(*replayer.State)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	read(l.state)
}

func (l *fakeLog) Age() time.Duration { return 0 }

func (l *fakeLog) Next(ctx context.Context) ([]replayer.Change, bool, error) {
	select {
	case changes := <-l.changes:
		return changes, false, nil
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
}

func (l *fakeLog) AppendRecords(_ context.Context, records []*wire.Record) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.appends++; l.appendErr != nil {
		return 0, l.appendErr
	}
	l.offset++
	l.changes <- l.state.Apply(l.offset, &wire.RecordBatch{Records: records})
	return l.offset, nil
}

// Guards against a scheduler that deadlocks or loses tasks while appends to the
// log fail. Also guards against losing the results and checkpoints that only the
// worker of a fenced host knows.
func TestRunRecoversFromLogOutageAndFencesHost(t *testing.T) {
	c := newCluster(1, nil)
	for h := range 2 {
		c.join(fmt.Sprint("h", h), "z", 16_000, 60)
	}
	for i := range 10 {
		c.submit(spec(fmt.Sprint("b", i), false, 1_000, 1))
	}
	l := &fakeLog{
		state:     c.state,
		offset:    c.offset,
		appendErr: &damaskspread.LogUnavailableError{Cause: context.DeadlineExceeded},
		changes:   make(chan []replayer.Change, 100),
	}
	clock := clockwork.NewFakeClockAt(start)
	s := &scheduler.Scheduler{
		Follower:     l,
		Subscription: l,
		Recorder:     l,
		Clock:        clock,
		Planner:      c.planners[0],
		Fence: func(context.Context, *wire.HostSpec, int64) ([]*wire.WorkerTask, error) {
			return stoppedTasks(l, "h0"), nil
		},
	}
	var group tomb.Tomb
	group.Go(func() error { return s.Run(&group) })
	wait := func(condition func() bool) {
		t.Helper()
		l.waitAdvancing(t, clock, condition)
	}
	wait(func() bool { return l.appends >= 3 })
	l.mu.Lock()
	l.appendErr = nil
	l.mu.Unlock()
	wait(func() bool { return l.state.PendingCount() == 0 })
	stopped := stoppedTasks(l, "h0")
	assert.Assert(t, len(stopped) > 0)
	l.expireHost(t, "h0")
	wait(func() bool {
		for range l.state.ClaimsOf("h0") {
			return false
		}
		return l.state.PendingCount() == 0
	})
	assert.Equal(t, stopped[0].GetPhase(), wire.WorkerTaskPhase_WORKER_TASK_PHASE_SUCCEEDED)
	l.assertHasResults(t, stopped)
	e, ok := s.Explain("b0")
	assert.Assert(t, ok && e.Phase == claimed && e.Host == "h1" && e.Reason != "", "%+v", e)
	group.Kill(nil)
	assert.NilError(t, group.Wait())
}

// waitAdvancing advances the clock until the condition holds. The condition is
// called with l.mu held.
func (l *fakeLog) waitAdvancing(t *testing.T, clock *clockwork.FakeClock, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		clock.Advance(100 * time.Millisecond)
		l.mu.Lock()
		defer l.mu.Unlock()
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting")
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(time.Minute))
}

// expireHost appends the record that ends a host's membership.
func (l *fakeLog) expireHost(t *testing.T, id string) {
	t.Helper()
	var alive *wire.Position
	l.View(func(state *replayer.State) {
		host, _ := state.Host(id)
		alive = host.GetAlive()
	})
	_, err := l.AppendRecords(context.Background(), []*wire.Record{{Body: &wire.Record_HostExpired{HostExpired: &wire.HostExpired{
		Host:  &wire.HostRef{Host: id, Incarnation: incarnation(l, id)},
		Alive: alive,
	}}}})
	assert.NilError(t, err)
}

// assertHasResults checks that the state has the results and checkpoints of a
// worker's tasks.
func (l *fakeLog) assertHasResults(t *testing.T, tasks []*wire.WorkerTask) {
	t.Helper()
	for _, task := range tasks {
		l.View(func(state *replayer.State) {
			moved, _ := state.Task(task.GetTask())
			if task.GetPhase() == wire.WorkerTaskPhase_WORKER_TASK_PHASE_SUCCEEDED {
				assert.Equal(t, moved.GetResult(), wire.TaskResult_TASK_RESULT_SUCCEEDED)
				return
			}
			assert.Equal(t, moved.GetCheckpoint(), task.GetCheckpoint())
		})
	}
}

// stoppedTasks returns the tasks of a host as its worker reports them after a
// fence: one has succeeded and the others were stopped with a checkpoint. The log
// has no records of either.
func stoppedTasks(l *fakeLog, host string) (tasks []*wire.WorkerTask) {
	l.View(func(state *replayer.State) {
		for task := range state.ClaimsOf(host) {
			tasks = append(tasks, &wire.WorkerTask{
				Task:       task.GetSpec().GetTask(),
				Token:      damaskspread.Token(task.GetToken()),
				Checkpoint: "checkpoint of " + task.GetSpec().GetTask(),
				Phase:      wire.WorkerTaskPhase_WORKER_TASK_PHASE_STOPPED,
			})
		}
		slices.SortFunc(tasks, func(a, b *wire.WorkerTask) int { return cmp.Compare(b.GetTask(), a.GetTask()) })
		if len(tasks) > 0 {
			tasks[0].Phase = wire.WorkerTaskPhase_WORKER_TASK_PHASE_SUCCEEDED
		}
	})
	return tasks
}

func incarnation(l *fakeLog, id string) (incarnation string) {
	l.View(func(state *replayer.State) {
		host, _ := state.Host(id)
		incarnation = host.GetSpec().GetIncarnation()
	})
	return incarnation
}

// Guards against configuration changes of objective weights, quotas or zones that
// a running scheduler ignores. The race detector checks the access to them.
func TestReconfigureAppliesToRunningScheduler(t *testing.T) {
	quota := int64(1_000)
	c := newCluster(1, func(string) scheduler.Team {
		return scheduler.Team{Quota: &wire.Resources{Millicores: quota}}
	})
	clock := clockwork.NewFakeClockAt(start)
	estimates := &estimator.Estimator{Clock: clock}
	interference := &fakeInterference{}
	p := c.planners[0]
	p.Estimates = estimates
	p.Policy = &placer.Spread{
		Index:        p.Index,
		Interference: interference,
		Random:       p.Random,
	}
	c.joinWithService("h0", "z")
	l := &fakeLog{state: c.state}
	s := &scheduler.Scheduler{
		Follower: l,
		Clock:    clock,
		Planner:  p,
	}
	observeService := func(seconds int, serviceTimeUs int64) {
		for range seconds {
			clock.Advance(time.Second)
			estimates.ObserveLoad("h0", &wire.EndpointLoad{Running: 4, Limit: 8, ServiceTimeUs: serviceTimeUs})
		}
	}
	step := func() {
		c.now = clock.Now()
		c.step(tick)
		clock.Advance(tick)
	}
	observeService(30, 2_000)
	c.submit(spec("noisy", false, 2_000, 1))
	step()
	assert.Equal(t, c.task("noisy").GetPhase(), pending, "the quota allows 1,000 millicores")
	quota = 0
	interference.exceedsLimit = true
	s.Reconfigure(damaskspread.Objective{TailLatency: 5, BatchThroughput: 1, Evictions: 1})
	step()
	assert.Equal(t, c.task("noisy").GetPhase(), pending, "the objective protects the service from interference")
	s.Reconfigure(damaskspread.Objective{TailLatency: 1, BatchThroughput: 5, Evictions: 5})
	clock.Advance(time.Second)
	step()
	assert.Equal(t, c.task("noisy").GetPhase(), claimed)
	observeService(30, 3_600)
	step()
	assert.Equal(t, len(s.Throttles()), 0)
	s.Reconfigure(damaskspread.Objective{TailLatency: 1, BatchThroughput: 1, Evictions: 1})
	observeService(11, 3_600)
	step()
	assert.Equal(t, len(s.Throttles()), 1)
	assert.Assert(t, !c.task("noisy").GetEvictionRequested())
	s.Reconfigure(damaskspread.Objective{TailLatency: 20, BatchThroughput: 1, Evictions: 1})
	observeService(30, 3_600)
	step()
	assert.Assert(t, c.task("noisy").GetEvictionRequested())
}

// fakeInterference is a fake of the interference estimates.
type fakeInterference struct{ exceedsLimit bool }

func (f *fakeInterference) Cost(string, string, string) float64 { return 0 }

func (f *fakeInterference) ExceedsSlowdownLimit(string, string, string) bool { return f.exceedsLimit }
