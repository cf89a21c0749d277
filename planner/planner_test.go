package planner_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const gigabyte = 1 << 30

func newHost(name string, cores int64) *planner.Host {
	return &planner.Host{
		Key:      tracker.ExecutorKey{ID: name},
		Name:     name,
		Service:  "s",
		Labels:   []string{"a", "rack-" + name},
		Capacity: &wire.Resources{Millicores: cores * 1000, MemoryBytes: 64 * gigabyte},
		Usable:   true,
	}
}

func newJob(id string, priority int32, steps ...*wire.JobStep) *tracker.Job {
	return tracker.New(&wire.Job{Id: id, Service: "s", Priority: priority, Steps: steps})
}

func ordinary(count int32, millicores int64) *wire.JobStep {
	return &wire.JobStep{
		Count:     count,
		Resources: &wire.Resources{Millicores: millicores, MemoryBytes: gigabyte},
	}
}

func bestEffort(count int32, image string) *wire.JobStep {
	step := ordinary(count, 2000)
	step.FillsIdle = true
	step.Image = image
	return step
}

// serving returns a long-running step of one task with a target latency.
func serving(image string) *wire.JobStep {
	step := ordinary(1, 4000)
	step.LongRunning = true
	step.TargetLatencyMs = 100
	step.Image = image
	return step
}

func readyGroups(jobs ...*tracker.Job) []*tracker.Group {
	var groups []*tracker.Group
	for _, j := range jobs {
		groups = append(groups, j.Ready(0)...)
	}
	return groups
}

// waitingTasks returns the tasks of the group that wait for a run now.
func waitingTasks(group *tracker.Group) []*tracker.Task { return slices.Collect(group.EachPending()) }

func countByHost(plan []planner.Assignment) map[string]int {
	byHost := map[string]int{}
	for _, a := range plan {
		byHost[a.Host.Name]++
	}
	return byHost
}

// Guards against tasks on a host that together request more than its capacity of
// any resource.
func TestCapacity(t *testing.T) {
	p := &planner.Planner{}
	hosts := []*planner.Host{newHost("a", 4), newHost("b", 2)}
	plan := p.Plan(readyGroups(newJob("1", 0, ordinary(20, 1000))), hosts)
	assert.DeepEqual(t, countByHost(plan), map[string]int{"a": 4, "b": 2})

	wide := ordinary(10, 0)
	wide.Resources.MemoryBytes = 30 * gigabyte
	plan = p.Plan(readyGroups(newJob("2", 0, wide)), []*planner.Host{newHost("a", 4)})
	assert.Equal(t, len(plan), 2)

	accelerated := ordinary(1, 0)
	accelerated.Resources.Accelerators = 1
	assert.Equal(t, len(p.Plan(readyGroups(newJob("3", 0, accelerated)), []*planner.Host{newHost("a", 4)})), 0)
}

// Guards against a best-effort task on a host whose capacity has shrunk below the
// requests of its tasks, which may leave processors idle all the same.
func TestShrunkHostGetsNoBestEffortTasks(t *testing.T) {
	p := &planner.Planner{}
	for _, test := range []struct {
		cores   int64
		planned int
	}{{cores: 12, planned: 1}, {cores: 10, planned: 0}} {
		host := newHost("a", test.cores)
		for range 3 {
			host.AddPlanned("serving", serving("web"))
		}
		plan := p.Plan(readyGroups(newJob("1", 0, bestEffort(1, "render"))), []*planner.Host{host})
		assert.Equal(t, len(plan), test.planned, "%d cores", test.cores)
	}
}

// Guards against tasks placed on unusable hosts or hosts of another service.
func TestIneligibleHosts(t *testing.T) {
	unusable := newHost("a", 8)
	unusable.Usable = false
	other := newHost("b", 8)
	other.Service = "other"
	p := &planner.Planner{}
	assert.Equal(t, len(p.Plan(readyGroups(newJob("1", 0, ordinary(1, 1000))), []*planner.Host{unusable, other})), 0)
}

