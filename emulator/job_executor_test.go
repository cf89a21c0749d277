package emulator_test

import (
	"context"
	"errors"
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

// Guards against a crash that leaves runs in progress or a held call waiting, or
// that callers can't tell from a call without response.
func TestTaskCrashesItsExecutor(t *testing.T) {
	var causes []wire.EndCause
	e := &emulator.JobExecutor{
		Clock:        clockwork.NewRealClock(),
		TaskDuration: func(string) time.Duration { return -1 },
		Observe:      func(event emulator.RunEvent) { causes = append(causes, event.Cause) },
		Crashes:      func(task string) bool { return task == "b.0.0.0" },
	}
	e.Boot("i")
	lease := &damaskspread.Lease{Token: 1, DeadlineMs: 5000}
	for _, task := range []string{"a.0.0.0", "b.0.0.0"} {
		assert.NilError(t, e.Start(t.Context(), "i", &wire.StartOrder{Task: task, Run: 1}, lease))
	}
	assert.Equal(t, e.Running(), 2)
	_, err := e.Renew(t.Context(), "i", lease, 0, time.Second)
	assert.ErrorType(t, err, &damaskspread.WorkerUnknownError{})
	var lost *damaskspread.ConnectionLostError
	assert.Assert(t, errors.As(err, &lost), "%v", err)
	assert.Assert(t, e.Down())
	err = e.Start(t.Context(), "i", &wire.StartOrder{Task: "c.0.0.0", Run: 1}, lease)
	assert.ErrorType(t, err, &damaskspread.ConnectionLostError{})
	e.Boot("j")
	_, err = e.Renew(t.Context(), "j", lease, 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, e.Running(), 0)
	assert.DeepEqual(t, causes, []wire.EndCause{
		wire.EndCause_END_CAUSE_UNSPECIFIED, wire.EndCause_END_CAUSE_UNSPECIFIED,
		wire.EndCause_END_CAUSE_LEASE_EXPIRED, wire.EndCause_END_CAUSE_LEASE_EXPIRED,
	})
}

// Guards against an end that is reported as acknowledged in time although the lease lapsed
// in between, and was renewed since, or the other way round.
func TestLapseBeforeAcknowledgement(t *testing.T) {
	clock := clockwork.NewFakeClock()
	lapsed := map[string]bool{}
	e := &emulator.JobExecutor{
		Clock:        clock,
		TaskDuration: func(string) time.Duration { return 100 * time.Millisecond },
		Acknowledged: func(end *wire.RunEnd, isLapsed bool) { lapsed[end.GetTask()] = isLapsed },
	}
	e.Boot("i")
	play := func(task string, deadlineMs int64, pause time.Duration) {
		lease := &damaskspread.Lease{Token: 1, DeadlineMs: deadlineMs}
		assert.NilError(t, e.Start(t.Context(), "i", &wire.StartOrder{Task: task, Run: 1}, lease))
		clock.Advance(pause)
	}
	renew := func(deadlineMs, seen int64) {
		_, err := e.Renew(t.Context(), "i", &damaskspread.Lease{Token: 1, DeadlineMs: deadlineMs}, seen, 0)
		assert.NilError(t, err)
	}
	play("before.0.0.0", 1000, 2*time.Second)
	renew(3000, 0)
	play("after.0.0.0", 3000, 500*time.Millisecond)
	renew(4000, 2)
	assert.DeepEqual(t, lapsed, map[string]bool{"before.0.0.0": true, "after.0.0.0": false})
}
