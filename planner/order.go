package planner

import (
	"cmp"
	"slices"
	"time"

	"damaskspread.example/damaskspread/tracker"
)

// maxSpanMs bounds times from now, in milliseconds, because other writers may store
// any number.
const maxSpanMs = int64(tracker.MaxSpan / time.Millisecond)

// overdueFactor times the objective is the response time beyond which a job is
// worth nothing to its caller.
const overdueFactor = 3

// lateness is how late a job is expected to end, relative to its objective.
type lateness int

const (
	onTime lateness = iota
	// late: too late for the objective.
	late
	// overdue: so late that the job is worth nothing to its caller.
	overdue
)

// sortKey holds the values by which Order sorts a group.
type sortKey struct {
	group      *tracker.Group
	lateness   lateness
	deadlineMs int64
}

// Order sorts groups in place by the order in which they should start: by the
// priority of the queue, lowest number first; then by lateness, because under overload
// jobs that are late anyway would make all others late; then by deadline, and then by
// acceptance time.
func Order(groups []*tracker.Group, nowUnixMs int64) {
	keys := make([]sortKey, len(groups))
	for i, group := range groups {
		keys[i] = sortKeyOf(group, nowUnixMs)
	}
	slices.SortStableFunc(keys, func(a, b sortKey) int {
		jobA, jobB := a.group.Job().Spec(), b.group.Job().Spec()
		return cmp.Or(
			cmp.Compare(jobA.GetPriority(), jobB.GetPriority()),
			cmp.Compare(a.lateness, b.lateness),
			cmp.Compare(a.deadlineMs, b.deadlineMs),
			cmp.Compare(jobA.GetAcceptedUnixMs(), jobB.GetAcceptedUnixMs()),
		)
	})
	for i := range keys {
		groups[i] = keys[i].group
	}
}

// sortKeyOf compares the remaining work of the job with its objective. A
// long-running step has no end and is therefore never late.
func sortKeyOf(g *tracker.Group, nowUnixMs int64) sortKey {
	objective := g.Job().Objective().Milliseconds()
	start := boundedMs(earliestStartMs(g), nowUnixMs)
	key := sortKey{
		group:      g,
		deadlineMs: start + objective,
	}
	end := nowUnixMs + min(g.Job().CriticalPathMs(g.StepIndex()), maxSpanMs)
	switch {
	case g.Step().GetLongRunning() || end <= key.deadlineMs:
		key.lateness = onTime
	case end <= start+overdueFactor*objective:
		key.lateness = late
	default:
		key.lateness = overdue
	}
	return key
}

// earliestStartMs returns the time, in Unix milliseconds, at which the occurrence
// of the group could begin.
func earliestStartMs(g *tracker.Group) int64 {
	job := g.Job().Spec()
	if job.GetRepeatCount() <= 0 {
		return job.GetAcceptedUnixMs()
	}
	return max(job.GetAcceptedUnixMs(), tracker.DueUnixMs(job, g.Occurrence()))
}
