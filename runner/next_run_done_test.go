package runner_test

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

// Guards against a start after an end "done": the run for which the next run's start
// waits is done, and the agent starts the next one before the leader has the end.
func TestNextRunDoesNotFollowARunThatIsDone(t *testing.T) {
	t.Parallel()
	q := newOrderQueue()
	executor, checker := newCheckedExecutor()
	executor.TaskDuration = func(string) time.Duration { return 300 * time.Millisecond }
	lease := &damaskspread.Lease{
		Token:      1,
		DeadlineMs: 5000,
	}
	assert.NilError(t, executor.Start(t.Context(), "executor-1", startOfRun(2).GetStart(), lease))
	q.send(startOfRun(3))
	startRunner(t, &q.fakeLeader, executor, executor)
	checker.waitForRun3(t, q)
	checker.assertNoOverlap(t)
	assert.Assert(t, !checker.hasStarted(3), "run 3 started after run 2 was done")
}

// Guards against starts that wait for earlier runs of their tasks and keep the stops of
// these runs from being carried out.
func TestWaitingStartsDoNotDelayStops(t *testing.T) {
	t.Parallel()
	const tasks = 12
	q := newOrderQueue()
	executor, _ := newCheckedExecutor()
	executor.StopTime = 0
	var started atomic.Int64
	executor.Observe = func(event emulator.RunEvent) {
		if event.Run == 3 && event.Cause == wire.EndCause_END_CAUSE_UNSPECIFIED {
			started.Add(1)
		}
	}
	lease := &damaskspread.Lease{
		Token:      1,
		DeadlineMs: 5000,
	}
	var starts, stops []*wire.Order
	for i := range tasks {
		start, earlier, stop := startOfRun(3), startOfRun(2).GetStart(), stopOfRun2()
		earlier.Task = fmt.Sprintf("a.0.0.%d", i)
		start.GetStart().Task, stop.GetStop().Task = earlier.GetTask(), earlier.GetTask()
		assert.NilError(t, executor.Start(t.Context(), "executor-1", earlier, lease))
		starts, stops = append(starts, start), append(stops, stop)
	}
	q.send(starts...)
	startRunner(t, &q.fakeLeader, executor, executor)
	waitFor(t, "receipt of the starts", func() bool {
		return q.received(func(r *wire.ExchangeRequest) bool { return r.GetOrdersReceived() == tasks })
	})
	q.send(stops...)
	waitFor(t, "start or refusal of each run", func() bool {
		return started.Load() == tasks || q.received(func(r *wire.ExchangeRequest) bool {
			return slices.ContainsFunc(r.GetRefusals(), func(refusal *wire.StartRefusal) bool { return refusal.GetRun() == 3 })
		})
	})
	assert.Equal(t, started.Load(), int64(tasks), "the other starts were refused")
}
