package runner_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/pacer"
	"damaskspread.example/damaskspread/runner"
	"damaskspread.example/damaskspread/wire"
)

// pacedExecutor records the paces that are set, and fails the first failures calls.
type pacedExecutor struct {
	*emulator.JobExecutor

	mu       sync.Mutex
	failures int
	percents []int
}

func (e *pacedExecutor) Pace(_ context.Context, _, _ string, _ int32, percent int, _ int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failures > 0 {
		e.failures--
		return &damaskspread.WorkerUnknownError{Cause: context.DeadlineExceeded}
	}
	e.percents = append(e.percents, percent)
	return nil
}

func (e *pacedExecutor) paces() []int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.percents)
}

// leaderWithOrder gives one order to start a best-effort task, again to each further
// session.
func leaderWithOrder(percent int32) *fakeLeader {
	return &fakeLeader{
		respond: func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
			if request.GetOrdersReceived() > 0 {
				return &wire.ExchangeResponse{}
			}
			start := &wire.StartOrder{
				Task:    "a.0.0.0",
				Run:     1,
				Percent: percent,
				Step:    &wire.JobStep{FillsIdle: true, Resources: &wire.Resources{Millicores: 1000}},
			}
			return &wire.ExchangeResponse{Orders: []*wire.Order{{Number: 1, Kind: &wire.Order_Start{Start: start}}}}
		},
	}
}

func withPacer(r *runner.Runner) { r.Pacer = &pacer.Pacer{} }

// Guards against a run that begins at full pace although its order limits it, also if
// the first pace call fails, and against a limit that is never raised.
func TestRunBeginsAtThePaceOfItsOrder(t *testing.T) {
	t.Parallel()
	for _, failures := range []int{0, 1} {
		executor := &pacedExecutor{JobExecutor: newExecutor(), failures: failures}
		startRunnerWith(t, leaderWithOrder(10), executor.JobExecutor, executor, withPacer)
		waitFor(t, "higher pace", func() bool { return len(executor.paces()) >= 3 })
		assert.DeepEqual(t, executor.paces()[:3], []int{10, 20, 40})
	}
}

// Guards against a pace call for an order without a limit.
func TestRunWithoutLimit(t *testing.T) {
	t.Parallel()
	executor := &pacedExecutor{JobExecutor: newExecutor()}
	startRunnerWith(t, leaderWithOrder(0), executor.JobExecutor, executor, withPacer)
	waitFor(t, "start", func() bool { return executor.Running() == 1 })
	time.Sleep(1500 * time.Millisecond)
	assert.Equal(t, len(executor.paces()), 0)
}

// Guards against a run that keeps its limited pace for good because the agent was
// restarted: the new process doesn't know the pace.
func TestLimitOutlivesTheAgent(t *testing.T) {
	t.Parallel()
	executor := &pacedExecutor{JobExecutor: newExecutor()}
	l := leaderWithOrder(10)
	_, kill := startKillableRunnerWith(t, l, executor.JobExecutor, executor, withPacer)
	waitFor(t, "limited start", func() bool { return len(executor.paces()) > 0 })
	kill()
	began := len(executor.paces())
	startRunnerWith(t, l, executor.JobExecutor, executor, withPacer)
	waitFor(t, "higher pace", func() bool { return len(executor.paces()) >= began+3 })
	assert.DeepEqual(t, executor.paces()[began:began+3], []int{10, 20, 40})
}
