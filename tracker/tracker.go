// Package tracker is the state machine of jobs: which tasks may start, which
// run where, and when a job is done.
//
// A Job is plain data without clocks, locks or goroutines. The scheduling
// leader owns the jobs, applies events to them and stores their progress.
package tracker

import (
	"strconv"
	"time"

	"damaskspread.example/damaskspread/wire"
)

// ExecutorKey identifies one incarnation of an executor.
type ExecutorKey struct {
	ID         string
	BornUnixMs int64
}

// Task is one task of a step.
type Task struct {
	id         TaskID
	group      string
	job        *Job
	state      wire.JobTaskState
	run        int32
	executor   ExecutorKey
	host       string
	failures   int32
	failedRun  int32
	checkpoint string
	failedOn   map[string]bool
	stopping   bool
	assignedAt time.Duration
	slowSince  time.Duration
	remindedAt time.Duration
}

// ID names the task.
func (t *Task) ID() TaskID { return t.id }

// Job is the job of the task.
func (t *Task) Job() *Job { return t.job }

// Step describes the task's step.
func (t *Task) Step() *wire.JobStep { return t.job.job.GetSteps()[t.id.Step] }

// Run is the number of the latest run.
func (t *Task) Run() int32 { return t.run }

// Executor is where the latest run was assigned.
func (t *Task) Executor() ExecutorKey { return t.executor }

// Host is the host of the latest run's executor.
func (t *Task) Host() string { return t.host }

// Checkpoint is where the next run resumes; empty is the beginning.
func (t *Task) Checkpoint() string { return t.checkpoint }

// Failures is the number of runs that failed.
func (t *Task) Failures() int32 { return t.failures }

// Assigned reports whether a run may be in progress.
func (t *Task) Assigned() bool { return t.state == wire.JobTaskState_JOB_TASK_STATE_ASSIGNED }

// Done reports whether the task is done.
func (t *Task) Done() bool { return t.state == wire.JobTaskState_JOB_TASK_STATE_DONE }

// Pending reports whether the task waits for a run.
func (t *Task) Pending() bool { return t.state == wire.JobTaskState_JOB_TASK_STATE_PENDING }

// Stopping reports whether the current run was ordered to stop.
func (t *Task) Stopping() bool { return t.stopping }

// GroupName identifies the task's step of one occurrence.
func (t *Task) GroupName() string { return t.group }

// FailedOn reports whether a run of the task failed on an executor.
func (t *Task) FailedOn(executor string) bool { return t.failedOn[executor] }

// AssignedAt is when the current run was assigned.
func (t *Task) AssignedAt() time.Duration { return t.assignedAt }

// Slow notes whether the current run is slow and reports whether it has been
// for a time.
func (t *Task) Slow(slow bool, now, atLeast time.Duration) bool {
	if !slow {
		t.slowSince = now
		return false
	}
	return now-max(t.slowSince, t.assignedAt) >= atLeast
}

// Overdue reports whether a time has passed since the run was assigned or was
// last found overdue.
func (t *Task) Overdue(now, after time.Duration) bool {
	if now-max(t.assignedAt, t.remindedAt) < after {
		return false
	}
	t.remindedAt = now
	return true
}

// Assign gives the task its next run.
func (t *Task) Assign(executor ExecutorKey, host string, run int32, now time.Duration) {
	t.state = wire.JobTaskState_JOB_TASK_STATE_ASSIGNED
	t.run = run
	t.executor = executor
	t.host = host
	t.stopping = false
	t.assignedAt = now
	t.job.touch()
	if !t.job.started {
		t.job.started = true
	}
}

// Stop marks the current run as ordered to stop.
func (t *Task) Stop() { t.stopping = true }

// Release returns a task whose run did not start or is certainly over.
func (t *Task) Release() {
	t.state = wire.JobTaskState_JOB_TASK_STATE_PENDING
	t.executor = ExecutorKey{}
	t.stopping = false
	t.job.touch()
}

// Job is one job with its tasks.
type Job struct {
	job         *wire.Job
	occurrences []*Occurrence
	canceled    bool
	failed      bool
	started     bool
	dirty       bool
}

// Occurrence is one scheduled repetition of the steps.
type Occurrence struct {
	index int
	steps [][]*Task
}

// New returns a job of which nothing has started.
func New(job *wire.Job) *Job {
	j := &Job{job: job}
	for k := range occurrenceCount(job) {
		j.occurrences = append(j.occurrences, j.newOccurrence(k))
	}
	return j
}

func occurrenceCount(job *wire.Job) int { return max(1, int(job.GetRepeatCount())) }

func (j *Job) newOccurrence(index int) *Occurrence {
	o := &Occurrence{index: index}
	for s, step := range j.job.GetSteps() {
		tasks := make([]*Task, step.GetCount())
		for i := range tasks {
			tasks[i] = &Task{
				id: TaskID{
					Job:        j.job.GetId(),
					Occurrence: index,
					Step:       s,
					Index:      i,
				},
				group: j.job.GetId() + "." + strconv.Itoa(index) + "." + strconv.Itoa(s),
				job:   j,
			}
		}
		o.steps = append(o.steps, tasks)
	}
	return o
}

func (j *Job) touch() { j.dirty = true }

// TakeDirty reports whether the job changed since the last call.
func (j *Job) TakeDirty() bool {
	dirty := j.dirty
	j.dirty = false
	return dirty
}

// Spec is the job as it was accepted.
func (j *Job) Spec() *wire.Job { return j.job }

// Cancel ends the job at a caller's wish.
func (j *Job) Cancel() {
	if j.Over() {
		return
	}
	j.canceled = true
	j.touch()
}

// Over reports whether no further task may start.
func (j *Job) Over() bool { return j.canceled || j.failed || j.succeeded() }

func (j *Job) succeeded() bool {
	for _, o := range j.occurrences {
		for s := range o.steps {
			if !o.stepDone(s) {
				return false
			}
		}
	}
	return true
}

// State is what callers are told.
func (j *Job) State() wire.JobState {
	switch {
	case j.canceled:
		return wire.JobState_JOB_STATE_CANCELED
	case j.failed:
		return wire.JobState_JOB_STATE_FAILED
	case j.succeeded():
		return wire.JobState_JOB_STATE_SUCCEEDED
	case j.started:
		return wire.JobState_JOB_STATE_RUNNING
	default:
		return wire.JobState_JOB_STATE_QUEUED
	}
}

func (o *Occurrence) stepDone(step int) bool {
	for _, t := range o.steps[step] {
		if !t.Done() {
			return false
		}
	}
	return true
}

// Task returns a task, or nil if the job has none of that name.
func (j *Job) Task(id TaskID) *Task {
	if id.Occurrence >= len(j.occurrences) {
		return nil
	}
	o := j.occurrences[id.Occurrence]
	if id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step]) {
		return nil
	}
	return o.steps[id.Step][id.Index]
}

// EachTask calls visit for every task.
func (j *Job) EachTask(visit func(*Task)) {
	for _, o := range j.occurrences {
		for _, tasks := range o.steps {
			for _, t := range tasks {
				visit(t)
			}
		}
	}
}
