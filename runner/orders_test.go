package runner_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/runner"
	"damaskspread.example/damaskspread/wire"
)

// unhealthyExecutor carries out the first start but loses its response, and
// refuses all later starts as unhealthy.
type unhealthyExecutor struct {
	*emulator.JobExecutor

	mu     sync.Mutex
	starts int
}

func (e *unhealthyExecutor) Start(ctx context.Context, id string, order *wire.StartOrder, lease *damaskspread.Lease) error {
	e.mu.Lock()
	e.starts++
	starts := e.starts
	e.mu.Unlock()
	if starts > 1 {
		return &damaskspread.StartRefusedError{Reason: damaskspread.RefusedUnhealthy}
	}
	if err := e.JobExecutor.Start(ctx, id, order, lease); err != nil {
		return err
	}
	return &damaskspread.WorkerUnknownError{Cause: context.DeadlineExceeded}
}

// Guards against a run that is reported as refused because its repeated start
// was refused, although the first call started it.
func TestRefusedRepeatLeavesTheRunOpen(t *testing.T) {
	t.Parallel()
	l := &fakeLeader{}
	l.respond = func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		if request.GetWaitMs() > 0 {
			time.Sleep(5 * time.Millisecond)
		}
		response := &wire.ExchangeResponse{}
		if request.GetOrdersReceived() == 0 {
			order := expiredOrder(1, "a.0.0.0")
			order.AgeMs = 0
			response.Orders = []*wire.Order{order}
		}
		return response
	}
	executor := newExecutor()
	startRunner(t, l, executor, &unhealthyExecutor{JobExecutor: executor})
	waitFor(t, "run", func() bool { return executor.Running() == 1 })
	time.Sleep(500 * time.Millisecond)
	refused := l.received(func(r *wire.ExchangeRequest) bool { return refuses(r, "a.0.0.0") })
	assert.Assert(t, !refused || executor.Running() == 0, "run reported as refused while it runs")
}

// Guards against starts without a valid lease, and against runs that are started
// twice or refused because their order is repeated.
func TestRepeatedOrdersStartRunsOnce(t *testing.T) {
	t.Parallel()
	l := &fakeLeader{}
	l.respond = func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		if request.GetWaitMs() > 0 {
			time.Sleep(10 * time.Millisecond)
		}
		response := &wire.ExchangeResponse{}
		for number := request.GetOrdersReceived() + 1; number <= 4; number++ {
			order := &wire.StartOrder{Task: fmt.Sprintf("a.0.0.%d", number%2), Run: 1}
			response.Orders = append(response.Orders, &wire.Order{Number: number, Kind: &wire.Order_Start{Start: order}})
		}
		return response
	}
	_, executor := startWithEmulator(t, l)
	waitFor(t, "two runs", func() bool { return executor.Running() == 2 })
	assert.Assert(t, !l.received(func(r *wire.ExchangeRequest) bool { return len(r.GetRefusals()) > 0 }))
}

// Guards against a run that starts after it was reported as refused: the leader
// may have given the task to another executor by then.
func TestRefusedRunStaysRefused(t *testing.T) {
	t.Parallel()
	l := &fakeLeader{}
	l.respond = func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		if request.GetWaitMs() > 0 {
			time.Sleep(time.Millisecond)
		}
		switch request.GetOrdersReceived() {
		case 0:
			return &wire.ExchangeResponse{Orders: []*wire.Order{expiredOrder(1, "a.0.0.0")}}
		case 1:
			if !refuses(request, "a.0.0.0") {
				return &wire.ExchangeResponse{}
			}
			repeated := expiredOrder(2, "a.0.0.0")
			repeated.AgeMs = 0
			return &wire.ExchangeResponse{Orders: []*wire.Order{repeated}}
		}
		return &wire.ExchangeResponse{}
	}
	_, executor := startWithEmulator(t, l)
	waitFor(t, "second refusal", func() bool {
		return l.received(func(r *wire.ExchangeRequest) bool {
			return r.GetOrdersReceived() == 2 && refuses(r, "a.0.0.0")
		})
	})
	assert.Equal(t, executor.Running(), 0)
}

