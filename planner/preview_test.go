package planner_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const manyChecks = 1_000_000

// planned returns hosts with the plan of the groups, and the groups with tasks that
// wait, as they are at the end of a cycle.
func planned(p *planner.Planner, groups []*tracker.Group, hosts ...*planner.Host) ([]*planner.Host, []*tracker.Group) {
	p.Order(groups, 0)
	placed := map[string]int{}
	for _, assignment := range p.Plan(groups, hosts) {
		placed[assignment.Group]++
	}
	var waiting []*tracker.Group
	for _, group := range groups {
		if placed[group.Name()] < len(waitingTasks(group)) {
			waiting = append(waiting, group)
		}
	}
	return hosts, waiting
}

// Guards against a preview that differs from the next plan, and against one that takes
// capacity: a second preview and the plan itself have the same result.
func TestPreviewIsTheNextPlan(t *testing.T) {
	gang := ordinary(3, 2000)
	gang.Gang = true
	tooWide := ordinary(30, 2000)
	tooWide.Gang = true
	for _, steps := range [][]*wire.JobStep{
		{ordinary(5, 1000), ordinary(5, 500)},
		{gang},
		{tooWide},
		{bestEffort(20, "i")},
		{ordinary(1, 9000)},
	} {
		p := &planner.Planner{}
		hosts, waiting := planned(p, readyGroups(newJob("1", 0, ordinary(3, 2000))), newHost("a", 8), newHost("b", 6), newHost("c", 1))
		job := newJob("2", 0, steps...)
		starts := map[string]int{}
		first := p.Preview(job, waiting, hosts, 0, manyChecks)
		for _, step := range first {
			for host, tasks := range step.Starts {
				starts[host] += tasks
			}
		}
		second := p.Preview(job, waiting, hosts, 0, manyChecks)
		for i := range first {
			assert.DeepEqual(t, second[i].Starts, first[i].Starts)
			assert.DeepEqual(t, second[i].Obstacles, first[i].Obstacles)
			assert.DeepEqual(t, second[i].Remaining, first[i].Remaining)
		}
		assert.DeepEqual(t, countByHost(p.Plan(readyGroups(job), hosts)), starts)
		for _, group := range job.Ready(0) {
			assert.Equal(t, group.Pending(), group.Size())
		}
		assert.Equal(t, len(job.TakeChangedParts()), 0)
	}
}

// Guards against a host under suspicion whose only probe a preview uses up.
func TestPreviewIsNoProbe(t *testing.T) {
	p := &planner.Planner{}
	host := newHost("a", 8)
	host.Suspect = true
	steps := p.Preview(newJob("1", 0, ordinary(4, 500)), nil, []*planner.Host{host}, 0, manyChecks)
	assert.DeepEqual(t, steps[0].Starts, map[string]int{"a": 1})
	assert.DeepEqual(t, steps[0].Remaining, map[planner.Obstacle]int{planner.ObstacleSuspect: 1})
	assert.Assert(t, !host.HasProbe())
}

// Guards against hosts that are excluded without a reason, or by another one than that
// which keeps the tasks waiting.
func TestPreviewNamesObstacles(t *testing.T) {
	p := &planner.Planner{}
	foreign, out, small, busy := newHost("a", 8), newHost("b", 8), newHost("c", 8), newHost("d", 8)
	foreign.Service = "other"
	out.Usable = false
	small.Capacity.MemoryBytes = gigabyte / 2
	busy.AddPlanned("x", ordinary(1, 8000))
	hosts := []*planner.Host{foreign, out, small, busy, newHost("e", 2)}
	steps := p.Preview(newJob("1", 0, ordinary(3, 1000)), nil, hosts, 0, manyChecks)
	assert.Equal(t, len(steps), 1)
	assert.DeepEqual(t, steps[0].Starts, map[string]int{"e": 2})
	assert.DeepEqual(t, steps[0].Obstacles, map[planner.Obstacle]int{
		planner.ObstacleService:    1,
		planner.ObstacleUnusable:   1,
		planner.ObstacleMemory:     1,
		planner.ObstacleProcessors: 1,
		planner.NoObstacle:         1,
	})
	assert.DeepEqual(t, steps[0].Remaining, map[planner.Obstacle]int{
		planner.ObstacleService:    1,
		planner.ObstacleUnusable:   1,
		planner.ObstacleMemory:     1,
		planner.ObstacleProcessors: 2,
	})
}

