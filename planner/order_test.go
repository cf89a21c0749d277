package planner_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// chainJob returns a job whose steps run one after another. Each step is
// estimated at one second.
func chainJob(id string, acceptedMs int64, steps int) *tracker.Job {
	job := &wire.Job{
		Id:             id,
		Service:        "s",
		AcceptedUnixMs: acceptedMs,
		Stretch:        2,
		ObjectiveMs:    1000,
	}
	for i := range steps {
		step := ordinary(1, 1000)
		step.EstimateMs = 1000
		if i > 0 {
			step.After = []int32{int32(i - 1)}
		}
		job.Steps = append(job.Steps, step)
	}
	return tracker.New(job)
}

// order returns the ids of the jobs in the order of planner.Order.
func order(nowMs int64, jobs ...*tracker.Job) []string {
	groups := readyGroups(jobs...)
	planner.Order(groups, nowMs)
	var ids []string
	for _, g := range groups {
		ids = append(ids, g.Job().Spec().GetId())
	}
	return ids
}

// Guards against overload in which jobs that are late anyway make all others
// late. A job of one step has an objective of 3 s and is overdue after 9 s.
func TestOrderUnderOverload(t *testing.T) {
	old, middle, fresh := chainJob("old", 0, 1), chainJob("middle", 8000, 1), chainJob("fresh", 9500, 1)
	assert.DeepEqual(t, order(1000, fresh, middle, old), []string{"old", "middle", "fresh"})
	assert.DeepEqual(t, order(10_000, old, middle, fresh), []string{"middle", "fresh", "old"})
	assert.DeepEqual(t, order(12_000, old, middle, fresh), []string{"middle", "fresh", "old"})
}

// Guards against an order that ignores the length of a chain of steps. The
// objective of a job covers all its steps, and its lateness depends on the steps
// that remain.
func TestOrderCountsRemainingSteps(t *testing.T) {
	long, short := chainJob("long", 0, 3), chainJob("short", 0, 1)
	assert.DeepEqual(t, order(1000, long, short), []string{"short", "long"})
	// At 4.5 s the three remaining steps no longer fit into the objective of 7 s.
	// The single step of a job that was just accepted still fits into its own.
	assert.DeepEqual(t, order(4500, long, chainJob("new", 4400, 1)), []string{"new", "long"})
}

// Guards against later occurrences of a job that are treated as late because
// their deadline is counted from the first one.
func TestOrderOfOccurrences(t *testing.T) {
	repeated := tracker.New(&wire.Job{
		Id:               "repeated",
		Service:          "s",
		Stretch:          2,
		ObjectiveMs:      1000,
		RepeatCount:      3,
		FirstStartUnixMs: 1000,
		IntervalMs:       20_000,
		Steps:            []*wire.JobStep{{Count: 1, EstimateMs: 1000, Resources: &wire.Resources{Millicores: 1000}}},
	})
	newest := repeated.Ready(41_500)[2]
	assert.Equal(t, newest.Occurrence(), 2)
	groups := append(readyGroups(chainJob("late", 30_000, 1)), newest)
	planner.Order(groups, 41_500)
	assert.Equal(t, groups[0], newest)
}
