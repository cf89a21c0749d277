package coordinator_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/submitter"
	"damaskspread.example/damaskspread/wire"
)

// Load: one processor, two jobs of 5 s that become overdue while the log is away, and a
// caller that is refused meanwhile and returns at its Retry-After. Guards against late
// jobs that take all processors as soon as the log is back, so that the caller that did
// as it was told gets no result within its objective, and against late jobs that never
// run.
func TestReturningCallerAfterLogOutage(t *testing.T) {
	const caller, overdueRunTime, objective = 9, 5 * time.Second, 2500 * time.Millisecond
	f := newTestFleet(t, 2, 1, func(task string) time.Duration {
		if strings.HasPrefix(task, healthyJob(caller)) {
			return 300 * time.Millisecond
		}
		return overdueRunTime
	})
	f.recoveryTime = submitter.ReturnTime
	f.costOrder = true
	for _, e := range f.entries {
		f.killEntry(e)
		f.startEntry(e)
	}
	f.setMillicores(f.hosts[0], taskMillicores-1)
	leader := f.leader()
	hurried := &wire.Queue{Name: "hurried", Service: service, MaxAttempts: 3, ObjectiveMs: 300}
	for i := range 2 {
		f.submitTo(leader, hurried, &wire.Job{Id: healthyJob(i), Steps: steps(1)})
	}
	f.setLogDown(true)
	time.Sleep(time.Second)
	f.setMillicores(f.hosts[0], taskMillicores)
	queue := &wire.Queue{Name: "batch", Service: service, MaxAttempts: 3, ObjectiveMs: objective.Milliseconds()}
	retryAfter := f.submitRefused(queue, &wire.Job{Id: healthyJob(caller), Steps: steps(1)})
	f.setLogDown(false)
	returnsAt := time.Now().Add(retryAfter)
	f.waitFor("steps held back", func() bool { return f.leader().coordinator.PacedSteps() == 2 })
	time.Sleep(time.Until(returnsAt))

	returned := time.Now()
	f.submitTo(f.leader(), queue, &wire.Job{Id: healthyJob(caller), Steps: steps(1)})
	f.waitSucceeded(f.leader(), healthyJob(caller))
	took := time.Since(returned)
	assert.Assert(t, took <= objective, "the caller returned after %s and got its result after %s", retryAfter, took)
	for i := range 2 {
		f.waitSucceeded(f.leader(), healthyJob(i))
	}
	assert.Equal(t, f.leader().coordinator.PacedSteps(), int64(0))
}

// submitRefused submits a job while the log is away and returns the Retry-After.
func (f *testFleet) submitRefused(queue *wire.Queue, job *wire.Job) time.Duration {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), 500*time.Millisecond)
	defer cancel()
	var refusal *damaskspread.RefusalError
	err := f.entries[0].submitter.Submit(ctx, queue, job)
	assert.Assert(f.t, errors.As(err, &refusal), "%v", err)
	assert.Equal(f.t, refusal.Outcome, wire.Outcome_OUTCOME_NOT_RUN, "%v", err)
	return refusal.RetryAfter
}
