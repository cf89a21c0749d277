package runner_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

const (
	repeatedTask = "a.0.0.0"
	// stopTime is longer than the time between two attempts to start a run.
	stopTime = 400 * time.Millisecond
)

// overlapChecker records the runs of repeatedTask that start while another one is in
// progress.
type overlapChecker struct {
	mu               sync.Mutex
	running, started []int32
	overlaps         []string
}

func (c *overlapChecker) observe(event emulator.RunEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if event.Cause != wire.EndCause_END_CAUSE_UNSPECIFIED {
		c.running = slices.DeleteFunc(c.running, func(run int32) bool { return run == event.Run })
		return
	}
	if len(c.running) > 0 {
		c.overlaps = append(c.overlaps, fmt.Sprintf("run %d started beside %v", event.Run, c.running))
	}
	c.running = append(c.running, event.Run)
	c.started = append(c.started, event.Run)
}

func (c *overlapChecker) hasStarted(run int32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.started, run)
}

func (c *overlapChecker) assertNoOverlap(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.DeepEqual(t, c.overlaps, []string(nil))
}

// newCheckedExecutor returns an executor whose tasks run until they are stopped,
// which takes stopTime.
func newCheckedExecutor() (*emulator.JobExecutor, *overlapChecker) {
	checker := &overlapChecker{}
	executor := &emulator.JobExecutor{
		Clock:        clockwork.NewRealClock(),
		TaskDuration: func(string) time.Duration { return -1 },
		StopTime:     stopTime,
		Observe:      checker.observe,
	}
	executor.Boot("executor-1")
	return executor, checker
}

func startOfRun(run int32) *wire.Order {
	order := startOrder(repeatedTask, nil)
	order.GetStart().Run = run
	return order
}

func stopOfRun2() *wire.Order {
	order := stopOrder(repeatedTask)
	order.GetStop().Run = 2
	return order
}

func listsRun2(request *wire.ExchangeRequest) bool {
	return slices.ContainsFunc(request.GetRunning(), func(run *wire.TaskRun) bool { return run.GetRun() == 2 })
}

// waitForRun3 waits until the executor has started run 3 or the agent has refused it.
func (c *overlapChecker) waitForRun3(t *testing.T, q *orderQueue) {
	t.Helper()
	waitFor(t, "start or refusal of run 3", func() bool {
		return c.hasStarted(3) || q.received(func(request *wire.ExchangeRequest) bool {
			return slices.ContainsFunc(request.GetRefusals(), func(refusal *wire.StartRefusal) bool { return refusal.GetRun() == 3 })
		})
	})
}

// Guards against two runs of one task: the leader orders the next run while the
// executor still stops the one before.
func TestNextRunWaitsForTheRunBeingStopped(t *testing.T) {
	t.Parallel()
	q := newOrderQueue()
	executor, checker := newCheckedExecutor()
	startRunner(t, &q.fakeLeader, executor, executor)
	q.send(startOfRun(2))
	waitFor(t, "list with run 2", func() bool { return q.received(listsRun2) })
	q.send(stopOfRun2(), startOfRun(3))
	checker.waitForRun3(t, q)
	checker.assertNoOverlap(t)
}

// Guards against two runs of one task: the first lists that the agent reads show a
// run that an earlier process of the agent has stopped.
func TestNextRunWaitsForTheRunOfTheAgentBefore(t *testing.T) {
	t.Parallel()
	q := newOrderQueue()
	executor, checker := newCheckedExecutor()
	lease := &damaskspread.Lease{
		Token:      1,
		DeadlineMs: 5000,
	}
	assert.NilError(t, executor.Start(t.Context(), "executor-1", startOfRun(2).GetStart(), lease))
	assert.NilError(t, executor.Stop(t.Context(), "executor-1", stopOfRun2().GetStop(), lease.Token))
	q.send(startOfRun(3))
	startRunner(t, &q.fakeLeader, executor, executor)
	checker.waitForRun3(t, q)
	checker.assertNoOverlap(t)
}
