package tracker_test

import (
	"errors"
	"slices"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

var executorKey = tracker.ExecutorKey{ID: "i-1", BornUnixMs: 5}

// jobWith returns a job that allows two failed runs per task.
func jobWith(steps ...*wire.JobStep) *wire.Job {
	return &wire.Job{Id: "a1", MaxAttempts: 2, Steps: steps}
}

func runEnd(run int32, cause wire.EndCause, checkpoint string) *wire.RunEnd {
	return &wire.RunEnd{Run: run, Cause: cause, Checkpoint: checkpoint}
}

// waitingTasks returns the tasks of the group that wait for a run now.
func waitingTasks(group *tracker.Group) []*tracker.Task { return slices.Collect(group.EachPending()) }

func firstReady(t *testing.T, j *tracker.Job) *tracker.Task {
	t.Helper()
	groups := j.Ready(0)
	assert.Assert(t, len(groups) > 0 && len(waitingTasks(groups[0])) > 0)
	return groups[0].First()
}

// Guards against steps that become ready before the steps they depend on are
// done, and against jobs that succeed before all steps are done.
func TestGraph(t *testing.T) {
	j := tracker.New(jobWith(&wire.JobStep{Count: 2}, &wire.JobStep{Count: 1, After: []int32{0}}))
	assert.Equal(t, len(j.Ready(0)), 1)
	for range 2 {
		task := firstReady(t, j)
		assert.Equal(t, task.ID().Step, 0)
		task.Assign(executorKey, "host", 1, 0)
		j.MarkStarted()
		assert.Equal(t, j.State(), wire.JobState_JOB_STATE_RUNNING)
		task.End(runEnd(1, wire.EndCause_END_CAUSE_DONE, ""), executorKey.ID)
	}
	task := firstReady(t, j)
	assert.Equal(t, task.ID().String(), "a1.0.1.0")
	task.Assign(executorKey, "host", 1, 0)
	task.End(runEnd(1, wire.EndCause_END_CAUSE_DONE, ""), executorKey.ID)
	assert.Equal(t, j.State(), wire.JobState_JOB_STATE_SUCCEEDED)
	assert.Equal(t, len(j.Ready(0)), 0)
}

// Guards against attempts that are counted twice, or that are counted for runs
// that ended without a failure of the task.
func TestAttempts(t *testing.T) {
	j := tracker.New(jobWith(&wire.JobStep{Count: 1}))
	task := firstReady(t, j)
	task.Assign(executorKey, "host", 1, 0)
	task.End(runEnd(1, wire.EndCause_END_CAUSE_LEASE_EXPIRED, ""), executorKey.ID)
	task.Assign(executorKey, "host", 2, 0)
	task.End(runEnd(2, wire.EndCause_END_CAUSE_FAILED, ""), executorKey.ID)
	task.End(runEnd(2, wire.EndCause_END_CAUSE_FAILED, ""), executorKey.ID)
	assert.Equal(t, task.Failures(), int32(1))
	assert.Assert(t, task.FailedOn("i-1"))
	task.Assign(executorKey, "host", 3, 0)
	assert.Equal(t, j.State(), wire.JobState_JOB_STATE_RUNNING)
	task.End(runEnd(3, wire.EndCause_END_CAUSE_FAILED, ""), executorKey.ID)
	assert.Equal(t, j.State(), wire.JobState_JOB_STATE_FAILED)
	assert.Equal(t, len(j.Ready(0)), 0)
}

// Guards against a failure that is not counted because its report arrived after
// the task was released and assigned elsewhere.
func TestLateFailureCounts(t *testing.T) {
	j := tracker.New(jobWith(&wire.JobStep{Count: 1}))
	task := firstReady(t, j)
	task.Assign(executorKey, "host", 1, 0)
	task.Release()
	task.Assign(executorKey, "host", 2, 0)
	assert.Assert(t, task.End(runEnd(1, wire.EndCause_END_CAUSE_FAILED, ""), executorKey.ID))
	assert.Equal(t, task.Failures(), int32(1))
	assert.Assert(t, task.Assigned())
	assert.Equal(t, task.Run(), int32(2))
}

// Guards against blaming the executor of the present run for a failure of an
// earlier run on another executor.
func TestLateFailureBlamesItsExecutor(t *testing.T) {
	task := firstReady(t, tracker.New(jobWith(&wire.JobStep{Count: 1})))
	task.Assign(executorKey, "host", 1, 0)
	task.Release()
	task.Assign(tracker.ExecutorKey{ID: "i-2"}, "host-2", 2, 0)
	task.End(runEnd(1, wire.EndCause_END_CAUSE_FAILED, ""), executorKey.ID)
	assert.Assert(t, task.FailedOn(executorKey.ID))
	assert.Assert(t, !task.FailedOn("i-2"))
}

// Guards against a new leader that considers a run slow, and moves it, before it
// has measured the run for the required time.
func TestSlowForAfterRestore(t *testing.T) {
	spec := jobWith(&wire.JobStep{Count: 1})
	before := tracker.New(spec)
	firstReady(t, before).Assign(executorKey, "host", 1, time.Hour)
	task := tracker.Restore(spec, before.Progress(0)).Task(tracker.TaskID{})
	assert.Assert(t, !task.SlowFor(true, time.Hour, time.Second))
	assert.Assert(t, !task.SlowFor(true, time.Hour+900*time.Millisecond, time.Second))
	assert.Assert(t, task.SlowFor(true, time.Hour+time.Second, time.Second))
}

// Guards against a checkpoint lost between runs, and against progress lost when
// another leader restores the job.
func TestProgressIsRestored(t *testing.T) {
	spec := jobWith(&wire.JobStep{Count: 2, CanCheckpoint: true})
	j := tracker.New(spec)
	task := firstReady(t, j)
	task.Assign(executorKey, "host", 1, 0)
	task.End(runEnd(1, wire.EndCause_END_CAUSE_STOPPED, "cp"), executorKey.ID)
	assert.Equal(t, task.Checkpoint(), "cp")
	task.Assign(executorKey, "host", 2, 0)
	restored := tracker.Restore(spec, j.Progress(0))
	restoredTask := restored.Task(task.ID())
	assert.Assert(t, restoredTask.Assigned())
	assert.Equal(t, restoredTask.Run(), int32(2))
	assert.Equal(t, restoredTask.Executor(), executorKey)
	assert.Equal(t, restoredTask.Host(), "host")
	assert.Equal(t, restoredTask.Checkpoint(), "cp")
	assert.Equal(t, len(waitingTasks(restored.Ready(0)[0])), 1)
	assert.Equal(t, restored.State(), wire.JobState_JOB_STATE_RUNNING)
}

// Guards against a long-running task that doesn't restart, whatever ended its
// run.
func TestLongRunning(t *testing.T) {
	j := tracker.New(jobWith(&wire.JobStep{Count: 1, LongRunning: true}))
	task := firstReady(t, j)
	for run, cause := range []wire.EndCause{wire.EndCause_END_CAUSE_DONE, wire.EndCause_END_CAUSE_FAILED, wire.EndCause_END_CAUSE_FAILED, wire.EndCause_END_CAUSE_FAILED} {
		task.Assign(executorKey, "host", int32(run+1), 0)
		task.End(runEnd(int32(run+1), cause, ""), executorKey.ID)
		assert.Assert(t, task.Pending())
	}
	assert.Equal(t, j.State(), wire.JobState_JOB_STATE_RUNNING)
	j.Cancel()
	assert.Equal(t, j.State(), wire.JobState_JOB_STATE_CANCELED)
	assert.Equal(t, len(j.Ready(0)), 0)
}

// Guards against gangs whose members restart, finish or number their runs
// separately.
func TestGang(t *testing.T) {
	j := tracker.New(jobWith(&wire.JobStep{Count: 3, Gang: true}))
	group := j.Ready(0)[0]
	assert.Equal(t, group.NextRun(), int32(1))
	tasks := waitingTasks(group)
	for _, task := range tasks {
		task.Assign(executorKey, "host", 1, 0)
	}
	tasks[0].End(runEnd(1, wire.EndCause_END_CAUSE_FAILED, "cp"), executorKey.ID)
	tasks[1].End(runEnd(1, wire.EndCause_END_CAUSE_GANG_BROKEN, ""), executorKey.ID)
	assert.Equal(t, len(waitingTasks(j.Ready(0)[0])), 2)
	tasks[2].End(runEnd(1, wire.EndCause_END_CAUSE_GANG_BROKEN, ""), executorKey.ID)
	group = j.Ready(0)[0]
	assert.Equal(t, group.NextRun(), int32(2))
	for _, task := range waitingTasks(group) {
		assert.Equal(t, task.Checkpoint(), "cp")
		task.Assign(executorKey, "host", 2, 0)
	}
	tasks[1].End(runEnd(2, wire.EndCause_END_CAUSE_DONE, ""), executorKey.ID)
	assert.Equal(t, j.State(), wire.JobState_JOB_STATE_SUCCEEDED)
}

// Guards against occurrences that start before they are due.
func TestOccurrences(t *testing.T) {
	spec := jobWith(&wire.JobStep{Count: 1})
	spec.RepeatCount, spec.FirstStartUnixMs, spec.IntervalMs = 3, 1000, 500
	j := tracker.New(spec)
	assert.Equal(t, len(j.Ready(999)), 0)
	assert.Equal(t, len(j.Ready(1499)), 1)
	assert.Equal(t, len(j.Ready(1500)), 2)
	assert.Equal(t, len(j.Ready(9000)), 3)
	assert.Equal(t, j.Ready(9000)[2].First().ID().String(), "a1.2.0.0")
}

// Guards against a job that is taken for one that runs while its task is only assigned: the
// executor may be silent, and the job has not begun.
func TestAssignedJobIsQueuedUntilItStarts(t *testing.T) {
	j := tracker.New(jobWith(&wire.JobStep{Count: 1}))
	task := firstReady(t, j)
	task.Assign(executorKey, "host", 1, 0)
	assert.Equal(t, j.State(), wire.JobState_JOB_STATE_QUEUED)
	restored := tracker.Restore(j.Spec(), j.Progress(0))
	assert.Equal(t, restored.State(), wire.JobState_JOB_STATE_QUEUED)
	task.Release()
	assert.Equal(t, j.State(), wire.JobState_JOB_STATE_QUEUED)
	task.Assign(executorKey, "host", 2, 0)
	task.AddListed(2, "", time.Second)
	assert.Equal(t, j.State(), wire.JobState_JOB_STATE_RUNNING)
	task.Release()
	assert.Equal(t, j.State(), wire.JobState_JOB_STATE_RUNNING)
	assert.Equal(t, tracker.Restore(j.Spec(), j.Progress(0)).State(), wire.JobState_JOB_STATE_RUNNING)
}

// Guards against accepting names that are not task names.
func TestParseTaskID(t *testing.T) {
	id, err := tracker.ParseTaskID("5c0e.2.1.17")
	assert.NilError(t, err)
	assert.Equal(t, id, tracker.TaskID{Job: "5c0e", Occurrence: 2, Step: 1, Index: 17})
	for _, name := range []string{"", "a", "a.0.0", "a.0.0.x", "a.0.-1.0", "a.0.0.0.0"} {
		_, err := tracker.ParseTaskID(name)
		assert.ErrorType(t, err, &tracker.BadTaskNameError{})
	}
}

// Guards against progress that a new leader restores differently: rapid assigns,
// ends and releases tasks of a job with two steps at random.
func TestRestoredProgressIsTheSame(t *testing.T) {
	causes := []wire.EndCause{
		wire.EndCause_END_CAUSE_DONE, wire.EndCause_END_CAUSE_DONE, wire.EndCause_END_CAUSE_FAILED, wire.EndCause_END_CAUSE_STOPPED,
	}
	rapid.Check(t, func(t *rapid.T) {
		spec := jobWith(&wire.JobStep{Count: 5}, &wire.JobStep{Count: 3, After: []int32{0}})
		spec.MaxAttempts = 100
		j := tracker.New(spec)
		var all []*tracker.Task
		for s, step := range spec.GetSteps() {
			for i := range int(step.GetCount()) {
				all = append(all, j.Task(tracker.TaskID{Step: s, Index: i}))
			}
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			task := all[rapid.IntRange(0, len(all)-1).Draw(t, "task")]
			switch {
			case task.Pending():
				key := tracker.ExecutorKey{ID: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "executor"), BornUnixMs: 1}
				task.Assign(key, "host-"+key.ID, task.Run()+1, time.Hour)
			case task.Assigned():
				task.End(runEnd(task.Run(), rapid.SampledFrom(causes).Draw(t, "cause"), "cp"), task.Executor().ID)
			}
		}
		restored := tracker.Restore(spec, j.Progress(0))
		assert.Equal(t, restored.State(), j.State())
		for _, task := range all {
			other := restored.Task(task.ID())
			assert.Equal(t, other.Done(), task.Done())
			assert.Equal(t, other.Assigned(), task.Assigned())
			assert.Equal(t, other.Executor(), task.Executor())
			if task.Done() {
				continue
			}
			assert.Equal(t, other.Run(), task.Run())
			assert.Equal(t, other.Failures(), task.Failures())
			assert.Equal(t, other.Checkpoint(), task.Checkpoint())
		}
	})
}

