package runner_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

// pagedTasks take several pages of ends, of endsPerPage each.
const pagedTasks, endsPerPage = 10, 3

func pagedTask(index int) string { return fmt.Sprintf("a.0.0.%d", index) }

// newPagedExecutor returns an executor on which run 1 of each task has ended. It lists
// endsPerPage ends at a time.
func newPagedExecutor(t *testing.T) *emulator.JobExecutor {
	executor := newExecutor()
	executor.MaxListedEnds = endsPerPage
	executor.TaskDuration = func(string) time.Duration { return 10 * time.Millisecond }
	lease := &damaskspread.Lease{Token: 1, DeadlineMs: 10_000}
	for i := range pagedTasks {
		order := &wire.StartOrder{Task: pagedTask(i), Run: 1}
		assert.NilError(t, executor.Start(t.Context(), "executor-1", order, lease))
	}
	waitFor(t, "ends", func() bool { return executor.Running() == 0 })
	return executor
}

// pagingLeader gives its orders at once and stores no end before it is told to.
type pagingLeader struct {
	fakeLeader

	stores chan struct{}
}

func newPagingLeader(orders []*wire.Order) *pagingLeader {
	l := &pagingLeader{stores: make(chan struct{})}
	l.respond = func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		time.Sleep(5 * time.Millisecond)
		response := &wire.ExchangeResponse{}
		if request.GetOrdersReceived() == 0 {
			response.Orders = orders
		}
		select {
		case <-l.stores:
			for _, end := range request.GetEnds() {
				response.EndsRecorded = max(response.EndsRecorded, end.GetNumber())
			}
		default:
		}
		return response
	}
	return l
}

func (l *pagingLeader) reportedEnds() map[string]bool {
	reported := map[string]bool{}
	for _, request := range l.all() {
		for _, end := range request.GetEnds() {
			reported[end.GetTask()] = true
		}
	}
	return reported
}

func (l *pagingLeader) assertNoRefusals(t *testing.T) {
	t.Helper()
	for _, request := range l.all() {
		assert.Equal(t, len(request.GetRefusals()), 0, "%v", request.GetRefusals())
	}
}

// Guards against a second run of a task that is done: the executor lists a page of ends at
// a time, and a run whose end is on a later one is reported as never started, after its
// start was repeated or after it was ordered to stop.
func TestRunsOnLaterPagesOfEndsAreNotRefused(t *testing.T) {
	t.Parallel()
	orders := map[string]func(task string) *wire.Order{
		"repeated start": func(task string) *wire.Order {
			order := startOrder(task, nil)
			order.GetStart().Repeated = true
			return order
		},
		"expired repeated start": func(task string) *wire.Order {
			order := startOrder(task, nil)
			order.GetStart().Repeated = true
			order.AgeMs = 60_000
			return order
		},
		"stop": stopOrder,
	}
	for name, orderFor := range orders {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var all []*wire.Order
			for i := range pagedTasks {
				order := orderFor(pagedTask(i))
				order.Number = int64(i + 1)
				all = append(all, order)
			}
			l := newPagingLeader(all)
			executor := newPagedExecutor(t)
			startRunner(t, &l.fakeLeader, executor, executor)
			waitFor(t, "receipt of the orders", func() bool {
				return l.received(func(r *wire.ExchangeRequest) bool { return r.GetOrdersReceived() == pagedTasks })
			})
			// Several renewals read the first page.
			time.Sleep(400 * time.Millisecond)
			l.assertNoRefusals(t)
			close(l.stores)
			waitFor(t, "report of all ends", func() bool { return len(l.reportedEnds()) == pagedTasks })
			l.assertNoRefusals(t)
		})
	}
}

// Guards against a task that stays assigned for good: its run never started, and the lists
// leave out ends when the run is looked up for the first time.
func TestRunThatNeverStartedIsRefusedAfterTheLastPage(t *testing.T) {
	t.Parallel()
	stop := stopOrder("never.0.0.0")
	stop.Number = 1
	l := newPagingLeader([]*wire.Order{stop})
	executor := newPagedExecutor(t)
	startRunner(t, &l.fakeLeader, executor, executor)
	close(l.stores)
	waitFor(t, "refusal", func() bool {
		return l.received(func(r *wire.ExchangeRequest) bool { return refuses(r, "never.0.0.0") })
	})
	assert.Equal(t, len(l.reportedEnds()), pagedTasks)
}

// silentStops is an executor that answers no stops.
type silentStops struct{ *emulator.JobExecutor }

func (silentStops) Stop(ctx context.Context, _ string, _ *wire.StopOrder, _ int64) error {
	<-ctx.Done()
	return &damaskspread.WorkerUnknownError{Cause: ctx.Err()}
}

// Guards against a second run of a task that is done: its end is on a later page, its stop
// gets no response, and a list that was read with a newer token counts as proof that it
// can't start any more.
func TestUnansweredStopsOfRunsOnLaterPagesOfEnds(t *testing.T) {
	t.Parallel()
	executor := newPagedExecutor(t)
	stop := stopOrder(lastEnded(t, executor))
	stop.Number = 1
	l := newPagingLeader([]*wire.Order{stop})
	startRunner(t, &l.fakeLeader, executor, silentStops{executor})
	// The stop call times out, and the next renewals read the first page with a newer token.
	time.Sleep(1500 * time.Millisecond)
	l.assertNoRefusals(t)
	close(l.stores)
	waitFor(t, "report of all ends", func() bool { return len(l.reportedEnds()) == pagedTasks })
	l.assertNoRefusals(t)
}

// lastEnded returns the task whose end is on the last page.
func lastEnded(t *testing.T, executor *emulator.JobExecutor) string {
	executor.MaxListedEnds = 0
	state, err := executor.Renew(t.Context(), "executor-1", &damaskspread.Lease{Token: 1}, 0, 0)
	assert.NilError(t, err)
	executor.MaxListedEnds = endsPerPage
	return state.GetEnded()[len(state.GetEnded())-1].GetTask()
}

// Guards against a start after an end "done" that the agent does not know yet, because the
// end is on a later page than the first, and that the leader has decided without.
func TestNextRunWaitsForTheLastPageOfEnds(t *testing.T) {
	t.Parallel()
	executor := newPagedExecutor(t)
	start := startOrder(lastEnded(t, executor), nil)
	start.Number = 1
	start.GetStart().Run = 2
	var started atomic.Bool
	executor.Observe = func(event emulator.RunEvent) {
		if event.Run == 2 {
			started.Store(true)
		}
	}
	l := newPagingLeader([]*wire.Order{start})
	startRunner(t, &l.fakeLeader, executor, executor)
	waitFor(t, "receipt of the order", func() bool {
		return l.received(func(r *wire.ExchangeRequest) bool { return r.GetOrdersReceived() == 1 })
	})
	time.Sleep(300 * time.Millisecond)
	assert.Assert(t, !started.Load(), "run 2 has started")
}
