package planner_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

var outageLoads = []outageLoad{
	{mix: manyShort, before: 0.3, after: 0.3, outage: 10 * time.Second},
	{mix: manyShort, before: 0.8, after: 0.8, outage: 5 * time.Second},
	{mix: manyShort, before: 0.8, after: 0.8, outage: 20 * time.Second},
	{mix: manyShort, before: 3, after: 0.3, outage: 20 * time.Second},
	{mix: fewLong, before: 0.8, after: 0.8, outage: 5 * time.Second},
	{mix: fewLong, before: 0.8, after: 0.8, outage: 20 * time.Second},
	{mix: fewLong, before: 3, after: 0.3, outage: 20 * time.Second},
	{mix: fewLong, before: 5, after: 0.3, outage: 35 * time.Second},
	{mix: fewLong, before: 1.5, after: 1.5, outage: 10 * time.Second},
}

// Load: outages with late work that waits and callers that return. Guards against returning
// callers who get fewer results in time than if all that waits starts at once, against this
// at the cost of other callers or of large jobs, and against a change where little waits.
func TestReturningCallersAreServed(t *testing.T) {
	const seeds = 6
	for _, load := range outageLoads {
		before, paced := compareRecovery(load, atOnce(), seeds), compareRecovery(load, pacedRecovery(), seeds)
		t.Logf("%s: at once %+v, paced %+v", load, before, paced)
		// A hundredth of the jobs is noise: each start changes all that follow.
		noise := before.Jobs / 100
		assert.Assert(t, paced.ReturningInTime+1 >= before.ReturningInTime, load.String())
		assert.Assert(t, paced.InTime+noise >= before.InTime, load.String())
		assert.Assert(t, paced.OfUse+noise >= before.OfUse, load.String())
		assert.Assert(t, 10*paced.LargeOfUse >= 9*before.LargeOfUse, load.String())
		assert.Assert(t, paced.LongestS <= before.LongestS+2*recoveryTime.Seconds(), load.String())
		if load.mix == fewLong && load.before >= 3 {
			lostBefore, lost := before.Returning-before.ReturningInTime, paced.Returning-paced.ReturningInTime
			assert.Assert(t, 3*lost <= 2*lostBefore, "%s: %d of %d returning callers late", load, lost, lostBefore)
		}
	}
}

// waitingJob returns a job of one step that was accepted at a time and has an objective of
// 3 s with an estimate of 1 s; it is late after 2 s and overdue after 8.
func waitingJob(id string, acceptedMs int64, step *wire.JobStep) *tracker.Job {
	step.EstimateMs = 1000
	return tracker.New(&wire.Job{
		Id:             id,
		Service:        "s",
		AcceptedUnixMs: acceptedMs,
		Stretch:        2,
		ObjectiveMs:    1000,
		Steps:          []*wire.JobStep{step},
	})
}

// Guards against late tasks that start beyond the room that is left, against tasks held
// back that are on time, starved, long-running or need no processors, and against a gang of
// which a part starts.
func TestPaceLate(t *testing.T) {
	gang := ordinary(3, 1000)
	gang.Gang = true
	const now, onTime, late = 100_000, 99_000, 95_000
	for name, test := range map[string]struct {
		jobs  []*tracker.Job
		share float64
		held  map[string]int
	}{
		"half of 16 processors stays free": {
			jobs:  []*tracker.Job{waitingJob("late", late, ordinary(20, 1000))},
			share: 0.5,
			held:  map[string]int{"late": 12},
		},
		"room of jobs on time behind them": {
			jobs:  []*tracker.Job{waitingJob("late", late, ordinary(5, 1000)), waitingJob("new", onTime, ordinary(6, 1000))},
			share: 0.5,
			held:  map[string]int{"late": 3},
		},
		"overdue jobs as well": {
			jobs:  []*tracker.Job{waitingJob("late", late, ordinary(5, 1000)), waitingJob("overdue", 0, ordinary(5, 1000))},
			share: 0.5,
			held:  map[string]int{"overdue": 2},
		},
		"none before the first has returned": {
			jobs:  []*tracker.Job{waitingJob("late", late, ordinary(1, 1000)), waitingJob("new", onTime, ordinary(30, 1000))},
			share: 1,
			held:  map[string]int{"late": 1},
		},
		"a gang as a whole": {
			jobs:  []*tracker.Job{waitingJob("late", late, ordinary(6, 1000)), waitingJob("gang", late, gang)},
			share: 0.5,
			held:  map[string]int{"gang": 3},
		},
		"best-effort tasks by idle processors": {
			jobs:  []*tracker.Job{waitingJob("late", late, bestEffort(5, "i"))},
			share: 0.5,
			held:  map[string]int{"late": 1},
		},
		"not long-running steps, nor those without processors": {
			jobs:  []*tracker.Job{waitingJob("site", late, serving("i")), waitingJob("memory", late, ordinary(2, 0))},
			share: 1,
			held:  map[string]int{},
		},
		"all that a service without hosts has": {
			jobs:  []*tracker.Job{tracker.New(&wire.Job{Id: "other", Service: "t", Steps: []*wire.JobStep{ordinary(2, 1000)}})},
			share: 0.1,
			held:  map[string]int{"other": 2},
		},
	} {
		t.Run(name, func(t *testing.T) {
			hosts := []*planner.Host{newHost("a", 8), newHost("b", 8)}
			groups := readyGroups(test.jobs...)
			planned, paced := planner.PaceLate(groups, hosts, test.share, now)
			held, pending := map[string]int{}, 0
			for _, group := range paced {
				held[group.Group.Job().Spec().GetId()] = group.Held
				pending += group.Held
			}
			assert.DeepEqual(t, held, test.held)
			for _, group := range planned {
				pending += len(waitingTasks(group))
			}
			total := 0
			for _, group := range groups {
				total += group.Pending()
			}
			assert.Equal(t, pending, total)
		})
	}
}

