package coordinator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

// runsIn returns the numbers of the runs that the orders start and stop.
func runsIn(orders []*wire.Order) (started, stopped []int32) {
	for _, order := range orders {
		if start := order.GetStart(); start != nil {
			started = append(started, start.GetRun())
		}
		if stop := order.GetStop(); stop != nil {
			stopped = append(stopped, stop.GetRun())
		}
	}
	return started, stopped
}

// Guards against two runs of one task after an executor restarted under its id: a
// start that took effect in the new incarnation is in progress there, so the leader
// must not start the next run beside it.
func TestRunOfARestartedExecutorIsAdopted(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 0, fixedRunTime(time.Minute))
	leader := f.leader()
	agent := newManualAgent(t, leader, "host-0")
	first, restarted := executorInfo("executor", 1), executorInfo("executor", 2)
	agent.open(f, "s.1", first)
	f.submit(leader, &wire.Job{Id: jobID, Steps: steps(1)})
	f.waitFor("order of run 1", func() bool {
		started, _ := runsIn(agent.pollOrders("s.1", first))
		return len(started) == 1 && started[0] == 1
	})

	run := &wire.TaskRun{Task: jobID + ".0.0.0", Run: 1}
	assert.Assert(t, !agent.send(agent.opening("s.2", restarted, run)).GetReopen())
	// Several scheduling cycles; each poll returns all orders of the session.
	for deadline := time.Now().Add(500 * time.Millisecond); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		started, stopped := runsIn(agent.pollOrders("s.2", restarted))
		// The order for the run in progress tells the agent its step.
		assert.DeepEqual(t, started, []int32{1})
		assert.DeepEqual(t, stopped, []int32(nil))
	}
}
