package coordinator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/tracer"
)

// Guards against logs that don't tell why a ready task isn't planned.
func TestHeldTaskIsTraced(t *testing.T) {
	logs := captureLog(t)
	o := newOlderRun(t)
	o.listLater()
	o.f.waitFor("report", func() bool {
		o.orders()
		return len(logs.Of(tracer.KindTasksHeld)) > 0
	})
	held := logs.Of(tracer.KindTasksHeld)[0].Event().(*tracer.TasksHeld)
	assert.Equal(t, held.Reason, tracer.HoldOlderRun)
	assert.Equal(t, held.Task, olderRunTask)
	assert.Equal(t, held.Run, int32(1))
	assert.Equal(t, held.Executor, o.info.GetId())
	assert.Assert(t, time.Duration(held.Waited) >= time.Second)
}

// Guards against logs that don't tell that a leader schedules nothing because its append
// doesn't end.
func TestStalledAppendIsLogged(t *testing.T) {
	logs := captureLog(t)
	f := newTestFleet(t, 1, 1, fixedRunTime(300*time.Millisecond))
	leader := f.leader()
	f.waitFor("session", func() bool { return leader.coordinator.Sessions() == 1 })
	f.submit(leader, bestEffortJob())
	leader.client.SetUploadRate(1)
	f.waitFor("line", func() bool { return countMessages(logs, "leader waits for the log; it schedules nothing") == 1 })
	leader.client.SetUploadRate(0)
	f.waitFor("line", func() bool { return countMessages(logs, "leader no longer waits for the log") == 1 })
	f.waitSucceeded(leader, jobID)
}

func countMessages(logs *emulator.LogLines, message string) int {
	return len(logs.Of(tracer.Kind(message)))
}
