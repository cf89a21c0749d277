package runner_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/runner"
	"damaskspread.example/damaskspread/wire"
)

const bound = 5 * time.Second

type elapsed struct{ start time.Time }

func (e elapsed) Elapsed() time.Duration { return time.Since(e.start) + time.Hour }

// leader answers by a function; calls run concurrently.
type leader struct {
	answer func(ctx context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse

	mu       sync.Mutex
	requests []*wire.ExchangeRequest
}

func (l *leader) Exchange(ctx context.Context, request *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	l.mu.Lock()
	l.requests = append(l.requests, request)
	l.mu.Unlock()
	if request.GetEpoch() == 0 {
		return &wire.ExchangeResponse{Epoch: 1, Reopen: true}, nil
	}
	response := l.answer(ctx, request)
	response.Epoch = 1
	response.LeaseMs = 2000
	return response, nil
}

func (l *leader) Redirect(*wire.Leadership) {}

// heard reports whether any request satisfies a condition.
func (l *leader) heard(condition func(*wire.ExchangeRequest) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.requests, condition)
}

func until(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(bound)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("no %s within %s", what, bound)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// start runs a runner beside an executor until the test ends.
func start(t *testing.T, l *leader) (*runner.Runner, *emulator.JobExecutor) {
	executor := newExecutor()
	return startBeside(t, l, executor, executor), executor
}

func newExecutor() *emulator.JobExecutor {
	executor := &emulator.JobExecutor{
		Clock: clockwork.NewRealClock(),
		Work:  func(string) time.Duration { return -1 },
	}
	executor.Boot("executor-1")
	return executor
}

// startBeside runs a runner whose calls go through a wrapper of the executor.
func startBeside(t *testing.T, l *leader, executor *emulator.JobExecutor, calls damaskspread.TaskExecutor) *runner.Runner {
	clock := clockwork.NewRealClock()
	r := &runner.Runner{
		Executor:   calls,
		Leader:     l,
		Clock:      clock,
		Elapsed:    elapsed{start: time.Now()},
		Host:       "host-1",
		StopWithin: 20 * time.Millisecond,
	}
	r.Init()
	tb := &tomb.Tomb{}
	tb.Go(func() error { return r.Run(tb) })
	t.Cleanup(func() {
		tb.Kill(nil)
		_ = tb.Wait()
	})
	r.ExecutorAnnounced(executor.Info("planning", "zone", &wire.Resources{Millicores: 8000}))
	return r
}

// sheddingExecutor loses the answer of the first start and refuses the repeats
// as long as it is unhealthy.
type sheddingExecutor struct {
	*emulator.JobExecutor

	mu    sync.Mutex
	calls int
}

func (e *sheddingExecutor) Start(ctx context.Context, id string, order *wire.StartOrder, lease *damaskspread.Lease) error {
	e.mu.Lock()
	e.calls++
	calls := e.calls
	e.mu.Unlock()
	if calls > 1 {
		return &damaskspread.StartRefusedError{Reason: damaskspread.RefusedBusy}
	}
	if err := e.JobExecutor.Start(ctx, id, order, lease); err != nil {
		return err
	}
	return &damaskspread.WorkerUnknownError{Cause: context.DeadlineExceeded}
}

// Guards against a run that is reported as not started because a repeat of its
// start was refused, while the first try took effect.
func TestRefusedRepeatLeavesTheRunOpen(t *testing.T) {
	l := &leader{}
	l.answer = func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		if request.GetWaitMs() > 0 {
			time.Sleep(5 * time.Millisecond)
		}
		response := &wire.ExchangeResponse{}
		if request.GetOrdersReceived() == 0 {
			order := expired(1, "a.0.0.0")
			order.AgeMs = 0
			response.Orders = []*wire.Order{order}
		}
		return response
	}
	executor := newExecutor()
	startBeside(t, l, executor, &sheddingExecutor{JobExecutor: executor})
	until(t, "run", func() bool { return executor.Running() == 1 })
	time.Sleep(500 * time.Millisecond)
	refused := l.heard(func(r *wire.ExchangeRequest) bool { return refuses(r, "a.0.0.0") })
	assert.Assert(t, !refused || executor.Running() == 0, "refused while it runs")
}

func refuses(request *wire.ExchangeRequest, task string) bool {
	return slices.ContainsFunc(request.GetRefusals(), func(refusal *wire.StartRefusal) bool { return refusal.GetTask() == task })
}

func expired(number int64, task string) *wire.Order {
	return &wire.Order{
		Number: number,
		AgeMs:  60_000,
		Kind:   &wire.Order_Start{Start: &wire.StartOrder{Task: task, Run: 1}},
	}
}

