package coordinator_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// olderRun is a task on a host whose agent refused run 1 and now lists it: its start
// took effect late. The leader has ordered run 2 there. A second host has room.
type olderRun struct {
	f            *testFleet
	agent, other *manualAgent
	info, second *wire.ExecutorInfo
	// session is that of agent.
	session string
}

const (
	olderRunTask = jobID + ".0.0.0"
	// heldBackFor is the time of several scheduling cycles.
	heldBackFor = 500 * time.Millisecond
)

func newOlderRun(t *testing.T) *olderRun {
	return newOlderRunIn(t, newTestFleet(t, 1, 0, fixedRunTime(-1)))
}

// newOlderRunIn is newOlderRun in a fleet without hosts.
func newOlderRunIn(t *testing.T, f *testFleet) *olderRun {
	leader := f.leader()
	o := &olderRun{
		f:       f,
		agent:   newManualAgent(t, leader, "host-0"),
		other:   newManualAgent(t, leader, "host-1"),
		info:    executorInfo("executor-0", 1),
		second:  executorInfo("executor-1", 1),
		session: "s.1",
	}
	o.agent.open(f, o.session, o.info)
	f.submit(leader, &wire.Job{Id: jobID, Steps: steps(1)})
	o.waitStarted(1)
	o.agent.send(o.refusing(o.agent.request(o.session, o.info), 1))
	o.waitStarted(2)
	o.other.open(f, "o.1", o.second)
	return o
}

// refusing adds the refusal of a run to a request.
func (o *olderRun) refusing(request *wire.ExchangeRequest, run int32) *wire.ExchangeRequest {
	request.Refusals = append(request.Refusals, &wire.StartRefusal{
		Task:   olderRunTask,
		Run:    run,
		Reason: string(damaskspread.RefusedOldRun),
	})
	return request
}

// orders returns the runs that the present orders of both hosts start, stopped those
// that the orders of the first host stop.
func (o *olderRun) orders() (started, stopped []int32) {
	started, stopped = runsIn(o.agent.send(o.agent.request(o.session, o.info)).GetOrders())
	elsewhere, _ := runsIn(o.other.send(o.other.request("o.1", o.second)).GetOrders())
	return append(started, elsewhere...), stopped
}

func (o *olderRun) waitStarted(run int32) {
	o.f.t.Helper()
	o.f.waitFor("start order", func() bool {
		started, _ := runsIn(o.agent.pollOrders(o.session, o.info))
		return slices.Contains(started, run)
	})
}

// assertHeldBack asserts that the leader orders the stop of run 1 and does not order
// run 3 in several scheduling cycles.
func (o *olderRun) assertHeldBack() {
	o.f.t.Helper()
	o.f.waitFor("stop order of run 1", func() bool {
		started, stopped := o.orders()
		assert.Assert(o.f.t, !slices.Contains(started, 3), "run 3 was ordered while run 1 is in progress")
		return slices.Contains(stopped, 1)
	})
	o.assertNoRun3()
}

func (o *olderRun) assertNoRun3() {
	o.f.t.Helper()
	for deadline := time.Now().Add(heldBackFor); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		started, _ := o.orders()
		assert.Assert(o.f.t, !slices.Contains(started, 3), "run 3 was ordered")
	}
}

// endReport is a request with the end of run 1.
func (o *olderRun) endReport(cause wire.EndCause) *wire.ExchangeRequest {
	request := o.agent.request(o.session, o.info)
	request.HasRunning = true
	request.Ends = []*wire.RunEnd{{
		Number: 1,
		Task:   olderRunTask,
		Run:    1,
		Cause:  cause,
	}}
	return request
}

func (o *olderRun) waitRun3() {
	o.f.t.Helper()
	o.f.waitFor("order of run 3", func() bool {
		started, _ := o.orders()
		return slices.Contains(started, 3)
	})
}

// listInOpening opens a session with run 1 in progress, in which run 2 is refused.
func (o *olderRun) listInOpening() {
	o.session = "s.2"
	run := &wire.TaskRun{Task: olderRunTask, Run: 1}
	o.f.waitFor("session", func() bool {
		return !o.agent.send(o.refusing(o.agent.opening(o.session, o.info, run), 2)).GetReopen()
	})
}

// listLater lists run 1 in the open session, in which run 2 is refused.
func (o *olderRun) listLater() {
	request := o.refusing(o.agent.request(o.session, o.info), 2)
	request.HasRunning = true
	request.Running = []*wire.TaskRun{{Task: olderRunTask, Run: 1}}
	o.agent.send(request)
}

// Guards against two runs of one task: the list that opens a session shows an older
// run of a task that waits, and the leader orders its next run beside it.
func TestNextRunWaitsForAnOlderRunOfTheOpening(t *testing.T) {
	t.Parallel()
	t.Run("ended", func(t *testing.T) {
		o := newOlderRun(t)
		o.listInOpening()
		o.assertHeldBack()
		o.agent.send(o.endReport(wire.EndCause_END_CAUSE_STOPPED))
		o.waitRun3()
	})
	t.Run("replaced", func(t *testing.T) {
		o := newOlderRun(t)
		o.listInOpening()
		o.assertHeldBack()
		o.session, o.info = "s.3", executorInfo("executor-0", 2)
		o.agent.open(o.f, o.session, o.info)
		o.waitRun3()
	})
	t.Run("lost", func(t *testing.T) {
		o := newOlderRun(t)
		o.listInOpening()
		o.assertHeldBack()
		o.f.waitFor("order of run 3 on the other host", func() bool {
			started, _ := runsIn(o.other.pollOrders("o.1", o.second))
			return slices.Contains(started, 3)
		})
	})
}

// Guards against two runs of one task: a later list of an open session shows an
// older run of a task that waits, and the leader orders its next run beside it.
func TestNextRunWaitsForAnOlderRunOfALaterList(t *testing.T) {
	t.Parallel()
	o := newOlderRun(t)
	o.listLater()
	o.assertHeldBack()
	o.agent.send(o.endReport(wire.EndCause_END_CAUSE_STOPPED))
	o.waitRun3()
}

// Guards against a start after an end "done": a run that is not the latest one of its
// task is done, also before the stop that the leader ordered takes effect.
func TestNoRunAfterAnOlderRunIsDone(t *testing.T) {
	t.Parallel()
	t.Run("listed before", func(t *testing.T) {
		o := newOlderRun(t)
		o.listInOpening()
		o.agent.send(o.endReport(wire.EndCause_END_CAUSE_DONE))
		o.assertNoRun3()
	})
	t.Run("not listed before", func(t *testing.T) {
		o := newOlderRun(t)
		o.agent.send(o.refusing(o.endReport(wire.EndCause_END_CAUSE_DONE), 2))
		o.assertNoRun3()
	})
}
