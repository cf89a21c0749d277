package coordinator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

// Guards against two runs of one task: the opening request of an executor that was
// replaced, processed only after its successor's session was opened, must not make
// the leader release the runs of the successor, which are in progress.
func TestLateOpeningOfReplacedExecutor(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 0, fixedRunTime(-1))
	leader := f.leader()
	agent := newManualAgent(t, leader, "host-0")
	first, second := executorInfo("executor-1", 1), executorInfo("executor-2", 2)
	agent.open(f, "s.1", first)
	late := agent.opening("s.1", first)
	agent.send(agent.opening("s.2", second))
	f.submit(leader, &wire.Job{Id: jobID, Steps: steps(1)})
	var start *wire.StartOrder
	f.waitFor("start order", func() bool {
		for _, order := range agent.pollOrders("s.2", second) {
			start = order.GetStart()
		}
		return start != nil
	})
	assert.Equal(t, start.GetRun(), int32(1))
	agent.send(late)
	// The runner opens a new session when its own is closed, with the run in progress.
	run := &wire.TaskRun{Task: start.GetTask(), Run: 1}
	assert.Assert(t, !agent.send(agent.opening("s.3", second, run)).GetReopen())
	for _, order := range agent.pollOrders("s.3", second) {
		assert.Assert(t, order.GetStop() == nil, "stop of run %d, which is in progress", order.GetStop().GetRun())
		assert.Assert(t, order.GetStart().GetRun() <= 1, "start of run %d while run 1 is in progress", order.GetStart().GetRun())
	}
}

// Guards against two runs of one task when the agent of a host and its executor
// are replaced while a second host has room: see TestLateOpeningOfReplacedExecutor.
// The next run must not be ordered on another host.
func TestLateOpeningStartsNoRunElsewhere(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 0, fixedRunTime(-1))
	leader := f.leader()
	agent, other := newManualAgent(t, leader, "host-0"), newManualAgent(t, leader, "host-1")
	first, second := executorInfo("executor-1", 1), executorInfo("executor-2", 2)
	agent.open(f, "s.1", first)
	agent.send(agent.opening("s.2", second))
	f.submit(leader, &wire.Job{Id: jobID, Steps: steps(1)})
	f.waitFor("start order", func() bool { return len(agent.pollOrders("s.2", second)) > 0 })
	third := executorInfo("executor-3", 3)
	other.send(other.opening("o.1", third))
	agent.send(agent.opening("s.1", first))
	time.Sleep(100 * time.Millisecond)
	orders := append(other.pollOrders("o.1", third), agent.pollOrders("s.1", first)...)
	for _, order := range orders {
		assert.Assert(t, order.GetStart().GetRun() <= 1, "start of run %d while run 1 is in progress", order.GetStart().GetRun())
	}
}