// Guards against an agent whose memory grows with each refused start until its
// executor restarts.
func TestRefusedRunsAreForgotten(t *testing.T) {
	t.Parallel()
	l := &fakeLeader{}
	l.respond = func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		time.Sleep(time.Millisecond)
		response := &wire.ExchangeResponse{}
		for number := request.GetOrdersReceived() + 1; number <= 50; number++ {
			response.Orders = append(response.Orders, expiredOrder(number, fmt.Sprintf("a.0.0.%d", number)))
		}
		return response
	}
	executor := newExecutor()
	r := startRunnerWith(t, l, executor, executor, func(r *runner.Runner) { r.RefusalRetention = 100 * time.Millisecond })
	waitFor(t, "refusals", func() bool { return r.RememberedRuns() > 0 })
	waitFor(t, "no remembered run", func() bool { return r.RememberedRuns() == 0 })
}

// Guards against two orders for the same run, of which one starts the run and
// the other, which has expired, reports it as refused.
func TestOrdersForOneRun(t *testing.T) {
	t.Parallel()
	const tasks = 40
	name := func(i int) string { return fmt.Sprintf("a.0.0.%d", i) }
	l := &fakeLeader{}
	l.respond = func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		if request.GetWaitMs() > 0 {
			time.Sleep(5 * time.Millisecond)
		}
		response := &wire.ExchangeResponse{}
		if request.GetOrdersReceived() > 0 {
			return response
		}
		for i := range tasks {
			late, fresh := expiredOrder(int64(2*i+1), name(i)), expiredOrder(int64(2*i+2), name(i))
			fresh.AgeMs = 0
			response.Orders = append(response.Orders, late, fresh)
		}
		return response
	}
	_, executor := startWithEmulator(t, l)
	refusals := func() int {
		count := 0
		for i := range tasks {
			if l.received(func(r *wire.ExchangeRequest) bool { return refuses(r, name(i)) }) {
				count++
			}
		}
		return count
	}
	waitFor(t, "start or refusal of each run", func() bool { return executor.Running()+refusals() >= tasks })
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, executor.Running()+refusals(), tasks)
}

// recordingExecutor records the specifications of the starts.
type recordingExecutor struct {
	*emulator.JobExecutor

	mu    sync.Mutex
	specs map[string]string
}

func (e *recordingExecutor) Start(ctx context.Context, id string, order *wire.StartOrder, lease *damaskspread.Lease) error {
	e.mu.Lock()
	e.specs[order.GetTask()] = order.GetSpec()
	e.mu.Unlock()
	return e.JobExecutor.Start(ctx, id, order, lease)
}

// Guards against starting a task without its specification: orders that refer to a
// step of the session get it, others are refused.
func TestOrdersThatReferToAStep(t *testing.T) {
	t.Parallel()
	l := &fakeLeader{}
	l.respond = func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		if request.GetWaitMs() > 0 {
			time.Sleep(5 * time.Millisecond)
		}
		response := &wire.ExchangeResponse{}
		if request.GetOrdersReceived() > 0 {
			return response
		}
		for number, order := range []*wire.StartOrder{
			{Task: "a.0.0.0", Run: 1, Spec: "spec", Step: &wire.JobStep{Image: "web"}},
			{Task: "a.0.0.1", Run: 1, StepKnown: true},
			{Task: "b.0.0.0", Run: 1, StepKnown: true},
		} {
			response.Orders = append(response.Orders, &wire.Order{Number: int64(number + 1), Kind: &wire.Order_Start{Start: order}})
		}
		return response
	}
	executor := newExecutor()
	recording := &recordingExecutor{JobExecutor: executor, specs: map[string]string{}}
	startRunner(t, l, executor, recording)
	waitFor(t, "two runs", func() bool { return executor.Running() == 2 })
	waitFor(t, "refusal of the third", func() bool {
		return l.received(func(r *wire.ExchangeRequest) bool { return refuses(r, "b.0.0.0") })
	})
	recording.mu.Lock()
	defer recording.mu.Unlock()
	assert.DeepEqual(t, recording.specs, map[string]string{"a.0.0.0": "spec", "a.0.0.1": "spec"})
}
