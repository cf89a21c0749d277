package planner_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// chained is a job of steps of one second each that follow one another.
func chained(id string, acceptedMs int64, steps int) *tracker.Job {
	job := &wire.Job{
		Id:             id,
		Service:        "s",
		AcceptedUnixMs: acceptedMs,
		Stretch:        2,
		ObjectiveMs:    1000,
	}
	for i := range steps {
		step := plain(1, 1000)
		step.EstimateMs = 1000
		if i > 0 {
			step.After = []int32{int32(i - 1)}
		}
		job.Steps = append(job.Steps, step)
	}
	return tracker.New(job)
}

func order(nowMs int64, jobs ...*tracker.Job) []string {
	groups := ready(jobs...)
	planner.Order(groups, nowMs)
	var ids []string
	for _, g := range groups {
		ids = append(ids, g.Job().Spec().GetId())
	}
	return ids
}

// Guards against a queue in which jobs that are late anyway make all others
// late: one step has 3 s, and 9 s until it is worth nothing.
func TestOrderUnderOverload(t *testing.T) {
	old, middle, fresh := chained("old", 0, 1), chained("middle", 8000, 1), chained("fresh", 9500, 1)
	assert.DeepEqual(t, order(1000, fresh, middle, old), []string{"old", "middle", "fresh"})
	assert.DeepEqual(t, order(10_000, old, middle, fresh), []string{"middle", "fresh", "old"})
	assert.DeepEqual(t, order(12_000, old, middle, fresh), []string{"middle", "fresh", "old"})
}

// Guards against a long chain that goes behind short jobs until it is late: its
// objective counts all steps, and what is left of it decides.
func TestOrderCountsTheChain(t *testing.T) {
	long, short := chained("long", 0, 3), chained("short", 0, 1)
	assert.DeepEqual(t, order(1000, long, short), []string{"short", "long"})
	// At 4.5 s the rest of three steps no longer fits into 7 s; one step of
	// another job that has just come still does.
	assert.DeepEqual(t, order(4500, long, chained("new", 4400, 1)), []string{"new", "long"})
}

// Guards against later occurrences of a job that are taken for late ones: each
// has its own time.
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
	groups := append(ready(chained("late", 30_000, 1)), newest)
	planner.Order(groups, 41_500)
	assert.Equal(t, groups[0], newest)
}
