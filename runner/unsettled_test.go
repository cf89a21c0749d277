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
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

// delayingExecutor holds the first start until release is closed and carries it out
// then. Its caller gets no response.
type delayingExecutor struct {
	*emulator.JobExecutor

	release chan struct{}
	done    chan struct{}
	once    sync.Once
	sent    atomic.Bool
}

func (e *delayingExecutor) Start(ctx context.Context, id string, order *wire.StartOrder, lease *damaskspread.Lease) error {
	first := false
	e.once.Do(func() { first = true })
	if !first {
		return e.JobExecutor.Start(ctx, id, order, lease)
	}
	e.sent.Store(true)
	go func() {
		defer close(e.done)
		<-e.release
		_ = e.JobExecutor.Start(context.Background(), id, order, lease)
	}()
	<-ctx.Done()
	return &damaskspread.WorkerUnknownError{Cause: ctx.Err()}
}

// Guards against two runs of one task after an executor restarted under its id: a
// start that was sent before must not take effect after the session for the new
// incarnation is open, because the leader orders the next run then.
func TestStartSentBeforeARestart(t *testing.T) {
	t.Parallel()
	l := &fakeLeader{}
	l.respond = func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		if request.GetWaitMs() > 0 {
			time.Sleep(5 * time.Millisecond)
		}
		response := &wire.ExchangeResponse{}
		if request.GetOrdersReceived() == 0 && !request.GetOpening() && request.GetExecutor().GetSequence() == 0 {
			order := &wire.StartOrder{Task: "a.0.0.0", Run: 1}
			response.Orders = []*wire.Order{{Number: 1, Kind: &wire.Order_Start{Start: order}}}
		}
		return response
	}
	starts := &startsByExecutor{starts: map[string][]string{}}
	executor := &emulator.JobExecutor{
		Clock:        clockwork.NewRealClock(),
		TaskDuration: func(string) time.Duration { return -1 },
		Observe:      starts.observe,
	}
	executor.Boot("executor-1")
	delaying := &delayingExecutor{
		JobExecutor: executor,
		release:     make(chan struct{}),
		done:        make(chan struct{}),
	}
	r := startRunner(t, l, executor, delaying)
	waitFor(t, "start call", delaying.sent.Load)
	executor.Boot("executor-1")
	restarted := executor.Info("planning", "zone", &wire.Resources{Millicores: 8000})
	restarted.Sequence = 1
	r.ExecutorAnnounced(restarted)
	waitFor(t, "session for the restarted executor", func() bool {
		return l.received(func(request *wire.ExchangeRequest) bool {
			return request.GetExecutor().GetSequence() == 1 && request.GetWaitMs() > 0
		})
	})
	close(delaying.release)
	<-delaying.done
	assert.DeepEqual(t, starts.on("executor-1"), []string(nil))
}
