package runner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

// lateStarter leaves start and stop orders without response and carries out the
// first start after a delay.
type lateStarter struct {
	*emulator.JobExecutor

	delay  time.Duration
	starts atomic.Int32
}

func (e *lateStarter) Start(_ context.Context, id string, order *wire.StartOrder, lease *damaskspread.Lease) error {
	if e.starts.Add(1) == 1 {
		carriedOut := *lease
		carriedOut.DeadlineMs += e.delay.Milliseconds()
		time.AfterFunc(e.delay, func() { _ = e.JobExecutor.Start(context.Background(), id, order, &carriedOut) })
	}
	return &damaskspread.WorkerUnknownError{Cause: context.DeadlineExceeded}
}

func (e *lateStarter) Stop(context.Context, string, *wire.StopOrder, int64) error {
	return &damaskspread.WorkerUnknownError{Cause: context.DeadlineExceeded}
}

// Guards against a crash that is not counted, because the executor carried out the
// start without response and later than the agent expects. It can do that where the
// session has no newer token for the calls that follow.
func TestCrashAfterLateStartIsReported(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{time.Second, 2500 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			l := &fakeLeader{
				respond:     orderOnce(&atomic.Int64{}, "a.0.0.0"),
				singleToken: true,
			}
			executor := newExecutor()
			executor.Crashes = func(string) bool { return true }
			startRunner(t, l, executor, &lateStarter{JobExecutor: executor, delay: delay})
			waitFor(t, "crash", executor.Down)
			waitFor(t, "exposure", func() bool {
				return l.received(func(r *wire.ExchangeRequest) bool { return exposes(r, "a.0.0.0", false) })
			})
		})
	}
}