// Guards against placement that ignores anti-affinity, a required label, the rack
// of the data, or that a gang starts as a whole.
func TestConstraints(t *testing.T) {
	p := &planner.Planner{}
	hosts := func() []*planner.Host { return []*planner.Host{newHost("a", 16), newHost("b", 2)} }
	spread := ordinary(4, 500)
	spread.AntiAffinity = 1
	assert.DeepEqual(t, countByHost(p.Plan(readyGroups(newJob("1", 0, spread)), hosts())), map[string]int{"a": 1, "b": 1})
	labeled := ordinary(3, 500)
	labeled.RequiredLabel = "rack-b"
	assert.DeepEqual(t, countByHost(p.Plan(readyGroups(newJob("2", 0, labeled)), hosts())), map[string]int{"b": 3})
	near := ordinary(2, 500)
	near.AffinityRack = "rack-b"
	assert.DeepEqual(t, countByHost(p.Plan(readyGroups(newJob("3", 0, near)), hosts())), map[string]int{"b": 2})
	gang := ordinary(20, 1000)
	gang.Gang = true
	assert.Equal(t, len(p.Plan(readyGroups(newJob("4", 0, gang)), hosts())), 0)
	gang.Count = 18
	assert.Equal(t, len(p.Plan(readyGroups(newJob("5", 0, gang)), hosts())), 18)
}

// Guards against less urgent jobs that start first when capacity is short.
func TestOrderByPriority(t *testing.T) {
	lessUrgent := tracker.New(&wire.Job{Id: "less-urgent", Service: "s", Priority: 2, AcceptedUnixMs: 1, Steps: []*wire.JobStep{ordinary(4, 1000)}})
	urgent := tracker.New(&wire.Job{Id: "urgent", Service: "s", Priority: 0, AcceptedUnixMs: 9, Steps: []*wire.JobStep{ordinary(4, 1000)}})
	groups := readyGroups(lessUrgent, urgent)
	planner.Order(groups, 0)
	plan := (&planner.Planner{}).Plan(groups, []*planner.Host{newHost("a", 4)})
	assert.Equal(t, len(plan), 4)
	for _, a := range plan {
		assert.Equal(t, a.Task.ID().Job, "urgent")
	}
}

// Guards against best-effort tasks placed beside serving tasks that they
// interfere with while another host is free, and against processors left idle
// although the tasks don't interfere.
func TestInterference(t *testing.T) {
	p := &planner.Planner{
		Weight: func(interfering, serving string) float64 {
			if interfering == "noisy" && serving == "sensitive" {
				return 5
			}
			return 0
		},
	}
	hosts := []*planner.Host{newHost("a", 16), newHost("b", 16)}
	hosts[0].AddPlanned("x", serving("sensitive"))
	hosts[1].AddPlanned("y", serving("insensitive"))
	plan := p.Plan(readyGroups(newJob("1", 2, bestEffort(4, "noisy"))), hosts)
	assert.DeepEqual(t, countByHost(plan), map[string]int{"b": 4})
	plan = p.Plan(readyGroups(newJob("2", 2, bestEffort(8, "quiet"))), hosts)
	assert.Equal(t, len(plan), 8)
}

// Guards against long-running tasks that wait while less urgent tasks occupy the
// host, and against stopping more of those than needed.
func TestPreempt(t *testing.T) {
	p := &planner.Planner{}
	host := newHost("a", 8)
	batch := newJob("batch", 2, ordinary(6, 1000))
	for _, task := range waitingTasks(readyGroups(batch)[0]) {
		task.Assign(host.Key, host.Name, 1, 0)
		host.AddAssigned(task)
	}
	urgent := readyGroups(newJob("urgent", 0, serving("im")))[0]
	victims := p.Preempt(urgent, urgent.First(), []*planner.Host{host}, 0)
	assert.Equal(t, len(victims), 2)
	equal := readyGroups(newJob("equal", 2, serving("im")))[0]
	assert.Equal(t, len(p.Preempt(equal, equal.First(), []*planner.Host{host}, 0)), 0)

	stopping := newHost("a", 8)
	for i, task := range waitingTasks(readyGroups(newJob("again", 2, ordinary(6, 1000)))[0]) {
		task.Assign(stopping.Key, stopping.Name, 1, 0)
		if i < 2 {
			task.MarkStopping()
		}
		stopping.AddAssigned(task)
	}
	assert.Equal(t, len(p.Preempt(urgent, urgent.First(), []*planner.Host{stopping}, 0)), 0)
}

