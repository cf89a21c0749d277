package runner_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/runner"
	"damaskspread.example/damaskspread/wire"
)

// interruptedLeader does not respond while it is away.
type interruptedLeader struct {
	*fakeLeader
	away atomic.Bool
}

func (l *interruptedLeader) Exchange(ctx context.Context, request *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	if l.away.Load() {
		return nil, errors.New("leader away")
	}
	return l.fakeLeader.Exchange(ctx, request)
}

// countedExecutor counts the renewals that fail and those that the incarnation born last
// responds to.
type countedExecutor struct {
	lateStartExecutor
	failures, responses atomic.Int32
	born                atomic.Int64
}

func (e *countedExecutor) Renew(ctx context.Context, id string, lease *damaskspread.Lease, seen int64, wait time.Duration) (*wire.ExecutorState, error) {
	state, err := e.lateStartExecutor.Renew(ctx, id, lease, seen, wait)
	switch {
	case err != nil:
		e.failures.Add(1)
	case state.GetBornUnixMs() == e.born.Load():
		e.responses.Add(1)
	}
	return state, err
}

// orderOneStart makes a leader order one start of a.0.0.0.
func orderOneStart(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
	time.Sleep(5 * time.Millisecond)
	if request.GetOrdersReceived() > 0 {
		return &wire.ExchangeResponse{}
	}
	return &wire.ExchangeResponse{Orders: []*wire.Order{{
		Number: 1,
		Kind:   &wire.Order_Start{Start: &wire.StartOrder{Task: "a.0.0.0", Run: 1}},
	}}}
}

// Guards against a second run of a task whose end is recorded: while no leader responds, a
// new life of the executor is called only with the token of the life before or not at all,
// and carries out a start that arrives late.
func TestLateStartInANewLifeWithoutLeader(t *testing.T) {
	t.Parallel()
	t.Run("announced", func(t *testing.T) { testLateStartInANewLife(t, true) })
	t.Run("not announced", func(t *testing.T) { testLateStartInANewLife(t, false) })
}

func testLateStartInANewLife(t *testing.T, announced bool) {
	executor := newExecutor()
	late := &countedExecutor{lateStartExecutor: lateStartExecutor{JobExecutor: executor}}
	leader := &interruptedLeader{fakeLeader: &fakeLeader{respond: orderOneStart}}
	r := startRunnerWith(t, leader.fakeLeader, executor, late, func(r *runner.Runner) { r.Leader = leader })
	waitFor(t, "start call", late.holdsStart)
	leader.away.Store(true)
	executor.Crash()
	waitFor(t, "failed renewal", func() bool { return late.failures.Load() > 0 })
	executor.Boot("executor-1")
	info := executor.Info("planning", "zone", &wire.Resources{Millicores: 8000})
	late.born.Store(info.GetBornUnixMs())
	if announced {
		r.ExecutorAnnounced(info)
	}
	waitFor(t, "call of the new life", func() bool { return late.responses.Load() > 0 })
	var fenced *damaskspread.FencedError
	assert.Assert(t, errors.As(late.deliver(), &fenced), "the start of the life before is carried out")
	assert.Equal(t, executor.Running(), 0)
}

// overtakenExecutor fences the first start by a newer token of the same session, as if the
// call had arrived after a renewal.
type overtakenExecutor struct {
	countedExecutor
	starts atomic.Int32
}

func (e *overtakenExecutor) Start(ctx context.Context, id string, order *wire.StartOrder, lease *damaskspread.Lease) error {
	if e.starts.Add(1) > 1 {
		return e.JobExecutor.Start(ctx, id, order, lease)
	}
	failures := e.failures.Load()
	e.SetResetting(true)
	for e.failures.Load() == failures && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	e.SetResetting(false)
	responses := e.responses.Load()
	for e.responses.Load() == responses && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	return e.JobExecutor.Start(ctx, id, order, lease)
}

// Guards against a start that is refused because the agent itself has called the executor
// with a newer token in the meantime.
func TestStartIsRepeatedWithTheNewerToken(t *testing.T) {
	t.Parallel()
	executor := newExecutor()
	fencing := &overtakenExecutor{countedExecutor: countedExecutor{lateStartExecutor: lateStartExecutor{JobExecutor: executor}}}
	fencing.born.Store(executor.Info("planning", "zone", &wire.Resources{}).GetBornUnixMs())
	l := &fakeLeader{respond: orderOneStart}
	startRunner(t, l, executor, fencing)
	waitFor(t, "run", func() bool { return executor.Running() == 1 })
	assert.Assert(t, fencing.starts.Load() > 1, "the first start was not fenced")
	assert.Assert(t, !l.received(func(r *wire.ExchangeRequest) bool { return refuses(r, "a.0.0.0") }))
}
