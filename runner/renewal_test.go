package runner_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

// renewalRecorder records what the renewals since the last call of restart
// acknowledged. It refuses all calls while it is down.
type renewalRecorder struct {
	*emulator.JobExecutor

	mu       sync.Mutex
	down     bool
	renewals int
	maxSeen  int64
}

func (e *renewalRecorder) Renew(ctx context.Context, id string, lease *damaskspread.Lease, seen int64, _ time.Duration) (*wire.ExecutorState, error) {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return nil, errConnectionLost
	}
	e.renewals++
	e.maxSeen = max(e.maxSeen, seen)
	e.mu.Unlock()
	return e.JobExecutor.Renew(ctx, id, lease, seen, 10*time.Millisecond)
}

var errConnectionLost = &damaskspread.WorkerUnknownError{Cause: context.DeadlineExceeded}

// restart starts a new life of the executor under its id.
func (e *renewalRecorder) restart(id string) {
	e.mu.Lock()
	e.down = true
	e.mu.Unlock()
	// Longer than a renewal in progress takes.
	time.Sleep(50 * time.Millisecond)
	e.Boot(id)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
	e.renewals = 0
	e.maxSeen = 0
}

func (e *renewalRecorder) recorded() (renewals int, maxSeen int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.renewals, e.maxSeen
}

// Guards against ends that an executor forgets before anyone has read them: after a
// restart under its id it numbers its ends from 1 again, so a renewal for the life
// before acknowledges ends that it has not listed yet. A run whose end is lost is
// reported as refused, and the next run starts after this one was done.
func TestRenewalAcknowledgesNoEndsOfTheNextLife(t *testing.T) {
	t.Parallel()
	executor := &renewalRecorder{JobExecutor: &emulator.JobExecutor{
		Clock:        clockwork.NewRealClock(),
		TaskDuration: func(string) time.Duration { return 10 * time.Millisecond },
	}}
	executor.Boot("executor-1")
	l := &fakeLeader{}
	l.respond = func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		time.Sleep(5 * time.Millisecond)
		response := &wire.ExchangeResponse{EndsRecorded: request.GetEndsRecorded()}
		for _, end := range request.GetEnds() {
			response.EndsRecorded = max(response.EndsRecorded, end.GetNumber())
		}
		if request.GetOrdersReceived() == 0 {
			order := &wire.StartOrder{Task: "a.0.0.0", Run: 1}
			response.Orders = []*wire.Order{{Number: 1, Kind: &wire.Order_Start{Start: order}}}
		}
		return response
	}
	startRunner(t, l, executor.JobExecutor, executor)
	waitFor(t, "acknowledgement of the end", func() bool {
		_, maxSeen := executor.recorded()
		return maxSeen == 1
	})
	executor.restart("executor-1")
	waitFor(t, "renewal of the second life", func() bool {
		renewals, _ := executor.recorded()
		return renewals > 0
	})
	_, maxSeen := executor.recorded()
	assert.Equal(t, maxSeen, int64(0), "the second life has listed no end yet")
}

// flakyRenewals fails each third renewal and records the parameters of the others.
type flakyRenewals struct {
	*emulator.JobExecutor

	mu    sync.Mutex
	calls []renewalCall
}

type renewalCall struct {
	failed     bool
	deadlineMs int64
	wait       time.Duration
}

func (e *flakyRenewals) Renew(ctx context.Context, id string, lease *damaskspread.Lease, seen int64, wait time.Duration) (*wire.ExecutorState, error) {
	e.mu.Lock()
	call := renewalCall{
		failed:     len(e.calls)%3 == 2,
		deadlineMs: lease.DeadlineMs,
		wait:       wait,
	}
	e.calls = append(e.calls, call)
	e.mu.Unlock()
	if call.failed {
		return nil, errConnectionLost
	}
	return e.JobExecutor.Renew(ctx, id, lease, seen, min(wait, 50*time.Millisecond))
}

func (e *flakyRenewals) recorded() []renewalCall {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.calls)
}

// newLeaderWithOneStart returns a leader that orders one start.
func newLeaderWithOneStart() *fakeLeader {
	return &fakeLeader{
		respond: func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
			time.Sleep(5 * time.Millisecond)
			if request.GetOrdersReceived() > 0 {
				return &wire.ExchangeResponse{}
			}
			order := &wire.StartOrder{Task: "a.0.0.0", Run: 1}
			return &wire.ExchangeResponse{Orders: []*wire.Order{{Number: 1, Kind: &wire.Order_Start{Start: order}}}}
		},
	}
}

// Guards against a healthy executor that loses its lease because single renewals
// fail: the one after a failure only reads the lists, the next one extends the lease.
func TestLeaseIsExtendedBetweenFailures(t *testing.T) {
	t.Parallel()
	executor := newExecutor()
	flaky := &flakyRenewals{JobExecutor: executor}
	l := newLeaderWithOneStart()
	startRunner(t, l, executor, flaky)
	waitFor(t, "run", func() bool { return executor.Running() == 1 })
	first := len(flaky.recorded())
	// Longer than the lease of the start.
	time.Sleep(3 * time.Second)
	assert.Equal(t, executor.Running(), 1)
	calls := flaky.recorded()[first:]
	extended := 0
	for i, call := range calls[1:] {
		if afterFailure := calls[i].failed; afterFailure {
			assert.Equal(t, call.deadlineMs, int64(0))
			assert.Equal(t, call.wait, time.Duration(0))
		} else if call.deadlineMs > 0 {
			extended++
		}
	}
	assert.Assert(t, extended > 0)
}

// heldRenewals records how long each renewal may wait at the executor.
type heldRenewals struct {
	*emulator.JobExecutor

	mu    sync.Mutex
	waits []time.Duration
}

func (e *heldRenewals) Renew(ctx context.Context, id string, lease *damaskspread.Lease, seen int64, wait time.Duration) (*wire.ExecutorState, error) {
	e.mu.Lock()
	e.waits = append(e.waits, wait)
	e.mu.Unlock()
	return e.JobExecutor.Renew(ctx, id, lease, seen, wait)
}

// longest returns the longest wait since the n-th renewal, and the number of renewals.
func (e *heldRenewals) longest(n int) (time.Duration, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Max(append(slices.Clone(e.waits[n:]), 0)), len(e.waits)
}

// Guards against a lease that ends while its extension waits for a renewal that the
// executor holds.
func TestRenewalsAreShortWhileTheLeaseEndsSoon(t *testing.T) {
	t.Parallel()
	executor := &heldRenewals{JobExecutor: newExecutor()}
	l := newLeaderWithOneStart()
	startRunner(t, l, executor.JobExecutor, executor)
	waitFor(t, "run in a list", func() bool {
		return l.received(func(request *wire.ExchangeRequest) bool { return len(request.GetRunning()) > 0 })
	})
	_, first := executor.longest(0)
	waitFor(t, "renewals", func() bool {
		_, n := executor.longest(first)
		return n > first+3
	})
	longest, _ := executor.longest(first)
	assert.Assert(t, longest < 500*time.Millisecond, "%s", longest)
}
