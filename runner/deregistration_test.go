package runner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

// Guards against a living executor that is reported as left, because the
// deregistration of the incarnation before it under the same id arrives late: the
// leader would start its tasks elsewhere at once.
func TestLateDeregistration(t *testing.T) {
	t.Parallel()
	l := newIdleLeader()
	r, executor := startWithEmulator(t, l)
	executor.Boot("executor-1")
	r.ExecutorAnnounced(executor.Info("planning", "zone", &wire.Resources{}))
	r.ExecutorLeft("executor-1")
	// Longer than an executor may take to exit after it announced that it leaves.
	time.Sleep(900 * time.Millisecond)
	left := l.received(func(request *wire.ExchangeRequest) bool { return request.GetExecutorLeft() })
	assert.Assert(t, !left, "the running executor was reported as left")
	waitFor(t, "session", func() bool {
		return l.received(func(request *wire.ExchangeRequest) bool {
			return request.GetExecutor().GetBornUnixMs() == executor.Info("", "", nil).GetBornUnixMs() && request.GetWaitMs() > 0
		})
	})
}

// Guards against an executor that drained and left and is not reported as left.
func TestDeregistrationAfterDraining(t *testing.T) {
	t.Parallel()
	l := newIdleLeader()
	executor := newExecutor()
	crashing := &crashingExecutor{JobExecutor: executor}
	r := startRunner(t, l, executor, crashing)
	leave(r, executor)
	crashing.setDown(true)
	waitFor(t, "report of the departure", func() bool {
		return l.received(func(request *wire.ExchangeRequest) bool { return request.GetExecutorLeft() })
	})
}
