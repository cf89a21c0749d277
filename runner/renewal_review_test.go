package runner_test

import (
	"context"
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
