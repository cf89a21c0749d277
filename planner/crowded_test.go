package planner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/estimator"
	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const (
	crowdHosts            = 240
	crowdServingImages    = 16
	crowdBestEffortImages = 30
)

// crowd is a fleet on which services and best-effort tasks run, beside which further
// best-effort steps wait.
type crowd struct {
	planner *planner.Planner
	// running are the tasks of each host.
	running [crowdHosts][]*tracker.Task
	waiting []*tracker.Job
}

// newCrowd returns hosts with five serving and six best-effort tasks each, and the given
// number of waiting steps.
func newCrowd(steps int) *crowd {
	random := rand.New(rand.NewPCG(7, 7))
	crowd := &crowd{planner: &planner.Planner{
		Weight:          crowdModel().Weight,
		CostOrder:       true,
		LostWork:        true,
		BestEffortWait:  time.Minute,
		BestEffortSpeed: 0.8,
		ClearHosts:      0.1,
	}}
	filler := func(count int32) *wire.JobStep {
		step := bestEffort(count, fmt.Sprint("fill-", random.IntN(crowdBestEffortImages)))
		step.Resources.Millicores = 1200 + random.Int64N(1200)
		return step
	}
	for h := range crowdHosts {
		run := func(id string, step *wire.JobStep) {
			task := readyGroups(newJob(id, 0, step))[0].First()
			task.Assign(tracker.ExecutorKey{ID: fmt.Sprint(h)}, fmt.Sprint(h), 1, time.Second)
			crowd.running[h] = append(crowd.running[h], task)
		}
		for i := range 5 {
			run(fmt.Sprintf("s-%d-%d", h, i), serving(fmt.Sprint("web-", random.IntN(crowdServingImages))))
		}
		for i := range 6 {
			run(fmt.Sprintf("b-%d-%d", h, i), filler(1))
		}
	}
	for i := range steps {
		crowd.waiting = append(crowd.waiting, newJob(fmt.Sprint("w-", i), 2, filler(40)))
	}
	return crowd
}

// crowdModel has observed each pair of images.
func crowdModel() *estimator.InterferenceModel {
	model := &estimator.InterferenceModel{}
	capacity := &wire.Resources{Millicores: 16_000}
	for i := range crowdServingImages {
		for k := range crowdBestEffortImages {
			for round := range 2 {
				model.Observe("h", capacity, []estimator.RunSample{
					{
						Task:      "s",
						Image:     fmt.Sprint("web-", i),
						Serving:   true,
						LatencyMs: int64(100 + 20*k*round),
					},
					{
						Task:       "b",
						Image:      fmt.Sprint("fill-", k),
						Millicores: int64(8000 * round),
					},
				}, time.Duration(round)*time.Second)
			}
		}
	}
	return model
}

// hosts returns the hosts as a cycle builds them.
func (c *crowd) hosts() []*planner.Host {
	var hosts []*planner.Host
	for h := range crowdHosts {
		host := newHost(fmt.Sprint(h), 20+4*int64(h%2))
		for _, task := range c.running[h] {
			host.AddAssigned(task)
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// plan plans one cycle.
func (c *crowd) plan(hosts []*planner.Host) []planner.Assignment {
	groups := readyGroups(c.waiting...)
	c.planner.Order(groups, 0)
	return c.planner.Plan(groups, hosts)
}

// Guards against a cycle whose cost for each waiting step and host grows with the pairs of
// images there: with it, a backlog of best-effort work delays the starts of all queues.
func TestPlanLooksUpEachPairOfImagesOnce(t *testing.T) {
	crowd := newCrowd(100)
	lookups, weight := 0, crowd.planner.Weight
	crowd.planner.Weight = func(interfering, serving string) float64 {
		lookups++
		return weight(interfering, serving)
	}
	crowd.plan(crowd.hosts())
	assert.Assert(t, lookups <= crowdServingImages*crowdBestEffortImages, "%d lookups", lookups)
}

// Guards against kept interference that leaves out the tasks which the same plan has placed:
// two steps in one plan are placed as in a plan each.
func TestInterferenceCountsTasksOfTheSamePlan(t *testing.T) {
	together, apart := newCrowd(2), newCrowd(2)
	expected := countByHost(together.plan(together.hosts()))

	hosts := apart.hosts()
	all := apart.waiting
	apart.waiting = all[:1]
	plan := apart.plan(hosts)
	apart.waiting = all[1:]
	plan = append(plan, apart.plan(hosts)...)
	assert.Assert(t, len(plan) > 0)
	assert.DeepEqual(t, countByHost(plan), expected)
}

// BenchmarkCrowdedCycle measures the plan of a cycle in which best-effort steps wait beside
// services, with the hosts that it is made for.
func BenchmarkCrowdedCycle(b *testing.B) {
	for _, steps := range []int{0, 30, 120, 300} {
		b.Run(fmt.Sprintf("steps=%d", steps), func(b *testing.B) {
			crowd := newCrowd(steps)
			b.ReportAllocs()
			for b.Loop() {
				crowd.plan(crowd.hosts())
			}
		})
	}
}

// BenchmarkHasFasterHost measures the search of a faster host for one task of each host.
func BenchmarkHasFasterHost(b *testing.B) {
	crowd := newCrowd(0)
	hosts := crowd.hosts()
	crowd.plan(hosts)
	for b.Loop() {
		for h, host := range hosts {
			tasks := crowd.running[h]
			crowd.planner.HasFasterHost(tasks[len(tasks)-1], host, hosts, 0.85)
		}
	}
}
