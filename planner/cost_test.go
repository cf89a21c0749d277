package planner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// costOrder returns the ids of the jobs in the order by cost.
func costOrder(nowMs int64, jobs ...*tracker.Job) []string {
	groups := readyGroups(jobs...)
	(&planner.Planner{CostOrder: true}).Order(groups, nowMs)
	var ids []string
	for _, g := range groups {
		ids = append(ids, g.Job().Spec().GetId())
	}
	return ids
}

func withPriority(job *tracker.Job, priority int32) *tracker.Job {
	job.Spec().Priority = priority
	return job
}

// Guards against overdue jobs of an urgent queue that start before jobs of another
// queue that are still of use, and against less urgent jobs that start before jobs
// of an urgent queue that can still be in time. A job of one step has an objective
// of 3 s and is overdue after 9 s.
func TestCostOrderAcrossQueues(t *testing.T) {
	urgent := withPriority(chainJob("urgent", 9000, 1), 0)
	late := withPriority(chainJob("late", 5000, 1), 0)
	overdue := withPriority(chainJob("overdue", 0, 1), 0)
	batch := withPriority(chainJob("batch", 9500, 1), 2)
	lateBatch := withPriority(chainJob("late-batch", 5000, 1), 2)
	assert.DeepEqual(t, costOrder(10_000, overdue, lateBatch, batch, late, urgent),
		[]string{"urgent", "late", "batch", "late-batch", "overdue"})
}

// Guards against an overdue job that starves, and against one that goes before
// more urgent queues once it has waited long.
func TestStarvedJobGoesFirstWithinItsPriority(t *testing.T) {
	now := planner.StarvationBound.Milliseconds()
	jobs := func() []*tracker.Job {
		return []*tracker.Job{
			withPriority(chainJob("urgent", now, 1), 0),
			withPriority(chainJob("fresh", now, 1), 2),
			withPriority(chainJob("old", 0, 1), 2),
		}
	}
	assert.DeepEqual(t, costOrder(now, jobs()...), []string{"urgent", "fresh", "old"})
	assert.DeepEqual(t, costOrder(now+1, jobs()...), []string{"urgent", "old", "fresh"})
}

// Guards against the work of nearly done jobs being lost to jobs that were not
// begun and have a slightly earlier deadline.
func TestCostOrderPrefersBegunJobs(t *testing.T) {
	begun := chainJob("begun", 500, 2)
	for _, task := range waitingTasks(begun.Ready(0)[0]) {
		task.Assign(tracker.ExecutorKey{ID: "i"}, "h", 1, time.Second)
		task.End(&wire.RunEnd{Run: 1, Cause: wire.EndCause_END_CAUSE_DONE}, "i")
	}
	fresh := chainJob("fresh", 0, 2)
	assert.DeepEqual(t, costOrder(1500, fresh, begun), []string{"begun", "fresh"})
	// A deadline that is earlier by more than the credit goes first. The objective is
	// 5 s, so the credit of a job that is half done is 1.25 s.
	later := chainJob("later", 3000, 2)
	for _, task := range waitingTasks(later.Ready(0)[0]) {
		task.Assign(tracker.ExecutorKey{ID: "i"}, "h", 1, time.Second)
		task.End(&wire.RunEnd{Run: 1, Cause: wire.EndCause_END_CAUSE_DONE}, "i")
	}
	assert.DeepEqual(t, costOrder(3000, fresh, later), []string{"fresh", "later"})
}

// Guards against an order that depends on the order in which jobs are listed, which
// is random in each cycle.
func TestCostOrderIsStable(t *testing.T) {
	a, b := chainJob("a", 0, 1), chainJob("b", 0, 1)
	assert.DeepEqual(t, costOrder(500, a, b), costOrder(500, b, a))
}

// Guards against a change of the order where the setting is off.
func TestOrderIsUnchangedByDefault(t *testing.T) {
	var list []*tracker.Job
	for _, job := range burst(1, 0.1, 0.4) {
		list = append(list, tracker.New(job.spec))
	}
	existing, configured := readyGroups(list...), readyGroups(list...)
	planner.Order(existing, 20_000)
	(&planner.Planner{}).Order(configured, 20_000)
	for i := range existing {
		assert.Equal(t, existing[i].Name(), configured[i].Name())
	}
}

// Guards against an order that serves large jobs less than half as often as their
// class, or fewer jobs than the existing order: a burst of 0.8 times the capacity.
func TestCostOrderServesLargeJobs(t *testing.T) {
	list := policies()
	for class, o := range compareBurst(burstLoads[0], list[len(list)-1], 1) {
		existing := compareBurst(burstLoads[0], list[0], 1)[class]
		t.Logf("in time %.3f (existing order %.3f), largest tenth %.3f", o.InTime, existing.InTime, o.LargestInTime)
		assert.Assert(t, o.LargestInTime >= o.InTime/2)
		assert.Assert(t, o.InTime >= existing.InTime-0.05)
	}
}
