package coordinator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

const servingJob = "00000000000000aa"

// strainedAgent is the agent of a host with a serving task that is over its target.
type strainedAgent struct {
	*manualAgent
	info    *wire.ExecutorInfo
	running []*wire.TaskRun
}

// report sends a list of runs and returns the orders to start best-effort tasks.
func (a *strainedAgent) report() []*wire.StartOrder {
	request := a.request("s.1", a.info)
	request.HasRunning = true
	request.Running = a.running
	var starts []*wire.StartOrder
	for _, order := range a.send(request).GetOrders() {
		if start := order.GetStart(); start.GetStep().GetFillsIdle() {
			starts = append(starts, start)
		}
	}
	time.Sleep(30 * time.Millisecond)
	return starts
}

// newStrainedAgent opens a session with the runs that the leader knows.
func newStrainedAgent(t *testing.T, f *testFleet, leader *entry, known ...*wire.TaskRun) *strainedAgent {
	a := &strainedAgent{
		manualAgent: newManualAgent(t, leader, "host-0"),
		info:        executorInfo("executor-1", 1),
		running:     []*wire.TaskRun{{Task: servingJob + ".0.0.0", Run: 1, Usage: 150}},
	}
	a.open(f, "s.1", a.info, known...)
	return a
}

func bestEffortJob() *wire.Job {
	job := &wire.Job{Id: jobID, Steps: steps(3)}
	job.GetSteps()[0].FillsIdle = true
	return job
}

// replaceLeader ends the leader and returns the next one.
func replaceLeader(f *testFleet) *entry {
	f.killEntry(f.entries[0])
	f.entries = append(f.entries, &entry{name: "entry-1"})
	f.startEntry(f.entries[1])
	return f.leader()
}

// newStrainedFleet returns a fleet with a bound, a leader and a host that runs a
// serving task.
func newStrainedFleet(t *testing.T, wait time.Duration) (*testFleet, *strainedAgent) {
	f := newTestFleet(t, 0, 0, fixedRunTime(-1))
	f.bestEffortWait = wait
	f.entries = append(f.entries, &entry{name: "entry-0"})
	f.startEntry(f.entries[0])
	leader := f.leader()
	a := newStrainedAgent(t, f, leader)
	serving := &wire.Job{Id: servingJob, Steps: steps(1)}
	serving.GetSteps()[0].LongRunning = true
	serving.GetSteps()[0].TargetLatencyMs = 100
	// Where less is requested, a quarter of the bound applies.
	serving.GetSteps()[0].GetResources().Millicores = a.info.GetCapacity().GetMillicores() / 2
	f.submit(leader, serving)
	f.waitFor("serving task", func() bool { return len(a.pollOrders("s.1", a.info)) > 0 })
	a.report()
	return f, a
}

// Guards against a job that never starts beside a service over its target, a start
// at full pace there, also by the next leader's repetition of the order, and a second
// start while the job has a run in progress.
func TestStartIsForcedAtTheBound(t *testing.T) {
	t.Parallel()
	f, a := newStrainedFleet(t, 700*time.Millisecond)
	f.submit(f.entries[0], bestEffortJob())
	submitted := time.Now()
	var starts []*wire.StartOrder
	f.waitFor("forced start", func() bool {
		starts = a.report()
		return len(starts) > 0
	})
	assert.Assert(t, time.Since(submitted) >= 600*time.Millisecond, "after %s", time.Since(submitted))
	a.running = append(a.running, &wire.TaskRun{Task: starts[0].GetTask(), Run: 1})
	for range 50 {
		starts = a.report()
		assert.Equal(t, len(starts), 1)
		assert.Equal(t, starts[0].GetPercent(), int32(10))
	}
	// The next leader doesn't find the run in progress.
	next := newStrainedAgent(t, f, replaceLeader(f), a.running[0])
	f.waitFor("repeated start", func() bool {
		starts = next.report()
		return len(starts) > 0
	})
	assert.Assert(t, starts[0].GetRepeated())
	assert.Equal(t, starts[0].GetPercent(), int32(10))
}

// Guards against a wait that begins anew with each leader.
func TestNewLeaderContinuesTheWait(t *testing.T) {
	t.Parallel()
	const wait = 6 * time.Second
	f, a := newStrainedFleet(t, wait)
	f.submit(f.entries[0], bestEffortJob())
	submitted := time.Now()
	for time.Since(submitted) < wait/2 {
		assert.Equal(t, len(a.report()), 0, "forced after %s", time.Since(submitted))
	}
	next := newStrainedAgent(t, f, replaceLeader(f), a.running[0])
	f.waitFor("forced start", func() bool { return len(next.report()) > 0 })
	waited := time.Since(submitted)
	assert.Assert(t, waited > wait-200*time.Millisecond && waited < wait+wait/3, "forced after %s", waited)
}
