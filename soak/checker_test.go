package soak_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

// checker checks the guarantees against what executors and callers observe. It
// uses no state of the system under test.
type checker struct {
	mu sync.Mutex
	// running has the executor of each running task, done the number of
	// successful runs of each task.
	running  map[string]string
	done     map[string]int
	starts   int
	accepted map[string]bool
	// mayHaveRun has for each submitted job whether an attempt may have been
	// accepted.
	mayHaveRun map[string]bool
	// startedTask has one task of each job that ran. An attempt is recorded when
	// its response arrives, which may be after the first start.
	startedTask map[string]string
	violations  []string
	capacities  *emulator.CapacityChecker
}

func newChecker() *checker {
	return &checker{
		running:     map[string]string{},
		done:        map[string]int{},
		accepted:    map[string]bool{},
		mayHaveRun:  map[string]bool{},
		startedTask: map[string]string{},
		capacities: &emulator.CapacityChecker{
			Clock: clockwork.NewRealClock(),
			Step:  func(string) *wire.JobStep { return submittedStep },
		},
	}
}

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// recordAttempt records one attempt to submit a job: whether the job may run
// because of it, and whether it was accepted.
func (c *checker) recordAttempt(job string, mayRun, accepted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mayHaveRun[job] = c.mayHaveRun[job] || mayRun
	c.accepted[job] = c.accepted[job] || accepted
}

// observe records the start or end of a run as reported by an executor.
func (c *checker) observe(event emulator.RunEvent) {
	c.capacities.Observe(event)
	c.mu.Lock()
	defer c.mu.Unlock()
	job, rest, _ := strings.Cut(event.Task, ".")
	if event.Cause != wire.EndCause_END_CAUSE_UNSPECIFIED {
		if c.running[event.Task] == event.Executor {
			delete(c.running, event.Task)
		}
		if event.Cause == wire.EndCause_END_CAUSE_DONE {
			c.done[event.Task]++
		}
		return
	}
	c.starts++
	if other, isRunning := c.running[event.Task]; isRunning {
		c.addViolation("%s runs on %s and %s", event.Task, other, event.Executor)
	}
	c.running[event.Task] = event.Executor
	c.startedTask[job] = event.Task
	if strings.HasPrefix(rest, "0.1.") {
		for i := range firstStepTasks {
			if c.done[job+".0.0."+strconv.Itoa(i)] == 0 {
				c.addViolation("%s started before the first step of its job was done", event.Task)
			}
		}
	}
}

// checkFinished checks that every task is done of a job that the system reports
// as succeeded.
func (c *checker) checkFinished(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for step, count := range []int{firstStepTasks, secondStepTasks} {
		for i := range count {
			if task := fmt.Sprintf("%s.0.%d.%d", job, step, i); c.done[task] == 0 {
				c.addViolation("%s is not done although its job is reported as succeeded", task)
			}
		}
	}
}

// report returns all violations. It must be called after the last attempt is
// recorded.
func (c *checker) report() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	violations := slices.Concat(c.violations, c.capacities.Violations())
	for job, task := range c.startedTask {
		if mayRun, attempted := c.mayHaveRun[job]; attempted && !mayRun {
			violations = append(violations, task+" started although every attempt to submit its job was refused")
		}
	}
	return violations
}

// Checks that the checker detects each kind of violation.
func TestCheckerSeesPlantedFaults(t *testing.T) {
	start := func(task, executor string) emulator.RunEvent {
		return emulator.RunEvent{Task: task, Executor: executor}
	}
	newChecker := func() *checker {
		c := newChecker()
		for _, executor := range []string{"x", "y"} {
			c.capacities.Booted(executor, &wire.Resources{Millicores: submittedMillicores, MemoryBytes: defaultCapacity.GetMemoryBytes()})
		}
		return c
	}
	twice := newChecker()
	twice.observe(start("a.0.0.0", "x"))
	twice.observe(start("a.0.0.0", "y"))
	assert.Equal(t, len(twice.report()), 1)
	sameExecutor := newChecker()
	sameExecutor.capacities.Booted("x", defaultCapacity)
	sameExecutor.observe(start("a.0.0.0", "x"))
	sameExecutor.observe(emulator.RunEvent{Task: "a.0.0.0", Run: 2, Executor: "x"})
	assert.Equal(t, len(sameExecutor.report()), 1)
	overCapacity := newChecker()
	overCapacity.observe(start("a.0.0.0", "x"))
	overCapacity.observe(start("a.0.0.1", "x"))
	assert.Equal(t, len(overCapacity.report()), 1)
	early := newChecker()
	early.observe(start("a.0.1.0", "x"))
	assert.Assert(t, len(early.report()) > 0)
	refused := newChecker()
	refused.recordAttempt("a", false, false)
	refused.observe(start("a.0.0.0", "x"))
	assert.Equal(t, len(refused.report()), 1)
	incomplete := newChecker()
	incomplete.checkFinished("a")
	assert.Assert(t, len(incomplete.report()) > 0)
}