// Guards against a leader that does not understand the progress of the version
// before, which described the executor with each task.
func TestProgressOfTheVersionBefore(t *testing.T) {
	stored := &wire.JobProgress{Occurrences: []*wire.OccurrenceProgress{{Steps: []*wire.StepProgress{{Tasks: []*wire.TaskProgress{{
		State: wire.JobTaskState_JOB_TASK_STATE_ASSIGNED, Run: 3, Executor: "i-1", ExecutorBornUnixMs: 7, Host: "host-1",
	}}}}}}}
	task := tracker.Restore(jobWith(&wire.JobStep{Count: 2}), stored).Task(tracker.TaskID{})
	assert.Equal(t, task.Executor(), tracker.ExecutorKey{ID: "i-1", BornUnixMs: 7})
	assert.Equal(t, task.Host(), "host-1")
	assert.Equal(t, task.Run(), int32(3))
}

// Guards against progress whose size is dominated by repeated names: a job of 80
// tasks on 20 executors is stored again with each start and end.
func TestProgressIsCompact(t *testing.T) {
	j := tracker.New(jobWith(&wire.JobStep{Count: 40}, &wire.JobStep{Count: 40, After: []int32{0}}))
	for i, task := range waitingTasks(j.Ready(0)[0]) {
		name := strconv.Itoa(i % 20)
		task.Assign(tracker.ExecutorKey{ID: "i-1c87246b5" + name, BornUnixMs: 1_800_000_000_000}, "side-qc-est-a-"+name, 1, time.Hour)
	}
	assert.Assert(t, proto.Size(j.Progress(0)) < 1300, "%d bytes", proto.Size(j.Progress(0)))
	j.EachTask(func(task *tracker.Task) {
		if task.Assigned() {
			task.End(runEnd(1, wire.EndCause_END_CAUSE_DONE, ""), task.Executor().ID)
		}
	})
	assert.Assert(t, proto.Size(j.Progress(0)) < 30, "%d bytes", proto.Size(j.Progress(0)))
}

