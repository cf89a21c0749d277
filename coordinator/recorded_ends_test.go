package coordinator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

// Guards against a response for each recorded end: in a fleet of hundreds of hosts, the polls
// that follow take most of the leader's processor time.
func TestRecordedEndAloneDoesNotEndAPollAtOnce(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 0, fixedRunTime(time.Minute))
	leader := f.leader()
	agent := newManualAgent(t, leader, "host-0")
	info := executorInfo("executor", 1)
	agent.open(f, "s.1", info)
	queue := &wire.Queue{Name: "previews", Service: service, MaxAttempts: 3, Stretch: 1.5}
	f.submitTo(leader, queue, &wire.Job{Id: jobID, Steps: steps(1)})
	var received int64
	f.waitFor("start order", func() bool {
		orders := agent.pollOrders("s.1", info)
		if len(orders) == 0 {
			return false
		}
		received = orders[len(orders)-1].GetNumber()
		return true
	})

	end := agent.request("s.1", info)
	end.OrdersReceived = received
	end.Ends = []*wire.RunEnd{{
		Number: 1,
		Task:   jobID + ".0.0.0",
		Run:    1,
		Cause:  wire.EndCause_END_CAUSE_DONE,
	}}
	sent := time.Now()
	agent.send(end)
	poll := agent.request("s.1", info)
	poll.OrdersReceived = received
	poll.WaitMs = 1000
	response := agent.send(poll)
	assert.Equal(t, response.GetEndsRecorded(), int64(1))
	assert.Assert(t, time.Since(sent) >= 200*time.Millisecond, "%s", time.Since(sent))
}
