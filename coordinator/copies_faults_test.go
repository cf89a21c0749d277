package coordinator_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// stragglers gives the first run of each third task a long run time, and all others a short
// one.
type stragglers struct {
	mu   sync.Mutex
	seen map[string]bool
}

// isStraggler reports whether the first run of a task takes long.
func isStraggler(task string) bool {
	id, err := tracker.ParseTaskID(task)
	return err == nil && id.Index%3 == 0
}

const (
	stragglerTime = 8 * time.Second
	shortTime     = 200 * time.Millisecond
)

func (s *stragglers) taskDuration(task string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen[task] || !isStraggler(task) {
		return shortTime
	}
	s.seen[task] = true
	return stragglerTime
}

// newStragglerFleet returns a fleet whose agents and executors work by themselves, and in
// which each task is a straggler until it is copied.
func newStragglerFleet(t *testing.T, entries, hosts int) *testFleet {
	f := newCopyFleet(t, entries)
	f.runTime = (&stragglers{seen: map[string]bool{}}).taskDuration
	for i := range hosts {
		f.hosts = append(f.hosts, f.newHost("host-"+string(rune('0'+i))))
		f.startAgent(f.hosts[i])
	}
	return f
}

// submitCopied submits a job of a straggler and waits for the copy.
func (f *testFleet) submitCopied() {
	f.t.Helper()
	job := &wire.Job{Id: jobID, Steps: speculativeStep()}
	job.GetSteps()[0].EstimateMs = shortTime.Milliseconds()
	f.submit(f.leader(), job)
	f.waitFor("copy", func() bool { return f.countEvents(wire.EndCause_END_CAUSE_UNSPECIFIED) == 2 })
}

// assertCopiesWithinRules asserts in addition to assertTwoRunsAtMost that no run brought an
// executor over its capacity or started after its task was done.
func (f *testFleet) assertCopiesWithinRules() {
	f.t.Helper()
	f.assertWithinCapacity()
	f.assertTwoRunsAtMost()
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Equal(f.t, len(f.startsAfterDone), 0, "%v", f.startsAfterDone)
}

// assertTwoRunsAtMost asserts that no task had more than two runs in progress, nor two on
// one executor.
func (f *testFleet) assertTwoRunsAtMost() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	running := map[string]map[string]bool{}
	for _, event := range f.events {
		if running[event.Task] == nil {
			running[event.Task] = map[string]bool{}
		}
		if event.Cause != wire.EndCause_END_CAUSE_UNSPECIFIED {
			delete(running[event.Task], event.Executor)
			continue
		}
		assert.Assert(f.t, !running[event.Task][event.Executor], "%+v beside another run", event)
		running[event.Task][event.Executor] = true
		assert.Assert(f.t, len(running[event.Task]) <= 2, "%+v is a third run", event)
	}
}

// waitNoneRunning waits until no executor runs a task.
func (f *testFleet) waitNoneRunning() {
	f.t.Helper()
	f.waitFor("end of all runs", func() bool {
		for _, h := range f.hosts {
			if h.executor.Running() > 0 {
				return false
			}
		}
		return true
	})
}

// copyHosts returns the host with the copied run, and the one with its copy.
func (f *testFleet) copyHosts() (copied, copying *host) {
	f.mu.Lock()
	byRun := map[int32]string{}
	for _, event := range f.events {
		if event.Cause == wire.EndCause_END_CAUSE_UNSPECIFIED {
			byRun[event.Run] = event.Executor
		}
	}
	f.mu.Unlock()
	for _, h := range f.hosts {
		switch h.id {
		case byRun[1]:
			copied = h
		case byRun[2]:
			copying = h
		}
	}
	return copied, copying
}

// Guards against copies that agents and executors don't carry out, that save no time, or
// whose stragglers go on.
func TestCopyEndsAJobEarlier(t *testing.T) {
	t.Parallel()
	f := newStragglerFleet(t, 1, 2)
	started := time.Now()
	f.submitCopied()
	f.waitSucceeded(f.leader(), jobID)
	assert.Assert(t, time.Since(started) < stragglerTime, "%s", time.Since(started))
	f.waitNoneRunning()
	assert.Equal(t, f.countEvents(wire.EndCause_END_CAUSE_STOPPED), 1)
	f.assertCopiesWithinRules()
}

