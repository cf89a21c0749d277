package runner_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/runner"
	"damaskspread.example/damaskspread/wire"
)

// droppingExecutor loses the first start call without effect, and refuses the
// stops with a fence while fenced is set.
type droppingExecutor struct {
	*emulator.JobExecutor

	mu        sync.Mutex
	lost      bool
	stoppedAt time.Time
	fenced    bool
}

func (e *droppingExecutor) Start(ctx context.Context, id string, order *wire.StartOrder, lease *damaskspread.Lease) error {
	e.mu.Lock()
	lost := e.lost
	e.lost = true
	e.mu.Unlock()
	if !lost {
		// Beyond maxStartAge, so that the order is given up and the run is stopped.
		time.Sleep(1600 * time.Millisecond)
		return &damaskspread.WorkerUnknownError{Cause: context.DeadlineExceeded}
	}
	return e.JobExecutor.Start(ctx, id, order, lease)
}

func (e *droppingExecutor) Stop(ctx context.Context, id string, order *wire.StopOrder, token int64) error {
	e.mu.Lock()
	e.stoppedAt = time.Now()
	e.mu.Unlock()
	if e.fenced {
		return &damaskspread.FencedError{Refused: token}
	}
	return e.JobExecutor.Stop(ctx, id, order, token)
}

// stoppedFor reports whether a stop was called at least that long ago.
func (e *droppingExecutor) stoppedFor(duration time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.stoppedAt.IsZero() && time.Since(e.stoppedAt) >= duration
}

// Guards against a task that stays assigned for good: the result of a start is lost
// and the session ends before the executor's lists show what became of the run. The
// order of the next session must be answered by a start or by a refusal.
func TestStartWithoutResultInTheNextSession(t *testing.T) {
	t.Parallel()
	for name, fenced := range map[string]bool{"check lost with the session": false, "stop fenced": true} {
		t.Run(name, func(t *testing.T) {
			l := &fakeLeader{}
			executor := newExecutor()
			dropping := &droppingExecutor{JobExecutor: executor, fenced: fenced}
			first := ""
			var mu sync.Mutex
			l.respond = func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
				time.Sleep(time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				if first == "" {
					first = request.GetSession()
				}
				// After the stop returned and before the run is looked up.
				if request.GetSession() == first && dropping.stoppedFor(100*time.Millisecond) {
					return &wire.ExchangeResponse{Reopen: true}
				}
				if request.GetOrdersReceived() > 0 {
					return &wire.ExchangeResponse{}
				}
				order := &wire.StartOrder{Task: "a.0.0.0", Run: 1}
				return &wire.ExchangeResponse{Orders: []*wire.Order{{Number: 1, Kind: &wire.Order_Start{Start: order}}}}
			}
			startRunnerWith(t, l, executor, dropping, func(r *runner.Runner) { r.StopWithin = 300 * time.Millisecond })
			waitFor(t, "stop", func() bool { return dropping.stoppedFor(0) })
			waitFor(t, "start or refusal in the second session", func() bool {
				return executor.Running() > 0 || l.received(func(r *wire.ExchangeRequest) bool { return refuses(r, "a.0.0.0") })
			})
		})
	}
}
