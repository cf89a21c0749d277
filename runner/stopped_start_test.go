package runner_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

// silentExecutor carries out no order for a while and gives no response to it. It counts
// the starts that it gets after the first stop.
type silentExecutor struct {
	*emulator.JobExecutor

	mu              sync.Mutex
	starts          int
	stopped         bool
	startsAfterStop int
}

func (e *silentExecutor) Start(context.Context, string, *wire.StartOrder, *damaskspread.Lease) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	if e.stopped {
		e.startsAfterStop++
	}
	return &damaskspread.WorkerUnknownError{Cause: context.DeadlineExceeded}
}

func (e *silentExecutor) Stop(ctx context.Context, id string, order *wire.StopOrder, token int64) error {
	e.mu.Lock()
	isFirst := !e.stopped
	e.stopped = true
	e.mu.Unlock()
	if isFirst {
		time.Sleep(300 * time.Millisecond)
		return &damaskspread.WorkerUnknownError{Cause: context.DeadlineExceeded}
	}
	return e.JobExecutor.Stop(ctx, id, order, token)
}

func (e *silentExecutor) startCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.starts
}

// Guards against a start that is repeated after the leader has ordered to stop the run, such
// as because an earlier one turned out to be done.
func TestStopEndsTheRepetitionOfAStart(t *testing.T) {
	t.Parallel()
	executor := newExecutor()
	silent := &silentExecutor{JobExecutor: executor}
	l := &fakeLeader{}
	l.respond = func(ctx context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		if request.GetOrdersReceived() != 1 || silent.startCount() == 0 {
			return orderOneStart(ctx, request)
		}
		return &wire.ExchangeResponse{Orders: []*wire.Order{{
			Number: 2,
			Kind:   &wire.Order_Stop{Stop: &wire.StopOrder{Task: "a.0.0.0", Run: 1}},
		}}}
	}
	startRunner(t, l, executor, silent)
	waitFor(t, "report of the run as not started", func() bool {
		return l.received(func(r *wire.ExchangeRequest) bool { return refuses(r, "a.0.0.0") })
	})
	silent.mu.Lock()
	defer silent.mu.Unlock()
	assert.Equal(t, silent.startsAfterStop, 0)
}
