package coordinator_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

const (
	// manyTasks end on one host while its agent is away, and take several pages of ends.
	manyTasks, endsPerPage = 16, 3
	// manyTaskTime is shorter than an executor's lease, which has to outlive the agent.
	manyTaskTime = 700 * time.Millisecond
)

// playManyEnds runs tasks on a host that lists few ends at a time, and kills its agent. Once
// all tasks have ended, away is called and the agent starts again. A second host has room.
func playManyEnds(t *testing.T, away func(f *testFleet, h *host)) {
	f := newTestFleet(t, 3, 1, fixedRunTime(manyTaskTime))
	h := f.hosts[0]
	h.executor.MaxListedEnds = endsPerPage
	f.waitFor("session", func() bool { return f.leader().coordinator.Sessions() == 1 })
	f.submit(f.leader(), &wire.Job{Id: jobID, Steps: steps(manyTasks)})
	f.waitFor("starts", func() bool { return f.countEvents(wire.EndCause_END_CAUSE_UNSPECIFIED) == manyTasks })
	f.killAgent(h)
	f.hosts = append(f.hosts, f.newHost("host-1"))
	f.startAgent(f.hosts[1])
	f.waitFor("ends", func() bool { return h.executor.Running() == 0 })
	away(f, h)
	f.startAgent(h)
	f.waitFor("success", func() bool { return f.jobState(f.leader(), jobID) == wire.JobState_JOB_STATE_SUCCEEDED })
	assert.Equal(t, f.countEvents(wire.EndCause_END_CAUSE_DONE), manyTasks)
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.DeepEqual(t, f.startsAfterDone, []string(nil))
}

// Guards against second runs of tasks that are done: more ends wait on an executor than it
// lists at a time when its agent starts again, also if the leader or another process of the
// agent is lost before the first of them are stored.
func TestManyEndsWaitForTheAgent(t *testing.T) {
	t.Parallel()
	for name, away := range map[string]func(f *testFleet, h *host){
		"agent lost": func(*testFleet, *host) {},
		"leader lost too": func(f *testFleet, _ *host) {
			f.killEntry(f.leader())
		},
		"leader lost after the opening": func(f *testFleet, _ *host) {
			leader := f.leader()
			f.mu.Lock()
			defer f.mu.Unlock()
			f.onOpening = func(request *wire.ExchangeRequest) {
				if request.GetHost() == "host-0" && leader.tomb.Alive() {
					go f.killEntry(leader)
				}
			}
		},
		"agent lost again before the ends are stored": func(f *testFleet, h *host) {
			leader := f.leader()
			leader.client.SetDown(true)
			f.startAgent(h)
			time.Sleep(200 * time.Millisecond)
			f.killAgent(h)
			leader.client.SetDown(false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playManyEnds(t, away)
		})
	}
}

// openWithoutAllEnds opens a session whose list lacks run 1. The agent does not know all
// ends of its executor yet.
func (o *olderRun) openWithoutAllEnds(session string) {
	o.session = session
	o.f.waitFor("session", func() bool {
		opening := o.agent.opening(o.session, o.info)
		opening.MoreEnds = true
		return !o.agent.send(opening).GetReopen()
	})
}

// Guards against a start after an end "done": an older run of a task that waits is not
// listed when its agent opens the next session, because it has ended, and its end is one of
// those that the executor has not listed yet.
func TestNextRunWaitsForTheEndOfAnOlderRunOnALaterPage(t *testing.T) {
	t.Parallel()
	t.Run("done", func(t *testing.T) {
		t.Parallel()
		o := newOlderRun(t)
		o.listInOpening()
		o.assertHeldBack()
		o.openWithoutAllEnds("s.3")
		o.assertNoRun3()
		o.agent.send(o.endReport(wire.EndCause_END_CAUSE_DONE))
		o.assertNoRun3()
		o.f.waitFor("success", func() bool { return o.f.jobState(o.f.leader(), jobID) == wire.JobState_JOB_STATE_SUCCEEDED })
	})
	t.Run("no end on any page", func(t *testing.T) {
		t.Parallel()
		o := newOlderRun(t)
		o.listInOpening()
		o.assertHeldBack()
		o.openWithoutAllEnds("s.3")
		o.openWithoutAllEnds("s.4")
		o.assertNoRun3()
		complete := o.agent.request(o.session, o.info)
		complete.HasRunning = true
		o.agent.send(complete)
		o.waitRun3()
	})
	t.Run("in progress after all", func(t *testing.T) {
		t.Parallel()
		o := newOlderRun(t)
		o.listInOpening()
		o.assertHeldBack()
		o.openWithoutAllEnds("s.3")
		o.session = "s.4"
		run := &wire.TaskRun{Task: olderRunTask, Run: 1}
		o.agent.open(o.f, o.session, o.info, run)
		o.assertHeldBack()
	})
}

// Guards against starts that are ordered again for runs that have ended: a new session's
// list shows none of them, because the agent does not know all ends yet. They follow once
// it does.
func TestStartsAreRepeatedOnceAllEndsAreKnown(t *testing.T) {
	t.Parallel()
	o := newOrderedBefore(t, oneTask())
	o.f.waitFor("session", func() bool {
		opening := o.agent.opening("n.1", o.info)
		opening.MoreEnds = true
		response := o.agent.send(opening)
		return response.GetLeader() == nil && !response.GetReopen()
	})
	time.Sleep(heldBackFor)
	started, stopped := runsIn(o.agent.send(o.agent.request("n.1", o.info)).GetOrders())
	assert.Equal(t, len(started)+len(stopped), 0, "started %v, stopped %v", started, stopped)
	complete := o.agent.request("n.1", o.info)
	complete.HasRunning = true
	o.agent.send(complete)
	o.f.waitFor("repeated start", func() bool {
		started, _ := runsIn(o.agent.pollOrders("n.1", o.info))
		return slices.Contains(started, 1)
	})
}

// Guards against run times that are learned too long: ends of a later page are as old as
// those of the opening.
func TestEndsOfLaterPagesTeachNoRunTimes(t *testing.T) {
	t.Parallel()
	f := learningFleet(t, 0, -1)
	leader := f.leader()
	agent := newManualAgent(t, leader, "host-0")
	info := executorInfo("executor-1", 1)
	agent.open(f, "s.1", info)
	f.submit(leader, &wire.Job{Id: jobID, Steps: estimatedSteps(2, time.Second)})
	f.waitFor("start orders", func() bool {
		started, _ := runsIn(agent.pollOrders("s.1", info))
		return len(started) == 2
	})
	end := func(request *wire.ExchangeRequest, number int64, task string) {
		request.Ends = []*wire.RunEnd{{
			Number: number,
			Task:   task,
			Run:    1,
			Cause:  wire.EndCause_END_CAUSE_DONE,
		}}
		agent.send(request)
		f.waitFor("record of the end", func() bool {
			return agent.send(agent.request("s.2", info)).GetEndsRecorded() == number
		})
	}
	opening, last := agent.opening("s.2", info), agent.request("s.2", info)
	opening.MoreEnds = true
	last.HasRunning = true
	end(opening, 1, jobID+".0.0.0")
	end(last, 2, jobID+".0.0.1")
	f.waitSucceeded(leader, jobID)
	assert.Equal(t, leader.coordinator.RunTimeStats().Observed, int64(0))
}
