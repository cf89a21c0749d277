package emulator_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

// Guards against a checker that misses a start over the capacity, counts a stopped
// run as ended while it is being stopped, or judges a shrunk capacity before its
// grace is over.
func TestCapacityChecker(t *testing.T) {
	clock := clockwork.NewFakeClock()
	checker := &emulator.CapacityChecker{
		Clock: clock,
		Step: func(task string) *wire.JobStep {
			return &wire.JobStep{
				Resources: &wire.Resources{Millicores: 400, MemoryBytes: 1},
				FillsIdle: task == "fills",
			}
		},
	}
	e := &emulator.JobExecutor{
		Clock:        clock,
		TaskDuration: func(string) time.Duration { return -1 },
		StopTime:     time.Second,
		Observe:      checker.Observe,
	}
	large, small := &wire.Resources{Millicores: 1000, MemoryBytes: 4}, &wire.Resources{Millicores: 400, MemoryBytes: 4}
	e.SetCapacity(large)
	e.Boot("i")
	checker.Booted("i", large)
	lease := &damaskspread.Lease{Token: 1, DeadlineMs: time.Minute.Milliseconds()}
	start := func(task string) {
		assert.NilError(t, e.Start(context.Background(), "i", &wire.StartOrder{Task: task, Run: 1}, lease))
	}
	stop := func(task string) {
		assert.NilError(t, e.Stop(context.Background(), "i", &wire.StopOrder{Task: task, Run: 1}, 1))
	}
	start("a")
	e.SetCapacity(small)
	checker.CapacityChanged("i", small)
	assert.Equal(t, e.Info("service", "zone", large).GetCapacity().GetMillicores(), int64(400))
	clock.Advance(emulator.CapacityGrace - time.Millisecond)
	start("b")
	start("fills")
	assert.Equal(t, len(checker.Violations()), 0)
	clock.Advance(2 * time.Millisecond)
	stop("a")
	stop("b")
	start("c")
	assert.Equal(t, len(checker.Violations()), 1, "two runs are being stopped")
	clock.Advance(time.Second)
	assert.Equal(t, e.Running(), 2)
	stop("c")
	clock.Advance(time.Second)
	start("d")
	assert.Equal(t, len(checker.Violations()), 1)
	checker.Booted("i", small)
	for run := range int32(4) {
		checker.Observe(emulator.RunEvent{Executor: "i", Task: "fills", Run: run})
	}
	assert.Equal(t, len(checker.Violations()), 1)
	checker.Observe(emulator.RunEvent{Executor: "i", Task: "fills", Run: 4})
	assert.Equal(t, len(checker.Violations()), 2, "the memory of best-effort tasks counts")
}
