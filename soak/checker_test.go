package soak_test

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

// checker judges by what executors and callers saw. It knows nothing of the
// system.
type checker struct {
	mu       sync.Mutex
	running  map[string]string
	done     map[string]int
	starts   int
	accepted map[string]bool
	// tried tells of each submitted job whether a try may have been accepted.
	tried map[string]bool
	// started has a task of each job that ran. Tries are noted when they are
	// answered, which may be after the first start.
	started map[string]string
	broken  []string
}

func newChecker() *checker {
	return &checker{
		running:  map[string]string{},
		done:     map[string]int{},
		accepted: map[string]bool{},
		tried:    map[string]bool{},
		started:  map[string]string{},
	}
}

func (c *checker) breaks(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// submitted notes a try and whether it may have been accepted.
func (c *checker) submitted(job string, mayRun, accepted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tried[job] = c.tried[job] || mayRun
	c.accepted[job] = c.accepted[job] || accepted
}

// observe takes what an executor saw.
func (c *checker) observe(event emulator.RunEvent) {
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
	if other, runs := c.running[event.Task]; runs {
		c.breaks("%s runs on %s and %s", event.Task, other, event.Executor)
	}
	c.running[event.Task] = event.Executor
	c.started[job] = event.Task
	if strings.HasPrefix(rest, "0.1.") {
		for i := range firstStep {
			if c.done[job+".0.0."+strconv.Itoa(i)] == 0 {
				c.breaks("%s started before its first step was done", event.Task)
			}
		}
	}
}

// finished checks a job that callers are told has succeeded.
func (c *checker) finished(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for step, count := range []int{firstStep, secondStep} {
		for i := range count {
			if task := fmt.Sprintf("%s.0.%d.%d", job, step, i); c.done[task] == 0 {
				c.breaks("%s is not done, and its job is shown as succeeded", task)
			}
		}
	}
}

// report is taken once all tries have been answered.
func (c *checker) report() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	broken := c.broken
	for job, task := range c.started {
		if mayRun, known := c.tried[job]; known && !mayRun {
			broken = append(broken, task+" started, and every try to submit its job was refused")
		}
	}
	return broken
}

// Guards against a checker that can't fail.
func TestCheckerSeesPlantedFaults(t *testing.T) {
	start := func(task, executor string) emulator.RunEvent {
		return emulator.RunEvent{Task: task, Executor: executor}
	}
	twice := newChecker()
	twice.observe(start("a.0.0.0", "x"))
	twice.observe(start("a.0.0.0", "y"))
	assert.Equal(t, len(twice.report()), 1)
	early := newChecker()
	early.observe(start("a.0.1.0", "x"))
	assert.Assert(t, len(early.report()) > 0)
	refused := newChecker()
	refused.submitted("a", false, false)
	refused.observe(start("a.0.0.0", "x"))
	assert.Equal(t, len(refused.report()), 1)
	untrue := newChecker()
	untrue.finished("a")
	assert.Assert(t, len(untrue.report()) > 0)
}
