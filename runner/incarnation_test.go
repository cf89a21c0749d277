package runner_test

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

var errConnectionRefused error = syscall.ECONNREFUSED

// crashingExecutor is an executor that can go down: it then breaks off renewals and
// refuses all calls. If held is set, the calls of starts that arrive before it is
// closed fail only then.
type crashingExecutor struct {
	*emulator.JobExecutor

	held chan struct{}

	mu            sync.Mutex
	down          bool
	heldStarts    int
	refusedRenews int
}

func (e *crashingExecutor) setDown(down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = down
}

func (e *crashingExecutor) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

// calls returns how many starts were held and how many renewals were refused.
func (e *crashingExecutor) calls() (starts, renews int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.heldStarts, e.refusedRenews
}

// holdStart reports whether a start was held.
func (e *crashingExecutor) holdStart() bool {
	if e.held == nil {
		return false
	}
	select {
	case <-e.held:
		return false
	default:
	}
	e.mu.Lock()
	e.heldStarts++
	e.mu.Unlock()
	select {
	case <-e.held:
	case <-time.After(waitTimeout):
	}
	return true
}

func (e *crashingExecutor) Start(ctx context.Context, id string, order *wire.StartOrder, lease *damaskspread.Lease) error {
	if e.holdStart() {
		return errConnectionRefused
	}
	e.mu.Lock()
	down := e.down
	e.mu.Unlock()
	if down {
		return errConnectionRefused
	}
	return e.JobExecutor.Start(ctx, id, order, lease)
}

func (e *crashingExecutor) Renew(ctx context.Context, id string, lease *damaskspread.Lease, seen int64, _ time.Duration) (*wire.ExecutorState, error) {
	e.mu.Lock()
	down := e.down
	if down {
		e.refusedRenews++
	}
	e.mu.Unlock()
	if down {
		return nil, errConnectionRefused
	}
	return e.JobExecutor.Renew(ctx, id, lease, seen, 10*time.Millisecond)
}

// startsByExecutor records which runs each executor incarnation started.
type startsByExecutor struct {
	mu     sync.Mutex
	starts map[string][]string
}

func (s *startsByExecutor) observe(event emulator.RunEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if event.Cause == wire.EndCause_END_CAUSE_UNSPECIFIED {
		s.starts[event.Executor] = append(s.starts[event.Executor], fmt.Sprintf("%s run %d", event.Task, event.Run))
	}
}

func (s *startsByExecutor) on(executor string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts[executor]
}

// Guards against two runs of one task: an order for an executor that went down
// must not be carried out on the executor that replaces it, because the leader
// releases the run with the old one and orders the next run.
func TestOrderEndsWithItsExecutor(t *testing.T) {
	t.Parallel()
	for _, downtime := range []time.Duration{100 * time.Millisecond, 250 * time.Millisecond, 280 * time.Millisecond, 440 * time.Millisecond, 590 * time.Millisecond} {
		t.Run(downtime.String(), func(t *testing.T) { testOrderEndsWithItsExecutor(t, downtime) })
	}
}

// testOrderEndsWithItsExecutor replaces an executor that has been down for a time,
// with orders for it in progress.
func testOrderEndsWithItsExecutor(t *testing.T, downtime time.Duration) {
	const tasks = 8
	starts := &startsByExecutor{starts: map[string][]string{}}
	executor := &emulator.JobExecutor{
		Clock:        clockwork.NewRealClock(),
		TaskDuration: func(string) time.Duration { return -1 },
		Observe:      starts.observe,
	}
	executor.Boot("executor-1")
	crashing := &crashingExecutor{
		JobExecutor: executor,
		held:        make(chan struct{}),
	}
	l := &fakeLeader{}
	l.respond = func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		response := &wire.ExchangeResponse{}
		if request.GetWaitMs() > 0 {
			time.Sleep(5 * time.Millisecond)
		}
		if request.GetOrdersReceived() > 0 || request.GetOpening() || request.GetExecutor().GetId() != "executor-1" {
			return response
		}
		for number := int64(1); number <= tasks; number++ {
			order := &wire.StartOrder{Task: fmt.Sprintf("a.0.0.%d", number), Run: 1}
			response.Orders = append(response.Orders, &wire.Order{Number: number, Kind: &wire.Order_Start{Start: order}})
		}
		return response
	}
	r := startRunner(t, l, executor, crashing)
	waitFor(t, "call for each order", func() bool {
		starts, _ := crashing.calls()
		return starts == tasks
	})
	crashing.setDown(true)
	waitFor(t, "refused renewal", func() bool {
		_, renews := crashing.calls()
		return renews > 0
	})
	time.Sleep(downtime)
	executor.Boot("executor-2")
	crashing.setDown(false)
	r.ExecutorAnnounced(executor.Info("planning", "zone", &wire.Resources{Millicores: 8000}))
	waitFor(t, "session for the second executor", func() bool {
		return l.received(func(request *wire.ExchangeRequest) bool {
			return request.GetExecutor().GetId() == "executor-2" && request.GetWaitMs() > 0
		})
	})
	close(crashing.held)
	// Longer than the pause between two calls for an order.
	time.Sleep(300 * time.Millisecond)
	assert.DeepEqual(t, starts.on("executor-2"), []string(nil))
}
