package coordinator_test

import (
	"strings"
	"testing"
	"time"

	"damaskspread.example/damaskspread/wire"
)

// Guards against an urgent task that waits without end, because the agent ended
// before its executor had accepted the stop of the task that was preempted for it.
func TestStopOfPreemptedTaskOutlivesAgent(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 1, func(task string) time.Duration {
		if strings.HasPrefix(task, jobID) {
			return time.Minute
		}
		return 100 * time.Millisecond
	})
	leader, h := f.leader(), f.hosts[0]
	f.submitTo(leader, &wire.Queue{Name: "nightly", Service: service, MaxAttempts: 3, Stretch: 1.5, Priority: 5}, &wire.Job{Id: jobID, Steps: steps(16)})
	f.waitFor("full host", func() bool { return h.executor.Running() == 16 })
	time.Sleep(time.Second)
	h.executor.SetUnresponsive(true)
	f.submitTo(leader, &wire.Queue{Name: "previews", Service: service, MaxAttempts: 3, Stretch: 1.5, Priority: 1}, &wire.Job{Id: healthyJob(0), Steps: steps(1)})
	time.Sleep(400 * time.Millisecond)
	f.killAgent(h)
	h.executor.SetUnresponsive(false)
	f.startAgent(h)
	f.waitSucceeded(leader, healthyJob(0))
}
