package coordinator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

const (
	// lastingLimit is the time after the end of its last run within which a task that
	// lasts has to run again.
	lastingLimit = 9 * time.Second
	// shortTerm is shorter than the longest lease.
	shortTerm = 1500 * time.Millisecond
)

// newLastingTask returns a fleet with a task that lasts, and the host that runs it.
func newLastingTask(t *testing.T) (*testFleet, *host) {
	f := newTestFleet(t, 3, 2, fixedRunTime(-1))
	job := &wire.Job{Id: jobID, Steps: steps(1)}
	job.Steps[0].LongRunning = true
	f.submit(f.leader(), job)
	return f, f.busyHost()
}

// runsAgain reports whether the second run of the task has started.
func (f *testFleet) runsAgain() bool {
	return f.countEvents(wire.EndCause_END_CAUSE_UNSPECIFIED) == 2
}

// loseLeaders kills each leader at the end of its term, and restarts it, until the task
// runs again or lastingLimit has passed. With all, every entry process is killed with it.
func (f *testFleet) loseLeaders(term time.Duration, all bool) {
	f.loseLeadersFor(lastingLimit, term, all)
}

func (f *testFleet) loseLeadersFor(limit, term time.Duration, all bool) {
	for deadline := time.Now().Add(limit); !f.runsAgain() && time.Now().Before(deadline); {
		leader := f.leader()
		for end := time.Now().Add(term); !f.runsAgain() && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			f.noticeLeaseEnds()
		}
		if f.runsAgain() {
			return
		}
		for _, e := range f.entries {
			if e == leader || all {
				f.killEntry(e)
			}
		}
		for _, e := range f.entries {
			if !e.tomb.Alive() {
				f.startEntry(e)
			}
		}
	}
}

// noticeLeaseEnds calls the executors: an emulated one notices the end of its lease then.
func (f *testFleet) noticeLeaseEnds() {
	for _, h := range f.hosts {
		h.executor.Running()
	}
}

// Guards against a wait for the lease of a lost executor that begins again with each leader.
func TestTaskOfALostHostRunsAgainWhileLeadersAreLostInSeries(t *testing.T) {
	t.Parallel()
	f, lost := newLastingTask(t)
	lost.executor.Crash()
	f.killAgent(lost)
	lostAt := time.Now()
	f.loseLeaders(shortTerm, false)
	assert.Assert(t, f.runsAgain())
	assert.Assert(t, time.Since(lostAt) < lastingLimit, "%s", time.Since(lostAt))
}

// Guards against a wait that is forgotten when all entry processes restart.
func TestTaskOfALostHostRunsAgainWhileAllEntriesRestartInSeries(t *testing.T) {
	t.Parallel()
	f, lost := newLastingTask(t)
	lost.executor.Crash()
	f.killAgent(lost)
	lostAt := time.Now()
	f.loseLeaders(2*time.Second, true)
	assert.Assert(t, f.runsAgain())
	assert.Assert(t, time.Since(lostAt) < lastingLimit, "%s", time.Since(lostAt))
}

// Guards against a second run beside one whose executor lives and holds its lease, without
// an agent and through several leaders.
func TestRunWithoutAgentIsOverBeforeTheNextStarts(t *testing.T) {
	t.Parallel()
	for name, all := range map[string]bool{
		"leaders lost in series":        false,
		"all entries restart in series": true,
	} {
		t.Run(name, func(t *testing.T) {
			f, silent := newLastingTask(t)
			f.killAgent(silent)
			f.loseLeaders(shortTerm, all)
			f.waitFor("next run", func() bool {
				f.noticeLeaseEnds()
				return f.runsAgain()
			})
			f.assertNoDuplicateRuns()
		})
	}
}
