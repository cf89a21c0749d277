package tracker_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const waitLimit = 10 * time.Second

func waitOf(j *tracker.Job, unixMs int64, now time.Duration) time.Duration {
	group := j.Ready(0)[0]
	group.CountWait(unixMs, now, waitLimit)
	return group.Waited()
}

// Guards against a wait that a new leader begins anew, and against one that is
// negative or endless after the system clock was set while no leader, or the same
// leader, counted it.
func TestWaitAcrossLeadersAndClocks(t *testing.T) {
	const start = int64(1_800_000_000_000)
	for name, test := range map[string]struct {
		restoredAt int64
		want       time.Duration
	}{
		"restart":             {start + 4000, 4 * time.Second},
		"clock set back":      {start - 3_600_000, 0},
		"clock set forward":   {start + 3_600_000, waitLimit},
		"clock far in future": {1 << 62, waitLimit},
	} {
		j := tracker.New(jobWith(&wire.JobStep{Count: 2}))
		assert.Equal(t, waitOf(j, start, time.Hour), time.Duration(0))
		assert.Assert(t, len(j.TakeChangedParts()) > 0, "the wait isn't stored")
		assert.Equal(t, waitOf(j, start-1_000_000, time.Hour+time.Second), time.Second)
		assert.Equal(t, len(j.TakeChangedParts()), 0, "a wait that is known is stored again")

		restored := tracker.Restore(j.Spec(), j.Progress(0))
		assert.Equal(t, waitOf(restored, test.restoredAt, time.Minute), test.want, name)
		assert.Equal(t, waitOf(restored, 0, time.Minute+time.Second), test.want+time.Second, name)
		// A further leader continues the wait on the clock that was set.
		again := tracker.Restore(j.Spec(), restored.Progress(0))
		assert.Equal(t, waitOf(again, test.restoredAt+5000, time.Minute), min(test.want+5*time.Second, waitLimit), name)
	}
}

// Guards against a task that counts the wait before its last run, and against a wait
// that begins anew although the run was refused or a sibling succeeded.
func TestWaitBeginsWithTheEndOfARun(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(*tracker.Task)
		want time.Duration
	}{
		"stopped": {func(task *tracker.Task) { task.End(runEnd(1, wire.EndCause_END_CAUSE_STOPPED, ""), "i-1") }, 0},
		"lost":    {func(task *tracker.Task) { task.Lose() }, 0},
		"done":    {func(task *tracker.Task) { task.End(runEnd(1, wire.EndCause_END_CAUSE_DONE, ""), "i-1") }, 5 * time.Second},
		"refused": {func(task *tracker.Task) { task.Release() }, 5 * time.Second},
	} {
		j := tracker.New(jobWith(&wire.JobStep{Count: 2}))
		waitOf(j, 1, time.Hour)
		task := firstReady(t, j)
		task.Assign(executorKey, "host", 1, time.Hour)
		test.end(task)
		assert.Equal(t, waitOf(j, 1, time.Hour+5*time.Second), test.want, name)
	}
}
