package tracker_test

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

var copiedOn, copyOn = tracker.ExecutorKey{ID: "a", BornUnixMs: 1}, tracker.ExecutorKey{ID: "b", BornUnixMs: 1}

// speculativeJob returns a job of one task that may be copied.
func speculativeJob() *wire.Job {
	return &wire.Job{
		Id:          "j",
		MaxAttempts: 3,
		Steps:       []*wire.JobStep{{Count: 1, Speculative: true}},
	}
}

func firstTask(j *tracker.Job) *tracker.Task { return j.Task(tracker.TaskID{Job: "j"}) }

// copied returns a job whose task was copied in run 2.
func copied() (*tracker.Job, *tracker.Task) {
	j := tracker.New(speculativeJob())
	t := firstTask(j)
	t.Assign(copiedOn, "host-a", 1, 1)
	t.Copy(copyOn, "host-b", 2)
	return j, t
}

// stored returns the job as a new leader sees it.
func stored(test *testing.T, j *tracker.Job) *tracker.Job {
	test.Helper()
	encoded, err := proto.Marshal(j.Progress(0))
	assert.NilError(test, err)
	progress := &wire.JobProgress{}
	assert.NilError(test, proto.Unmarshal(encoded, progress))
	return tracker.Restore(j.Spec(), progress)
}

// Guards against copies of tasks that may have one run only, or that would be out of
// attempts if both runs failed.
func TestMayBeCopied(t *testing.T) {
	for name, change := range map[string]func(job *wire.Job){
		"not speculative": func(job *wire.Job) { job.Steps[0].Speculative = false },
		"gang":            func(job *wire.Job) { job.Steps[0].Gang = true },
		"long-running":    func(job *wire.Job) { job.Steps[0].LongRunning = true },
		"best-effort":     func(job *wire.Job) { job.Steps[0].FillsIdle = true },
		"two attempts":    func(job *wire.Job) { job.MaxAttempts = 2 },
	} {
		job := speculativeJob()
		change(job)
		task := firstTask(tracker.New(job))
		task.Assign(copiedOn, "host-a", 1, 1)
		assert.Assert(t, !task.MayBeCopied(), name)
	}
	task := firstTask(tracker.New(speculativeJob()))
	assert.Assert(t, !task.MayBeCopied(), "not assigned")
	task.Assign(copiedOn, "host-a", 1, 1)
	assert.Assert(t, task.MayBeCopied())
	task.MarkStopping()
	assert.Assert(t, !task.MayBeCopied(), "stopping")
	task.Release()
	task.Assign(copiedOn, "host-a", 2, 1)
	task.End(&wire.RunEnd{Run: 2, Cause: wire.EndCause_END_CAUSE_FAILED}, "a")
	task.Assign(copiedOn, "host-a", 3, 1)
	assert.Assert(t, !task.MayBeCopied(), "two attempts left")
}

// Guards against a new leader that doesn't know which run may go on, or that copies the
// task again.
func TestCopyIsStored(t *testing.T) {
	j, _ := copied()
	task := firstTask(stored(t, j))
	assert.Equal(t, task.Run(), int32(2))
	assert.Equal(t, task.CopyRun(), int32(2))
	assert.Equal(t, task.Executor(), copyOn)
	assert.Assert(t, task.AllowsOlderRun(1, copiedOn))
	assert.Assert(t, !task.AllowsOlderRun(1, copyOn) && !task.AllowsOlderRun(2, copiedOn))
	assert.Assert(t, !task.MayBeCopied())
	task.RemoveOlderRun(1, copiedOn)
	assert.Assert(t, !task.MayBeCopied(), "a task is copied once")
}

// Guards against a run that may go on after the task is done or the job is over.
func TestOlderRunEndsWithItsTask(t *testing.T) {
	_, task := copied()
	task.End(&wire.RunEnd{Run: 2, Cause: wire.EndCause_END_CAUSE_DONE}, "b")
	assert.Assert(t, task.Done() && !task.AllowsOlderRun(1, copiedOn))
	j, task := copied()
	j.Cancel()
	assert.Assert(t, !task.AllowsOlderRun(1, copiedOn))
}

// Guards against failures of a run and its copy that are counted twice, or not at all,
// whichever comes first, also if reports are repeated and the leader changes between them.
func TestFailuresBesideACopy(t *testing.T) {
	older := &wire.RunEnd{Run: 1, Cause: wire.EndCause_END_CAUSE_FAILED}
	newer := &wire.RunEnd{Run: 2, Cause: wire.EndCause_END_CAUSE_FAILED}
	ends := map[*wire.RunEnd]string{older: "a", newer: "b"}
	for _, order := range [][]*wire.RunEnd{{older, newer}, {newer, older}} {
		j, _ := copied()
		for count, end := range order {
			firstTask(j).End(end, ends[end])
			j = stored(t, j)
			firstTask(j).End(end, ends[end])
			assert.Equal(t, firstTask(j).Failures(), int32(count)+1)
			assert.Assert(t, !j.Over())
		}
		task := firstTask(j)
		assert.Assert(t, task.Pending() && len(task.OlderRuns()) == 0)
		task.Assign(copiedOn, "host-a", 3, 1)
		task.End(&wire.RunEnd{Run: 3, Cause: wire.EndCause_END_CAUSE_FAILED}, "a")
		assert.Equal(t, j.State(), wire.JobState_JOB_STATE_FAILED)
	}
}
