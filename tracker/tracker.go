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

	"damaskspread.example/damaskspread/wire"
)

// ExecutorKey identifies one incarnation of an executor: its id and the time at
// which it started.
type ExecutorKey struct {
	ID         string
	BornUnixMs int64
}

// Job is one job with the state of its tasks. Its size follows the steps that were ready
// and the tasks that have begun and are not done, not the repetitions that it declares.
type Job struct {
	spec *wire.Job
	// destination is that of the latest configuration that is known to have the queue;
	// redirected is set once it has differed from that of the acceptance.
	destination Destination
	redirected  bool
	// occurrences are nil before a step of them was ready, and doneOccurrence once all
	// of their steps are done. All before firstOpen are done.
	occurrences     []*occurrence
	firstOpen       int
	doneOccurrences int
	// tasks is the number of tasks of one occurrence.
	tasks int
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
	// finalState is the recorded final state; UNSPECIFIED before SetFinal.
	finalState wire.JobState
	parts      partSet
	// undecoded are the stored parts that could not be decoded.
	undecoded []int
	// doneGroups are the names of the groups that were done since the last
	// TakeDoneGroups.
	doneGroups []string
}

// New returns a job of which no task has started.
func New(job *wire.Job) *Job {
	return &Job{
		spec:        job,
		destination: acceptedDestination(job),
		occurrences: make([]*occurrence, occurrenceCount(job)),
		tasks:       taskCount(job),
		remainingMs: criticalPathMs(job.GetSteps(), declaredMs(job.GetSteps())),
	}
}

func occurrenceCount(job *wire.Job) int { return max(1, int(job.GetRepeatCount())) }

// taskCount returns the number of tasks of one occurrence.
func taskCount(job *wire.Job) int {
	count := 0
	for _, step := range job.GetSteps() {
		count += int(step.GetCount())
	}
	return count
}

func (j *Job) stepSize(step int) int { return int(j.spec.GetSteps()[step].GetCount()) }

// Spec returns the job as it was accepted. Callers must not change it, and use Service and
// NeedsAdvice in place of its destination.
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

// fail ends the job, because a task of it has used up its runs.
func (j *Job) fail() {
	j.failed = true
	j.markChanged()
}

// SetFinal records the final state that callers were told. No further task starts, also if the
// progress says less.
func (j *Job) SetFinal(state wire.JobState) { j.finalState = state }

// Over reports whether the job succeeded, failed or was canceled, so that no
// further task may start. Runs may still be in progress.
func (j *Job) Over() bool {
	return j.finalState != wire.JobState_JOB_STATE_UNSPECIFIED || j.canceled || j.failed || j.succeeded()
}

func (j *Job) succeeded() bool {
	return j.doneOccurrences == len(j.occurrences) || j.tasks == 0
}

// MarkStarted records that a task of the job has started: an executor lists its run, a run
// has ended, or an executor has crashed after it had started one. An assignment alone is
// no start, since its executor may not respond, nor is a start call without a response. It
// is not stored, because the status that callers see is.
func (j *Job) MarkStarted() { j.started = true }

// Started reports whether MarkStarted was called.
func (j *Job) Started() bool { return j.started }

// State returns the state of the job as callers see it.
func (j *Job) State() wire.JobState {
	switch {
	case j.finalState != wire.JobState_JOB_STATE_UNSPECIFIED:
		return j.finalState
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

// declaredMs returns the declared run time of each step.
func declaredMs(steps []*wire.JobStep) []int64 {
	estimates := make([]int64, len(steps))
	for i, step := range steps {
		estimates[i] = DeclaredRunTime(step).Milliseconds()
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
