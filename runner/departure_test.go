package runner_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/runner"
	"damaskspread.example/damaskspread/wire"
)

// Guards against two runs of one task when the acknowledgement of a deregistration
// is lost: the executor then ends some seconds later, and the leader must not learn
// that it left while its runs are in progress.
func TestDepartureOfARunningExecutor(t *testing.T) {
	l := &fakeLeader{}
	l.respond = func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		time.Sleep(5 * time.Millisecond)
		response := &wire.ExchangeResponse{}
		if request.GetOrdersReceived() == 0 && !request.GetExecutorLeft() {
			order := &wire.StartOrder{Task: "a.0.0.0", Run: 1}
			response.Orders = []*wire.Order{{Number: 1, Kind: &wire.Order_Start{Start: order}}}
		}
		return response
	}
	r, executor := startWithEmulator(t, l)
	waitFor(t, "run", func() bool { return executor.Running() == 1 })
	leave(r, executor)
	waitFor(t, "report that the executor left", func() bool {
		return l.received(func(r *wire.ExchangeRequest) bool { return r.GetExecutorLeft() })
	})
	assert.Equal(t, executor.Running(), 0)
}

// Guards against tasks that wait for the end of a lease although their executor has
// ended as planned.
func TestDepartureOfAnEndedExecutor(t *testing.T) {
	l := newIdleLeader()
	executor := newExecutor()
	crashing := &crashingExecutor{JobExecutor: executor}
	r := startRunner(t, l, executor, crashing)
	waitFor(t, "session", func() bool {
		return l.received(func(r *wire.ExchangeRequest) bool { return r.GetWaitMs() > 0 })
	})
	leave(r, executor)
	leftAt := time.Now()
	crashing.setDown(true)
	waitFor(t, "report that the executor left", func() bool {
		return l.received(func(r *wire.ExchangeRequest) bool { return r.GetExecutorLeft() })
	})
	// The lease of the fake leader is 2 s.
	assert.Assert(t, time.Since(leftAt) < 1700*time.Millisecond)
}

// leave announces that the executor drains, and deregisters it.
func leave(r *runner.Runner, executor *emulator.JobExecutor) {
	draining := executor.Info("planning", "zone", &wire.Resources{})
	draining.Draining = true
	draining.Sequence = 1
	r.ExecutorAnnounced(draining)
	r.ExecutorLeft("executor-1")
}
