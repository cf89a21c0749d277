package runner_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// restartingExecutor is an executor that restarts under its id. It keeps the first renewal
// that the second life gets. Calls of the first life that are in progress then get no
// response.
type restartingExecutor struct {
	mu       sync.Mutex
	born     int64
	lease    damaskspread.Lease
	seen     int64
	renewals int
}

func (e *restartingExecutor) Renew(ctx context.Context, _ string, lease *damaskspread.Lease, seen int64, wait time.Duration) (*wire.ExecutorState, error) {
	born := e.currentBorn()
	damaskspread.Pause(ctx, clockwork.NewRealClock(), wait)
	if e.currentBorn() != born {
		<-ctx.Done()
	}
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

func (e *restartingExecutor) currentBorn() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.born
}

// restart begins the second life.
func (e *restartingExecutor) restart(born int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.born = born
}

// awaitCall waits until the second life was called, and checks that the call carries no
// number and no deadline of the first one.
func (e *restartingExecutor) awaitCall(t *testing.T) {
	t.Helper()
	waitFor(t, "call of the new life", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.renewals > 0
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	assert.Equal(t, e.seen, int64(0))
	assert.Equal(t, e.lease.DeadlineMs, int64(0))
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
	t.Parallel()
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
	executor.restart(info.GetBornUnixMs() + 100)
	later := announced.Info("planning", "zone", &wire.Resources{Millicores: 8000})
	later.BornUnixMs = info.GetBornUnixMs() + 100
	r.ExecutorAnnounced(later)
	executor.awaitCall(t)
}

// Guards against the same where the leader changes while a call to the life before has no
// response yet: the end of the session cancels the call, which then doesn't count as failed.
func TestNewLifeGetsNoNumbersOfTheLifeBeforeInANewSession(t *testing.T) {
	t.Parallel()
	executor := &restartingExecutor{born: 1}
	var reopens atomic.Bool
	l := &fakeLeader{}
	l.respond = func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		time.Sleep(5 * time.Millisecond)
		return &wire.ExchangeResponse{EndsRecorded: 5, Reopen: reopens.Swap(false)}
	}
	announced := newExecutor()
	r := startRunner(t, l, announced, executor)
	info := announced.Info("planning", "zone", &wire.Resources{Millicores: 8000})
	info.BornUnixMs = 1
	r.ExecutorAnnounced(info)
	waitFor(t, "end", func() bool {
		return l.received(func(request *wire.ExchangeRequest) bool { return request.GetEndsRecorded() == 5 })
	})
	executor.restart(info.GetBornUnixMs() + 100)
	reopens.Store(true)
	executor.awaitCall(t)
}