// Guards against a late job that stops others for its tasks that are held back.
func TestPacedGroupPreemptsNone(t *testing.T) {
	host := newHost("a", 8)
	for _, task := range waitingTasks(readyGroups(newJob("batch", 2, ordinary(6, 1000)))[0]) {
		task.Assign(host.Key, host.Name, 1, 0)
		host.AddAssigned(task)
	}
	const now = 5000
	hosts := []*planner.Host{host}
	late := readyGroups(waitingJob("late", 0, ordinary(4, 2000)))[0]
	planned, paced := planner.PaceLate([]*tracker.Group{late}, hosts, 0, now)
	assert.Equal(t, len(paced), 1)
	p := &planner.Planner{}
	assert.Equal(t, len(p.Plan(planned, hosts)), 1)
	assert.Equal(t, len(p.ChooseVictims(late, late.First(), hosts, time.Hour, now)), 2)
	assert.Equal(t, len(p.ChooseVictims(planned[0], planned[0].First(), hosts, time.Hour, now)), 0)
}

// Guards against a starved job that outages in series hold back without a bound.
func TestStarvedJobIsNotPaced(t *testing.T) {
	job := waitingJob("old", 0, ordinary(4, 1000))
	pace := func(nowMs int64) int {
		_, paced := planner.PaceLate(readyGroups(job), []*planner.Host{newHost("a", 8)}, 1, nowMs)
		return len(paced)
	}
	assert.Equal(t, pace(planner.StarvationBound.Milliseconds()), 1)
	assert.Equal(t, pace(planner.StarvationBound.Milliseconds()+1), 0)
}

// Guards against pacing before an outage has ended, after all callers have returned, and
// without the setting.
func TestReturningShare(t *testing.T) {
	for _, test := range []struct {
		since, within time.Duration
		share         float64
	}{
		{0, 3 * time.Second, 1},
		{time.Second, 4 * time.Second, 0.75},
		{3 * time.Second, 3 * time.Second, 0},
		{time.Hour, 3 * time.Second, 0},
		{-time.Second, 3 * time.Second, 0},
		{time.Second, 0, 0},
	} {
		assert.Equal(t, planner.ReturningShare(test.since, test.within), test.share, "%+v", test)
	}
}

// BenchmarkComparisonOfRecovery compares what starts after an outage of the log on
// identical arrivals (seeds 1 to 16) and prints a table. If COMPARISON_DIR is set, the
// outcomes are written to recovery.json in that directory. Run it with -benchtime 1x.
func BenchmarkComparisonOfRecovery(b *testing.B) {
	const seeds = 16
	for b.Loop() {
		var all []recoveryOutcome
		fmt.Printf("\n| service, load before, outage and load after | policy | returning | in time | of use | mean from first try | jobs | in time | of use | large | of use | longest |\n")
		for _, load := range outageLoads {
			for _, policy := range recoveryPolicies() {
				o := compareRecovery(load, policy, seeds)
				all = append(all, o)
				fmt.Printf("| %s | %s | %d | %d | %d | %.1f s | %d | %d | %d | %d | %d | %.0f s |\n", o.Load, o.Policy,
					o.Returning, o.ReturningInTime, o.ReturningOfUse, o.ReturningMeanS, o.Jobs, o.InTime, o.OfUse, o.Large, o.LargeOfUse, o.LongestS)
			}
		}
		if dir := os.Getenv("COMPARISON_DIR"); dir != "" {
			data, err := json.MarshalIndent(map[string]any{
				"command": "make bench",
				"seeds":   seeds,
				"results": all,
			}, "", "  ")
			assert.NilError(b, err)
			assert.NilError(b, os.WriteFile(filepath.Join(dir, "recovery.json"), data, 0o600))
		}
	}
}