// Guards against a refusal that is dropped unsent because a call that began
// before it is answered after it; the task would stay assigned for good.
func TestRefusalsOfOverlappingCalls(t *testing.T) {
	l := &leader{}
	release := make(chan struct{})
	var once sync.Once
	l.answer = func(ctx context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		switch {
		case request.GetOrdersReceived() == 0:
			return &wire.ExchangeResponse{Orders: []*wire.Order{expired(1, "a.0.0.0")}}
		case request.GetWaitMs() == 0 && refuses(request, "a.0.0.0") && request.GetOrdersReceived() == 1:
			// The poll is answered after the second refusal exists and before
			// the next report leaves.
			once.Do(func() { time.AfterFunc(5*time.Millisecond, func() { close(release) }) })
			return &wire.ExchangeResponse{Orders: []*wire.Order{expired(2, "b.0.0.0")}}
		case request.GetWaitMs() > 0 && refuses(request, "a.0.0.0") && !refuses(request, "b.0.0.0"):
			select {
			case <-release:
			case <-ctx.Done():
			}
		case request.GetWaitMs() > 0:
			time.Sleep(time.Millisecond)
		}
		return &wire.ExchangeResponse{}
	}
	start(t, l)
	until(t, "refusal of the second order", func() bool {
		return l.heard(func(r *wire.ExchangeRequest) bool { return r.GetOrdersReceived() == 2 })
	})
	until(t, "report of the second refusal", func() bool {
		return l.heard(func(r *wire.ExchangeRequest) bool { return refuses(r, "b.0.0.0") })
	})
}

// Guards against starts after the lease that allows them is over, and against
// runs that are started twice by a repeated order.
func TestStartsUnderLease(t *testing.T) {
	l := &leader{}
	l.answer = func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
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
	_, executor := start(t, l)
	until(t, "two runs", func() bool { return executor.Running() == 2 })
	assert.Assert(t, !l.heard(func(r *wire.ExchangeRequest) bool { return len(r.GetRefusals()) > 0 }))
}

// Guards against an announcement that was held up and names an executor that
// has already been replaced.
func TestLateAnnouncement(t *testing.T) {
	l := &leader{}
	l.answer = func(context.Context, *wire.ExchangeRequest) *wire.ExchangeResponse {
		time.Sleep(10 * time.Millisecond)
		return &wire.ExchangeResponse{}
	}
	r, executor := start(t, l)
	old := executor.Info("planning", "zone", &wire.Resources{})
	executor.Boot("executor-2")
	r.ExecutorAnnounced(executor.Info("planning", "zone", &wire.Resources{}))
	r.ExecutorAnnounced(old)
	until(t, "report of the second executor", func() bool {
		return l.heard(func(r *wire.ExchangeRequest) bool { return r.GetExecutor().GetId() == "executor-2" })
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := false
	for _, request := range l.requests {
		second := request.GetExecutor().GetId() == "executor-2"
		assert.Assert(t, second || !seen, "the session went back to the first executor")
		seen = seen || second
	}
}

// Guards against a run that starts after its refusal was reported: the leader
// has given the task to another executor by then.
func TestRefusedRunStaysRefused(t *testing.T) {
	l := &leader{}
	l.answer = func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		if request.GetWaitMs() > 0 {
			time.Sleep(time.Millisecond)
		}
		switch request.GetOrdersReceived() {
		case 0:
			return &wire.ExchangeResponse{Orders: []*wire.Order{expired(1, "a.0.0.0")}}
		case 1:
			if !refuses(request, "a.0.0.0") {
				return &wire.ExchangeResponse{}
			}
			repeated := expired(2, "a.0.0.0")
			repeated.AgeMs = 0
			return &wire.ExchangeResponse{Orders: []*wire.Order{repeated}}
		}
		return &wire.ExchangeResponse{}
	}
	_, executor := start(t, l)
	until(t, "second refusal", func() bool {
		return l.heard(func(r *wire.ExchangeRequest) bool {
			return r.GetOrdersReceived() == 2 && refuses(r, "a.0.0.0")
		})
	})
	assert.Equal(t, executor.Running(), 0)
}

// Guards against a run that one order starts while another order for it, which
// came too late, reports it as not started.
func TestOrdersForOneRun(t *testing.T) {
	const tasks = 40
	name := func(i int) string { return fmt.Sprintf("a.0.0.%d", i) }
	l := &leader{}
	l.answer = func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		if request.GetWaitMs() > 0 {
			time.Sleep(5 * time.Millisecond)
		}
		response := &wire.ExchangeResponse{}
		if request.GetOrdersReceived() > 0 {
			return response
		}
		for i := range tasks {
			late, fresh := expired(int64(2*i+1), name(i)), expired(int64(2*i+2), name(i))
			fresh.AgeMs = 0
			response.Orders = append(response.Orders, late, fresh)
		}
		return response
	}
	_, executor := start(t, l)
	refusals := func() int {
		count := 0
		for i := range tasks {
			if l.heard(func(r *wire.ExchangeRequest) bool { return refuses(r, name(i)) }) {
				count++
			}
		}
		return count
	}
	until(t, "start or refusal of each run", func() bool { return executor.Running()+refusals() >= tasks })
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, executor.Running()+refusals(), tasks)
}