// Guards against a suspect host that gets more than one probe.
func TestSuspectHostGetsOneProbe(t *testing.T) {
	suspect := newHost("a", 16)
	suspect.Suspect = true
	p := &planner.Planner{}
	plan := p.Plan(readyGroups(newJob("1", 0, ordinary(4, 500))), []*planner.Host{suspect})
	assert.Equal(t, len(plan), 1)
}

// BenchmarkPlan measures one scheduling cycle with 900 waiting tasks on 70 hosts.
func BenchmarkPlan(b *testing.B) {
	p := &planner.Planner{}
	for b.Loop() {
		var hosts []*planner.Host
		for i := range 70 {
			hosts = append(hosts, newHost(fmt.Sprint(i), 16))
		}
		p.Plan(readyGroups(newJob("1", 2, bestEffort(900, "quiet"))), hosts)
	}
}

// Guards against best-effort tasks added to a host whose serving tasks are near
// or above their target latency: each new task starts at full pace.
func TestStrainedHost(t *testing.T) {
	strained := newHost("a", 16)
	strained.NearTarget = true
	p := &planner.Planner{}
	hosts := []*planner.Host{strained, newHost("b", 4)}
	assert.DeepEqual(t, countByHost(p.Plan(readyGroups(newJob("1", 2, bestEffort(2, "quiet"))), hosts)), map[string]int{"b": 2})
	assert.Equal(t, len(p.Plan(readyGroups(newJob("2", 0, ordinary(4, 1000))), []*planner.Host{strained})), 4)
}

// Guards against a suspect host that is never probed because long-running tasks
// still run there, and against a long-running task as the probe.
func TestSuspectHostWithLastingTasks(t *testing.T) {
	suspect := newHost("a", 16)
	suspect.Suspect = true
	suspect.ProbesFrom = time.Minute
	longRunning := readyGroups(newJob("1", 0, serving("im")))[0].First()
	longRunning.Assign(suspect.Key, suspect.Name, 1, time.Second)
	suspect.AddAssigned(longRunning)
	p := &planner.Planner{}
	assert.Equal(t, len(p.Plan(readyGroups(newJob("2", 0, serving("im"))), []*planner.Host{suspect})), 0)
	assert.Equal(t, len(p.Plan(readyGroups(newJob("3", 0, ordinary(4, 500))), []*planner.Host{suspect})), 1)

	probed := newHost("a", 16)
	probed.Suspect = true
	probed.ProbesFrom = time.Minute
	probe := readyGroups(newJob("4", 0, ordinary(1, 500)))[0].First()
	probe.Assign(probed.Key, probed.Name, 1, 2*time.Minute)
	probed.AddAssigned(probe)
	assert.Equal(t, len(p.Plan(readyGroups(newJob("5", 0, ordinary(4, 500))), []*planner.Host{probed})), 0)
}

// Guards against a long-running task on a suspect host beside a free one, on one where it
// has failed, and on one that it would keep from being probed.
func TestSuspectHostAdmitsLastingTask(t *testing.T) {
	lasting := readyGroups(newJob("1", 0, serving("im")))
	hostsOf := func(freeCores int64) []*planner.Host {
		suspect := newHost("a", 16)
		suspect.Suspect = true
		suspect.Usable = false
		suspect.AdmitsLasting = true
		return []*planner.Host{suspect, newHost("b", freeCores)}
	}
	p := &planner.Planner{}
	assert.DeepEqual(t, countByHost(p.Plan(lasting, hostsOf(4))), map[string]int{"b": 1})
	hosts := hostsOf(1)
	assert.DeepEqual(t, countByHost(p.Plan(lasting, hosts)), map[string]int{"a": 1})
	assert.Assert(t, !hosts[0].HasProbe())
	assert.Equal(t, len(p.Plan(readyGroups(newJob("2", 0, ordinary(1, 4000))), hostsOf(1))), 0)

	task := lasting[0].First()
	task.Assign(hosts[0].Key, "a", 1, time.Second)
	task.End(&wire.RunEnd{Run: 1, Cause: wire.EndCause_END_CAUSE_FAILED}, "a")
	assert.Equal(t, len(p.Plan(lasting, hostsOf(1))), 0)
}

