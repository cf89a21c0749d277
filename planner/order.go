package planner

import (
	"cmp"
	"slices"

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

// position is what orders a group.
type position struct {
	group      *tracker.Group
	prospect   prospect
	deadlineMs int64
}

// Order sorts groups by which should start first. The priority of the queue
// decides, then whether the job can still be in time: under overload, jobs that
// are late anyway would make all others late. Then the earliest deadline goes
// first, and last the earliest acceptance.
func Order(groups []*tracker.Group, nowUnixMs int64) {
	positions := make([]position, len(groups))
	for i, group := range groups {
		positions[i] = positionOf(group, nowUnixMs)
	}
	slices.SortStableFunc(positions, func(a, b position) int {
		jobA, jobB := a.group.Job().Spec(), b.group.Job().Spec()
		return cmp.Or(
			cmp.Compare(jobA.GetPriority(), jobB.GetPriority()),
			cmp.Compare(a.prospect, b.prospect),
			cmp.Compare(a.deadlineMs, b.deadlineMs),
			cmp.Compare(jobA.GetAcceptedUnixMs(), jobB.GetAcceptedUnixMs()),
		)
	})
	for i := range positions {
		groups[i] = positions[i].group
	}
}

// positionOf tells whether the rest of a job fits into its objective. Steps that
// last have no end that could be late.
func positionOf(g *tracker.Group, nowUnixMs int64) position {
	job := g.Job().Spec()
	rest := restMs(job)
	objective := int64(float64(slices.Max(rest))*job.GetStretch()) + job.GetObjectiveMs()
	due := dueMs(g)
	p := position{
		group:      g,
		deadlineMs: due + objective,
	}
	end := nowUnixMs + rest[g.StepIndex()]
	switch {
	case g.Step().GetLongRunning() || end <= p.deadlineMs:
		p.prospect = inTime
	case end <= due+lateFactor*objective:
		p.prospect = late
	default:
		p.prospect = overdue
	}
	return p
}

// dueMs is when the occurrence of a group could begin.
func dueMs(g *tracker.Group) int64 {
	job := g.Job().Spec()
	if job.GetRepeatCount() <= 0 {
		return job.GetAcceptedUnixMs()
	}
	return max(job.GetAcceptedUnixMs(), job.GetFirstStartUnixMs()+int64(g.Occurrence())*job.GetIntervalMs())
}

// restMs is, for each step of a job, the longest chain of estimated work that
// begins with it.
func restMs(job *wire.Job) []int64 {
	steps := job.GetSteps()
	rest := make([]int64, len(steps))
	// Steps follow earlier ones, so the rest of each later step is known.
	for i := len(steps) - 1; i >= 0; i-- {
		rest[i] += steps[i].GetEstimateMs()
		for _, earlier := range steps[i].GetAfter() {
			rest[earlier] = max(rest[earlier], rest[i])
		}
	}
	return rest
}
