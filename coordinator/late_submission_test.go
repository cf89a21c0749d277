package coordinator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

// Guards against a job that runs although its cancellation was answered before it was
// accepted, also with a new leader, and against cancellations of unknown jobs that stay in
// the log for good.
func TestLateSubmissionOfACanceledJob(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 2, 1, fixedRunTime(50*time.Millisecond))
	f.refusalRetention, f.statusRetention = 3*time.Second, 2*time.Second
	for _, e := range f.entries {
		f.killEntry(e)
		f.startEntry(e)
	}
	const unknown, late, normal = "00000000000000c3", "00000000000000d4", "00000000000000e5"
	f.waitFor("session", func() bool { return f.leader().coordinator.Sessions() == 1 })
	for _, id := range []string{unknown, late} {
		assert.ErrorContains(t, f.leader().submitter.Cancel(t.Context(), nil, id), "not found")
	}
	f.submit(f.leader(), &wire.Job{Id: late, Steps: steps(1)})
	f.killEntry(f.leader())
	f.submit(f.leader(), &wire.Job{Id: normal, Steps: steps(1)})
	f.waitSucceeded(f.leader(), normal)
	assert.Equal(t, f.startsOf(late), 0)
	assert.Equal(t, f.jobState(f.leader(), late), wire.JobState_JOB_STATE_CANCELED)
	f.waitFor("removal of the cancellations", func() bool {
		return len(f.keysOf(f.leader(), unknown))+len(f.keysOf(f.leader(), late)) == 0
	})
	f.submit(f.leader(), &wire.Job{Id: unknown, Steps: steps(1)})
	f.waitSucceeded(f.leader(), unknown)
}
