package soak_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

const (
	// lastingBound is the time within which a lasting task runs again after its last run:
	// 6 s, and 3 s in which nothing of it runs.
	lastingBound = 9 * time.Second
	// A wait counts if there was room for roomTime, and no fault for 4 s before it.
	roomTime = 3 * time.Second
	calmTime = roomTime + 4*time.Second
)

// lastingChecker checks that lasting tasks run again. It knows only what executors and
// callers observe, and when faults were injected.
type lastingChecker struct {
	clock clockwork.Clock
	// ended has when the last run of each task ended that has none in progress.
	ended map[string]time.Time
	// used has the processors of the runs in progress by executor.
	used map[string]int64
	// up has the executors that are up.
	up map[string]*executorRoom
	// faults is the number of faults in progress, calmSince when the last one ended.
	faults    int
	calmSince time.Time
}

type executorRoom struct {
	millicores int64
	// since is when the room for a lasting task began, zero if there is none.
	since time.Time
}

func newLastingChecker(clock clockwork.Clock) lastingChecker {
	return lastingChecker{
		clock: clock,
		ended: map[string]time.Time{},
		used:  map[string]int64{},
		up:    map[string]*executorRoom{},
	}
}

func (l *lastingChecker) setCapacity(executor string, millicores int64) {
	if l.up[executor] == nil {
		l.up[executor] = &executorRoom{}
	}
	l.up[executor].millicores = millicores
	l.updateRoom(executor)
}

func (l *lastingChecker) updateRoom(executor string) {
	room := l.up[executor]
	switch {
	case room == nil:
	case room.millicores-l.used[executor] < lastingStep.GetResources().GetMillicores():
		room.since = time.Time{}
	case room.since.IsZero():
		room.since = l.clock.Now()
	}
}

// observe records the start or end of a run; others is the number of other runs of the
// task in progress.
func (l *lastingChecker) observe(event emulator.RunEvent, others int) {
	millicores := stepOf(event.Task).GetResources().GetMillicores()
	started := event.Cause == wire.EndCause_END_CAUSE_UNSPECIFIED
	if !started {
		millicores = -millicores
	}
	l.used[event.Executor] += millicores
	l.updateRoom(event.Executor)
	switch {
	case !isLasting(event.Task):
	case started:
		delete(l.ended, event.Task)
	case others == 0:
		l.ended[event.Task] = l.clock.Now()
	}
}

// overdue returns the tasks whose wait is over the bound, in a calm time and with room, and
// for how long they have waited.
func (l *lastingChecker) overdue() map[string]time.Duration {
	overdue := map[string]time.Duration{}
	if !l.calmFor(calmTime) || !l.hasRoom() {
		return overdue
	}
	for task, ended := range l.ended {
		if wait := l.clock.Since(ended); wait >= lastingBound {
			overdue[task] = wait
		}
	}
	return overdue
}

// calmFor reports whether there was no fault for the given time.
func (l *lastingChecker) calmFor(duration time.Duration) bool {
	return l.faults == 0 && l.clock.Since(l.calmSince) >= duration
}

func (l *lastingChecker) hasRoom() bool {
	for _, room := range l.up {
		if !room.since.IsZero() && l.clock.Since(room.since) >= roomTime {
			return true
		}
	}
	return false
}

func (c *checker) setCapacity(executor string, millicores int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lasting.setCapacity(executor, millicores)
}

func (c *checker) setDown(executor string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.lasting.up, executor)
}

func (c *checker) beginFault() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lasting.faults++
}

func (c *checker) endFault() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lasting.faults--
	c.lasting.calmSince = c.lasting.clock.Now()
}

// checkLasting adds a violation for each lasting task that waits for too long.
func (c *checker) checkLasting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task, wait := range c.lasting.overdue() {
		job, _, _ := strings.Cut(task, ".")
		if !c.accepted[job] || c.canceled[job] {
			continue
		}
		c.addViolation("%s has no run for %s after run %d although there is room", task, wait, c.latest[task])
		delete(c.lasting.ended, task)
	}
}

// lastingRun reports whether it is calm and every task of the lasting jobs runs.
func (c *checker) lastingRun(jobs []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, job := range jobs {
		for _, task := range lastingTasks(job) {
			if c.accepted[job] && !c.canceled[job] && len(c.running[task]) == 0 {
				return false
			}
		}
	}
	return c.lasting.calmFor(calmTime)
}

// Checks that the checker detects a lasting task that does not run again, and that it
// accepts the waits for which the users count none.
func TestCheckerSeesPlantedWaits(t *testing.T) {
	const job, task = "00000000d0000000", "00000000d0000000.0.0.0"
	lost := emulator.RunEvent{Task: task, Run: 1, Executor: "x", Cause: wire.EndCause_END_CAUSE_LEASE_EXPIRED}
	for _, test := range []struct {
		name       string
		disturb    func(c *checker)
		later      func(c *checker)
		violations int
	}{
		{name: "no further run", violations: 1},
		{name: "runs again", later: func(c *checker) { c.observe(emulator.RunEvent{Task: task, Run: 2, Executor: "y"}) }},
		{name: "canceled", disturb: func(c *checker) { c.requestCancellation(job) }},
		{name: "no other executor", disturb: func(c *checker) { c.setDown("y") }},
		{name: "no room", disturb: func(c *checker) { c.setCapacity("y", lastingMillicores-1) }},
		{name: "room since one second", disturb: func(c *checker) { c.setDown("y") }, later: func(c *checker) { c.setCapacity("y", lastingMillicores) }},
		{name: "a fault one second ago", later: func(c *checker) { c.beginFault(); c.endFault() }},
		{name: "a fault in progress", disturb: func(c *checker) { c.beginFault() }},
		{name: "a fault at the end of the run", disturb: func(c *checker) { c.beginFault(); c.endFault() }, violations: 1},
	} {
		clock := clockwork.NewFakeClock()
		c := newChecker()
		c.lasting.clock = clock
		for _, executor := range []string{"x", "y"} {
			c.capacities.Booted(executor, defaultCapacity)
			c.setCapacity(executor, defaultCapacity.GetMillicores())
		}
		c.recordAttempts(job, response{status: http.StatusOK})
		c.observe(emulator.RunEvent{Task: task, Run: 1, Executor: "x"})
		c.setDown("x")
		c.observe(lost)
		if test.disturb != nil {
			test.disturb(c)
		}
		clock.Advance(lastingBound - time.Second)
		if test.later != nil {
			test.later(c)
		}
		c.checkLasting()
		assert.Equal(t, len(c.violations), 0, "%s: %v", test.name, c.violations)
		clock.Advance(time.Second)
		c.checkLasting()
		c.checkLasting()
		assert.Equal(t, len(c.violations), test.violations, "%s: %v", test.name, c.violations)
	}
}
