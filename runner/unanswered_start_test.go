package runner_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

// unansweringExecutor keeps the leases of the calls after the first start, which gets no
// response.
type unansweringExecutor struct {
	*emulator.JobExecutor

	mu       sync.Mutex
	first    *damaskspread.Lease
	failed   bool
	renewals []damaskspread.Lease
	// renewalsBefore is the number of renewals between the first start and the second.
	renewalsBefore int
	repeated       bool
}

func (e *unansweringExecutor) Renew(ctx context.Context, id string, lease *damaskspread.Lease, seen int64, wait time.Duration) (*wire.ExecutorState, error) {
	e.mu.Lock()
	if e.failed {
		e.renewals = append(e.renewals, *lease)
	}
	e.mu.Unlock()
	return e.JobExecutor.Renew(ctx, id, lease, seen, wait)
}

func (e *unansweringExecutor) Start(ctx context.Context, id string, order *wire.StartOrder, lease *damaskspread.Lease) error {
	e.mu.Lock()
	isFirst := e.first == nil
	if isFirst {
		e.first = lease
	} else if !e.repeated {
		e.repeated = true
		e.renewalsBefore = len(e.renewals)
	}
	e.mu.Unlock()
	if !isFirst {
		return e.JobExecutor.Start(ctx, id, order, lease)
	}
	<-ctx.Done()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failed = true
	return &damaskspread.WorkerUnknownError{Cause: ctx.Err()}
}

func (e *unansweringExecutor) isRepeated() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.repeated
}

// Guards against two runs of a task, or too many runs, on a new life of an executor: the
// first call that it sees is a start that the life before has not answered, and a late
// start of an earlier session is carried out beside it.
func TestUnansweredStartIsRepeatedAfterARenewal(t *testing.T) {
	t.Parallel()
	executor := newExecutor()
	unanswering := &unansweringExecutor{JobExecutor: executor}
	startRunner(t, &fakeLeader{respond: orderOneStart}, executor, unanswering)
	waitFor(t, "second start call", unanswering.isRepeated)
	unanswering.mu.Lock()
	defer unanswering.mu.Unlock()
	assert.Assert(t, unanswering.renewalsBefore > 0, "the start is repeated first")
	check := unanswering.renewals[0]
	assert.Equal(t, check.DeadlineMs, int64(0))
	assert.Assert(t, check.Token > unanswering.first.Token)
}

// Guards against a run of a canceled job that goes on because starts without a response keep its
// stop from being carried out.
func TestUnansweredStartsDoNotDelayStops(t *testing.T) {
	t.Parallel()
	q := newOrderQueue()
	executor := newExecutor()
	executor.SetHeldStarts(func(order *wire.StartOrder) bool { return order.GetTask() != "a.0.0.0" })
	startRunner(t, &q.fakeLeader, executor, executor)
	q.send(startOrder("a.0.0.0", nil))
	waitFor(t, "run", func() bool { return executor.Running() == 1 })
	for i := range 24 {
		q.send(startOrder(fmt.Sprintf("b.0.0.%d", i), nil))
	}
	waitFor(t, "starts without a response", func() bool { return executor.HeldStarts() >= 8 })
	q.send(stopOrder("a.0.0.0"))
	sentAt := time.Now()
	waitFor(t, "stop", func() bool { return executor.Running() == 0 })
	// A start call waits 700 ms for its response.
	assert.Assert(t, time.Since(sentAt) < 400*time.Millisecond, "%s", time.Since(sentAt))
}
