package soak_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

// Checks that the checker detects each kind of violation.
func TestCheckerSeesPlantedFaults(t *testing.T) {
	const task = "a.0.0.0"
	start := func(task, executor string, run int32) emulator.RunEvent {
		return emulator.RunEvent{Task: task, Run: run, Executor: executor}
	}
	end := func(cause wire.EndCause) emulator.RunEvent {
		return emulator.RunEvent{Task: task, Executor: "x", Cause: cause}
	}
	done, lost := end(wire.EndCause_END_CAUSE_DONE), end(wire.EndCause_END_CAUSE_LEASE_EXPIRED)
	oneTask := &wire.Resources{Millicores: submittedMillicores, MemoryBytes: defaultCapacity.GetMemoryBytes()}
	for _, test := range []struct {
		name       string
		capacity   *wire.Resources
		events     []emulator.RunEvent
		violations int
	}{
		{"two executors", oneTask, []emulator.RunEvent{start(task, "x", 0), start(task, "y", 0)}, 1},
		{"two runs on one executor", defaultCapacity, []emulator.RunEvent{start(task, "x", 0), start(task, "x", 2)}, 1},
		{"a run that was lost in a crash", defaultCapacity, []emulator.RunEvent{start(task, "x", 0), lost, start(task, "x", 0)}, 0},
		{
			"the end of one run beside another one on the same executor", defaultCapacity,
			[]emulator.RunEvent{start(task, "x", 0), lost, start(task, "x", 0), start(task, "x", 2), lost, start(task, "x", 3)},
			2,
		},
		{"over the capacity", oneTask, []emulator.RunEvent{start(task, "x", 0), start("a.0.0.1", "x", 0)}, 1},
		{"second step first", oneTask, []emulator.RunEvent{start("a.0.1.0", "x", 0)}, firstStepTasks},
		{"a run that is done", oneTask, []emulator.RunEvent{start(task, "x", 0), done}, 0},
	} {
		c := newChecker()
		for _, executor := range []string{"x", "y"} {
			c.capacities.Booted(executor, test.capacity)
		}
		for _, event := range test.events {
			c.observe(event)
		}
		assert.Equal(t, len(c.report()), test.violations, "%s: %v", test.name, c.report())
	}
}

// Checks that the checker detects a job that is reported as succeeded too early.
func TestCheckerSeesUnfinishedTasks(t *testing.T) {
	c := newChecker()
	c.checkFinished("a")
	assert.Equal(t, len(c.report()), firstStepTasks+secondStepTasks, "%v", c.report())
}
