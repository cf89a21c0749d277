package coordinator_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

// copyAgent is a manual agent that reports the runs that the test puts into running, and
// notes the orders.
type copyAgent struct {
	*manualAgent
	info     *wire.ExecutorInfo
	session  string
	running  []*wire.TaskRun
	ends     []*wire.RunEnd
	refusals []*wire.StartRefusal
	started  map[startedRun]bool
	stopped  map[startedRun]bool
}

type startedRun struct {
	task string
	run  int32
}

// open opens a session with the present runs.
func (a *copyAgent) open(f *testFleet, session string) {
	a.session = session
	a.started, a.stopped = map[startedRun]bool{}, map[startedRun]bool{}
	a.manualAgent.open(f, session, a.info, a.running...)
}

// report sends the runs, ends and refusals and notes the orders.
func (a *copyAgent) report() {
	request := a.request(a.session, a.info)
	request.HasRunning = true
	request.Running = a.running
	request.Ends = a.ends
	request.Refusals = a.refusals
	a.refusals = nil
	for _, order := range a.send(request).GetOrders() {
		if start := order.GetStart(); start != nil && !start.GetRepeated() {
			a.started[startedRun{start.GetTask(), start.GetRun()}] = true
		}
		if stop := order.GetStop(); stop != nil {
			a.stopped[startedRun{stop.GetTask(), stop.GetRun()}] = true
		}
	}
}

func (a *copyAgent) end(run int32, cause wire.EndCause) {
	a.running = slices.DeleteFunc(a.running, func(r *wire.TaskRun) bool { return r.GetRun() == run })
	a.ends = append(a.ends, &wire.RunEnd{
		Number: int64(len(a.ends)) + 1,
		Task:   copiedTask,
		Run:    run,
		Cause:  cause,
	})
}

// copyPlay is a fleet of two hosts. Run 1 of a task is a straggler on the first, and its
// copy, run 2, is in progress on the second.
type copyPlay struct {
	f             *testFleet
	first, second *copyAgent
}

const copiedTask = jobID + ".0.0.0"

// speculativeStep returns a step of one task of a second that may be copied.
func speculativeStep() []*wire.JobStep {
	all := estimatedSteps(1, time.Second)
	all[0].Speculative = true
	return all
}

// newCopyFleet returns a fleet without hosts in which stragglers may be copied.
func newCopyFleet(t *testing.T, entries int) *testFleet {
	f := newTestFleet(t, 0, 0, fixedRunTime(-1))
	f.speculativeCopies = true
	for i := range entries {
		f.entries = append(f.entries, &entry{name: "entry-" + string(rune('a'+i))})
		f.startEntry(f.entries[i])
	}
	return f
}

func newCopyAgent(t *testing.T, leader *entry, host, id string) *copyAgent {
	return &copyAgent{
		manualAgent: newManualAgent(t, leader, host),
		info:        executorInfo(id, 1),
	}
}

// newStraggler returns a play before the copy is ordered.
func newStraggler(f *testFleet, steps []*wire.JobStep) *copyPlay {
	leader := f.leader()
	p := &copyPlay{
		f:      f,
		first:  newCopyAgent(f.t, leader, "host-0", "executor-0"),
		second: newCopyAgent(f.t, leader, "host-1", "executor-1"),
	}
	p.first.open(f, "a.1")
	f.submit(leader, &wire.Job{Id: jobID, Steps: steps})
	f.waitFor("start order", func() bool {
		p.first.report()
		return p.first.starts(1)
	})
	p.first.running = []*wire.TaskRun{{Task: copiedTask, Run: 1, Percent: 1}}
	p.second.open(f, "b.1")
	return p
}

func newCopyPlay(t *testing.T) *copyPlay {
	p := newStraggler(newCopyFleet(t, 1), speculativeStep())
	p.waitFor("copy", func() bool { return p.second.starts(2) })
	p.second.running = []*wire.TaskRun{{Task: copiedTask, Run: 2, Percent: 1}}
	return p
}

func (a *copyAgent) starts(run int32) bool { return a.started[startedRun{copiedTask, run}] }

func (a *copyAgent) stops(run int32) bool { return a.stopped[startedRun{copiedTask, run}] }

func (p *copyPlay) report() {
	p.first.report()
	p.second.report()
}

func (p *copyPlay) waitFor(what string, condition func() bool) {
	p.f.t.Helper()
	p.f.waitFor(what, func() bool {
		p.report()
		return condition()
	})
}

// assertUndisturbed asserts that in the time of several cycles no run is stopped, and no
// third one started.
func (p *copyPlay) assertUndisturbed() {
	p.f.t.Helper()
	for deadline := time.Now().Add(heldBackFor); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		p.report()
		assert.Assert(p.f.t, !p.starts(3), "run 3 was ordered")
		assert.Equal(p.f.t, len(p.first.stopped)+len(p.second.stopped), 0, "%v %v", p.first.stopped, p.second.stopped)
	}
}

func (p *copyPlay) starts(run int32) bool { return p.first.starts(run) || p.second.starts(run) }

func (p *copyPlay) waitSucceeded() {
	p.f.t.Helper()
	p.waitState(wire.JobState_JOB_STATE_SUCCEEDED)
	assert.Assert(p.f.t, !p.starts(3), "run 3 was ordered")
}

func (p *copyPlay) waitState(state wire.JobState) {
	p.f.t.Helper()
	p.waitFor("state "+state.String(), func() bool { return p.f.jobState(p.f.leader(), jobID) == state })
}

// replaceLeader kills the leader, starts another entry and makes the agents open sessions
// with the next one.
func (p *copyPlay) replaceLeader() {
	p.f.killEntry(p.f.leader())
	p.f.entries = append(p.f.entries, &entry{name: "entry-next"})
	p.f.startEntry(p.f.entries[len(p.f.entries)-1])
	leader := p.f.leader()
	p.first.manualAgent = newManualAgent(p.f.t, leader, "host-0")
	p.second.manualAgent = newManualAgent(p.f.t, leader, "host-1")
	p.first.open(p.f, "a.2")
	p.second.open(p.f, "b.2")
}
