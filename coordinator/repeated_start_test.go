package coordinator_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// orderedBefore is a fleet in which an earlier leader has ordered run 1 of a task on a host
// and a new one has taken over. The host's agent has not opened a session with it.
type orderedBefore struct {
	f     *testFleet
	agent *manualAgent
	info  *wire.ExecutorInfo
}

func newOrderedBefore(t *testing.T, job *wire.Job) *orderedBefore {
	f := newTestFleet(t, 2, 0, fixedRunTime(-1))
	leader := f.leader()
	o := &orderedBefore{f: f, info: executorInfo("executor-0", 1)}
	o.agent = newManualAgent(t, leader, "host-0")
	o.agent.open(f, "s.1", o.info)
	f.submit(leader, job)
	f.waitFor("start order", func() bool {
		started, _ := runsIn(o.agent.pollOrders("s.1", o.info))
		return slices.Contains(started, 1)
	})
	f.killEntry(leader)
	o.agent = newManualAgent(t, f.leader(), "host-0")
	return o
}

// orders opens a session with the new leader and returns the runs that it orders to start
// and to stop in the time of several scheduling cycles.
func (o *orderedBefore) orders(running ...*wire.TaskRun) (started, stopped []int32) {
	o.agent.open(o.f, "n.1", o.info, running...)
	time.Sleep(heldBackFor)
	return runsIn(o.agent.send(o.agent.request("n.1", o.info)).GetOrders())
}

func oneTask() *wire.Job { return &wire.Job{Id: jobID, Steps: steps(1)} }

// Guards against a new leader that repeats the start of an earlier one in a zone that was
// taken out of service meanwhile. The task has to start elsewhere.
func TestStartIsNotRepeatedInAZoneThatIsOut(t *testing.T) {
	t.Parallel()
	o := newOrderedBefore(t, oneTask())
	o.f.operations.takeOut("zone")
	started, stopped := o.orders()
	assert.Equal(t, len(started), 0, "started %v", started)
	assert.DeepEqual(t, stopped, []int32{1})

	second := executorInfo("executor-1", 1)
	second.Zone = "other"
	other := newManualAgent(t, o.f.leader(), "host-1")
	other.open(o.f, "o.1", second)
	refused := o.agent.request("n.1", o.info)
	refused.Refusals = []*wire.StartRefusal{{Task: olderRunTask, Run: 1, Reason: "old_run"}}
	o.agent.send(refused)
	o.f.waitFor("start in another zone", func() bool {
		started, _ := runsIn(other.pollOrders("o.1", second))
		return slices.Contains(started, 2)
	})
}

// Guards against a repeated start on a host that no longer has the label of the step, or
// whose executor leaves.
func TestStartIsNotRepeatedAgainstConditions(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(*wire.ExecutorInfo){
		"draining":      func(info *wire.ExecutorInfo) { info.Draining = true },
		"other service": func(info *wire.ExecutorInfo) { info.Service = "other" },
	} {
		t.Run(name, func(t *testing.T) {
			o := newOrderedBefore(t, oneTask())
			change(o.info)
			started, stopped := o.orders()
			assert.Equal(t, len(started), 0, "started %v", started)
			assert.DeepEqual(t, stopped, []int32{1})
		})
	}
}

// Guards against a run in progress that is stopped because its zone was taken out of
// service.
func TestRunInProgressStaysInAZoneThatIsOut(t *testing.T) {
	t.Parallel()
	o := newOrderedBefore(t, oneTask())
	o.f.operations.takeOut("zone")
	_, stopped := o.orders(&wire.TaskRun{Task: olderRunTask, Run: 1})
	assert.Equal(t, len(stopped), 0, "stopped %v", stopped)
}

// Guards against a run in progress that is stopped because the list shows an older run of
// its task after it.
func TestRunBesideAnOlderOneStays(t *testing.T) {
	t.Parallel()
	o := newOrderedBefore(t, oneTask())
	o.f.operations.takeOut("zone")
	_, stopped := o.orders(&wire.TaskRun{Task: olderRunTask, Run: 1}, &wire.TaskRun{Task: olderRunTask, Run: 7})
	assert.Assert(t, !slices.Contains(stopped, 1), "stopped %v", stopped)
}

// Guards against a start that is repeated on a configuration that is too old to decide, and
// against one that is then not repeated at all.
func TestStartIsRepeatedOnceTheConfigurationIsCurrent(t *testing.T) {
	t.Parallel()
	o := newOrderedBefore(t, oneTask())
	o.f.operations.configAge.Store(int64(2 * time.Second))
	started, stopped := o.orders()
	assert.Equal(t, len(started)+len(stopped), 0, "started %v, stopped %v", started, stopped)
	o.f.operations.configAge.Store(0)
	o.f.waitFor("repeated start", func() bool {
		started, _ := runsIn(o.agent.pollOrders("n.1", o.info))
		return slices.Contains(started, 1)
	})
}

