package coordinator_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

// Guards against a long-running task that waits on a free fleet, because the probes of a
// job whose tasks all fail keep each host suspect.
func TestLongRunningTaskBesideAFailingJob(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 3, func(task string) time.Duration {
		if strings.HasPrefix(task, servingJob) {
			return -1
		}
		return 30 * time.Millisecond
	})
	for _, h := range f.hosts {
		h.executor.SetFailing(func(task string) bool { return strings.HasPrefix(task, jobID) })
	}
	f.submit(f.leader(), &wire.Job{Id: jobID, Steps: steps(100)})
	f.waitFor("failures on each host", func() bool { return f.countEvents(wire.EndCause_END_CAUSE_FAILED) >= 48 })
	lasting := steps(1)
	lasting[0].LongRunning = true
	f.submit(f.leader(), &wire.Job{Id: servingJob, Steps: lasting})
	f.waitWithin(3*time.Second, "start of the long-running task", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.running[servingJob+".0.0.0"] != ""
	})
}

// Guards against a healthy job that waits until a job whose tasks all fail is over,
// because each executor of the service is suspect.
func TestHealthyJobBesideAFailingJob(t *testing.T) {
	t.Parallel()
	const otherJob = "00000000000000b2"
	f := newTestFleet(t, 1, 3, fixedRunTime(30*time.Millisecond))
	for _, h := range f.hosts {
		h.executor.SetFailing(func(task string) bool { return strings.HasPrefix(task, jobID) })
	}
	f.submit(f.leader(), &wire.Job{Id: jobID, Steps: steps(100)})
	f.waitFor("failures", func() bool { return f.countEvents(wire.EndCause_END_CAUSE_FAILED) >= 4 })
	f.submit(f.leader(), &wire.Job{Id: otherJob, Steps: steps(20)})
	f.waitWithin(2*time.Second, "success of the healthy job", func() bool {
		return f.jobState(f.leader(), otherJob) == wire.JobState_JOB_STATE_SUCCEEDED
	})
	f.assertNoDuplicateRuns()
}

// Guards against a broken executor that is not found beside a job whose tasks fail
// everywhere: healthy jobs lose their attempts on it.
func TestBrokenExecutorBesideAFailingJob(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 3, fixedRunTime(30*time.Millisecond))
	for _, h := range f.hosts[1:] {
		h.executor.SetFailing(func(task string) bool { return strings.HasPrefix(task, jobID) })
	}
	f.hosts[0].executor.SetFailingTasks(true)
	f.submit(f.leader(), &wire.Job{Id: jobID, Steps: steps(100)})
	const jobs = 20
	for i := range jobs {
		id := fmt.Sprintf("%016x", 0xd0+i)
		f.submit(f.leader(), &wire.Job{Id: id, Steps: steps(10)})
		f.waitSucceeded(f.leader(), id)
	}
	failed := 0
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, event := range f.events {
		if event.Cause == wire.EndCause_END_CAUSE_FAILED && !strings.HasPrefix(event.Task, jobID) {
			failed++
		}
	}
	// What starts before the first failures are reported, at most the room of the host, and
	// the probes after backoffs of 0.8, 1.6, 3.2 and then 6 s.
	const room, probes = defaultMillicores / taskMillicores, 6
	assert.Assert(t, failed <= room+probes, "%d starts of healthy jobs failed", failed)
}