// Guards against a third run, two runs on one executor, a start after an end or a run that
// goes on, when something fails beside a copy.
func TestFaultsBesideACopy(t *testing.T) {
	t.Parallel()
	faults := map[string]func(f *testFleet, copied, copying *host){
		"leader killed": func(f *testFleet, _, _ *host) { f.killEntry(f.leader()) },
		"agent of the copied run killed": func(f *testFleet, copied, _ *host) {
			f.killAgent(copied)
			f.startAgent(copied)
		},
		"agent of the copy killed": func(f *testFleet, _, copying *host) {
			f.killAgent(copying)
			f.startAgent(copying)
		},
		"executor of the copied run restarts": func(f *testFleet, copied, _ *host) { f.restart(copied) },
		"executor of the copy restarts":       func(f *testFleet, _, copying *host) { f.restart(copying) },
		"leader and executor": func(f *testFleet, copied, _ *host) {
			f.killEntry(f.leader())
			f.restart(copied)
		},
		"copied run cut off": func(_ *testFleet, copied, _ *host) { copied.executor.SetUnresponsive(true) },
		"copy cut off": func(f *testFleet, _, copying *host) {
			copying.executor.SetUnresponsive(true)
			f.waitNoneOn(copying)
			copying.executor.SetUnresponsive(false)
		},
		"stop slow": func(_ *testFleet, copied, _ *host) { copied.executor.SetStopTime(500 * time.Millisecond) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			f := newStragglerFleet(t, 2, 3)
			f.submitCopied()
			copied, copying := f.copyHosts()
			fault(f, copied, copying)
			f.waitSucceeded(f.leader(), jobID)
			copied.executor.SetUnresponsive(false)
			f.waitNoneRunning()
			f.assertCopiesWithinRules()
		})
	}
}

// waitNoneOn waits until the runs of a host have lapsed.
func (f *testFleet) waitNoneOn(h *host) {
	f.t.Helper()
	f.waitFor("lapse", func() bool { return h.executor.Running() == 0 })
}

// Guards against copies that break a rule, or keep a job from its end, while leaders, agents
// and executors fail in series.
func TestCopiesUnderFaultsInSeries(t *testing.T) {
	t.Parallel()
	const seed, tasks, faults = 5, 24, 8
	random := rand.New(rand.NewPCG(seed, 1))
	f := newStragglerFleet(t, 3, 4)
	job := &wire.Job{Id: jobID, Steps: speculativeStep()}
	job.GetSteps()[0].Count = tasks
	job.GetSteps()[0].EstimateMs = shortTime.Milliseconds()
	f.submit(f.leader(), job)
	f.waitFor("copies", func() bool { return f.countEvents(wire.EndCause_END_CAUSE_UNSPECIFIED) > tasks })
	for range faults {
		h := f.hosts[random.IntN(len(f.hosts))]
		switch random.IntN(4) {
		case 0:
			leader := f.leader()
			f.killEntry(leader)
			f.startEntry(leader)
		case 1:
			f.killAgent(h)
			f.startAgent(h)
		case 2:
			f.restart(h)
		default:
			h.executor.SetUnresponsive(true)
			time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
			h.executor.SetUnresponsive(false)
		}
		time.Sleep(time.Duration(random.IntN(700)) * time.Millisecond)
	}
	f.waitWithin(2*recoveryBound, "success", func() bool {
		return f.jobState(f.leader(), jobID) == wire.JobState_JOB_STATE_SUCCEEDED
	})
	f.waitNoneRunning()
	f.assertTwoRunsAtMost()
	f.assertWithinCapacity()
}

// Guards against a start of the copy that is carried out after the copied run is done and
// the job over.
func TestLateStartOfACopy(t *testing.T) {
	t.Parallel()
	f := newStragglerFleet(t, 1, 2)
	for _, h := range f.hosts {
		h.executor.SetHeldStarts(func(order *wire.StartOrder) bool { return order.GetRun() == 2 })
	}
	job := &wire.Job{Id: jobID, Steps: speculativeStep()}
	job.GetSteps()[0].EstimateMs = shortTime.Milliseconds()
	f.submit(f.leader(), job)
	held := func() *emulator.JobExecutor {
		for _, h := range f.hosts {
			if h.executor.HeldStarts() > 0 {
				return h.executor
			}
		}
		return nil
	}
	f.waitFor("start call of the copy", func() bool { return held() != nil })
	f.waitSucceeded(f.leader(), jobID)
	time.Sleep(heldBackFor)
	for _, h := range f.hosts {
		h.executor.SetHeldStarts(nil)
		h.executor.ReleaseStarts()
	}
	f.waitNoneRunning()
	f.assertCopiesWithinRules()
}
