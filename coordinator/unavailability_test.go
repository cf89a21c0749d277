package coordinator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

// Guards against a second task of a step that is stopped, although only one may be
// unavailable: the executor of the first doesn't respond, and its lease is not over yet.
func TestNoPreemptionBesideAnExecutorThatDoesNotRespond(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 0, fixedRunTime(-1))
	leader := f.leader()
	agents := []*manualAgent{newManualAgent(t, leader, "host-0"), newManualAgent(t, leader, "host-1")}
	infos := []*wire.ExecutorInfo{executorInfo("executor-0", 1), executorInfo("executor-1", 1)}
	for i, agent := range agents {
		agent.open(f, "s.1", infos[i])
	}
	lasting := &wire.JobStep{
		Count:          2,
		LongRunning:    true,
		MaxUnavailable: 1,
		AntiAffinity:   1,
		Resources:      &wire.Resources{Millicores: defaultMillicores},
	}
	nightly := defaultQueue()
	nightly.Name, nightly.Priority = "nightly", 5
	f.submitTo(leader, nightly, &wire.Job{Id: jobID, Steps: []*wire.JobStep{lasting}})
	var running [2][]*wire.TaskRun
	for i, agent := range agents {
		f.waitFor("start order", func() bool {
			for _, order := range agent.pollOrders("s.1", infos[i]) {
				running[i] = []*wire.TaskRun{{Task: order.GetStart().GetTask(), Run: 1}}
			}
			return len(running[i]) > 0
		})
	}
	// report sends the reports of both agents and returns the number of stop orders.
	report := func(firstReachable bool) int {
		stops := 0
		for i, agent := range agents {
			request := agent.request("s.1", infos[i])
			request.ExecutorReachable = firstReachable || i > 0
			request.HasRunning = true
			request.Running = running[i]
			_, stopped := runsIn(agent.send(request).GetOrders())
			stops += len(stopped)
		}
		return stops
	}
	// A task counts as at work some seconds after its start.
	for deadline := time.Now().Add(3500 * time.Millisecond); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		assert.Equal(t, report(true), 0)
	}
	report(false)
	f.submit(leader, &wire.Job{Id: healthyJob(0), Steps: steps(1)})
	for deadline := time.Now().Add(heldBackFor); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		assert.Equal(t, report(false), 0, "a second task is stopped")
	}
	f.waitFor("preemption once both are at work", func() bool { return report(true) > 0 })
}
