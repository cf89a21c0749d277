package runner_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

// exposes reports whether the request exposes a task, or withdraws its exposure.
func exposes(request *wire.ExchangeRequest, task string, withdrawn bool) bool {
	return slices.ContainsFunc(request.GetExposures(), func(exposure *wire.CrashExposure) bool {
		return exposure.GetTask() == task && exposure.GetWithdrawn() == withdrawn
	})
}

// orderOnce responds with a start order for each of the tasks. record is the number
// of the last exposure that counts as stored.
func orderOnce(record *atomic.Int64, tasks ...string) func(context.Context, *wire.ExchangeRequest) *wire.ExchangeResponse {
	return func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		if request.GetWaitMs() > 0 {
			time.Sleep(5 * time.Millisecond)
		}
		response := &wire.ExchangeResponse{ExposuresRecorded: record.Load()}
		for i, task := range tasks {
			if number := int64(i + 1); number > request.GetOrdersReceived() && request.GetExecutor().GetId() == "executor-1" {
				order := &wire.StartOrder{Task: task, Run: 1}
				response.Orders = append(response.Orders, &wire.Order{Number: number, Kind: &wire.Order_Start{Start: order}})
			}
		}
		return response
	}
}

// Guards against a crash that the leader doesn't learn of: its exposures must be
// reported at once, and again until they are stored, also after the executor was
// replaced.
func TestCrashIsReportedUntilStored(t *testing.T) {
	t.Parallel()
	recorded := &atomic.Int64{}
	l := &fakeLeader{respond: orderOnce(recorded, "a.0.0.0", "b.0.0.0")}
	executor := newExecutor()
	executor.Crashes = func(task string) bool { return task == "b.0.0.0" }
	r := startRunner(t, l, executor, executor)
	waitFor(t, "crash", executor.Down)
	crashed := time.Now()
	waitFor(t, "exposures", func() bool {
		return l.received(func(r *wire.ExchangeRequest) bool {
			return exposes(r, "a.0.0.0", false) && exposes(r, "b.0.0.0", false) && !r.GetExecutorReachable()
		})
	})
	assert.Assert(t, time.Since(crashed) < 500*time.Millisecond, "%s", time.Since(crashed))
	executor.Boot("executor-2")
	r.ExecutorAnnounced(executor.Info("planning", "zone", &wire.Resources{}))
	waitFor(t, "exposures in the next session", func() bool {
		return l.received(func(r *wire.ExchangeRequest) bool {
			return r.GetOpening() && r.GetExecutor().GetId() == "executor-2" && exposes(r, "b.0.0.0", false)
		})
	})
	recorded.Store(2)
	waitFor(t, "request without exposures", func() bool {
		return l.received(func(r *wire.ExchangeRequest) bool { return r.GetExposuresRecorded() == 2 && len(r.GetExposures()) == 0 })
	})
	assert.Assert(t, !l.received(func(r *wire.ExchangeRequest) bool { return exposes(r, "b.0.0.0", true) }))
}

// Guards against a crash that is reported for runs that started long before it.
func TestOldRunsAreNotExposed(t *testing.T) {
	t.Parallel()
	l := &fakeLeader{respond: orderOnce(&atomic.Int64{}, "a.0.0.0")}
	r, executor := startWithEmulator(t, l)
	waitFor(t, "run", func() bool { return executor.Running() == 1 })
	time.Sleep(700 * time.Millisecond)
	executor.Crash()
	time.Sleep(300 * time.Millisecond)
	executor.Boot("executor-2")
	r.ExecutorAnnounced(executor.Info("planning", "zone", &wire.Resources{}))
	waitFor(t, "report of the second executor", func() bool {
		return l.received(func(r *wire.ExchangeRequest) bool { return r.GetExecutor().GetId() == "executor-2" })
	})
	assert.Assert(t, !l.received(func(r *wire.ExchangeRequest) bool { return len(r.GetExposures()) > 0 }))
}

// resettingExecutor fails renewals with err while it is set.
type resettingExecutor struct {
	*emulator.JobExecutor

	err atomic.Pointer[error]
}

func (e *resettingExecutor) Renew(ctx context.Context, id string, lease *damaskspread.Lease, seen int64, wait time.Duration) (*wire.ExecutorState, error) {
	if err := e.err.Load(); err != nil {
		return nil, *err
	}
	return e.JobExecutor.Renew(ctx, id, lease, seen, min(wait, 20*time.Millisecond))
}

// Guards against healthy tasks that count as crashing because connections were
// reset, or because the executor did not respond for some time.
func TestLostCallsOfALivingExecutor(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		err     error
		exposed bool
	}{
		"reset":   {err: &damaskspread.WorkerUnknownError{Cause: &damaskspread.ConnectionLostError{Cause: context.Canceled}}, exposed: true},
		"timeout": {err: &damaskspread.WorkerUnknownError{Cause: context.DeadlineExceeded}, exposed: false},
	} {
		t.Run(name, func(t *testing.T) {
			l := &fakeLeader{respond: orderOnce(&atomic.Int64{}, "a.0.0.0")}
			executor := newExecutor()
			resetting := &resettingExecutor{JobExecutor: executor}
			startRunner(t, l, executor, resetting)
			waitFor(t, "run", func() bool { return executor.Running() == 1 })
			resetting.err.Store(&c.err)
			time.Sleep(100 * time.Millisecond)
			resetting.err.Store(nil)
			time.Sleep(400 * time.Millisecond)
			for _, withdrawn := range []bool{false, true} {
				seen := l.received(func(r *wire.ExchangeRequest) bool { return exposes(r, "a.0.0.0", withdrawn) })
				assert.Equal(t, seen, c.exposed, "withdrawn %t", withdrawn)
			}
		})
	}
}

// startResettingExecutor breaks off the connections of starts, which have no effect.
type startResettingExecutor struct{ *emulator.JobExecutor }

func (startResettingExecutor) Start(context.Context, string, *wire.StartOrder, *damaskspread.Lease) error {
	return &damaskspread.WorkerUnknownError{Cause: &damaskspread.ConnectionLostError{Cause: context.Canceled}}
}

// Guards against jobs that are shown as running although none of their tasks has begun: a
// start whose connection was broken off is reported as one that has happened.
func TestExposureTellsWhetherTheRunHasStarted(t *testing.T) {
	t.Parallel()
	exposedAs := func(l *fakeLeader, started bool) bool {
		return l.received(func(r *wire.ExchangeRequest) bool {
			return slices.ContainsFunc(r.GetExposures(), func(e *wire.CrashExposure) bool { return e.GetStarted() == started })
		})
	}
	t.Run("broken off", func(t *testing.T) {
		t.Parallel()
		l := &fakeLeader{respond: orderOnce(&atomic.Int64{}, "a.0.0.0")}
		executor := newExecutor()
		startRunner(t, l, executor, startResettingExecutor{executor})
		waitFor(t, "exposure", func() bool { return exposedAs(l, false) })
		assert.Assert(t, !exposedAs(l, true))
	})
	t.Run("answered", func(t *testing.T) {
		t.Parallel()
		l := &fakeLeader{respond: orderOnce(&atomic.Int64{}, "a.0.0.0")}
		executor := newExecutor()
		executor.Crashes = func(string) bool { return true }
		startRunner(t, l, executor, executor)
		waitFor(t, "exposure", func() bool { return exposedAs(l, true) })
		assert.Assert(t, !exposedAs(l, false))
	})
}
