package coordinator_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

const (
	// reportTime covers the agent's report of a lost connection and its storage.
	reportTime = 60 * time.Millisecond
	// afterCrashWindow is the time after the start of a task from which a crash
	// isn't related to it.
	afterCrashWindow = 700 * time.Millisecond
)

// taskTime returns run times of d for the tasks of jobID and short ones for others.
func taskTime(d time.Duration) func(string) time.Duration {
	return func(task string) time.Duration {
		if strings.HasPrefix(task, jobID) {
			return d
		}
		return 100 * time.Millisecond
	}
}

// assertNotGivenUp fails the test if the job has failed.
func (f *testFleet) assertNotGivenUp(round int) {
	f.t.Helper()
	assert.Assert(f.t, f.jobState(f.leader(), jobID) != wire.JobState_JOB_STATE_FAILED,
		"a healthy job was given up in round %d", round)
}

// Guards against a healthy job that is given up because the connections of a living
// executor were reset and it then did not respond until its lease had expired.
func TestResetBeforeLeaseExpiryIsNoCrash(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 2, taskTime(10*time.Second))
	f.submit(f.leader(), &wire.Job{Id: jobID, Steps: steps(1)})
	for round := 1; round <= 3; round++ {
		f.waitFor("start", func() bool { return f.starts() >= round })
		h := f.busyHost()
		h.executor.SetResetting(true)
		time.Sleep(reportTime)
		h.executor.SetUnresponsive(true)
		h.executor.SetResetting(false)
		f.waitFor("next start", func() bool {
			return f.starts() > round || f.jobState(f.leader(), jobID) == wire.JobState_JOB_STATE_FAILED
		})
		h.executor.SetUnresponsive(false)
		f.assertNotGivenUp(round)
	}
}

// Guards against a healthy job that is given up for crashes by chance long after its
// starts: connections were reset at each start, and the agent ended before it could
// withdraw its report.
func TestExposureEndsWithRestartOfAgent(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 1, taskTime(10*time.Second))
	f.bootCrashed()
	f.submit(f.leader(), &wire.Job{Id: jobID, Steps: steps(1)})
	for round := 1; round <= 3; round++ {
		f.waitFor("start", func() bool { return f.starts() >= round })
		h := f.hosts[0]
		h.executor.SetResetting(true)
		time.Sleep(reportTime)
		f.killAgent(h)
		h.executor.SetResetting(false)
		f.startAgent(h)
		time.Sleep(afterCrashWindow)
		assert.Equal(t, f.starts(), round)
		h.executor.Crash()
		f.waitFor("next start", func() bool {
			return f.starts() > round || f.jobState(f.leader(), jobID) == wire.JobState_JOB_STATE_FAILED
		})
		f.assertNotGivenUp(round)
	}
}