// Guards against spreading serving tasks over all hosts: then no host is left on
// which best-effort tasks interfere with none.
func TestServingTasksShareHosts(t *testing.T) {
	p := &planner.Planner{
		Weight: func(string, string) float64 { return 2 },
	}
	hosts := []*planner.Host{newHost("a", 16), newHost("b", 16), newHost("c", 16)}
	plan := p.Plan(readyGroups(newJob("1", 0, serving("im")), newJob("2", 0, serving("other")),
		newJob("3", 0, serving("im")), newJob("4", 0, serving("third"))), hosts)
	assert.Equal(t, len(countByHost(plan)), 1, "%v", countByHost(plan))
	placed := p.Plan(readyGroups(newJob("5", 2, bestEffort(8, "new"))), hosts)
	assert.Equal(t, len(placed), 8)
	assert.Equal(t, countByHost(placed)[plan[0].Host.Name], 0, "%v", countByHost(placed))
}

// Guards against preempting tasks of a step that limits how many of its tasks may
// be unavailable, beyond that limit.
func TestPreemptKeepsTasksAvailable(t *testing.T) {
	for name, test := range map[string]struct {
		limit                int32
		assigned             int
		urgentCores, victims int
		assignedAgo          time.Duration
	}{
		"no limit":                    {assigned: 3, urgentCores: 4, victims: 2},
		"one may be stopped":          {limit: 1, assigned: 3, urgentCores: 2, victims: 1},
		"two would have to be":        {limit: 1, assigned: 3, urgentCores: 4, victims: 0},
		"another one waits":           {limit: 1, assigned: 2, urgentCores: 4, victims: 0},
		"another one waits, two may":  {limit: 2, assigned: 2, urgentCores: 4, victims: 1},
		"the others are just started": {limit: 1, assigned: 3, urgentCores: 2, assignedAgo: time.Second, victims: 0},
	} {
		t.Run(name, func(t *testing.T) {
			step := serving("web")
			step.Count = 3
			step.Resources.Millicores = 2000
			step.MaxUnavailable = test.limit
			host := newHost("a", 6)
			now := time.Hour
			for _, task := range waitingTasks(newJob("lasting", 5, step).Ready(0)[0])[:test.assigned] {
				task.Assign(host.Key, host.Name, 1, now-cmp.Or(test.assignedAgo, time.Minute))
				host.AddAssigned(task)
			}
			group := newJob("urgent", 0, ordinary(1, int64(test.urgentCores)*1000)).Ready(0)[0]
			victims := (&planner.Planner{}).Preempt(group, group.First(), []*planner.Host{host}, now)
			assert.Equal(t, len(victims), test.victims)
		})
	}
}

// Guards against placements that differ between equal hosts and between leaders,
// because sums of floating-point terms follow the random order of a map.
func TestEqualHostsHaveEqualScores(t *testing.T) {
	p := &planner.Planner{Weight: func(interfering, _ string) float64 { return 1 + 1/float64(interfering[0]) }}
	for range 50 {
		var hosts []*planner.Host
		for _, name := range []string{"a", "b"} {
			host := newHost(name, 64)
			for image := range 8 {
				step := bestEffort(1, fmt.Sprintf("%c", '3'+7*image))
				step.Resources.Millicores = int64(100 + 37*image)
				host.AddPlanned("g", step)
			}
			hosts = append(hosts, host)
		}
		plan := p.Plan(readyGroups(newJob("1", 0, serving("web"))), hosts)
		assert.DeepEqual(t, countByHost(plan), map[string]int{"a": 1})
	}
}

