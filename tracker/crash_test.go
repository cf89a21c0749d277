package tracker_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// loseExposed assigns a run that is lost in a crash.
func loseExposed(task *tracker.Task, run int32) bool {
	task.Assign(executorKey, "host", run, 0)
	task.Expose(run)
	return task.Lose()
}

func restored(j *tracker.Job) *tracker.Job { return tracker.Restore(j.Spec(), j.Progress(0)) }

// Guards against a task that crashes each executor and is started without end,
// and against a count that a new leader or a repeated report changes.
func TestCrashesFailTheJob(t *testing.T) {
	j := tracker.New(jobWith(&wire.JobStep{Count: 1, LongRunning: true}))
	for run := int32(1); run <= 3; run++ {
		task := firstReady(t, j)
		task.Assign(executorKey, "host", run, 0)
		task.Expose(run)
		j = restored(j)
		task = j.Task(task.ID())
		assert.Assert(t, !task.Expose(run))
		assert.Assert(t, task.Lose())
		j = restored(j)
		task = j.Task(task.ID())
		assert.Assert(t, !task.Expose(run))
		assert.Equal(t, task.Crashes(), run)
		assert.Equal(t, j.Crashes(), run)
	}
	assert.Equal(t, j.State(), wire.JobState_JOB_STATE_FAILED)
	assert.Equal(t, len(j.Ready(0)), 0)
}

// Guards against a crash that is not counted, or counted twice, because its report
// arrives after the task was released and assigned elsewhere.
func TestLateExposureCounts(t *testing.T) {
	j := tracker.New(jobWith(&wire.JobStep{Count: 1}))
	task := firstReady(t, j)
	task.Assign(executorKey, "host", 1, 0)
	assert.Assert(t, !task.Lose())
	task.Assign(executorKey, "other", 2, 0)
	j = restored(j)
	task = j.Task(task.ID())
	assert.Assert(t, task.Expose(1))
	assert.Assert(t, !task.Expose(1))
	assert.Equal(t, task.Crashes(), int32(1))
	assert.Assert(t, task.Assigned())
	assert.Assert(t, !task.Lose())
	assert.Equal(t, task.Crashes(), int32(1))
}

// Guards against a healthy task that is given up: for losses without a report of a
// crash, for reports that were withdrawn, and for runs that the executor outlived.
func TestOtherLossesAreNoCrashes(t *testing.T) {
	j := tracker.New(jobWith(&wire.JobStep{Count: 1}))
	task := firstReady(t, j)
	for run := int32(1); run <= 20; run += 5 {
		task.Assign(executorKey, "host", run, 0)
		assert.Assert(t, !task.Lose())

		task.Assign(executorKey, "host", run+1, 0)
		task.Expose(run + 1)
		task.WithdrawExposure(run + 1)
		assert.Assert(t, !task.Lose())

		task.Assign(executorKey, "host", run+2, 0)
		task.Expose(run + 2)
		task.End(runEnd(run+2, wire.EndCause_END_CAUSE_STOPPED, ""), executorKey.ID)
		assert.Assert(t, !task.Expose(run+2))

		// Reports of runs that never were or are long over.
		assert.Assert(t, !task.Expose(run+3))
		assert.Assert(t, !task.Expose(run))
		task.Assign(executorKey, "host", run+4, 0)
		task.Release()
		assert.Assert(t, !task.Expose(run+4))
	}
	assert.Equal(t, task.Crashes(), int32(0))
	assert.Equal(t, j.State(), wire.JobState_JOB_STATE_RUNNING)
}

// Guards against a gang that is given up early because several of its members were
// lost in one crash, or never because each crash takes another member.
func TestGangCrashes(t *testing.T) {
	j := tracker.New(jobWith(&wire.JobStep{Count: 3, Gang: true}))
	members := waitingTasks(j.Ready(0)[0])
	for _, member := range members {
		assert.Equal(t, loseExposed(member, 1), true)
	}
	j = restored(j)
	members = waitingTasks(j.Ready(0)[0])
	assert.Equal(t, members[0].Crashes(), int32(1))
	loseExposed(members[1], 2)
	assert.Equal(t, members[0].Crashes(), int32(2))
	loseExposed(members[2], 3)
	assert.Equal(t, j.State(), wire.JobState_JOB_STATE_FAILED)
}
