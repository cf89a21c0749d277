package tracker

import (
	"slices"
	"time"

	"damaskspread.example/damaskspread/wire"
)

// Task is one task of a step in one occurrence, with its latest run.
type Task struct {
	step     *stepState
	index    int
	state    wire.JobTaskState
	run      int32
	executor ExecutorKey
	host     string
	failures int32
	// failedRun is the latest run that failed.
	failedRun int32
	// crashes counts the runs up to crashedRun in which an executor crashed, and after
	// assessor.MinCrashes of them all that did not succeed; exposedRun and lostRun are
	// the latest runs for which Expose and Lose were called. See Expose.
	crashes, crashedRun, exposedRun, lostRun int32

	// What follows about crashes is not stored.

	// cleared is the part of crashes that says nothing against the task. clear has
	// raised it from clearedBefore for clearedRun.
	cleared, clearedRun, clearedBefore int32
	// countedRun is the latest run that counts as a crash, and countedLogChance the
	// logarithm of its probability by chance. logChance is that of the weighed crashes.
	countedRun, weighed         int32
	countedLogChance, logChance float64
	// crashChance is set by SetCrashChance; 0 if not.
	crashChance float64
	// listedRun is the run that lists show since listedAt; outlivedRun has outlived its
	// start.
	listedRun, outlivedRun int32
	listedAt               time.Duration

	// checkpoint is empty for members of a gang; see stepState.
	checkpoint string
	// failedOn has the ids of the executors on which runs failed.
	failedOn map[string]bool
	// crashedOn has the hosts on which an executor crashed under the task.
	crashedOn map[string]bool
	// olderRuns are runs in progress elsewhere; see OlderRun.
	olderRuns []OlderRun
	// copyRun is the run that Copy has started; 0 if none.
	copyRun    int32
	stopping   bool
	assignedAt time.Duration
	// startPercent is the pace with which the latest run begins; 0 if not limited.
	startPercent int32
	// position is the task's index in Assignments.On while it is assigned.
	position int
	// lastNotSlowAt and lastOverdueAt are the times of the latest calls of Slow
	// with false and of Overdue that returned true.
	lastNotSlowAt time.Duration
	lastOverdueAt time.Duration
}

// ID returns the indexes and the job id that identify the task.
func (t *Task) ID() TaskID {
	return TaskID{
		Job:        t.Job().spec.GetId(),
		Occurrence: t.step.occurrence.index,
		Step:       t.step.index,
		Index:      t.index,
	}
}

// Job returns the job that the task belongs to, never nil.
func (t *Task) Job() *Job { return t.step.job() }

// Step returns the specification of the task's step.
func (t *Task) Step() *wire.JobStep { return t.step.spec() }

// Run returns the number of the latest run, 0 before the first.
func (t *Task) Run() int32 { return t.run }

// Executor returns the executor to which the task is assigned, or zero if the task
// is not assigned.
func (t *Task) Executor() ExecutorKey { return t.executor }

// Host returns the host of the latest run, also after the task was released.
func (t *Task) Host() string { return t.host }

// Checkpoint returns the checkpoint from which the next run resumes. Empty means
// that the run starts from the beginning.
func (t *Task) Checkpoint() string {
	if t.Step().GetGang() {
		return t.step.checkpoint
	}
	return t.checkpoint
}

// Failures returns the number of runs that failed.
func (t *Task) Failures() int32 { return t.failures }

// Assigned reports whether the latest run is assigned to an executor and may be
// in progress.
func (t *Task) Assigned() bool { return t.state == wire.JobTaskState_JOB_TASK_STATE_ASSIGNED }

// Done reports whether the task succeeded. It needs no further run.
func (t *Task) Done() bool { return t.state == wire.JobTaskState_JOB_TASK_STATE_DONE }

// Pending reports whether the task waits for a run.
func (t *Task) Pending() bool { return t.state == wire.JobTaskState_JOB_TASK_STATE_PENDING }

