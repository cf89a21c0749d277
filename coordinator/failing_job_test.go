package coordinator_test

import (
	"strings"
	"testing"
	"time"

	"damaskspread.example/damaskspread/wire"
)

// Guards against a long-running task that waits on a free fleet, because the probes of a
// job whose tasks all fail keep each host suspect.
func TestLongRunningTaskBesideAFailingJob(t *testing.T) {
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
