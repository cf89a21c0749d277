package coordinator_test

import (
	"testing"
	"time"

	"damaskspread.example/damaskspread/wire"
)

// Guards against a job that is given up although none of its runs has failed: the only
// executor that may run it crashes again and again by itself, also without the job.
func TestJobOutlastsACrashLoop(t *testing.T) {
	t.Parallel()
	const lifeTime, downTime = 450 * time.Millisecond, 400 * time.Millisecond
	f := newTestFleet(t, 1, 1, fixedRunTime(2*time.Second))
	f.waitFor("session", func() bool { return f.leader().coordinator.Sessions() == 1 })
	h := f.hosts[0]
	crash := func(lives int) {
		for range lives {
			time.Sleep(lifeTime)
			h.executor.Crash()
			time.Sleep(downTime)
			f.bootWith(h, defaultCapacity())
		}
	}
	crash(3)
	f.submit(f.leader(), &wire.Job{Id: jobID, Steps: estimatedSteps(1, 2*time.Second)})
	crash(6)
	f.waitSucceeded(f.leader(), jobID)
}
