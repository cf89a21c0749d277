package runner_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/runner"
	"damaskspread.example/damaskspread/wire"
)

// orderQueue is a leader that sends the orders given to it.
type orderQueue struct {
	fakeLeader

	mu     sync.Mutex
	orders []*wire.Order
}

func newOrderQueue() *orderQueue {
	q := &orderQueue{}
	q.respond = func(ctx context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		deadline := time.Now().Add(time.Duration(request.GetWaitMs()) * time.Millisecond)
		for {
			if orders := q.after(request.GetOrdersReceived()); len(orders) > 0 || time.Now().After(deadline) || ctx.Err() != nil {
				return &wire.ExchangeResponse{Orders: orders}
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return q
}

func (q *orderQueue) after(number int64) []*wire.Order {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Clone(q.orders[min(number, int64(len(q.orders))):])
}

func (q *orderQueue) send(orders ...*wire.Order) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, order := range orders {
		order.Number = int64(len(q.orders) + 1)
		q.orders = append(q.orders, order)
	}
}

func startOrder(task string, step *wire.JobStep) *wire.Order {
	return &wire.Order{Kind: &wire.Order_Start{Start: &wire.StartOrder{Task: task, Run: 1, Step: step}}}
}

func stopOrder(task string) *wire.Order {
	return &wire.Order{Kind: &wire.Order_Stop{Stop: &wire.StopOrder{Task: task, Run: 1}}}
}

func (q *orderQueue) awaitNoRoom(t *testing.T, task string) {
	t.Helper()
	waitFor(t, "refusal of "+task, func() bool {
		return q.received(func(r *wire.ExchangeRequest) bool {
			return slices.ContainsFunc(r.GetRefusals(), func(refusal *wire.StartRefusal) bool {
				return refusal.GetTask() == task && refusal.GetReason() == string(damaskspread.RefusedNoRoom)
			})
		})
	})
}

// announcer sends announcements of an executor to a runner.
type announcer struct {
	runner   *runner.Runner
	executor *emulator.JobExecutor
	sequence int64
}

func (a *announcer) announce(capacity *wire.Resources) {
	a.executor.SetCapacity(capacity)
	a.sequence++
	info := a.executor.Info("planning", "zone", nil, "kind")
	info.Sequence = a.sequence
	a.runner.ExecutorAnnounced(info)
}

func newAnnouncer(t *testing.T, q *orderQueue, executor *emulator.JobExecutor) *announcer {
	a := &announcer{executor: executor}
	a.runner = startRunner(t, &q.fakeLeader, executor, executor)
	return a
}

func requesting(millicores, memory int64) *wire.JobStep {
	return &wire.JobStep{Resources: &wire.Resources{Millicores: millicores, MemoryBytes: memory}}
}

func bestEffort(millicores, memory int64) *wire.JobStep {
	step := requesting(millicores, memory)
	step.FillsIdle = true
	return step
}

// Guards against an order that the leader decided by a larger capacity and that
// brings the executor over the one it announced last, and against starts on a host
// that is over its capacity.
func TestStartsWithinAnnouncedCapacity(t *testing.T) {
	t.Parallel()
	q := newOrderQueue()
	executor := newExecutor()
	a := newAnnouncer(t, q, executor)
	a.announce(&wire.Resources{Millicores: 1000, MemoryBytes: 100})
	q.send(startOrder("a.0.0.0", requesting(400, 10)))
	q.send(startOrder("b.0.0.0", requesting(400, 10)))
	waitFor(t, "two runs", func() bool { return executor.Running() == 2 })
	q.send(startOrder("c.0.0.0", requesting(400, 10)))
	q.awaitNoRoom(t, "c.0.0.0")
	q.send(startOrder("d.0.0.0", bestEffort(4000, 50)))
	waitFor(t, "best-effort run", func() bool { return executor.Running() == 3 })
	q.send(startOrder("e.0.0.0", bestEffort(100, 50)))
	q.awaitNoRoom(t, "e.0.0.0")

	a.announce(&wire.Resources{Millicores: 500, MemoryBytes: 100})
	q.send(startOrder("f.0.0.0", bestEffort(100, 1)))
	q.awaitNoRoom(t, "f.0.0.0")
	a.announce(&wire.Resources{Millicores: 1200, MemoryBytes: 100})
	q.send(startOrder("g.0.0.0", requesting(400, 10)))
	waitFor(t, "run after the growth", func() bool { return executor.Running() == 4 })
}

// Guards against a stopped run whose request is taken for free before its end is
// listed, or for used afterwards.
func TestStoppingRunCounts(t *testing.T) {
	t.Parallel()
	q := newOrderQueue()
	executor := newExecutor()
	executor.StopTime = 400 * time.Millisecond
	a := newAnnouncer(t, q, executor)
	a.announce(&wire.Resources{Millicores: 1000})
	q.send(startOrder("a.0.0.0", requesting(600, 0)))
	waitFor(t, "run", func() bool { return executor.Running() == 1 })
	q.send(stopOrder("a.0.0.0"), startOrder("b.0.0.0", requesting(600, 0)))
	q.awaitNoRoom(t, "b.0.0.0")
	waitFor(t, "reported end", func() bool {
		return q.received(func(r *wire.ExchangeRequest) bool { return len(r.GetEnds()) == 1 })
	})
	q.send(startOrder("c.0.0.0", requesting(600, 0)))
	waitFor(t, "run after the end", func() bool { return executor.Running() == 1 })
}

// Guards against an agent that has restarted and starts tasks beside runs whose
// requests it does not know, or that refuses them although the orders tell it.
func TestRestartedAgentCountsRuns(t *testing.T) {
	t.Parallel()
	q := newOrderQueue()
	executor := newExecutor()
	lease := &damaskspread.Lease{Token: 1, DeadlineMs: time.Minute.Milliseconds()}
	for _, task := range []string{"a.0.0.0", "b.0.0.0"} {
		assert.NilError(t, executor.Start(t.Context(), "executor-1", &wire.StartOrder{Task: task, Run: 1}, lease))
	}
	a := newAnnouncer(t, q, executor)
	a.announce(&wire.Resources{Millicores: 1000})
	q.send(startOrder("c.0.0.0", requesting(300, 0)), startOrder("a.0.0.0", requesting(300, 0)))
	q.awaitNoRoom(t, "c.0.0.0")
	q.send(startOrder("d.0.0.0", requesting(300, 0)), startOrder("b.0.0.0", requesting(300, 0)))
	waitFor(t, "run beside known ones", func() bool { return executor.Running() == 3 })
	q.send(startOrder("e.0.0.0", requesting(300, 0)))
	q.awaitNoRoom(t, "e.0.0.0")
}

// Guards against a leader that learns of a changed capacity only with the next poll,
// up to a second later, and plans by the old one until then.
func TestChangedCapacityIsReportedAtOnce(t *testing.T) {
	t.Parallel()
	const reportBound = 300 * time.Millisecond
	q := newOrderQueue()
	executor := newExecutor()
	a := newAnnouncer(t, q, executor)
	knows := func(millicores int64) func() bool {
		return func() bool {
			return q.received(func(r *wire.ExchangeRequest) bool { return r.GetExecutor().GetCapacity().GetMillicores() == millicores })
		}
	}
	a.announce(&wire.Resources{Millicores: 1000})
	waitFor(t, "first report", knows(1000))
	for _, millicores := range []int64{300, 900} {
		waitFor(t, "poll", q.polls)
		started := time.Now()
		a.announce(&wire.Resources{Millicores: millicores})
		waitFor(t, "report", knows(millicores))
		assert.Assert(t, time.Since(started) < reportBound, "%s", time.Since(started))
	}
}

// polls reports whether the last request is a poll that waits for orders.
func (q *orderQueue) polls() bool {
	q.fakeLeader.mu.Lock()
	defer q.fakeLeader.mu.Unlock()
	return len(q.requests) > 0 && q.requests[len(q.requests)-1].GetWaitMs() > 0
}

// downExecutor fails calls without effect while it is down.
type downExecutor struct {
	*emulator.JobExecutor

	down     atomic.Bool
	failures atomic.Int64
}

var errDown = errors.New("connection refused")

func (e *downExecutor) Renew(ctx context.Context, id string, lease *damaskspread.Lease, seen int64, wait time.Duration) (*wire.ExecutorState, error) {
	if e.down.Load() {
		e.failures.Add(1)
		return nil, errDown
	}
	state, err := e.JobExecutor.Renew(ctx, id, lease, seen, wait)
	if e.down.Load() {
		e.failures.Add(1)
		return nil, errDown
	}
	return state, err
}

func (e *downExecutor) Start(ctx context.Context, id string, order *wire.StartOrder, lease *damaskspread.Lease) error {
	if e.down.Load() {
		return errDown
	}
	return e.JobExecutor.Start(ctx, id, order, lease)
}

// Guards against orders for an executor that went down which are carried out by the
// next incarnation with the same id, before the agent knows that it is another one
// and how large it is.
func TestOrdersWaitForAnExecutorThatIsDown(t *testing.T) {
	t.Parallel()
	q := newOrderQueue()
	executor := newExecutor()
	var starts atomic.Int64
	executor.Observe = func(emulator.RunEvent) { starts.Add(1) }
	down := &downExecutor{JobExecutor: executor}
	a := &announcer{executor: executor, runner: startRunner(t, &q.fakeLeader, executor, down)}
	a.announce(&wire.Resources{Millicores: 1000})
	waitFor(t, "session", q.polls)
	down.down.Store(true)
	waitFor(t, "failed renewal", func() bool { return down.failures.Load() > 0 })
	q.send(startOrder("a.0.0.0", requesting(400, 0)), startOrder("b.0.0.0", requesting(400, 0)))
	executor.SetCapacity(&wire.Resources{Millicores: 400})
	executor.Boot("executor-1")
	born := executor.Info("planning", "zone", nil).GetBornUnixMs()
	time.Sleep(200 * time.Millisecond)
	down.down.Store(false)
	waitFor(t, "report of the restart", func() bool {
		return q.received(func(r *wire.ExchangeRequest) bool { return r.GetExecutor().GetBornUnixMs() == born })
	})
	assert.Equal(t, starts.Load(), int64(0))
}

// Guards against a start that waits for the next long renewal although the executor
// is reachable again.
func TestStartAfterAFailedRenewal(t *testing.T) {
	t.Parallel()
	const startBound = 500 * time.Millisecond
	q := newOrderQueue()
	executor := newExecutor()
	down := &downExecutor{JobExecutor: executor}
	a := &announcer{executor: executor, runner: startRunner(t, &q.fakeLeader, executor, down)}
	a.announce(&wire.Resources{Millicores: 1000})
	waitFor(t, "session", q.polls)
	down.down.Store(true)
	waitFor(t, "failed renewal", func() bool { return down.failures.Load() > 0 })
	q.send(startOrder("a.0.0.0", requesting(400, 0)))
	down.down.Store(false)
	started := time.Now()
	waitFor(t, "run", func() bool { return executor.Running() == 1 })
	assert.Assert(t, time.Since(started) < startBound, "%s", time.Since(started))
}

// Guards against a restarted executor that is reported with the capacity and the
// labels of the incarnation before, which had the same id.
func TestRestartedExecutorHasNoCapacityYet(t *testing.T) {
	t.Parallel()
	q := newOrderQueue()
	executor := newExecutor()
	a := newAnnouncer(t, q, executor)
	a.announce(&wire.Resources{Millicores: 1000})
	waitFor(t, "session", q.polls)
	born := executor.Info("planning", "zone", nil).GetBornUnixMs()
	executor.Boot("executor-1")
	var restarted *wire.ExecutorInfo
	waitFor(t, "report of the restart", func() bool {
		return q.received(func(r *wire.ExchangeRequest) bool {
			restarted = r.GetExecutor()
			return restarted.GetBornUnixMs() > born
		})
	})
	assert.Equal(t, restarted.GetCapacity().GetMillicores(), int64(0))
	assert.Equal(t, len(restarted.GetLabels()), 0)
}
