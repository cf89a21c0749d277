package coordinator_test

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

// watchOpenings calls onOpening for the requests that opened a session.
func (f *testFleet) watchOpenings() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			response, err := next(ctx, request)
			opening, isExchange := request.Any().(*wire.ExchangeRequest)
			if err != nil || !isExchange || !opening.GetOpening() {
				return response, err
			}
			f.mu.Lock()
			onOpening := f.onOpening
			f.mu.Unlock()
			answer := response.Any().(*wire.ExchangeResponse)
			if onOpening != nil && answer.GetEpoch() != 0 && !answer.GetReopen() {
				onOpening(opening)
			}
			return response, err
		}
	}
}

// restart boots the executor of a host under the id that it had.
func (f *testFleet) restart(h *host) { f.bootWith(h, defaultCapacity()) }

// releaseAtNextOpening carries out the held starts of a host once the session of the
// executor's next incarnation is open, before the agent knows. The returned channel
// is closed then.
func (f *testFleet) releaseAtNextOpening(h *host) <-chan struct{} {
	born := h.executor.Info(service, "zone", nil).GetBornUnixMs()
	released := make(chan struct{})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onOpening = func(request *wire.ExchangeRequest) {
		if request.GetHost() != h.name || request.GetExecutor().GetBornUnixMs() <= born {
			return
		}
		f.mu.Lock()
		f.onOpening = nil
		f.mu.Unlock()
		h.executor.ReleaseStarts()
		close(released)
	}
	return released
}

func (f *testFleet) waitReleased(released <-chan struct{}) {
	f.t.Helper()
	select {
	case <-released:
	case <-time.After(recoveryBound):
		f.t.Fatalf("no session of the restarted executor within %s", recoveryBound)
	}
}

func isRun1(order *wire.StartOrder) bool { return order.GetRun() == 1 }

// newLateStart returns a fleet of one host whose agent was killed while its executor held the
// start of a first run.
func newLateStart(t *testing.T) (*testFleet, *host) {
	f := newTestFleet(t, 1, 1, fixedRunTime(-1))
	h := f.hosts[0]
	h.executor.SetHeldStarts(isRun1)
	f.submit(f.leader(), &wire.Job{Id: jobID, Steps: steps(1)})
	f.waitFor("start call", func() bool { return h.executor.HeldStarts() > 0 })
	f.killAgent(h)
	return f, h
}

// Guards against two runs of one task: a start call of an agent that was killed takes
// effect after its executor restarted and the next agent has listed no runs there.
func TestLateStartOfAKilledAgentAfterARestart(t *testing.T) {
	t.Parallel()
	f, h := newLateStart(t)
	h.executor.SetHeldStarts(nil)
	released := f.releaseAtNextOpening(h)
	f.restart(h)
	f.startAgent(h)
	f.waitReleased(released)
	// Longer than the leader and the agent need to order and start the next run.
	time.Sleep(500 * time.Millisecond)
	f.waitFor("run", func() bool { return h.executor.Running() > 0 })
	f.assertNoDuplicateRuns()
}

// Guards against two runs of one task: the agent stops a run whose start had no
// response and reports it as refused, and the start takes effect after the executor
// restarted and listed no runs.
func TestLateStartOfARefusedRunAfterARestart(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 1, fixedRunTime(-1))
	h := f.hosts[0]
	h.executor.SetHeldStarts(isRun1)
	f.submit(f.leader(), &wire.Job{Id: jobID, Steps: steps(1)})
	f.waitFor("run 2", func() bool { return h.executor.Running() == 1 })
	assert.Assert(t, h.executor.HeldStarts() > 0)
	released := f.releaseAtNextOpening(h)
	f.restart(h)
	f.waitReleased(released)
	// Longer than the leader and the agent need to order and start the next run.
	time.Sleep(500 * time.Millisecond)
	f.waitFor("run", func() bool { return h.executor.Running() > 0 })
	f.assertNoDuplicateRuns()
}

// Guards against a task of a canceled job that runs on: its start takes effect late, in a
// new life of the executor that no agent has called yet.
func TestLateStartOfACanceledJobInANewLife(t *testing.T) {
	t.Parallel()
	f, h := newLateStart(t)
	f.restart(h)
	h.executor.ReleaseStarts()
	assert.Equal(t, h.executor.Running(), 1)
	f.waitFor("acknowledged cancellation", func() bool {
		return f.leader().submitter.Cancel(t.Context(), nil, jobID) == nil
	})
	f.startAgent(h)
	started := time.Now()
	f.waitWithin(3*time.Second, "end of the run", func() bool { return h.executor.Running() == 0 })
	t.Logf("the run ended %s after the start of the agent", time.Since(started))
	assert.Equal(t, f.countEvents(wire.EndCause_END_CAUSE_STOPPED), 1)
}
