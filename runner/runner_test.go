package runner_test

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
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

const (
	waitTimeout = 5 * time.Second
	// sessionTokens is the number of fencing tokens of a session.
	sessionTokens = 3
)

type elapsedClock struct{ start time.Time }

func (e elapsedClock) Elapsed() time.Duration { return time.Since(e.start) + time.Hour }

// fakeLeader responds with the result of a function, which is called
// concurrently. The first request opens the session.
type fakeLeader struct {
	respond func(ctx context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse
	// singleToken makes it give one token a session, as leaders of earlier versions do.
	singleToken bool

	tokens   atomic.Int64
	mu       sync.Mutex
	requests []*wire.ExchangeRequest
}

func (l *fakeLeader) Exchange(ctx context.Context, request *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	l.mu.Lock()
	l.requests = append(l.requests, request)
	l.mu.Unlock()
	if request.GetEpoch() == 0 {
		return &wire.ExchangeResponse{Epoch: 1, Reopen: true, Token: l.nextToken(), TokenCount: l.tokenCount()}, nil
	}
	response := l.respond(ctx, request)
	if response.GetReopen() {
		response.Token, response.TokenCount = l.nextToken(), l.tokenCount()
	}
	response.Epoch = 1
	response.LeaseMs = 2000
	return response, nil
}

// nextToken returns the first token of the next session.
func (l *fakeLeader) nextToken() int64 { return l.tokens.Add(sessionTokens) - sessionTokens + 1 }

func (l *fakeLeader) tokenCount() int64 {
	if l.singleToken {
		return 1
	}
	return sessionTokens
}

func (l *fakeLeader) Redirect(*wire.Leadership) {}

// newIdleLeader returns a leader that opens sessions and gives no orders.
func newIdleLeader() *fakeLeader {
	return &fakeLeader{
		respond: func(context.Context, *wire.ExchangeRequest) *wire.ExchangeResponse {
			time.Sleep(5 * time.Millisecond)
			return &wire.ExchangeResponse{}
		},
	}
}

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
	t.Parallel()
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

// Guards against a delayed announcement of an executor that has been replaced:
// it must not bring the old executor back.
func TestLateAnnouncement(t *testing.T) {
	t.Parallel()
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

// Guards against interference weights that end an agent which sets no paces.
func TestWeightsWithoutPacer(t *testing.T) {
	t.Parallel()
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

// Guards against a new executor without orders for as long as the poll for the one
// before it waits at the leader.
func TestNewExecutorDoesNotWaitForTheOldPoll(t *testing.T) {
	t.Parallel()
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
