package runner_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

// fencingExecutor refuses the first stop and the next renewal with a fence, as it does
// once it has seen the token of a new leader.
type fencingExecutor struct {
	*emulator.JobExecutor

	stop, renew sync.Once
	stopped     atomic.Bool
}

func (e *fencingExecutor) Renew(ctx context.Context, id string, lease *damaskspread.Lease, seen int64, wait time.Duration) (*wire.ExecutorState, error) {
	fenced := false
	if e.stopped.Load() {
		e.renew.Do(func() { fenced = true })
	}
	if fenced {
		return nil, &damaskspread.FencedError{Refused: lease.Token}
	}
	return e.JobExecutor.Renew(ctx, id, lease, seen, wait)
}

func (e *fencingExecutor) Stop(ctx context.Context, id string, order *wire.StopOrder, token int64) error {
	fenced := false
	e.stop.Do(func() { fenced = true })
	if fenced {
		e.stopped.Store(true)
		return &damaskspread.FencedError{Refused: token}
	}
	return e.JobExecutor.Stop(ctx, id, order, token)
}

// Guards against a run whose progress is lost with a draining executor because the stop
// was refused with a fence during a change of leader.
func TestFencedDrainStopIsRepeated(t *testing.T) {
	t.Parallel()
	l := &fakeLeader{}
	l.respond = func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		time.Sleep(5 * time.Millisecond)
		if request.GetOrdersReceived() > 0 {
			return &wire.ExchangeResponse{}
		}
		order := &wire.StartOrder{Task: "a.0.0.0", Run: 1}
		return &wire.ExchangeResponse{Orders: []*wire.Order{{Number: 1, Kind: &wire.Order_Start{Start: order}}}}
	}
	executor := newExecutor()
	r := startRunner(t, l, executor, &fencingExecutor{JobExecutor: executor})
	waitFor(t, "run", func() bool { return executor.Running() == 1 })
	draining := executor.Info("planning", "zone", &wire.Resources{Millicores: 8000})
	draining.Draining = true
	r.ExecutorAnnounced(draining)
	waitFor(t, "stop", func() bool { return executor.Running() == 0 })
}