// BenchmarkBacklog measures one scheduling cycle in which nothing fits: jobs of 40
// tasks wait for 240 full hosts.
func BenchmarkBacklog(b *testing.B) {
	for _, jobs := range []int{10, 100, 900} {
		b.Run(fmt.Sprintf("tasks=%d", 40*jobs), func(b *testing.B) {
			p := &planner.Planner{}
			var hosts []*planner.Host
			for i := range 240 {
				host := newHost(fmt.Sprint(i), 16)
				host.AddPlanned("busy", ordinary(1, 16000))
				hosts = append(hosts, host)
			}
			var all []*tracker.Job
			for i := range jobs {
				all = append(all, newJob(fmt.Sprint(i), 1, ordinary(40, 1800)))
			}
			b.ReportAllocs()
			for b.Loop() {
				groups := readyGroups(all...)
				planner.Order(groups, 0)
				p.Plan(groups, hosts)
			}
		})
	}
}

// Guards, on the load of a fleet whose hosts are mostly requested by serving tasks,
// against best-effort tasks that find no host without interference. Two thirds of
// the pairs of images interfere, so that a host that serves three images is harmless
// to few best-effort images.
func TestServingImagesAreKeptApart(t *testing.T) {
	const hostCount, servingImages, bestEffortImages = 70, 8, 15
	random := rand.New(rand.NewPCG(11, 11))
	heavy := map[string]bool{}
	for interfering := range bestEffortImages {
		for image := range servingImages {
			heavy[fmt.Sprintf("fill-%d>web-%d", interfering, image)] = random.Float64() < 0.65
		}
	}
	p := &planner.Planner{Weight: func(interfering, image string) float64 {
		if heavy[interfering+">"+image] {
			return 5
		}
		return 0
	}}
	var hosts []*planner.Host
	for i := range hostCount {
		hosts = append(hosts, newHost(fmt.Sprintf("%02d", i), 16))
	}
	images := map[string]map[string]bool{}
	for job := range 60 {
		step := serving(fmt.Sprintf("web-%d", random.IntN(servingImages)))
		step.Count = 6
		step.Resources.Millicores = int64(1500 + random.IntN(1500))
		for _, a := range p.Plan(readyGroups(newJob(fmt.Sprint("serving-", job), 0, step)), hosts) {
			if images[a.Host.Name] == nil {
				images[a.Host.Name] = map[string]bool{}
			}
			images[a.Host.Name][step.Image] = true
		}
	}
	mixed := 0
	for _, served := range images {
		if len(served) > 1 {
			mixed++
		}
	}
	assert.Assert(t, mixed <= servingImages, "%d of %d hosts serve more than one image", mixed, len(images))
	placed, disturbed := 0, 0
	for job := range 30 {
		step := bestEffort(8, fmt.Sprintf("fill-%d", random.IntN(bestEffortImages)))
		for _, a := range p.Plan(readyGroups(newJob(fmt.Sprint("fill-", job), 2, step)), hosts) {
			placed++
			for image := range images[a.Host.Name] {
				if heavy[step.Image+">"+image] {
					disturbed++
					break
				}
			}
		}
	}
	t.Logf("%d hosts serve, %d more than one image; %d of 240 best-effort tasks placed, %d disturb", len(images), mixed, placed, disturbed)
	assert.Assert(t, placed-disturbed >= 216, "%d of 240 best-effort tasks run without interference, want 216", placed-disturbed)
}

// Guards against serving tasks on every host when they need most of them: no host is
// then left for best-effort images that interfere with all serving images.
func TestServingTasksLeaveHostsFree(t *testing.T) {
	const hostCount, servingImages = 70, 8
	random := rand.New(rand.NewPCG(12, 12))
	p := &planner.Planner{}
	var hosts []*planner.Host
	for i := range hostCount {
		hosts = append(hosts, newHost(fmt.Sprintf("%02d", i), 16))
	}
	serves := map[string]bool{}
	placed := 0
	for job := range 29 {
		step := serving(fmt.Sprintf("web-%d", random.IntN(servingImages)))
		step.Count = 14
		step.Resources.Millicores = int64(1500 + random.IntN(1800))
		for _, a := range p.Plan(readyGroups(newJob(fmt.Sprint(job), 0, step)), hosts) {
			placed++
			serves[a.Host.Name] = true
		}
	}
	assert.Equal(t, placed, 29*14)
	t.Logf("%d hosts serve", len(serves))
	assert.Assert(t, len(serves) <= hostCount-4, "%d of %d hosts serve", len(serves), hostCount)
}