// Guards against a place in the order that ignores priorities or counts steps of other
// services, in both orders.
func TestPreviewOrder(t *testing.T) {
	for _, costOrder := range []bool{false, true} {
		p := &planner.Planner{CostOrder: costOrder}
		other := tracker.New(&wire.Job{Id: "4", Service: "other", Steps: []*wire.JobStep{ordinary(1, 100)}})
		waiting := readyGroups(newJob("1", 0, ordinary(1, 9000)), newJob("2", 2, ordinary(1, 9000)), newJob("3", 5, ordinary(1, 9000)), other)
		for priority, first := range map[int32]int{1: 1, 3: 2, 6: 3} {
			after := ordinary(1, 100)
			after.After = []int32{0}
			steps := p.Preview(newJob("9", priority, ordinary(1, 100), after), waiting, []*planner.Host{newHost("a", 8)}, 0, manyChecks)
			assert.Equal(t, len(steps), 1)
			assert.Equal(t, steps[0].First, first)
			assert.Equal(t, steps[0].Waiting, 3)
		}
	}
}

// Guards against a reservation for a large task that excludes a job which goes before
// it, or that doesn't exclude one which goes after it.
func TestPreviewReservations(t *testing.T) {
	p := &planner.Planner{}
	groups := readyGroups(newJob("1", 0, ordinary(1, 6000)), newJob("2", 1, ordinary(1, 8000)))
	hosts, waiting := planned(p, groups, newHost("a", 8))
	assert.Equal(t, len(waiting), 1)
	starts := func(priority int32) planner.StepPreview {
		return p.Preview(newJob("9", priority, ordinary(1, 500)), waiting, hosts, 0, manyChecks)[0]
	}
	assert.DeepEqual(t, starts(0).Starts, map[string]int{"a": 1})
	later := starts(2)
	assert.Equal(t, len(later.Starts), 0)
	assert.DeepEqual(t, later.Remaining, map[planner.Obstacle]int{planner.ObstacleReserved: 1})
	assert.DeepEqual(t, starts(0).Starts, map[string]int{"a": 1})
}

// Guards against a preview of a wide job that takes as long as its plan, and against
// repetitions of a job that multiply it.
func TestPreviewIsBounded(t *testing.T) {
	p := &planner.Planner{}
	gang := ordinary(20, 10)
	gang.Gang = true
	job := tracker.New(&wire.Job{Id: "1", Service: "s", RepeatCount: 50, Steps: []*wire.JobStep{ordinary(1000, 1), gang}})
	steps := p.Preview(job, nil, []*planner.Host{newHost("a", 8), newHost("b", 8)}, 0, 40)
	assert.Equal(t, len(steps), 2)
	for _, step := range steps {
		assert.Equal(t, step.Tried, 10)
	}
	assert.DeepEqual(t, steps[0].Starts, map[string]int{"a": 5, "b": 5})
	assert.Equal(t, len(steps[1].Starts), 0)

	// 3 checks on each host are enough for one step.
	steps = p.Preview(job, nil, []*planner.Host{newHost("a", 8), newHost("b", 8)}, 0, 7)
	assert.Equal(t, len(steps), 2)
	assert.Equal(t, steps[0].Tried, 3)
	assert.Equal(t, steps[1].Tried, 0)
}

// BenchmarkPreview measures what a preview takes from a cycle, beside 36 jobs whose
// 36,000 tasks wait: of a job of wide steps, and of one with many gangs.
func BenchmarkPreview(b *testing.B) {
	const maxChecks = 50_000
	gang := ordinary(3, 10)
	gang.Gang = true
	previewed := map[string]*tracker.Job{
		"wide":  newJob("9", 1, ordinary(1000, 10), ordinary(1000, 10), ordinary(1000, 10), bestEffort(1000, "i")),
		"gangs": newJob("9", 1, slices.Repeat([]*wire.JobStep{gang}, tracker.MaxSteps)...),
	}
	for _, count := range []int{240, 3100} {
		var hosts []*planner.Host
		for i := range count {
			hosts = append(hosts, newHost(fmt.Sprintf("host-%04d", i), 32))
		}
		var waiting []*tracker.Group
		for i := range 36 {
			waiting = append(waiting, readyGroups(newJob(fmt.Sprint(i), 1, ordinary(1000, 500)))...)
		}
		for name, job := range previewed {
			b.Run(fmt.Sprintf("hosts=%d/%s", count, name), func(b *testing.B) {
				p := &planner.Planner{CostOrder: true}
				for b.Loop() {
					p.Preview(job, waiting, hosts, 0, maxChecks)
				}
			})
		}
	}
}
