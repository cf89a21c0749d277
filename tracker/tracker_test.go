package tracker_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

var executor = tracker.ExecutorKey{ID: "i-1", BornUnixMs: 5}

func job(steps ...*wire.JobStep) *wire.Job {
	return &wire.Job{Id: "a1", MaxAttempts: 2, Steps: steps}
}

func end(run int32, cause wire.EndCause, checkpoint string) *wire.RunEnd {
	return &wire.RunEnd{Run: run, Cause: cause, Checkpoint: checkpoint}
}

func first(t *testing.T, j *tracker.Job) *tracker.Task {
	t.Helper()
	groups := j.Ready(0)
	assert.Assert(t, len(groups) > 0 && len(groups[0].Tasks()) > 0)
	return groups[0].Tasks()[0]
}

// Guards against steps that become ready early and jobs that succeed early.
func TestGraph(t *testing.T) {
	j := tracker.New(job(&wire.JobStep{Count: 2}, &wire.JobStep{Count: 1, After: []int32{0}}))
	assert.Equal(t, len(j.Ready(0)), 1)
	for range 2 {
		task := first(t, j)
		assert.Equal(t, task.ID().Step, 0)
		task.Assign(executor, "host", 1, 0)
		assert.Equal(t, j.State(), wire.JobState_JOB_STATE_RUNNING)
		task.End(end(1, wire.EndCause_END_CAUSE_DONE, ""))
	}
	task := first(t, j)
	assert.Equal(t, task.ID().String(), "a1.0.1.0")
	task.Assign(executor, "host", 1, 0)
	task.End(end(1, wire.EndCause_END_CAUSE_DONE, ""))
	assert.Equal(t, j.State(), wire.JobState_JOB_STATE_SUCCEEDED)
	assert.Equal(t, len(j.Ready(0)), 0)
}

// Guards against attempts that are counted twice, or for ends that are not the
// task's fault.
func TestAttempts(t *testing.T) {
	j := tracker.New(job(&wire.JobStep{Count: 1}))
	task := first(t, j)
	task.Assign(executor, "host", 1, 0)
	task.End(end(1, wire.EndCause_END_CAUSE_LEASE_EXPIRED, ""))
	task.Assign(executor, "host", 2, 0)
	task.End(end(2, wire.EndCause_END_CAUSE_FAILED, ""))
	task.End(end(2, wire.EndCause_END_CAUSE_FAILED, ""))
	assert.Equal(t, task.Failures(), int32(1))
	assert.Assert(t, task.FailedOn("i-1"))
	task.Assign(executor, "host", 3, 0)
	assert.Equal(t, j.State(), wire.JobState_JOB_STATE_RUNNING)
	task.End(end(3, wire.EndCause_END_CAUSE_FAILED, ""))
	assert.Equal(t, j.State(), wire.JobState_JOB_STATE_FAILED)
	assert.Equal(t, len(j.Ready(0)), 0)
}

// Guards against a failure that goes uncounted because its report came after
// the task had been given up there.
func TestLateFailureCounts(t *testing.T) {
	j := tracker.New(job(&wire.JobStep{Count: 1}))
	task := first(t, j)
	task.Assign(executor, "host", 1, 0)
	task.Release()
	task.Assign(executor, "host", 2, 0)
	assert.Assert(t, task.End(end(1, wire.EndCause_END_CAUSE_FAILED, "")))
	assert.Equal(t, task.Failures(), int32(1))
	assert.Assert(t, task.Assigned())
	assert.Equal(t, task.Run(), int32(2))
}

