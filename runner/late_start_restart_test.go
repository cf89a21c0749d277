package runner_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

// maxUncalled is the longest time for which a new life of an executor that may carry out
// a start late is not called.
const maxUncalled = time.Second

// silentRestartExecutor does not respond to the first start, and restarts while it holds a
// renewal after that. The new life is not announced.
type silentRestartExecutor struct {
	restartingExecutor
	startOnce, restartOnce sync.Once
	unanswered             chan struct{}
	restartedAt            chan time.Time
}

func (e *silentRestartExecutor) Start(context.Context, string, *wire.StartOrder, *damaskspread.Lease) error {
	err := error(nil)
	e.startOnce.Do(func() {
		err = &damaskspread.WorkerUnknownError{Cause: context.DeadlineExceeded}
		close(e.unanswered)
	})
	return err
}

func (e *silentRestartExecutor) Renew(ctx context.Context, id string, lease *damaskspread.Lease, seen int64, wait time.Duration) (*wire.ExecutorState, error) {
	select {
	case <-e.unanswered:
		if wait > 0 {
			e.restartOnce.Do(func() {
				time.AfterFunc(20*time.Millisecond, func() {
					e.restart(2)
					e.restartedAt <- time.Now()
				})
			})
		}
	default:
	}
	return e.restartingExecutor.Renew(ctx, id, lease, seen, wait)
}

// Guards against two runs of one task: a new life carries out a start that the life before
// has not responded to, and is not called before the next run starts elsewhere, because the
// agent waits for the response to a renewal that the life before holds.
func TestNewLifeIsCalledSoonAfterAnUnansweredStart(t *testing.T) {
	t.Parallel()
	executor := &silentRestartExecutor{
		restartingExecutor: restartingExecutor{born: 1},
		unanswered:         make(chan struct{}),
		restartedAt:        make(chan time.Time, 1),
	}
	announced := newExecutor()
	l := &fakeLeader{respond: func(ctx context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		response := orderOneStart(ctx, request)
		response.EndsRecorded = 5
		return response
	}}
	r := startRunner(t, l, announced, executor)
	info := announced.Info("planning", "zone", &wire.Resources{Millicores: 8000})
	info.BornUnixMs = 1
	r.ExecutorAnnounced(info)
	executor.awaitCall(t)
	restartedAt := <-executor.restartedAt
	uncalled := time.Since(restartedAt)
	t.Logf("the new life was called after %s", uncalled)
	assert.Assert(t, uncalled < maxUncalled)
}

// slowExecutor carries out renewals at once and responds to them later.
type slowExecutor struct {
	*emulator.JobExecutor
	// delay is that of the responses, a time.Duration.
	delay               atomic.Int64
	failures, responses atomic.Int32
}

// slowDelay is longer than the short margin of renewals and shorter than the full one.
const slowDelay = 500 * time.Millisecond

func (e *slowExecutor) Renew(ctx context.Context, id string, lease *damaskspread.Lease, seen int64, wait time.Duration) (*wire.ExecutorState, error) {
	state, err := e.JobExecutor.Renew(ctx, id, lease, seen, wait)
	select {
	case <-time.After(time.Duration(e.delay.Load())):
		e.responses.Add(1)
		return state, err
	case <-ctx.Done():
		e.failures.Add(1)
		return nil, &damaskspread.WorkerUnknownError{Cause: ctx.Err()}
	}
}

// Guards against a slow executor that counts as silent, and gets no orders, while a start may
// be carried out late.
func TestSlowExecutorIsNotSilent(t *testing.T) {
	t.Parallel()
	executor := &slowExecutor{JobExecutor: newExecutor()}
	executor.delay.Store(int64(slowDelay))
	startRunner(t, &fakeLeader{respond: orderOneStart}, executor.JobExecutor, executor)
	waitFor(t, "run", func() bool { return executor.Running() == 1 })
	waitFor(t, "responses", func() bool { return executor.responses.Load() >= 4 })
	assert.Equal(t, executor.Running(), 1)
	assert.Assert(t, executor.failures.Load() <= 2, "%d renewals without response", executor.failures.Load())
}

// Guards against an announcement of another writer that hides an executor which responds
// slowly for a moment.
func TestOddAnnouncementHidesNoSlowExecutor(t *testing.T) {
	t.Parallel()
	executor := &slowExecutor{JobExecutor: newExecutor()}
	l := newIdleLeader()
	r := startRunner(t, l, executor.JobExecutor, executor)
	waitFor(t, "responses", func() bool { return executor.responses.Load() >= 2 })
	executor.delay.Store(int64(slowDelay))
	waitFor(t, "renewal without response", func() bool { return executor.failures.Load() > 0 })
	odd := executor.Info("planning", "zone", &wire.Resources{})
	odd.BornUnixMs += 1 << 40
	r.ExecutorAnnounced(odd)
	responses := executor.responses.Load()
	waitFor(t, "response", func() bool { return executor.responses.Load() > responses })
	assert.Assert(t, !l.received(func(request *wire.ExchangeRequest) bool {
		return request.GetExecutor().GetBornUnixMs() == odd.GetBornUnixMs()
	}))
}
