package coordinator_test

import (
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/monitor"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/wire"
)

// captureLog redirects the log until the test ends. It is called before the fleet is
// made, which then ends first. The test must not be parallel: the log is that of the
// process.
func captureLog(t *testing.T) *emulator.LogLines {
	lines := &emulator.LogLines{}
	previous := log.DefaultLogger
	log.DefaultLogger = *monitor.NewLogger(monitor.LoggerConfig{Writer: lines, Level: "info", Process: "process"})
	t.Cleanup(func() { log.DefaultLogger = previous })
	return lines
}

// Guards against logs of the leader that don't tell why a run was considered over, in
// which incarnation and session, and which run is the latest when an older one is
// stopped.
func TestReleasesAreTraced(t *testing.T) {
	logs := captureLog(t)
	f := newTestFleet(t, 1, 0, fixedRunTime(time.Minute))
	leader := f.leader()
	agent := newManualAgent(t, leader, "host-0")
	first, restarted := executorInfo("executor", 1), executorInfo("executor", 2)
	agent.open(f, "s.1", first)
	f.submit(leader, &wire.Job{Id: jobID, Steps: steps(1)})
	f.waitFor("order of run 1", func() bool { return len(agent.pollOrders("s.1", first)) == 1 })

	refusal := agent.request("s.1", first)
	refusal.OrdersReceived = 1
	refusal.Refusals = []*wire.StartRefusal{{Task: jobID + ".0.0.0", Run: 1, Reason: "old_run"}}
	agent.send(refusal)
	f.waitFor("release of run 1", func() bool { return len(logs.Of(tracer.KindStartRefused)) == 1 })
	refused := logs.Of(tracer.KindStartRefused)[0].Event().(*tracer.StartRefused)
	assert.Equal(t, refused.Session, "s.1")
	assert.Equal(t, refused.Born, int64(1))

	f.waitFor("assignment of run 2", func() bool { return len(logs.Of(tracer.KindTaskAssigned)) == 2 })
	agent.send(agent.opening("s.2", restarted, &wire.TaskRun{Task: jobID + ".0.0.0", Run: 1}))
	f.waitFor("stop and release", func() bool {
		return len(logs.Of(tracer.KindStopOrdered)) == 1 && len(logs.Of(tracer.KindRunLost)) == 1
	})
	stop := logs.Of(tracer.KindStopOrdered)[0].Event().(*tracer.StopOrdered)
	assert.Equal(t, stop.Session, "s.2")
	assert.Equal(t, stop.Latest, int32(2))
	lost := logs.Of(tracer.KindRunLost)[0].Event().(*tracer.RunLost)
	assert.DeepEqual(t, lost, &tracer.RunLost{
		Job:        jobID,
		Task:       jobID + ".0.0.0",
		Run:        2,
		Host:       "host-0",
		Executor:   "executor",
		Born:       1,
		Session:    "s.1",
		Cause:      tracer.LossReplaced,
		ReplacedBy: "s.2",
	})
}
