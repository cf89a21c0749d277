// Package tracker implements the state machine of jobs: which tasks may start,
// which run on which executor, and when a job is done.
//
// A job has steps, and a step has tasks. Each scheduled repetition of the job is
// an occurrence with tasks of its own. A task starts as often as needed; each
// start is a run, numbered from 1.
//
// A Job is plain data without clocks, locks or goroutines, and is not safe for
// concurrent use. The scheduling leader owns the jobs, applies events to them and
// stores their progress. Times of type time.Duration are readings of the leader's
// damaskspread.ElapsedClock.
package tracker

import (
	"slices"
	"strconv"

	"damaskspread.example/damaskspread/wire"
)

// ExecutorKey identifies one incarnation of an executor: its id and the time at
// which it started.
type ExecutorKey struct {
	ID         string
	BornUnixMs int64
}

// Job is one job with the state of its tasks.
type Job struct {
	spec        *wire.Job
	occurrences []*Occurrence
	// remainingMs is the length of the longest chain that begins with each step,
	// computed from the declared estimates.
	remainingMs []int64
	// predictedMs is the same computed from predicted run times, and
	// predictedTaskMs the predicted run time of one task of each step; nil before
	// Predict.
	predictedMs, predictedTaskMs []int64
	// assigned is the number of assigned tasks; assignments is nil if no index
	// holds them.
	assigned    int
	assignments *Assignments
	// crashes is the sum of those of the tasks.
	crashes  int32
	canceled bool
	failed   bool
	started  bool
	changed  bool
}

// Occurrence is one scheduled repetition of a job, with tasks of its own.
type Occurrence struct {
	index int
	// Tasks by step, their numbers by state, and the waits of steps.
	steps  [][]*Task
	counts []stepCounts
	waits  []stepWait
}

// New returns a job of which no task has started.
func New(job *wire.Job) *Job {
	j := &Job{
		spec:        job,
		remainingMs: criticalPathMs(job.GetSteps(), declaredMs(job.GetSteps())),
	}
	for k := range occurrenceCount(job) {
		j.occurrences = append(j.occurrences, j.newOccurrence(k))
	}
	return j
}

func occurrenceCount(job *wire.Job) int { return max(1, int(job.GetRepeatCount())) }

func (j *Job) newOccurrence(index int) *Occurrence {
	o := &Occurrence{
		index:  index,
		counts: make([]stepCounts, len(j.spec.GetSteps())),
		waits:  make([]stepWait, len(j.spec.GetSteps())),
	}
	for s, step := range j.spec.GetSteps() {
		tasks := make([]*Task, step.GetCount())
		groupName := j.spec.GetId() + "." + strconv.Itoa(index) + "." + strconv.Itoa(s)
		for i := range tasks {
			tasks[i] = &Task{
				id: TaskID{
					Job:        j.spec.GetId(),
					Occurrence: index,
					Step:       s,
					Index:      i,
				},
				groupName: groupName,
				job:       j,
			}
		}
		o.steps = append(o.steps, tasks)
	}
	return o
}

func (j *Job) markChanged() { j.changed = true }

// TakeDirty reports whether the progress of the job changed since the last call,
// and resets that.
func (j *Job) TakeDirty() bool {
	changed := j.changed
	j.changed = false
	return changed
}

// Spec returns the job as it was accepted. Callers must not change it.
func (j *Job) Spec() *wire.Job { return j.spec }

// Cancel cancels the job. It has no effect on a job that is over. Runs in
// progress stay assigned.
func (j *Job) Cancel() {
	if j.Over() {
		return
	}
	j.canceled = true
	j.markChanged()
}

// Over reports whether the job succeeded, failed or was canceled, so that no
// further task may start. Runs may still be in progress.
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

// State returns the state of the job as callers see it.
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

func (o *Occurrence) stepDone(step int) bool { return o.counts[step].done == len(o.steps[step]) }

// AssignedTasks returns the number of tasks that are assigned.
func (j *Job) AssignedTasks() int { return j.assigned }

// CriticalPathMs returns the estimated length, in milliseconds, of the longest
// chain of steps that begins with the given step. It uses the predicted run times
// if there are any; see Predict.
func (j *Job) CriticalPathMs(step int) int64 {
	if j.predictedMs != nil {
		return j.predictedMs[step]
	}
	return j.remainingMs[step]
}

// LongestPathMs returns the length, in milliseconds, of the job's longest chain of
// steps by the declared estimates, which the objective of the job is defined by.
func (j *Job) LongestPathMs() int64 { return slices.Max(j.remainingMs) }

// declaredMs returns the declared estimate of each step.
func declaredMs(steps []*wire.JobStep) []int64 {
	estimates := make([]int64, len(steps))
	for i, step := range steps {
		estimates[i] = step.GetEstimateMs()
	}
	return estimates
}

// LongestChainMs returns the estimated length, in milliseconds, of the longest chain
// of dependent steps.
func LongestChainMs(steps []*wire.JobStep) int64 {
	if len(steps) == 0 {
		return 0
	}
	return slices.Max(criticalPathMs(steps, declaredMs(steps)))
}

// criticalPathMs returns the length of the longest chain for each step from the
// durations of the steps.
func criticalPathMs(steps []*wire.JobStep, durations []int64) []int64 {
	remaining := make([]int64, len(steps))
	// Steps depend only on steps with lower indexes, so going backward the values
	// of all dependent steps are final.
	for i := len(steps) - 1; i >= 0; i-- {
		remaining[i] += durations[i]
		for _, earlier := range steps[i].GetAfter() {
			remaining[earlier] = max(remaining[earlier], remaining[i])
		}
	}
	return remaining
}

// Task returns the task with the given indexes, or nil if there is none. It
// ignores id.Job.
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

// EachTask calls visit for every task of every occurrence.
func (j *Job) EachTask(visit func(*Task)) {
	for _, o := range j.occurrences {
		for _, tasks := range o.steps {
			for _, t := range tasks {
				visit(t)
			}
		}
	}
}
