package runner_test

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// crowdedExecutor lists many runs and starts each further one at once.
type crowdedExecutor struct {
	running []*wire.TaskRun
	starts  atomic.Int64
}

func (e *crowdedExecutor) Renew(ctx context.Context, _ string, _ *damaskspread.Lease, _ int64, wait time.Duration) (*wire.ExecutorState, error) {
	damaskspread.Pause(ctx, clockwork.NewRealClock(), wait)
	return &wire.ExecutorState{ClockMs: 1000, Running: e.running}, nil
}

func (e *crowdedExecutor) Start(context.Context, string, *wire.StartOrder, *damaskspread.Lease) error {
	e.starts.Add(1)
	return nil
}

func (*crowdedExecutor) Stop(context.Context, string, *wire.StopOrder, int64) error { return nil }

func (*crowdedExecutor) Pace(context.Context, string, string, int32, int, int64) error { return nil }

// Guards against starts that take the longer the more runs an executor has: with some
// thousands of them the orders expired before they were carried out, for other jobs too.
func TestStartsBesideThousandsOfRuns(t *testing.T) {
	const listed, starts = 5000, 2500
	step := &wire.JobStep{Resources: &wire.Resources{Millicores: 1}}
	executor := &crowdedExecutor{}
	order := func(task string, number int64) *wire.Order {
		// The order doesn't expire on a slow machine.
		return &wire.Order{Number: number, AgeMs: -300_000, Kind: &wire.Order_Start{Start: &wire.StartOrder{Task: task, Run: 1, Step: step}}}
	}
	var orders []*wire.Order
	for i := range listed {
		task := fmt.Sprintf("a.0.0.%d", i)
		executor.running = append(executor.running, &wire.TaskRun{Task: task, Run: 1})
		orders = append(orders, order(task, int64(i+1)))
	}
	for i := range starts {
		orders = append(orders, order(fmt.Sprintf("b.0.0.%d", i), int64(listed+i+1)))
	}
	l := &fakeLeader{}
	l.respond = func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		time.Sleep(5 * time.Millisecond)
		if request.GetOrdersReceived() == 0 {
			return &wire.ExchangeResponse{Orders: orders}
		}
		return &wire.ExchangeResponse{}
	}
	before := allocatedBytes()
	startRunner(t, l, newExecutor(), executor)
	for deadline := time.Now().Add(time.Minute); executor.starts.Load() < starts; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "%d starts", executor.starts.Load())
	}
	assert.Assert(t, !l.received(func(request *wire.ExchangeRequest) bool { return len(request.GetRefusals()) > 0 }))
	// A check that goes through all runs takes 400 kB for each start, 1 GB in all.
	assert.Assert(t, allocatedBytes()-before < 200<<20, "%d bytes", allocatedBytes()-before)
}

// allocatedBytes counts those of the whole process, so a test that calls it must not be
// parallel.
func allocatedBytes() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}