// Guards against progress that is lost between runs or between leaders.
func TestProgressSurvives(t *testing.T) {
	spec := job(&wire.JobStep{Count: 2, CanCheckpoint: true})
	j := tracker.New(spec)
	task := first(t, j)
	task.Assign(executor, "host", 1, 0)
	task.End(end(1, wire.EndCause_END_CAUSE_STOPPED, "cp"))
	assert.Equal(t, task.Checkpoint(), "cp")
	task.Assign(executor, "host", 2, 0)
	restored := tracker.Restore(spec, j.Progress())
	again := restored.Task(task.ID())
	assert.Assert(t, again.Assigned())
	assert.Equal(t, again.Run(), int32(2))
	assert.Equal(t, again.Executor(), executor)
	assert.Equal(t, again.Host(), "host")
	assert.Equal(t, again.Checkpoint(), "cp")
	assert.Equal(t, len(restored.Ready(0)[0].Tasks()), 1)
	assert.Equal(t, restored.State(), wire.JobState_JOB_STATE_RUNNING)
}

// Guards against a lasting task that ends for good, however it ended.
func TestLongRunning(t *testing.T) {
	j := tracker.New(job(&wire.JobStep{Count: 1, LongRunning: true}))
	task := first(t, j)
	for run, cause := range []wire.EndCause{wire.EndCause_END_CAUSE_DONE, wire.EndCause_END_CAUSE_FAILED, wire.EndCause_END_CAUSE_FAILED, wire.EndCause_END_CAUSE_FAILED} {
		task.Assign(executor, "host", int32(run+1), 0)
		task.End(end(int32(run+1), cause, ""))
		assert.Assert(t, task.Pending())
	}
	assert.Equal(t, j.State(), wire.JobState_JOB_STATE_RUNNING)
	j.Cancel()
	assert.Equal(t, j.State(), wire.JobState_JOB_STATE_CANCELED)
	assert.Equal(t, len(j.Ready(0)), 0)
}

// Guards against gangs whose members end or count one by one.
func TestGang(t *testing.T) {
	j := tracker.New(job(&wire.JobStep{Count: 3, Gang: true}))
	group := j.Ready(0)[0]
	assert.Equal(t, group.NextRun(), int32(1))
	for _, task := range group.Tasks() {
		task.Assign(executor, "host", 1, 0)
	}
	tasks := group.Tasks()
	tasks[0].End(end(1, wire.EndCause_END_CAUSE_FAILED, "cp"))
	tasks[1].End(end(1, wire.EndCause_END_CAUSE_GANG_BROKEN, ""))
	assert.Equal(t, len(j.Ready(0)[0].Tasks()), 2)
	tasks[2].End(end(1, wire.EndCause_END_CAUSE_GANG_BROKEN, ""))
	group = j.Ready(0)[0]
	assert.Equal(t, group.NextRun(), int32(2))
	for _, task := range group.Tasks() {
		assert.Equal(t, task.Checkpoint(), "cp")
		task.Assign(executor, "host", 2, 0)
	}
	tasks[1].End(end(2, wire.EndCause_END_CAUSE_DONE, ""))
	assert.Equal(t, j.State(), wire.JobState_JOB_STATE_SUCCEEDED)
}

// Guards against occurrences that start before they are due.
func TestOccurrences(t *testing.T) {
	spec := job(&wire.JobStep{Count: 1})
	spec.RepeatCount, spec.FirstStartUnixMs, spec.IntervalMs = 3, 1000, 500
	j := tracker.New(spec)
	assert.Equal(t, len(j.Ready(999)), 0)
	assert.Equal(t, len(j.Ready(1499)), 1)
	assert.Equal(t, len(j.Ready(1500)), 2)
	assert.Equal(t, len(j.Ready(9000)), 3)
	assert.Equal(t, j.Ready(9000)[2].Tasks()[0].ID().String(), "a1.2.0.0")
}

// Guards against names of other writers that are taken for tasks.
func TestTaskNames(t *testing.T) {
	id, err := tracker.ParseTaskID("5c0e.2.1.17")
	assert.NilError(t, err)
	assert.Equal(t, id, tracker.TaskID{Job: "5c0e", Occurrence: 2, Step: 1, Index: 17})
	for _, name := range []string{"", "a", "a.0.0", "a.0.0.x", "a.0.-1.0", "a.0.0.0.0"} {
		_, err := tracker.ParseTaskID(name)
		assert.ErrorType(t, err, &tracker.BadTaskNameError{})
	}
}
