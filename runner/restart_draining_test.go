package runner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

// Guards against a living executor that is reported as left and never used again: it
// restarted under the id of a draining one, and the late deregistration of that one
// arrives after the lists of runs have shown the restart and before the first
// announcement.
func TestLateDeregistrationAfterDrainingRestart(t *testing.T) {
	t.Parallel()
	l := newIdleLeader()
	r, executor := startWithEmulator(t, l)
	draining := executor.Info("planning", "zone", &wire.Resources{Millicores: 8000})
	draining.Draining = true
	draining.Sequence = 1
	r.ExecutorAnnounced(draining)
	waitFor(t, "session", func() bool {
		return l.received(func(request *wire.ExchangeRequest) bool { return request.GetWaitMs() > 0 })
	})
	executor.Crash()
	executor.Boot("executor-1")
	restarted := executor.Info("planning", "zone", &wire.Resources{Millicores: 8000})
	waitFor(t, "session of the restarted executor", func() bool {
		return l.received(func(request *wire.ExchangeRequest) bool {
			return request.GetExecutor().GetBornUnixMs() == restarted.GetBornUnixMs() && request.GetWaitMs() > 0
		})
	})
	r.ExecutorLeft("executor-1")
	r.ExecutorAnnounced(restarted)
	// Longer than an executor may take to exit after it announced that it leaves.
	time.Sleep(900 * time.Millisecond)
	assert.Assert(t, !l.received(func(request *wire.ExchangeRequest) bool { return request.GetExecutorLeft() }),
		"the running executor was reported as left")
	assert.Assert(t, l.received(func(request *wire.ExchangeRequest) bool {
		return request.GetExecutor().GetCapacity().GetMillicores() == 8000 &&
			request.GetExecutor().GetBornUnixMs() == restarted.GetBornUnixMs()
	}), "the announcement of the running executor was ignored")
}
