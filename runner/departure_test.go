package runner_test

import (
	"context"
	"sync/atomic"
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
	t.Parallel()
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
	t.Parallel()
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

// Guards against an agent that forgets a departure, and the ends that go with it, once any
// leader has responded: one that dies before it has stored them leaves no trace.
func TestDepartureIsRepeatedUntilItIsStored(t *testing.T) {
	t.Parallel()
	l := newIdleLeader()
	var stored, departures atomic.Int64
	l.respond = func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		time.Sleep(5 * time.Millisecond)
		response := &wire.ExchangeResponse{}
		switch {
		case request.GetExecutorLeft():
			departures.Add(1)
			response.AbsenceStored = stored.Load() > 0
		case request.GetOrdersReceived() == 0:
			order := &wire.StartOrder{Task: "a.0.0.0", Run: 1}
			response.Orders = []*wire.Order{{Number: 1, Kind: &wire.Order_Start{Start: order}}}
		}
		return response
	}
	executor := newExecutor()
	executor.TaskDuration = func(string) time.Duration { return 50 * time.Millisecond }
	crashing := &crashingExecutor{JobExecutor: executor}
	r := startRunner(t, l, executor, crashing)
	waitFor(t, "end", func() bool {
		return l.received(func(request *wire.ExchangeRequest) bool { return len(request.GetEnds()) > 0 })
	})
	leave(r, executor)
	crashing.setDown(true)
	waitFor(t, "repeated reports", func() bool { return departures.Load() >= 3 })
	assert.Assert(t, r.Departing())
	// The executor that takes the place of the one that left does not hide the departure.
	executor.Boot("executor-2")
	crashing.setDown(false)
	r.ExecutorAnnounced(executor.Info("planning", "zone", &wire.Resources{Millicores: 8000}))
	seen := departures.Load()
	waitFor(t, "reports beside another executor", func() bool { return departures.Load() >= seen+2 })
	assert.Assert(t, !l.received(func(request *wire.ExchangeRequest) bool {
		return request.GetExecutorLeft() && (len(request.GetEnds()) != 1 || request.GetExecutor().GetId() != "executor-1")
	}))
	stored.Store(1)
	time.Sleep(500 * time.Millisecond)
	seen = departures.Load()
	time.Sleep(1200 * time.Millisecond)
	assert.Equal(t, departures.Load(), seen, "reported after it was stored")
	assert.Assert(t, !r.Departing())
}

// Guards against a new leader that does not learn when the lease of an executor ends which
// does not respond: its agent can open no session without the executor's lists.
func TestSilenceIsReportedToANewLeader(t *testing.T) {
	t.Parallel()
	l := newIdleLeader()
	executor := newExecutor()
	crashing := &crashingExecutor{JobExecutor: executor}
	var reopened atomic.Bool
	l.respond = func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		time.Sleep(5 * time.Millisecond)
		isNew := crashing.isDown() && !request.GetExecutorSilent() && reopened.CompareAndSwap(false, true)
		return &wire.ExchangeResponse{Reopen: isNew}
	}
	startRunner(t, l, executor, crashing)
	waitFor(t, "session", func() bool {
		return l.received(func(request *wire.ExchangeRequest) bool { return request.GetWaitMs() > 0 })
	})
	crashing.setDown(true)
	silent := func(request *wire.ExchangeRequest) bool { return request.GetExecutorSilent() }
	waitFor(t, "report", func() bool { return l.received(silent) })
	// The lease of the fake leader is 2 s.
	assert.Assert(t, !l.received(func(request *wire.ExchangeRequest) bool {
		return silent(request) && (request.GetLeaseLeftMs() <= 0 || request.GetLeaseLeftMs() > 2001)
	}))
	waitFor(t, "report of a lease that is over", func() bool {
		return l.received(func(request *wire.ExchangeRequest) bool { return silent(request) && request.GetLeaseLeftMs() == 1 })
	})
}

// Guards against a leader that shortens the wait for a lease because an executor, in which a
// start may be carried out late, has been silent for a moment.
func TestSilenceIsReportedAfterTheFullMargin(t *testing.T) {
	t.Parallel()
	var reopens atomic.Bool
	l := &fakeLeader{}
	l.respond = func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		time.Sleep(5 * time.Millisecond)
		return &wire.ExchangeResponse{Reopen: !request.GetExecutorSilent() && reopens.Swap(false)}
	}
	_, executor := startWithEmulator(t, l)
	waitFor(t, "session", func() bool {
		return l.received(func(request *wire.ExchangeRequest) bool { return request.GetWaitMs() > 0 })
	})
	executor.SetUnresponsive(true)
	reopens.Store(true)
	began := time.Now()
	waitFor(t, "report", func() bool {
		return l.received(func(request *wire.ExchangeRequest) bool { return request.GetExecutorSilent() })
	})
	assert.Assert(t, time.Since(began) > 900*time.Millisecond, "reported after %s", time.Since(began))
}

// leave announces that the executor drains, and deregisters it.
func leave(r *runner.Runner, executor *emulator.JobExecutor) {
	draining := executor.Info("planning", "zone", &wire.Resources{})
	draining.Draining = true
	draining.Sequence = 1
	r.ExecutorAnnounced(draining)
	r.ExecutorLeft("executor-1")
}

// Guards against runs that nobody can stop until their lease is over: the agent ends while its
// executor is still draining.
func TestRunsOfADrainingExecutorEndBeforeTheAgent(t *testing.T) {
	t.Parallel()
	l := &fakeLeader{respond: orderOneStart}
	r, executor := startWithEmulator(t, l)
	waitFor(t, "run", func() bool { return executor.Running() == 1 })
	draining := executor.Info("planning", "zone", &wire.Resources{Millicores: 8000})
	draining.Draining = true
	draining.RemainingMs = time.Minute.Milliseconds()
	r.ExecutorAnnounced(draining)
	r.FinishDeparture(t.Context(), time.Second)
	assert.Equal(t, executor.Running(), 0)
	assert.Assert(t, l.received(func(request *wire.ExchangeRequest) bool { return len(request.GetEnds()) > 0 }))
}