// Guards against a gang of which some members start, because the others may not.
func TestGangIsNotRepeatedInPart(t *testing.T) {
	t.Parallel()
	job := &wire.Job{Id: jobID, Steps: []*wire.JobStep{{Count: 2, Gang: true, AntiAffinity: 1, Resources: &wire.Resources{Millicores: 100}}}}
	f := newTestFleet(t, 2, 0, fixedRunTime(-1))
	leader := f.leader()
	infos := []*wire.ExecutorInfo{executorInfo("executor-0", 1), executorInfo("executor-1", 1)}
	infos[1].Zone = "other"
	agents := []*manualAgent{newManualAgent(t, leader, "host-0"), newManualAgent(t, leader, "host-1")}
	for i, agent := range agents {
		agent.open(f, "s.1", infos[i])
	}
	f.submit(leader, job)
	for i, agent := range agents {
		f.waitFor("start order", func() bool {
			started, _ := runsIn(agent.pollOrders("s.1", infos[i]))
			return slices.Contains(started, 1)
		})
	}
	f.killEntry(leader)
	leader = f.leader()
	f.operations.configAge.Store(int64(2 * time.Second))
	f.operations.takeOut("other")
	for i := range agents {
		agents[i] = newManualAgent(t, leader, agents[i].host)
		agents[i].open(f, "n.1", infos[i])
	}
	f.operations.configAge.Store(0)
	time.Sleep(heldBackFor)
	for i, agent := range agents {
		started, stopped := runsIn(agent.send(agent.request("n.1", infos[i])).GetOrders())
		assert.Equal(t, len(started), 0, "agent %d", i)
		assert.DeepEqual(t, stopped, []int32{1})
	}
}

// Guards against a member of a gang that starts alone, from a checkpoint of its own, after the run
// of another member has ended.
func TestGangIsNotRepeatedAfterAnEnd(t *testing.T) {
	t.Parallel()
	resources := &wire.Resources{Millicores: 100}
	o := newOrderedBefore(t, &wire.Job{Id: jobID, Steps: []*wire.JobStep{{Count: 2, Gang: true, Resources: resources}}})
	opening := o.agent.opening("n.1", o.info)
	opening.Ends = []*wire.RunEnd{{
		Number:     1,
		Task:       olderRunTask,
		Run:        1,
		Cause:      wire.EndCause_END_CAUSE_GANG_INCOMPLETE,
		Checkpoint: "checkpoint",
	}}
	o.f.waitFor("takeover", func() bool {
		response := o.agent.send(opening)
		return response.GetLeader() == nil && !response.GetReopen()
	})
	time.Sleep(heldBackFor)
	started, stopped := runsIn(o.agent.send(o.agent.request("n.1", o.info)).GetOrders())
	assert.Equal(t, len(started), 0, "started %v", started)
	assert.DeepEqual(t, stopped, []int32{1})
}

// Guards against jobs that are not counted as pending, although none of their tasks has
// started anywhere, because they are assigned to an executor whose agent is silent.
func TestJobOfASilentHostIsPending(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 1, fixedRunTime(5*time.Second))
	leader := f.leader()
	f.waitFor("session", func() bool { return leader.coordinator.Sessions() == 1 })
	f.killAgent(f.hosts[0])
	f.submit(leader, oneTask())
	f.waitFor("assignment", func() bool { return f.assignedTasks(jobID) > 0 })
	time.Sleep(heldBackFor)
	count, err := leader.submitter.QueuedCount(t.Context(), &wire.Queue{Name: "previews"})
	assert.NilError(t, err)
	assert.Equal(t, count, 1)
	f.startAgent(f.hosts[0])
	f.waitFor("running", func() bool { return f.jobState(leader, jobID) == wire.JobState_JOB_STATE_RUNNING })
}

// Guards against jobs that are not counted as pending, although none of their tasks has
// begun, because the calls that start them are broken off.
func TestJobWithABrokenStartCallIsPending(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 0, fixedRunTime(-1))
	leader := f.leader()
	agent, info := newManualAgent(t, leader, "host-0"), executorInfo("executor-0", 1)
	agent.open(f, "s.1", info)
	f.submit(leader, oneTask())
	f.waitFor("start order", func() bool { return len(agent.pollOrders("s.1", info)) > 0 })
	expose := func(number int64, started bool) {
		request := agent.request("s.1", info)
		request.Exposures = []*wire.CrashExposure{{Number: number, Task: olderRunTask, Run: 1, Started: started}}
		agent.send(request)
	}
	expose(1, false)
	time.Sleep(heldBackFor)
	assert.Equal(t, f.jobState(leader, jobID), wire.JobState_JOB_STATE_QUEUED)
	count, err := leader.submitter.QueuedCount(t.Context(), &wire.Queue{Name: "previews"})
	assert.NilError(t, err)
	assert.Equal(t, count, 1)
	expose(2, true)
	f.waitFor("running", func() bool { return f.jobState(leader, jobID) == wire.JobState_JOB_STATE_RUNNING })
}

// Guards against a start later than a cancellation allows: the inputs are almost too old when it
// is decided, and the order is as late as one with new inputs may be.
func TestOldInputsCountAsAgeOfTheOrder(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 0, fixedRunTime(-1))
	const inputAge = 1400 * time.Millisecond
	f.operations.configAge.Store(int64(inputAge))
	agent, info := newManualAgent(t, f.leader(), "host-0"), executorInfo("executor-0", 1)
	agent.open(f, "s.1", info)
	f.submit(f.leader(), oneTask())
	var orders []*wire.Order
	f.waitFor("start order", func() bool {
		orders = agent.pollOrders("s.1", info)
		return len(orders) > 0
	})
	age := time.Duration(orders[0].GetAgeMs()) * time.Millisecond
	assert.Assert(t, age >= inputAge+damaskspread.MaxStartAge+damaskspread.OrderTimeout-cancelWithin, "age %s", age)
}
