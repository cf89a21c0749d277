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
	"damaskspread.example/damaskspread/wire"
)

// maxUncalled is the longest time for which a new life of an executor that may carry out
// a start late is not called.
const maxUncalled = time.Second

// lateStartPeriod is how long the executor of a new agent is watched for late starts.
const lateStartPeriod = 5 * time.Second

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

// slowExecutor responds to each renewal later by latency.
type slowExecutor struct {
	*emulator.JobExecutor
	latency time.Duration

	mu sync.Mutex
	// extendedAt is when the latest response to an extension of the lease was sent, and
	// longest the longest time between two of them.
	extendedAt time.Time
	longest    time.Duration
}

// noteExtension notes that the executor has responded to an extension of its lease.
func (e *slowExecutor) noteExtension() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if !e.extendedAt.IsZero() {
		e.longest = max(e.longest, now.Sub(e.extendedAt))
	}
	e.extendedAt = now
}

func (e *slowExecutor) Renew(ctx context.Context, id string, lease *damaskspread.Lease, seen int64, wait time.Duration) (*wire.ExecutorState, error) {
	state, err := e.JobExecutor.Renew(ctx, id, lease, seen, wait)
	select {
	case <-time.After(e.latency):
		if lease.DeadlineMs > 0 {
			e.noteExtension()
		}
		return state, err
	case <-ctx.Done():
		return nil, errConnectionLost
	}
}

// Guards against an executor that responds slowly and counts as unreachable or loses its lease,
// because a start may be carried out late there and the agent waits less for its responses.
func TestSlowExecutorKeepsItsLeaseAfterTheStartOfItsAgent(t *testing.T) {
	t.Parallel()
	for _, latency := range []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			t.Parallel()
			l := newIdleLeader()
			executor := newExecutor()
			slow := &slowExecutor{JobExecutor: executor, latency: latency}
			startRunner(t, l, executor, slow)
			reachable := func(request *wire.ExchangeRequest) bool { return request.GetExecutorReachable() }
			waitFor(t, "contact", func() bool { return l.received(reachable) })
			time.Sleep(lateStartPeriod + time.Second)
			all := l.all()
			since := slices.IndexFunc(all, reachable)
			lost := slices.IndexFunc(all[since:], func(request *wire.ExchangeRequest) bool { return !request.GetExecutorReachable() })
			assert.Equal(t, lost, -1, "unreachable")
			slow.mu.Lock()
			defer slow.mu.Unlock()
			// The lease of the fake leader is 2 s.
			assert.Assert(t, slow.longest > 0 && slow.longest < 2*time.Second, "not extended for %s", slow.longest)
		})
	}
}
