package tracker

import (
	"slices"
	"time"

	"damaskspread.example/damaskspread/wire"
)

// minAttemptsToCopy is the number of attempts that a task must have left to be copied:
// the run and its copy may both fail, and the task must not be out of attempts then.
const minAttemptsToCopy = 3

// AllowsCopies reports whether the tasks of a step may be copied: the step allows it, and
// its tasks run independently to an end of their own, on processors that they reserve.
func AllowsCopies(step *wire.JobStep) bool {
	return step.GetSpeculative() && !step.GetGang() && !step.GetLongRunning() && !step.GetFillsIdle()
}

// MayBeCopied reports whether Copy may be called. A task is copied once at most, and only
// while nothing speaks against it and no other run of it is in progress.
func (t *Task) MayBeCopied() bool {
	attempts := t.Job().spec.GetMaxAttempts()
	return AllowsCopies(t.Step()) && t.Assigned() && !t.stopping && !t.Job().Over() &&
		t.copyRun == 0 && len(t.olderRuns) == 0 && t.Crashes() == 0 && !t.Exposed() && !t.CrashEvidence().Limited() &&
		(attempts <= 0 || attempts-t.failures >= minAttemptsToCopy)
}

// Copy starts the next run of an assigned task on another executor, as a copy of the
// present run, which goes on as an older run. The first of the two that is done completes
// the task. If the copy ends otherwise, the task waits for the older run. Copy returns the
// older run.
func (t *Task) Copy(executor ExecutorKey, host string, now time.Duration) OlderRun {
	older := OlderRun{
		Run:      t.run,
		Executor: t.executor,
		Host:     t.host,
		Copied:   true,
	}
	t.AddOlderRun(older)
	t.copyRun = t.run + 1
	t.Assign(executor, host, t.copyRun, now)
	return older
}

// CopyRun returns the run that Copy has started, 0 if it was not called.
func (t *Task) CopyRun() int32 { return t.copyRun }

// AllowsOlderRun reports whether a run may go on although the task is not assigned to its
// executor, because a copy of it was started and no run of the task is done.
func (t *Task) AllowsOlderRun(run int32, executor ExecutorKey) bool {
	if t.Done() || t.Job().Over() {
		return false
	}
	return slices.ContainsFunc(t.olderRuns, func(older OlderRun) bool {
		return older.Copied && older.Run == run && older.Executor == executor
	})
}

// takeCopied removes a copied run that has ended on the executor with the given id, and
// reports whether there was one.
func (t *Task) takeCopied(run int32, executor string) bool {
	i := slices.IndexFunc(t.olderRuns, func(older OlderRun) bool {
		return older.Copied && older.Run == run && older.Executor.ID == executor
	})
	if i < 0 {
		return false
	}
	t.olderRuns = slices.Delete(t.olderRuns, i, i+1)
	t.markChanged()
	return true
}
