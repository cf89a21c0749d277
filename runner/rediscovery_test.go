package runner_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// heldStartExecutor holds the first start until release is closed. Its caller gets no
// response.
type heldStartExecutor struct {
	*delayingExecutor

	called chan struct{}
	first  sync.Once
}

func (e *heldStartExecutor) Start(ctx context.Context, id string, order *wire.StartOrder, lease *damaskspread.Lease) error {
	e.first.Do(func() { close(e.called) })
	return e.delayingExecutor.Start(ctx, id, order, lease)
}

// Renew responds early, as it does when runs end often.
func (e *heldStartExecutor) Renew(ctx context.Context, id string, lease *damaskspread.Lease, seen int64, wait time.Duration) (*wire.ExecutorState, error) {
	return e.delayingExecutor.Renew(ctx, id, lease, seen, min(wait, 20*time.Millisecond))
}

// Guards against two runs of one task after a heartbeat of another writer hid the
// executor for a moment: a start call without a response may still be executed, so the
// order's refusal after that must wait for an accepted stop.
func TestStartInProgressWhileTheExecutorIsHidden(t *testing.T) {
	t.Parallel()
	l := &fakeLeader{}
	l.respond = func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		time.Sleep(5 * time.Millisecond)
		response := &wire.ExchangeResponse{}
		if request.GetExecutor().GetSequence() == 0 && request.GetOrdersReceived() == 0 {
			order := &wire.StartOrder{Task: "a.0.0.0", Run: 1}
			// The order expires before its call ends.
			response.Orders = []*wire.Order{{Number: 1, AgeMs: 1000, Kind: &wire.Order_Start{Start: order}}}
		}
		return response
	}
	executor := newExecutor()
	held := &heldStartExecutor{
		delayingExecutor: &delayingExecutor{
			JobExecutor: executor,
			release:     make(chan struct{}),
			done:        make(chan struct{}),
		},
		called: make(chan struct{}),
	}
	r := startRunner(t, l, executor, held)
	<-held.called
	stray := executor.Info("unknown", "zone", &wire.Resources{})
	stray.Id = "stray"
	stray.BornUnixMs++
	r.ExecutorAnnounced(stray)
	// Renewals fail with another incarnation now, and the stray executor is discarded.
	time.Sleep(200 * time.Millisecond)
	again := executor.Info("planning", "zone", &wire.Resources{Millicores: 8000})
	again.Sequence = 1
	r.ExecutorAnnounced(again)
	waitFor(t, "refusal", func() bool {
		return l.received(func(r *wire.ExchangeRequest) bool { return refuses(r, "a.0.0.0") })
	})
	close(held.release)
	<-held.done
	assert.Equal(t, executor.Running(), 0, "the refused run runs")
}
