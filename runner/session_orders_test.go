package runner_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// Guards against a start that outlives its session: a stop of it may have been fenced,
// and the leader repeats at the opening what it still wants to start.
func TestStartEndsWithItsSession(t *testing.T) {
	t.Parallel()
	l := &fakeLeader{}
	l.respond = func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		time.Sleep(5 * time.Millisecond)
		order := stopOfRun2()
		if strings.HasSuffix(request.GetSession(), ".3") {
			order = startOfRun(3)
		}
		order.Number = 1
		switch {
		case request.GetOrdersReceived() == 0:
			return &wire.ExchangeResponse{Orders: []*wire.Order{order}}
		case order.GetStart() != nil:
			return &wire.ExchangeResponse{Reopen: true}
		}
		return &wire.ExchangeResponse{}
	}
	executor, checker := newCheckedExecutor()
	lease := &damaskspread.Lease{
		Token:      1,
		DeadlineMs: 5000,
	}
	assert.NilError(t, executor.Start(t.Context(), "executor-1", startOfRun(2).GetStart(), lease))
	startRunner(t, l, executor, executor)
	waitFor(t, "end of run 2 in the next session", func() bool {
		return l.received(func(r *wire.ExchangeRequest) bool {
			return len(r.GetEnds()) > 0 && strings.HasSuffix(r.GetSession(), ".4")
		})
	})
	// Longer than the interval at which a waiting start is decided again.
	time.Sleep(500 * time.Millisecond)
	assert.Assert(t, !checker.hasStarted(3), "run 3 started in a session in which it was not ordered")
}
