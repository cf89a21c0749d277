package soak_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

const (
	// contactTime is the time without a fault after which all processes are in touch.
	contactTime = 3 * time.Second
	// startSlack is the time after which a process in touch starts nothing of a job that was
	// reported as succeeded.
	startSlack = time.Second
)

// endChecker has what is needed to check that no run of a task starts after one was done.
// The end of that run counts if it is acknowledged, before or after the start, and the lease
// of its executor has not lapsed before that.
type endChecker struct {
	// startsAfter has the successful runs of each task, with the executors of the starts
	// after the end of each.
	startsAfter map[string]map[int32][]emulator.RunEvent
	// counted has the tasks with an end that counts.
	counted map[string]bool
	// late has the runs whose start took effect late.
	late map[run]bool
	// succeeded has when the system reported a job as succeeded.
	succeeded map[string]time.Time
}

func newEndChecker() endChecker {
	return endChecker{
		startsAfter: map[string]map[int32][]emulator.RunEvent{},
		counted:     map[string]bool{},
		late:        map[run]bool{},
		succeeded:   map[string]time.Time{},
	}
}

// addDone records that a run is done. Its earlier end, if it has one, was lost with an
// incarnation of its executor and is never acknowledged.
func (e *endChecker) addDone(r run) {
	if e.startsAfter[r.task] == nil {
		e.startsAfter[r.task] = map[int32][]emulator.RunEvent{}
	}
	e.startsAfter[r.task][r.number] = nil
}

// countEnd adds a violation for each start after the end of a run that counts from now on.
func (c *checker) countEnd(ended run) {
	c.ends.counted[ended.task] = true
	for _, start := range c.ends.startsAfter[ended.task][ended.number] {
		c.addViolation("run %d of %s started on %s after run %d was done, whose end is acknowledged now", start.Run, start.Task, start.Executor, ended.number)
	}
	delete(c.ends.startsAfter[ended.task], ended.number)
}

// checkStartAfterEnd adds a violation for a start after an end that counts, or too long
// after the job was reported as succeeded. An end of which the system has not taken note
// yet may count later.
func (c *checker) checkStartAfterEnd(job string, start emulator.RunEvent) {
	for number, starts := range c.ends.startsAfter[start.Task] {
		c.ends.startsAfter[start.Task][number] = append(starts, start)
	}
	succeeded, isSucceeded := c.ends.succeeded[job]
	switch {
	case c.ends.counted[start.Task]:
		c.addViolation("run %d of %s starts on %s after the end of a run that was done was acknowledged", start.Run, start.Task, start.Executor)
	case isSucceeded && c.lasting.clock.Since(succeeded) > startSlack && c.lasting.calmFor(contactTime) && !c.ends.late[run{start.Task, start.Run}]:
		c.addViolation("run %d of %s starts on %s after its job was reported as succeeded", start.Run, start.Task, start.Executor)
	}
}

// endPlay is a task whose first run was done on the executor x.
type endPlay struct {
	checker *checker
	clock   *clockwork.FakeClock
}

const endPlayTask = "a.0.0.0"

func newEndPlay() *endPlay {
	clock := clockwork.NewFakeClock()
	p := &endPlay{
		checker: newChecker(),
		clock:   clock,
	}
	p.checker.lasting.clock = clock
	for _, executor := range []string{"x", "y"} {
		p.checker.capacities.Booted(executor, defaultCapacity)
	}
	clock.Advance(contactTime)
	p.checker.observe(emulator.RunEvent{Task: endPlayTask, Run: 1, Executor: "x"})
	p.checker.observe(emulator.RunEvent{Task: endPlayTask, Run: 1, Executor: "x", Cause: wire.EndCause_END_CAUSE_DONE})
	return p
}

func (p *endPlay) acknowledge(lapsed bool) {
	p.checker.acknowledge(&wire.RunEnd{Task: endPlayTask, Run: 1, Cause: wire.EndCause_END_CAUSE_DONE}, lapsed)
}

func (p *endPlay) startAgain() {
	p.checker.observe(emulator.RunEvent{Task: endPlayTask, Run: 2, Executor: "y"})
}

// succeed makes the system report the job as succeeded some time ago.
func (p *endPlay) succeed(ago time.Duration) {
	p.checker.ends.succeeded["a"] = p.clock.Now().Add(-ago)
}

// Checks that the checker detects a run after the end of one that was done, and that it
// accepts one if the lease of the executor lapsed before that end was acknowledged.
func TestCheckerSeesPlantedRunsAfterAnEnd(t *testing.T) {
	long := startSlack + time.Millisecond
	for _, test := range []struct {
		name       string
		play       func(p *endPlay)
		violations int
	}{
		{"acknowledged before the start", func(p *endPlay) { p.acknowledge(false); p.startAgain() }, 1},
		{"acknowledged after the start", func(p *endPlay) { p.startAgain(); p.acknowledge(false) }, 1},
		{"lapsed before the start", func(p *endPlay) { p.acknowledge(true); p.startAgain() }, 0},
		{"lapsed after the start", func(p *endPlay) { p.startAgain(); p.acknowledge(true) }, 0},
		{"never acknowledged", func(p *endPlay) { p.startAgain() }, 0},
		{"lapsed, job reported", func(p *endPlay) { p.acknowledge(true); p.succeed(long); p.startAgain() }, 1},
		{"lapsed, job just reported", func(p *endPlay) { p.acknowledge(true); p.succeed(startSlack); p.startAgain() }, 0},
		{"lapsed, job reported, during a fault", func(p *endPlay) {
			p.acknowledge(true)
			p.succeed(long)
			p.checker.beginFault()
			p.startAgain()
		}, 0},
		{"lapsed, job reported, late start", func(p *endPlay) {
			p.acknowledge(true)
			p.succeed(long)
			p.checker.expectLate(endPlayTask, 2, true)
			p.startAgain()
		}, 0},
	} {
		p := newEndPlay()
		test.play(p)
		assert.Equal(t, len(p.checker.violations), test.violations, "%s: %v", test.name, p.checker.violations)
	}
}
