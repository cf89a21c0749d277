package coordinator_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

// second opens a session of another host and returns a function that reports whether the
// run was ordered there.
func (o *orderedBefore) second() func(run int32) bool {
	info := executorInfo("executor-1", 1)
	other := newManualAgent(o.f.t, o.f.leader(), "host-1")
	other.open(o.f, "o.1", info)
	return func(run int32) bool {
		started, _ := runsIn(other.send(other.request("o.1", info)).GetOrders())
		return slices.Contains(started, run)
	}
}

// silent is the report of an agent whose executor does not respond.
func (o *orderedBefore) silent(left time.Duration, ends ...*wire.RunEnd) *wire.ExchangeRequest {
	request := o.agent.request("n.1", o.info)
	request.ExecutorSilent = true
	request.LeaseLeftMs = left.Milliseconds()
	request.Ends = ends
	return request
}

// Guards against a task that waits for the longest lease that an earlier leader may have
// granted, although the agent of the host knows that the lease ends sooner. It must not
// start before that either.
func TestLeaseThatOnlyTheAgentKnows(t *testing.T) {
	t.Parallel()
	o := newOrderedBefore(t, oneTask())
	ordered := o.second()
	const left = 1500 * time.Millisecond
	reported := time.Now()
	response := o.agent.send(o.silent(left))
	assert.Assert(t, response.GetAbsenceStored())
	o.f.waitFor("start elsewhere", func() bool { return ordered(2) })
	assert.Assert(t, time.Since(reported) > left, "%s", time.Since(reported))
	assert.Assert(t, time.Since(reported) < left+time.Second, "%s", time.Since(reported))
}

// Guards against a late report that ends the lease of an executor which has opened a
// session meanwhile, and against one of an earlier epoch.
func TestLateReportOfASilentExecutor(t *testing.T) {
	t.Parallel()
	o := newOrderedBefore(t, oneTask())
	ordered := o.second()
	old := o.silent(0)
	old.Epoch--
	assert.Assert(t, o.agent.send(old).GetReopen())
	o.agent.open(o.f, "n.1", o.info, &wire.TaskRun{Task: olderRunTask, Run: 1})
	assert.Assert(t, !o.agent.send(o.silent(0)).GetAbsenceStored())
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		assert.Assert(t, !ordered(2))
	}
}

// Guards against a departure that a leader has acknowledged and not stored: the next one
// would wait for the lease. Its agent repeats the report, with the ends that no leader has
// stored, and a task that is done there must not run again.
func TestDepartureIsReportedToEachLeader(t *testing.T) {
	t.Parallel()
	for name, cause := range map[string]wire.EndCause{
		"stopped": wire.EndCause_END_CAUSE_STOPPED,
		"done":    wire.EndCause_END_CAUSE_DONE,
	} {
		t.Run(name, func(t *testing.T) {
			o := newOrderedBefore(t, oneTask())
			ordered := o.second()
			request := o.agent.request("n.1", o.info)
			request.ExecutorLeft = true
			request.Ends = []*wire.RunEnd{{Number: 1, Task: olderRunTask, Run: 1, Cause: cause}}
			assert.Assert(t, o.agent.send(request).GetAbsenceStored())
			if cause == wire.EndCause_END_CAUSE_DONE {
				o.f.waitSucceeded(o.f.leader(), jobID)
				assert.Assert(t, !ordered(2))
				return
			}
			o.f.waitFor("start elsewhere", func() bool { return ordered(2) })
		})
	}
}

// Guards against an agent that forgets a departure before it is stored.
func TestDepartureIsNotAcknowledgedBeforeItIsStored(t *testing.T) {
	t.Parallel()
	o := newOrderedBefore(t, oneTask())
	o.second()
	leader := o.f.leader()
	leader.client.SetDown(true)
	request := o.agent.request("n.1", o.info)
	request.ExecutorLeft = true
	assert.Assert(t, !o.agent.send(request).GetAbsenceStored())
	leader.client.SetDown(false)
}
