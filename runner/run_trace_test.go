package runner_test

import (
	"context"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/monitor"
	"damaskspread.example/damaskspread/runner"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/wire"
)

// captureLog redirects the log until the test ends. It is called before the runner is
// started, which then ends first. The test must not be parallel: the log is that of the
// process.
func captureLog(t *testing.T) *emulator.LogLines {
	capture := &emulator.LogLines{}
	previous := log.DefaultLogger
	log.DefaultLogger = *monitor.NewLogger(monitor.LoggerConfig{Writer: capture, Level: "info", Process: "host-1"})
	t.Cleanup(func() { log.DefaultLogger = previous })
	return capture
}

func sendStart(t *testing.T, executor damaskspread.TaskExecutor, id, task string, run int32) {
	lease := &damaskspread.Lease{Token: 1, DeadlineMs: time.Hour.Milliseconds()}
	assert.NilError(t, executor.Start(context.Background(), id, &wire.StartOrder{Task: task, Run: run}, lease))
}

// Guards against logs from which an overlap of two runs, a run that nobody ordered and
// the duration of a stop can't be told, and against a line for each renewal.
func TestRunsAreTraced(t *testing.T) {
	const task = "a.0.0.0"
	logs := captureLog(t)
	stopOrdered := make(chan struct{})
	l := &fakeLeader{}
	l.respond = func(_ context.Context, request *wire.ExchangeRequest) *wire.ExchangeResponse {
		time.Sleep(time.Millisecond)
		select {
		case <-stopOrdered:
			return &wire.ExchangeResponse{Orders: []*wire.Order{{
				Number: 1,
				Kind:   &wire.Order_Stop{Stop: &wire.StopOrder{Task: task, Run: 1}},
			}}}
		default:
			return &wire.ExchangeResponse{}
		}
	}
	executor := newExecutor()
	executor.StopTime = 30 * time.Millisecond
	info := executor.Info("planning", "zone", &wire.Resources{})
	sendStart(t, executor, info.GetId(), task, 1)
	// Renewals return at once, so that many lists show the runs.
	r := startRunnerWith(t, l, executor, &resettingExecutor{JobExecutor: executor}, func(*runner.Runner) {})
	waitFor(t, "run of the opening list", func() bool { return len(logs.Of(tracer.KindRunListed)) > 0 })
	sendStart(t, executor, info.GetId(), task, 2)
	waitFor(t, "overlap", func() bool { return r.Overlaps() == 1 })
	close(stopOrdered)
	waitFor(t, "outcome of the stop", func() bool { return len(logs.Of(tracer.KindStopCompleted)) > 0 })
	time.Sleep(50 * time.Millisecond)

	listed, unexpected, overlaps := logs.Of(tracer.KindRunListed), logs.Of(tracer.KindRunUnexpected), logs.Of(tracer.KindRunsOverlap)
	assert.DeepEqual(t, []int{len(listed), len(unexpected), len(overlaps)}, []int{1, 1, 1})
	assert.Equal(t, listed[0].Event().(*tracer.RunListed).Run, int32(1))
	assert.Equal(t, unexpected[0].Event().(*tracer.RunUnexpected).Run, int32(2))
	assert.Equal(t, overlaps[0].Level(), "error")
	assert.Equal(t, overlaps[0].Event().(*tracer.RunsOverlap).Born, info.GetBornUnixMs())
	stopped := logs.Of(tracer.KindStopCompleted)[0].Event().(*tracer.StopCompleted)
	assert.Equal(t, stopped.Cause, "END_CAUSE_STOPPED")
	assert.Assert(t, time.Duration(stopped.Took) >= 20*time.Millisecond, "%s", stopped.Took)
}
