package runner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

// unpacedExecutor answers renewals and starts, and no pace calls.
type unpacedExecutor struct {
	*emulator.JobExecutor
	// renewals counts those after more than beginning pace calls.
	beginning                              int64
	paces, renewals, renewedAt, longestGap atomic.Int64
}

func (e *unpacedExecutor) Pace(ctx context.Context, _, _ string, _ int32, _ int, _ int64) error {
	e.paces.Add(1)
	<-ctx.Done()
	return &damaskspread.WorkerUnknownError{Cause: ctx.Err()}
}

func (e *unpacedExecutor) Renew(ctx context.Context, id string, lease *damaskspread.Lease, seen int64, wait time.Duration) (*wire.ExecutorState, error) {
	now := time.Now().UnixMilli()
	if last := e.renewedAt.Swap(now); last != 0 {
		e.longestGap.Store(max(e.longestGap.Load(), now-last))
	}
	if e.paces.Load() > e.beginning {
		e.renewals.Add(1)
	}
	return e.JobExecutor.Renew(ctx, id, lease, seen, wait)
}

// Guards against leases that lapse, and a new life that nobody calls, because the agent waits
// for the response to one pace call after the other.
func TestUnansweredPacesDoNotHoldUpRenewals(t *testing.T) {
	t.Parallel()
	const tasks = 6
	l := &fakeLeader{respond: func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		response := &wire.ExchangeResponse{}
		for number := request.GetOrdersReceived() + 1; number <= tasks; number++ {
			start := &wire.StartOrder{
				Task:    "a.0.0." + string('0'+rune(number)),
				Run:     1,
				Percent: 10,
				Step:    &wire.JobStep{FillsIdle: true, Resources: &wire.Resources{Millicores: 1000}},
			}
			response.Orders = append(response.Orders, &wire.Order{Number: number, Kind: &wire.Order_Start{Start: start}})
		}
		time.Sleep(5 * time.Millisecond)
		return response
	}}
	executor := &unpacedExecutor{JobExecutor: newExecutor(), beginning: tasks}
	startRunnerWith(t, l, executor.JobExecutor, executor, withPacer)
	waitFor(t, "runs", func() bool { return executor.Running() == tasks })
	waitFor(t, "renewals after later pace calls", func() bool { return executor.renewals.Load() >= 2 })
	// A renewal waits for at most 0.9 s, a pace call for 0.7 s.
	assert.Assert(t, executor.longestGap.Load() < 2000, "%d ms without renewal", executor.longestGap.Load())
	assert.Equal(t, executor.Running(), tasks)
}
