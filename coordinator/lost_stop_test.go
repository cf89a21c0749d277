package coordinator_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

// Guards against an urgent task that waits for good: the agent restarts, or opens its
// next session, before it has carried out the stop of the run that occupies the host.
// The leader counts the run as stopping and preempts no other.
func TestStopIsRepeatedInTheNextSession(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 0, fixedRunTime(-1))
	leader := f.leader()
	agent := newManualAgent(t, leader, "host-0")
	info := executorInfo("executor-1", 1)
	agent.open(f, "s.1", info)
	whole := func() []*wire.JobStep {
		all := steps(1)
		all[0].Resources.Millicores = info.GetCapacity().GetMillicores()
		return all
	}
	f.submitTo(leader, &wire.Queue{Name: "background", Service: service, Priority: 5}, &wire.Job{Id: jobID, Steps: whole()})
	f.waitFor("start order", func() bool {
		started, _ := runsIn(agent.pollOrders("s.1", info))
		return len(started) > 0
	})
	f.submitTo(leader, &wire.Queue{Name: "urgent", Service: service}, &wire.Job{Id: "00000000000000ff", Steps: whole()})
	f.waitFor("stop order", func() bool {
		_, stopped := runsIn(agent.pollOrders("s.1", info))
		return len(stopped) > 0
	})
	// The order is lost with the session.
	run := &wire.TaskRun{Task: jobID + ".0.0.0", Run: 1}
	assert.Assert(t, !agent.send(agent.opening("s.2", info, run)).GetReopen())
	_, stopped := runsIn(agent.pollOrders("s.2", info))
	assert.DeepEqual(t, stopped, []int32{1})
}
