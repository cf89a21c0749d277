package coordinator_test

import (
	"testing"
	"time"

	"damaskspread.example/damaskspread/wire"
)

// crashAllAfter crashes all executors shortly after the given start of crashingTask.
func (f *testFleet) crashAllAfter(start int) {
	f.t.Helper()
	f.waitFor("start", func() bool { return f.starts() >= start })
	time.Sleep(20 * time.Millisecond)
	for _, h := range f.hosts {
		h.executor.Crash()
	}
}

// Guards against a healthy job that is given up because all executors crash together,
// each time shortly after its task has started.
func TestCommonCrashesAreByChance(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 5, taskTime(300*time.Millisecond))
	f.bootCrashed()
	f.submit(f.leader(), &wire.Job{Id: jobID, Steps: steps(1)})
	for crash := 1; crash <= 4; crash++ {
		f.crashAllAfter(crash)
		f.assertNotGivenUp(crash)
	}
	f.waitSucceeded(f.leader(), jobID)
}

// Guards against a healthy job that is given up at its third crash because the leader
// that has seen the other executors crash was replaced before.
func TestCommonCrashesUnderChangingLeaders(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 3, 5, taskTime(300*time.Millisecond))
	f.bootCrashed()
	f.submit(f.leader(), &wire.Job{Id: jobID, Steps: steps(1)})
	f.crashAllAfter(1)
	f.crashAllAfter(2)
	f.waitFor("third start", func() bool { return f.starts() >= 3 })
	f.killEntry(f.leader())
	f.crashAllAfter(3)
	f.waitSucceeded(f.leader(), jobID)
}

// Guards against crashes that stay held against a task that has run for a long time.
func TestLongRunAfterCrashesClears(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 2, taskTime(time.Minute))
	f.bootCrashed()
	f.submit(f.leader(), &wire.Job{Id: jobID, Steps: steps(1)})
	for crash := 1; crash <= 2; crash++ {
		f.waitFor("start", func() bool { return f.starts() >= crash })
		time.Sleep(20 * time.Millisecond)
		f.busyHost().executor.Crash()
	}
	f.waitFor("third start", func() bool { return f.starts() >= 3 })
	time.Sleep(4 * time.Second)
	f.busyHost().executor.Crash()
	f.waitFor("fourth start", func() bool { return f.starts() >= 4 })
	time.Sleep(20 * time.Millisecond)
	f.busyHost().executor.Crash()
	f.waitFor("fifth start", func() bool { return f.starts() >= 5 })
	f.assertNotGivenUp(3)
}
