package coordinator_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

// Guards against two runs of one task: the opening request of an executor that ended
// before the leader ever heard of it arrives after its successor's session was opened.
// The leader must not release the successor's runs, which are in progress.
func TestLateOpeningOfUnknownExecutor(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 0, fixedRunTime(-1))
	leader := f.leader()
	agent := newManualAgent(t, leader, "host-0")
	first, second := executorInfo("executor-1", 1), executorInfo("executor-2", 2)
	agent.open(f, "s.2", second)
	f.submit(leader, &wire.Job{Id: jobID, Steps: steps(1)})
	var start *wire.StartOrder
	f.waitFor("start order", func() bool {
		for _, order := range agent.pollOrders("s.2", second) {
			start = order.GetStart()
		}
		return start != nil
	})
	assert.Assert(t, agent.send(agent.opening("s.1", first)).GetReopen(), "an earlier session of the agent opens")
	// The agent's later sessions open, and those of its next process.
	run := &wire.TaskRun{Task: start.GetTask(), Run: start.GetRun()}
	for _, session := range []string{"s.3", "r.1"} {
		assert.Assert(t, !agent.send(agent.opening(session, second, run)).GetReopen())
	}
}
