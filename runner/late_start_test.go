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

// lateStartExecutor holds the first start call back and fails it without a
// response. deliver executes it. Later starts are refused for want of health.
type lateStartExecutor struct {
	*emulator.JobExecutor

	mu      sync.Mutex
	held    func() error
	arrived bool
}

func (e *lateStartExecutor) Start(ctx context.Context, id string, order *wire.StartOrder, lease *damaskspread.Lease) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.arrived {
		return &damaskspread.StartRefusedError{Reason: damaskspread.RefusedUnhealthy}
	}
	e.arrived = true
	e.held = func() error { return e.JobExecutor.Start(context.WithoutCancel(ctx), id, order, lease) }
	return &damaskspread.WorkerUnknownError{Cause: context.DeadlineExceeded}
}

func (e *lateStartExecutor) holdsStart() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrived
}

func (e *lateStartExecutor) deliver() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held()
}

// Guards against two runs of one task after an agent has restarted: the start call
// of its predecessor may still be executed after the successor reported the run as
// refused, and the leader then starts the next run elsewhere.
func TestLateStartOfTheAgentBefore(t *testing.T) {
	t.Parallel()
	t.Run("refused by the executor", func(t *testing.T) { testLateStartOfTheAgentBefore(t, 0) })
	t.Run("expired at the agent", func(t *testing.T) { testLateStartOfTheAgentBefore(t, time.Minute) })
}

// testLateStartOfTheAgentBefore gives the second agent an order that was decided
// the given time ago.
func testLateStartOfTheAgentBefore(t *testing.T, age time.Duration) {
	executor := newExecutor()
	late := &lateStartExecutor{JobExecutor: executor}
	l := &fakeLeader{}
	l.respond = func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		time.Sleep(5 * time.Millisecond)
		if request.GetOrdersReceived() > 0 || refuses(request, "a.0.0.0") {
			return &wire.ExchangeResponse{}
		}
		start := &wire.StartOrder{
			Task:     "a.0.0.0",
			Run:      1,
			Repeated: late.holdsStart(),
		}
		order := &wire.Order{
			Number: 1,
			Kind:   &wire.Order_Start{Start: start},
		}
		if start.GetRepeated() {
			order.AgeMs = age.Milliseconds()
		}
		return &wire.ExchangeResponse{Orders: []*wire.Order{order}}
	}
	_, kill := startKillableRunner(t, l, executor, late)
	waitFor(t, "start call", late.holdsStart)
	kill()
	startKillableRunner(t, l, executor, late)
	waitFor(t, "refusal by the second agent", func() bool {
		return l.received(func(r *wire.ExchangeRequest) bool { return refuses(r, "a.0.0.0") })
	})
	_ = late.deliver()
	assert.Equal(t, executor.Running(), 0, "the refused run runs")
}