// Stopping reports whether MarkStopping was called for the current run.
func (t *Task) Stopping() bool { return t.stopping }

// GroupName returns the name of the task's group: "JOB.OCCURRENCE.STEP".
func (t *Task) GroupName() string { return t.step.groupName }

// FailedOn reports whether a run of the task failed on the executor with this
// id. Restore doesn't restore these executors.
func (t *Task) FailedOn(executor string) bool { return t.failedOn[executor] }

// AssignedAt returns the time at which the current run was assigned. It is 0
// after Restore.
func (t *Task) AssignedAt() time.Duration { return t.assignedAt }

// SlowFor records whether the current run is slow at now, and reports whether it has
// been slow without interruption for atLeast. After Restore the first call starts
// the measurement.
func (t *Task) SlowFor(slow bool, now, atLeast time.Duration) bool {
	measured := t.assignedAt > 0 || t.lastNotSlowAt > 0
	if !slow || !measured {
		t.lastNotSlowAt = now
		return false
	}
	return now-max(t.lastNotSlowAt, t.assignedAt) >= atLeast
}

// Overdue reports whether the duration after has passed both since the run was
// assigned and since the last call that returned true.
func (t *Task) Overdue(now, after time.Duration) bool {
	if now-max(t.assignedAt, t.lastOverdueAt) < after {
		return false
	}
	t.lastOverdueAt = now
	return true
}

// Assign assigns a run with the given number to an executor at now.
func (t *Task) Assign(executor ExecutorKey, host string, run int32, now time.Duration) {
	t.setState(wire.JobTaskState_JOB_TASK_STATE_ASSIGNED, executor)
	t.run = run
	t.host = host
	t.stopping = false
	t.startPercent = 0
	t.assignedAt = now
	t.step.begun = true
	t.markChanged()
}

// Adopt assigns the latest run, which is in progress on an executor, to that
// executor.
func (t *Task) Adopt(executor ExecutorKey, host string) {
	t.setState(wire.JobTaskState_JOB_TASK_STATE_ASSIGNED, executor)
	t.host = host
	t.markChanged()
}

// MarkStopping records that the current run was ordered to stop. The task stays
// assigned until the run ends.
func (t *Task) MarkStopping() { t.stopping = true }

// Release makes the task wait for its next run. Callers have to be sure that the
// current run did not start or has ended.
func (t *Task) Release() {
	t.setState(wire.JobTaskState_JOB_TASK_STATE_PENDING, ExecutorKey{})
	t.stopping = false
	t.markChanged()
}

// MayBeStopped reports whether the step of a running task tolerates that it is
// stopped at now. A step with max_unavailable does while fewer than that many of its
// other tasks are not at work. A task that was assigned less than startup ago counts
// as not at work yet, and one whose executor doesn't respond as not at work any more.
func (t *Task) MayBeStopped(now, startup time.Duration) bool {
	limit := int(t.Step().GetMaxUnavailable())
	if limit <= 0 {
		return true
	}
	unavailable := t.step.size()
	for other := range t.step.known() {
		starting := other.assignedAt > 0 && now-other.assignedAt < startup
		away := !t.Job().assignments.responds(other.executor)
		if other == t || other.Assigned() && !other.Stopping() && !starting && !away {
			unavailable--
		}
	}
	return unavailable < limit
}

// SetStartPercent records the pace in percent with which the run that was assigned
// last begins; 0 if it is not limited.
func (t *Task) SetStartPercent(percent int32) { t.startPercent = percent }

// StartPercent returns the pace that SetStartPercent recorded for the latest run. It
// is 0 after Restore.
func (t *Task) StartPercent() int32 { return t.startPercent }

// Members returns all members of a gang, otherwise the task alone.
func (t *Task) Members() []*Task {
	if t.Step().GetGang() {
		return slices.Collect(t.step.known())
	}
	return []*Task{t}
}