// Guards against jobs that would end the leader or make room for others on a full
// host.
func TestValidate(t *testing.T) {
	valid := func() *wire.Job { return jobWith(&wire.JobStep{Count: 2}, &wire.JobStep{Count: 1, After: []int32{0}}) }
	assert.NilError(t, tracker.Validate(valid()))
	for name, change := range map[string]func(*wire.Job){
		"no steps":               func(j *wire.Job) { j.Steps = nil },
		"too many steps":         func(j *wire.Job) { j.Steps = make([]*wire.JobStep, tracker.MaxSteps+1) },
		"no tasks":               func(j *wire.Job) { j.Steps[0].Count = 0 },
		"negative count":         func(j *wire.Job) { j.Steps[0].Count = -1 },
		"too many tasks":         func(j *wire.Job) { j.Steps[0].Count = tracker.MaxTasks },
		"after itself":           func(j *wire.Job) { j.Steps[1].After = []int32{1} },
		"after a negative step":  func(j *wire.Job) { j.Steps[1].After = []int32{-1} },
		"negative processors":    func(j *wire.Job) { j.Steps[0].Resources = &wire.Resources{Millicores: -1} },
		"negative memory":        func(j *wire.Job) { j.Steps[0].Resources = &wire.Resources{MemoryBytes: -1} },
		"negative repetitions":   func(j *wire.Job) { j.RepeatCount = -1 },
		"too many repetitions":   func(j *wire.Job) { j.RepeatCount = tracker.MaxOccurrences + 1 },
		"too many tasks in all":  func(j *wire.Job) { j.Steps[0].Count = 1000; j.RepeatCount = 1000 },
		"negative anti-affinity": func(j *wire.Job) { j.Steps[0].AntiAffinity = -1 },
	} {
		job := valid()
		change(job)
		var invalid *tracker.InvalidJobError
		assert.Assert(t, errors.As(tracker.Validate(job), &invalid), name)
	}
}
