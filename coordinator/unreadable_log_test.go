package coordinator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

// Guards against a leader that stores progress but can't read the jobs, so that it assigns
// nothing although another process could.
func TestLeaderThatCannotReadJobsIsReplaced(t *testing.T) {
	f := newLastingTasks(t)
	leader, able := f.leader(), f.entries[0]
	for _, e := range f.entries {
		if e != leader {
			able = e
		}
		e.writes.unreadable.Store(true)
	}
	able.writes.unreadable.Store(false)
	// Until what it has read is too old to assign tasks.
	f.pass(2 * time.Second)
	f.submit(able, &wire.Job{Id: nextJobID, Steps: steps(2)})
	f.waitWithin(handoverLimit, "success", func() bool {
		f.noticeLeaseEnds()
		return f.jobState(able, nextJobID) == wire.JobState_JOB_STATE_SUCCEEDED
	})
	assert.Equal(t, f.leader().name, able.name)
	f.assertUndisturbed()
}

// Guards against changes of leader while no process can read the jobs.
func TestLeaderStaysWhileNoneCanReadJobs(t *testing.T) {
	f := newLastingTasks(t)
	epoch := f.leader().elector.Epoch()
	for _, e := range f.entries {
		e.writes.unreadable.Store(true)
	}
	f.pass(2 * lease)
	assert.Equal(t, f.leader().elector.Epoch(), epoch)
	for _, e := range f.entries {
		e.writes.unreadable.Store(false)
	}
	f.succeedsWithin(handoverLimit, nextJobID)
	f.assertUndisturbed()
}
