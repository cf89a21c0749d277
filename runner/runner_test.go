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

const waitTimeout = 5 * time.Second

type elapsedClock struct{ start time.Time }

func (e elapsedClock) Elapsed() time.Duration { return time.Since(e.start) + time.Hour }

// fakeLeader responds with the result of a function, which is called
// concurrently. The first request opens the session.
type fakeLeader struct {
	respond func(ctx context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse

	mu       sync.Mutex
	requests []*wire.ExchangeRequest
}

func (l *fakeLeader) Exchange(ctx context.Context, request *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	l.mu.Lock()
	l.requests = append(l.requests, request)
	l.mu.Unlock()
	if request.GetEpoch() == 0 {
		return &wire.ExchangeResponse{Epoch: 1, Reopen: true}, nil
	}
	response := l.respond(ctx, request)
	response.Epoch = 1
	response.LeaseMs = 2000
	return response, nil
}

func (l *fakeLeader) Redirect(*wire.Leadership) {}

// received reports whether any request so far satisfies a condition.
func (l *fakeLeader) received(condition func(*wire.ExchangeRequest) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.requests, condition)
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("no %s within %s", what, waitTimeout)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// startWithEmulator runs a runner with an emulated executor until the test ends.
func startWithEmulator(t *testing.T, l *fakeLeader) (*runner.Runner, *emulator.JobExecutor) {
	executor := newExecutor()
	return startRunner(t, l, executor, executor), executor
}

func newExecutor() *emulator.JobExecutor {
	executor := &emulator.JobExecutor{
		Clock:        clockwork.NewRealClock(),
		TaskDuration: func(string) time.Duration { return -1 },
	}
	executor.Boot("executor-1")
	return executor
}

// startRunner runs a runner until the test ends. Its calls go to taskExecutor,
// which may wrap the executor that it announces.
func startRunner(t *testing.T, l *fakeLeader, executor *emulator.JobExecutor, taskExecutor damaskspread.TaskExecutor) *runner.Runner {
	return startRunnerWith(t, l, executor, taskExecutor, func(*runner.Runner) {})
}

// startRunnerWith is startRunner with fields that set changes.
func startRunnerWith(t *testing.T, l *fakeLeader, executor *emulator.JobExecutor, taskExecutor damaskspread.TaskExecutor, set func(*runner.Runner)) *runner.Runner {
	clock := clockwork.NewRealClock()
	r := &runner.Runner{
		Executor:   taskExecutor,
		Leader:     l,
		Clock:      clock,
		Elapsed:    elapsedClock{start: time.Now()},
		Host:       "host-1",
		StopWithin: 20 * time.Millisecond,
	}
	set(r)
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

func refuses(request *wire.ExchangeRequest, task string) bool {
	return slices.ContainsFunc(request.GetRefusals(), func(refusal *wire.StartRefusal) bool { return refusal.GetTask() == task })
}

func expiredOrder(number int64, task string) *wire.Order {
	return &wire.Order{
		Number: number,
		AgeMs:  60_000,
		Kind:   &wire.Order_Start{Start: &wire.StartOrder{Task: task, Run: 1}},
	}
}

// Guards against a refusal that is dropped before it was sent: the response to
// a request that was sent before the refusal arose must not acknowledge it.
// Otherwise the task would stay assigned forever.
func TestRefusalsOfOverlappingCalls(t *testing.T) {
	l := &fakeLeader{}
	release := make(chan struct{})
	var once sync.Once
	l.respond = func(ctx context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		switch {
		case request.GetOrdersReceived() == 0:
			return &wire.ExchangeResponse{Orders: []*wire.Order{expiredOrder(1, "a.0.0.0")}}
		case request.GetWaitMs() == 0 && refuses(request, "a.0.0.0") && request.GetOrdersReceived() == 1:
			// The poll gets its response after the second refusal has been
			// queued and before the next report is sent.
			once.Do(func() { time.AfterFunc(5*time.Millisecond, func() { close(release) }) })
			return &wire.ExchangeResponse{Orders: []*wire.Order{expiredOrder(2, "b.0.0.0")}}
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
	startWithEmulator(t, l)
	waitFor(t, "refusal of the second order", func() bool {
		return l.received(func(r *wire.ExchangeRequest) bool { return r.GetOrdersReceived() == 2 })
	})
	waitFor(t, "report of the second refusal", func() bool {
		return l.received(func(r *wire.ExchangeRequest) bool { return refuses(r, "b.0.0.0") })
	})
}

// Guards against starts without a valid lease, and against runs that are started
// twice or refused because their order is repeated.
func TestRepeatedOrdersStartRunsOnce(t *testing.T) {
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

// Guards against a delayed announcement of an executor that has been replaced:
// it must not bring the old executor back.
func TestLateAnnouncement(t *testing.T) {
	l := &fakeLeader{}
	l.respond = func(context.Context, *wire.ExchangeRequest) *wire.ExchangeResponse {
		time.Sleep(10 * time.Millisecond)
		return &wire.ExchangeResponse{}
	}
	r, executor := startWithEmulator(t, l)
	old := executor.Info("planning", "zone", &wire.Resources{})
	executor.Boot("executor-2")
	r.ExecutorAnnounced(executor.Info("planning", "zone", &wire.Resources{}))
	r.ExecutorAnnounced(old)
	waitFor(t, "report of the second executor", func() bool {
		return l.received(func(r *wire.ExchangeRequest) bool { return r.GetExecutor().GetId() == "executor-2" })
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := false
	for _, request := range l.requests {
		second := request.GetExecutor().GetId() == "executor-2"
		assert.Assert(t, second || !seen, "a request named the replaced executor again")
		seen = seen || second
	}
}

// Guards against a run that starts after it was reported as refused: the leader
// may have given the task to another executor by then.
func TestRefusedRunStaysRefused(t *testing.T) {
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

// Guards against interference weights that end an agent which sets no paces.
func TestWeightsWithoutPacer(t *testing.T) {
	l := &fakeLeader{}
	l.respond = func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		time.Sleep(time.Millisecond)
		return &wire.ExchangeResponse{PressureVersion: 1, Pressures: []*wire.ImagePressure{{Disturbing: "a", Serving: "b", Weight: 1}}}
	}
	executor := newExecutor()
	startRunnerWith(t, l, executor, executor, func(r *runner.Runner) { r.Pacer = nil })
	waitFor(t, "new version", func() bool {
		return l.received(func(r *wire.ExchangeRequest) bool { return r.GetPressureVersion() == 1 })
	})
}

// Guards against two orders for the same run, of which one starts the run and
// the other, which has expired, reports it as refused.
func TestOrdersForOneRun(t *testing.T) {
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

// Guards against a new executor without orders for as long as the poll for the one
// before it waits at the leader.
func TestNewExecutorDoesNotWaitForTheOldPoll(t *testing.T) {
	polling := make(chan struct{}, 1)
	l := &fakeLeader{}
	l.respond = func(ctx context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		if request.GetWaitMs() > 0 {
			select {
			case polling <- struct{}{}:
			default:
			}
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(request.GetWaitMs()) * time.Millisecond):
			}
		}
		return &wire.ExchangeResponse{}
	}
	executor := newExecutor()
	// Renewals return at once, so that only the poll can delay the session.
	r := startRunner(t, l, executor, &resettingExecutor{JobExecutor: executor})
	<-polling
	executor.Boot("executor-2")
	started := time.Now()
	r.ExecutorAnnounced(executor.Info("planning", "zone", &wire.Resources{}))
	waitFor(t, "session of the second executor", func() bool {
		return l.received(func(r *wire.ExchangeRequest) bool { return r.GetOpening() && r.GetExecutor().GetId() == "executor-2" })
	})
	assert.Assert(t, time.Since(started) < 500*time.Millisecond, "%s", time.Since(started))
}
