package runner_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// restartingExecutor is an executor that restarts under its id. It keeps the first renewal
// that the second life gets.
type restartingExecutor struct {
	mu       sync.Mutex
	born     int64
	lease    damaskspread.Lease
	seen     int64
	renewals int
}

func (e *restartingExecutor) Renew(ctx context.Context, _ string, lease *damaskspread.Lease, seen int64, wait time.Duration) (*wire.ExecutorState, error) {
	damaskspread.Pause(ctx, clockwork.NewRealClock(), wait)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	state := &wire.ExecutorState{BornUnixMs: e.born, ClockMs: 1000}
	if e.born == 1 {
		state.Ended = []*wire.RunEnd{{Number: 5, Task: "a.0.0.0", Run: 1, Cause: wire.EndCause_END_CAUSE_DONE}}
		return state, nil
	}
	if e.renewals++; e.renewals == 1 {
		e.lease, e.seen = *lease, seen
	}
	return state, nil
}

func (*restartingExecutor) Start(context.Context, string, *wire.StartOrder, *damaskspread.Lease) error {
	return nil
}

func (*restartingExecutor) Stop(context.Context, string, *wire.StopOrder, int64) error { return nil }

func (*restartingExecutor) Pace(context.Context, string, string, int32, int, int64) error { return nil }

// Guards against a call that makes a new life of an executor forget its own ends: the agent
// has heard of it, and calls it under its id with the numbers and the deadline of the life
// before. A run that is done there would start again.
func TestNewLifeGetsNoNumbersOfTheLifeBefore(t *testing.T) {
	executor := &restartingExecutor{born: 1}
	l := &fakeLeader{}
	l.respond = func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		time.Sleep(5 * time.Millisecond)
		return &wire.ExchangeResponse{EndsRecorded: 5}
	}
	announced := newExecutor()
	info := announced.Info("planning", "zone", &wire.Resources{Millicores: 8000})
	info.BornUnixMs = 1
	r := startRunner(t, l, announced, executor)
	r.ExecutorAnnounced(info)
	waitFor(t, "end", func() bool {
		return l.received(func(request *wire.ExchangeRequest) bool { return request.GetEndsRecorded() == 5 })
	})
	executor.mu.Lock()
	executor.born = info.GetBornUnixMs() + 100
	executor.mu.Unlock()
	later := announced.Info("planning", "zone", &wire.Resources{Millicores: 8000})
	later.BornUnixMs = info.GetBornUnixMs() + 100
	r.ExecutorAnnounced(later)
	waitFor(t, "call of the new life", func() bool {
		executor.mu.Lock()
		defer executor.mu.Unlock()
		return executor.renewals > 0
	})
	executor.mu.Lock()
	defer executor.mu.Unlock()
	assert.Equal(t, executor.seen, int64(0))
	assert.Equal(t, executor.lease.DeadlineMs, int64(0))
}
