package coordinator_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

// unansweredStops is an executor whose stops have neither a response nor an effect while
// dropped is set.
type unansweredStops struct {
	*emulator.JobExecutor

	dropped *atomic.Bool
}

func (e *unansweredStops) Stop(ctx context.Context, id string, order *wire.StopOrder, token int64) error {
	if !e.dropped.Load() {
		return e.JobExecutor.Stop(ctx, id, order, token)
	}
	<-ctx.Done()
	return &damaskspread.WorkerUnknownError{Cause: ctx.Err()}
}

// Guards against tasks that stay assigned without a run to an executor that answers renewals
// and no orders, and against their start there once they run elsewhere.
func TestTasksOfAnExecutorThatAnswersNoOrdersRunElsewhere(t *testing.T) {
	f := newTestFleet(t, 1, 2, fixedRunTime(-1))
	f.waitFor("sessions", func() bool { return f.leader().coordinator.Sessions() == 2 })
	silent := f.hosts[0]
	silent.dropsStops.Store(true)
	silent.executor.SetHeldStarts(func(*wire.StartOrder) bool { return true })
	job := &wire.Job{Id: jobID, Steps: steps(6)}
	job.Steps[0].LongRunning = true
	f.submit(f.leader(), job)
	f.waitWithin(lastingLimit, "runs on the other host", func() bool { return f.hosts[1].executor.Running() == 6 })
	assert.Assert(t, silent.executor.HeldStarts() > 0)
	silent.executor.ReleaseStarts()
	f.pass(time.Second)
	assert.Equal(t, silent.executor.Running(), 0)
	assert.Equal(t, f.lastingStarts(), 6)
	f.assertNoDuplicateRuns()
}
