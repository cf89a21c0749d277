package coordinator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

// Guards against two runs of one task: the opening request of an executor that has left
// arrives after its successor's session was opened. The leader must not release the
// successor's runs, which are in progress, nor refuse the successor's next session.
func TestLateOpeningOfDepartedExecutor(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 0, fixedRunTime(-1))
	leader := f.leader()
	agent, other := newManualAgent(t, leader, "host-0"), newManualAgent(t, leader, "host-1")
	first, second := executorInfo("executor-1", 1), executorInfo("executor-2", 2)
	agent.open(f, "s.1", first)
	left := agent.request("s.2", first)
	left.ExecutorLeft = true
	agent.send(left)
	agent.send(agent.opening("s.3", second))
	f.submit(leader, &wire.Job{Id: jobID, Steps: steps(1)})
	var start *wire.StartOrder
	f.waitFor("start order", func() bool {
		for _, order := range agent.pollOrders("s.3", second) {
			start = order.GetStart()
		}
		return start != nil
	})
	third := executorInfo("executor-3", 3)
	other.send(other.opening("o.1", third))
	agent.send(agent.opening("s.1", first))
	time.Sleep(100 * time.Millisecond)
	for _, order := range other.pollOrders("o.1", third) {
		assert.Assert(t, order.GetStart().GetRun() <= 1, "start of run %d while run 1 is in progress", order.GetStart().GetRun())
	}
	run := &wire.TaskRun{Task: start.GetTask(), Run: start.GetRun()}
	assert.Assert(t, !agent.send(agent.opening("s.4", second, run)).GetReopen(), "no session for the living executor")
}
