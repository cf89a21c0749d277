package planner

import (
	"cmp"
	"slices"
	"time"

	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// lateFactor times its objective is when a late job is worth nothing more to its
// caller.
const lateFactor = 3

// prospect is what a job can still achieve.
type prospect int

const (
	inTime prospect = iota
	late
	overdue
)

// Order sorts groups by which should start first. The priority of the queue
// decides, then whether the job can still be in time: under overload, jobs that
// are late anyway would make all others late. Last is the earliest deadline.
func Order(groups []*tracker.Group, nowUnixMs int64) {
	slices.SortStableFunc(groups, func(a, b *tracker.Group) int {
		return cmp.Or(
			cmp.Compare(a.Job().Spec().GetPriority(), b.Job().Spec().GetPriority()),
			cmp.Compare(prospectOf(a, nowUnixMs), prospectOf(b, nowUnixMs)),
			cmp.Compare(dueMs(a)+objectiveMs(a), dueMs(b)+objectiveMs(b)),
		)
	})
}

// prospectOf tells whether the rest of a job fits into its objective. Steps that
// last have no end that could be late.
func prospectOf(g *tracker.Group, nowUnixMs int64) prospect {
	if g.Step().GetLongRunning() {
		return inTime
	}
	end := nowUnixMs + chainFrom(g.Job().Spec(), g.StepIndex()).Milliseconds()
	switch {
	case end <= dueMs(g)+objectiveMs(g):
		return inTime
	case end <= dueMs(g)+lateFactor*objectiveMs(g):
		return late
	default:
		return overdue
	}
}

// dueMs is when the occurrence of a group could begin.
func dueMs(g *tracker.Group) int64 {
	job := g.Job().Spec()
	if job.GetRepeatCount() <= 0 {
		return job.GetAcceptedUnixMs()
	}
	return max(job.GetAcceptedUnixMs(), job.GetFirstStartUnixMs()+int64(g.Occurrence())*job.GetIntervalMs())
}

// objectiveMs is the time within which the occurrence should be done.
func objectiveMs(g *tracker.Group) int64 {
	job := g.Job().Spec()
	return int64(float64(Chain(job).Milliseconds())*job.GetStretch()) + job.GetObjectiveMs()
}

// Chain is the longest chain of estimated work in a job.
func Chain(job *wire.Job) time.Duration {
	longest := time.Duration(0)
	for step := range job.GetSteps() {
		longest = max(longest, chainFrom(job, step))
	}
	return longest
}

// chainFrom is the longest chain of estimated work that begins with a step.
func chainFrom(job *wire.Job, from int) time.Duration {
	steps := job.GetSteps()
	// Steps follow earlier ones, so the rest of each later step is known.
	rest := make([]int64, len(steps))
	for i := len(steps) - 1; i >= from; i-- {
		rest[i] += steps[i].GetEstimateMs()
		for _, earlier := range steps[i].GetAfter() {
			rest[earlier] = max(rest[earlier], rest[i])
		}
	}
	return time.Duration(rest[from]) * time.Millisecond
}
