package planner

import (
	"cmp"
	"slices"
	"time"

	"damaskspread.example/damaskspread/tracker"
)

const (
	// StarvationBound is the wait after which an overdue job goes first within its
	// priority. Jobs that are started for this displace jobs that are still of use,
	// so the bound is longer than the bursts of load that the deployments state.
	StarvationBound = 2 * time.Minute
	// begunCredit is how far the deadline of a nearly done job is brought forward, as
	// a share of the time from its deadline to overdue. With a large share, begun jobs
	// displace others that can still be in time.
	begunCredit = 0.25
	// minWork keeps divisors positive: core-seconds of a job, cores of a task.
	minWork = 0.01
)

// Class is the part of the cost of waiting that goes before its amount. Lower
// classes start first within a priority.
type Class int

// Classes of waiting jobs.
const (
	// ClassStarved: an overdue job that has waited longer than StarvationBound.
	ClassStarved Class = iota
	// ClassLongRunning: each second without the step is lost to its callers.
	ClassLongRunning
	// ClassOnTime: the job can still meet its objective.
	ClassOnTime
	// ClassLate: too late for the objective, but of some use.
	ClassLate
	// ClassOverdue: so late that the job is worth nothing to its caller.
	ClassOverdue
)

// String returns the name of the class in logs and explanations.
func (c Class) String() string {
	return [...]string{"starved", "long_running", "on_time", "late", "overdue"}[c]
}

// overdue reports whether the job is worth nothing to its caller any more.
func (c Class) overdue() bool { return c == ClassOverdue || c == ClassStarved }

// Waiting describes a job of which a step waits.
type Waiting struct {
	Priority int32
	// Deadline is the end of the objective. After Overdue, the job is worth nothing.
	Deadline, Overdue, Now time.Time
	// Remaining is the length of the longest chain of steps that is left.
	Remaining time.Duration
	// Work is what the job still needs, in core-seconds. Begun is the share of its
	// work that was started.
	Work, Begun float64
	// Waited is the time since the job could start.
	Waited      time.Duration
	LongRunning bool
}

// Slack returns how much longer the job can wait and meet its objective.
func (w *Waiting) Slack() time.Duration { return w.Deadline.Sub(w.Now) - w.Remaining }

// Cost is what it costs callers if a step waits.
type Cost struct {
	Priority int32
	Class    Class
	// Amount is how far the job is past its deadline, in seconds, negative before it.
	// The share of its work that was begun brings the deadline forward, because this
	// work is lost if the job ends too late.
	Amount float64
}

// WaitingOf describes the job of a group at nowUnixMs.
func WaitingOf(g *tracker.Group, nowUnixMs int64) Waiting {
	job := g.Job()
	objective := job.Objective().Milliseconds()
	start := boundedMs(earliestStartMs(g), nowUnixMs)
	pending, total := g.Work()
	return Waiting{
		Priority:    job.Spec().GetPriority(),
		Deadline:    time.UnixMilli(start + objective),
		Overdue:     time.UnixMilli(start + overdueFactor*objective),
		Now:         time.UnixMilli(nowUnixMs),
		Remaining:   time.Duration(min(job.CriticalPathMs(g.StepIndex()), maxSpanMs)) * time.Millisecond,
		Work:        pending,
		Begun:       (total - pending) / max(total, minWork),
		Waited:      time.Duration(nowUnixMs-start) * time.Millisecond,
		LongRunning: g.Step().GetLongRunning(),
	}
}

// boundedMs returns a time that is at most maxSpanMs away from now.
func boundedMs(unixMs, nowUnixMs int64) int64 {
	return min(max(unixMs, nowUnixMs-maxSpanMs), nowUnixMs+maxSpanMs)
}

// CostOf returns what it costs callers if the step waits. The core-seconds that
// the job still needs count by the share that was begun only: a cost per
// core-second would keep large jobs from being served.
func CostOf(w Waiting) Cost {
	cost := Cost{
		Priority: w.Priority,
		Amount:   begunCredit*w.Begun*w.Overdue.Sub(w.Deadline).Seconds() - w.Deadline.Sub(w.Now).Seconds(),
	}
	end := w.Now.Add(w.Remaining)
	switch {
	case w.LongRunning:
		cost.Class = ClassLongRunning
	case !end.After(w.Deadline):
		cost.Class = ClassOnTime
	case !end.After(w.Overdue):
		cost.Class = ClassLate
	case w.Waited > StarvationBound:
		cost.Class = ClassStarved
	default:
		cost.Class = ClassOverdue
	}
	return cost
}

// Compare returns a negative number if a step with cost c starts before one with
// cost other. Overdue jobs go after all jobs that are still of use, whatever their
// queue; all others keep to the priority of their queues.
func (c Cost) Compare(other Cost) int {
	useless := func(c Cost) int {
		if c.Class == ClassOverdue {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(useless(c), useless(other)),
		cmp.Compare(c.Priority, other.Priority),
		cmp.Compare(c.Class, other.Class),
		cmp.Compare(other.Amount, c.Amount),
	)
}

// Order sorts groups in place by the order in which they should start: by their
// deadlines (see the function Order) or, with CostOrder, by the cost of waiting.
// Among equal costs, the earlier deadline goes first.
func (p *Planner) Order(groups []*tracker.Group, nowUnixMs int64) {
	if !p.CostOrder {
		Order(groups, nowUnixMs)
		return
	}
	type entry struct {
		group    *tracker.Group
		cost     Cost
		deadline time.Time
	}
	entries := make([]entry, len(groups))
	for i, group := range groups {
		waiting := WaitingOf(group, nowUnixMs)
		entries[i] = entry{
			group:    group,
			cost:     CostOf(waiting),
			deadline: waiting.Deadline,
		}
	}
	slices.SortStableFunc(entries, func(a, b entry) int {
		return cmp.Or(
			a.cost.Compare(b.cost),
			a.deadline.Compare(b.deadline),
			cmp.Compare(a.group.Job().Spec().GetAcceptedUnixMs(), b.group.Job().Spec().GetAcceptedUnixMs()),
			cmp.Compare(a.group.Name(), b.group.Name()),
		)
	})
	for i := range entries {
		groups[i] = entries[i].group
	}
}
