package coordinator_test

import (
	"slices"
	"testing"
	"time"

	"damaskspread.example/damaskspread/wire"
)

// Guards against a task that waits for good: the leader receives the end of a run right
// after a list that still shows it, and takes it for a run in progress.
func TestNextRunFollowsAnEndAfterAnOlderList(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 0, fixedRunTime(time.Minute))
	leader := f.leader()
	agent := newManualAgent(t, leader, "host-0")
	info := executorInfo("executor", 1)
	agent.open(f, "s.1", info)
	queue := &wire.Queue{Name: "previews", Service: service, MaxAttempts: 3, Stretch: 1.5}
	f.submitTo(leader, queue, &wire.Job{Id: jobID, Steps: steps(1)})
	waitStarted := func(run int32) {
		t.Helper()
		f.waitFor("start order", func() bool {
			started, _ := runsIn(agent.pollOrders("s.1", info))
			return slices.Contains(started, run)
		})
	}
	waitStarted(1)
	task := jobID + ".0.0.0"
	list := agent.request("s.1", info)
	list.HasRunning = true
	list.Running = []*wire.TaskRun{{Task: task, Run: 1}}
	agent.send(list)
	end := agent.request("s.1", info)
	end.Ends = []*wire.RunEnd{{
		Number: 1,
		Task:   task,
		Run:    1,
		Cause:  wire.EndCause_END_CAUSE_FAILED,
	}}
	agent.send(end)
	waitStarted(2)
}
