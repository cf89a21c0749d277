package coordinator_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

const (
	// bootDelay is the time from the crash of an executor to the next one on its
	// host.
	bootDelay = 100 * time.Millisecond
	// maxCrashingStarts is the number of starts after which a task that crashes
	// each executor must be given up: two more than the three crashes that must be
	// counted.
	maxCrashingStarts = 5
	crashingTask      = jobID + ".0.0.0"
)

func healthyJob(i int) string { return fmt.Sprintf("00000000000000c%d", i) }

// crashExecutors makes crashingTask crash each executor that starts it, and boots
// crashed executors.
func (f *testFleet) crashExecutors() {
	for _, h := range f.hosts {
		h.executor.Crashes = func(started string) bool { return started == crashingTask }
	}
	f.bootCrashed()
}

// bootCrashed boots executors bootDelay after their crash, until the test ends.
func (f *testFleet) bootCrashed() {
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-time.After(bootDelay):
			case <-stop:
				return
			}
			for _, h := range f.hosts {
				if h.executor.Down() {
					f.boot(h)
				}
			}
		}
	}()
	f.t.Cleanup(func() {
		close(stop)
		<-stopped
	})
}

// submitHealthy submits jobs whose tasks start beside the crashing one.
func (f *testFleet) submitHealthy(e *entry, jobs int) {
	for i := range jobs {
		f.submit(e, &wire.Job{Id: healthyJob(i), Steps: steps(6, 2)})
	}
}

// assertGivenUp waits until the job of the crashing task has failed and all
// healthy jobs have succeeded.
func (f *testFleet) assertGivenUp(healthy int) {
	f.t.Helper()
	e := f.leader()
	f.waitFor("failure of the job whose task crashes executors", func() bool {
		return f.jobState(e, jobID) == wire.JobState_JOB_STATE_FAILED
	})
	for i := range healthy {
		f.waitSucceeded(e, healthyJob(i))
	}
	assert.Assert(f.t, f.starts() <= maxCrashingStarts, "%d starts", f.starts())
	f.assertNoDuplicateRuns()
}

// starts returns the number of starts of crashingTask.
func (f *testFleet) starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, event := range f.events {
		if event.Task == crashingTask && event.Cause == wire.EndCause_END_CAUSE_UNSPECIFIED {
			n++
		}
	}
	return n
}

// Guards against a task that crashes each executor that starts it and is started
// without end.
func TestTaskCrashesExecutors(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 2, 3, fixedRunTime(200*time.Millisecond))
	f.crashExecutors()
	f.submitHealthy(f.leader(), 4)
	f.submit(f.leader(), &wire.Job{Id: jobID, Steps: steps(1)})
	f.assertGivenUp(4)
}

// Guards against a long-running task that crashes executors and, since it has no
// limit of attempts, is started without end.
func TestLongRunningTaskCrashesExecutors(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 2, fixedRunTime(200*time.Millisecond))
	f.crashExecutors()
	job := &wire.Job{Id: jobID, Steps: steps(1)}
	job.Steps[0].LongRunning = true
	f.submit(f.leader(), job)
	f.submitHealthy(f.leader(), 1)
	f.assertGivenUp(1)
}

// Guards against a count of crashes that is lost with the leader.
func TestLeaderDiesBetweenCrashes(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 3, 3, fixedRunTime(200*time.Millisecond))
	f.crashExecutors()
	leader := f.leader()
	f.submit(leader, &wire.Job{Id: jobID, Steps: steps(1)})
	f.submitHealthy(leader, 3)
	for crash := 1; crash <= 2; crash++ {
		f.waitFor("start", func() bool { return f.starts() >= crash })
		f.killEntry(f.leader())
		if crash == 1 {
			f.startEntry(leader)
		}
	}
	f.assertGivenUp(3)
}

// Guards against a crash that is not counted because the agent ends shortly after
// it.
func TestAgentDiesAfterCrash(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 2, fixedRunTime(200*time.Millisecond))
	f.crashExecutors()
	f.submit(f.leader(), &wire.Job{Id: jobID, Steps: steps(1)})
	f.submitHealthy(f.leader(), 2)
	for crash := 1; crash <= 3; crash++ {
		f.waitFor("start", func() bool { return f.starts() >= crash })
		// The agent needs some time to notice the crash and to report it.
		time.Sleep(60 * time.Millisecond)
		for _, h := range f.hosts {
			f.killAgent(h)
			f.startAgent(h)
		}
	}
	f.assertGivenUp(2)
}

// Guards against a crash that is not counted because the response to the start is
// lost.
func TestCrashAfterLostStartResponse(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 3, fixedRunTime(200*time.Millisecond))
	f.crashExecutors()
	for _, h := range f.hosts {
		h.executor.SetLosingStartResponses(true)
	}
	f.submit(f.leader(), &wire.Job{Id: jobID, Steps: steps(1)})
	f.submitHealthy(f.leader(), 2)
	f.assertGivenUp(2)
}

// Guards against healthy jobs that are given up because all hosts lose power several
// times, each time shortly after a start.
func TestPowerLossesAreNoCrashes(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 2, 2, fixedRunTime(300*time.Millisecond))
	f.submit(f.entries[0], &wire.Job{Id: jobID, Steps: steps(1)})
	f.submitHealthy(f.entries[0], 2)
	for loss := 1; loss <= 5; loss++ {
		f.waitFor("start", func() bool { return f.starts() >= loss })
		for _, h := range f.hosts {
			f.killAgent(h)
			h.executor.Crash()
		}
		for _, h := range f.hosts {
			f.boot(h)
			f.startAgent(h)
		}
	}
	f.assertSucceeded(2)
}

// Guards against healthy jobs that are given up because executors stop responding
// until their lease has expired, and return.
func TestCutExecutorsAreNoCrashes(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 2, fixedRunTime(300*time.Millisecond))
	f.submit(f.entries[0], &wire.Job{Id: jobID, Steps: steps(1)})
	f.submitHealthy(f.entries[0], 2)
	for cut := range 3 {
		f.waitFor("start", func() bool { return f.starts() > cut })
		for _, h := range f.hosts {
			h.executor.SetUnresponsive(true)
		}
		time.Sleep(lease + time.Second)
		for _, h := range f.hosts {
			f.boot(h)
			h.executor.SetUnresponsive(false)
		}
		if f.jobState(f.entries[0], jobID) == wire.JobState_JOB_STATE_SUCCEEDED {
			break
		}
	}
	f.assertSucceeded(2)
}

// Guards against a long task that is given up because executors crashed by chance
// while it ran.
func TestChanceCrashesUnderLongTasks(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 2, func(task string) time.Duration {
		if strings.HasPrefix(task, jobID) {
			return 1500 * time.Millisecond
		}
		return 100 * time.Millisecond
	})
	f.bootCrashed()
	f.submit(f.entries[0], &wire.Job{Id: jobID, Steps: steps(2)})
	f.submitHealthy(f.entries[0], 2)
	for crash := 1; crash <= 4; crash++ {
		f.waitFor("start", func() bool { return f.starts() >= crash })
		time.Sleep(700 * time.Millisecond)
		for _, h := range f.hosts {
			h.executor.Crash()
		}
	}
	f.assertSucceeded(2)
}

// assertSucceeded waits for the success of the job and of the healthy ones.
func (f *testFleet) assertSucceeded(healthy int) {
	f.t.Helper()
	f.waitSucceeded(f.leader(), jobID)
	for i := range healthy {
		f.waitSucceeded(f.leader(), healthyJob(i))
	}
	f.assertNoDuplicateRuns()
}
