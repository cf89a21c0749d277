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

// Guards against an unresponsive executor whose run is observed to end only at the
// next call: until then a check of the events would take the next run of the task
// for a second one at the same time.
func TestUnresponsiveExecutorEndsItsRuns(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var causes []wire.EndCause
	e := &emulator.JobExecutor{
		Clock:        clock,
		TaskDuration: func(string) time.Duration { return -1 },
		Observe:      func(event emulator.RunEvent) { causes = append(causes, event.Cause) },
	}
	e.Boot("i")
	order := &wire.StartOrder{Task: "a.0.0.0", Run: 1}
	assert.NilError(t, e.Start(context.Background(), "i", order, &damaskspread.Lease{Token: 1, DeadlineMs: 1000}))
	e.SetUnresponsive(true)
	clock.Advance(2 * time.Second)
	e.Info("service", "zone", nil)
	assert.DeepEqual(t, causes, []wire.EndCause{wire.EndCause_END_CAUSE_UNSPECIFIED, wire.EndCause_END_CAUSE_LEASE_EXPIRED})
}
