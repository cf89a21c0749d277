package planner_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// smallTaskLoad simulates scheduling cycles in which small tasks arrive faster than the
// hosts can take them.
type smallTaskLoad struct {
	hosts []string
	// Cycles for which each small task runs.
	durationCycles   int
	arrivalsPerCycle int
	placed           []placedTask
	queue            []*tracker.Job
}

type placedTask struct {
	host     string
	step     *wire.JobStep
	endCycle int
}

// cycle simulates one cycle and returns how many tasks of the large job started.
func (c *smallTaskLoad) cycle(number int, large *tracker.Job) int {
	for i := range c.arrivalsPerCycle {
		c.queue = append(c.queue, tracker.New(&wire.Job{
			Id:             fmt.Sprintf("small-%d-%d", number, i),
			Service:        "s",
			AcceptedUnixMs: int64(1000 + number),
			Steps:          []*wire.JobStep{ordinary(1, 1000)},
		}))
	}
	var hosts []*planner.Host
	byName := map[string]*planner.Host{}
	for _, name := range c.hosts {
		host := newHost(name, 8)
		byName[name] = host
		hosts = append(hosts, host)
	}
	var stillRunning []placedTask
	for _, h := range c.placed {
		if h.endCycle > number {
			byName[h.host].AddPlanned("small", h.step)
			stillRunning = append(stillRunning, h)
		}
	}
	c.placed = stillRunning
	groups := readyGroups(append([]*tracker.Job{large}, c.queue...)...)
	planner.Order(groups, 0)
	started := 0
	for _, a := range (&planner.Planner{}).Plan(groups, hosts) {
		a.Task.Assign(a.Host.Key, a.Host.Name, a.Run, 0)
		if a.Task.Job() == large {
			started++
			continue
		}
		c.placed = append(c.placed, placedTask{host: a.Host.Name, step: a.Task.Step(), endCycle: number + c.durationCycles})
	}
	var waiting []*tracker.Job
	for _, job := range c.queue {
		if len(job.Ready(0)) > 0 {
			waiting = append(waiting, job)
		}
	}
	c.queue = waiting
	return started
}

// Guards against a large task that never starts because small ones of the same
// priority take the capacity piece by piece as it comes free.
func TestLargeTaskIsNotStarved(t *testing.T) {
	c := &smallTaskLoad{
		hosts:            []string{"a", "b", "c"},
		durationCycles:   10,
		arrivalsPerCycle: 4,
	}
	none := tracker.New(&wire.Job{Id: "none", Service: "s", Steps: []*wire.JobStep{ordinary(0, 0)}})
	for number := range 20 {
		c.cycle(number, none)
	}
	large := tracker.New(&wire.Job{Id: "large", Service: "s", AcceptedUnixMs: 1, Steps: []*wire.JobStep{ordinary(1, 6000)}})
	for number := 20; number < 20+c.durationCycles+1; number++ {
		if c.cycle(number, large) == 1 {
			return
		}
	}
	t.Fatalf("large task not started within the time that a small task runs")
}

// Guards against too many hosts that stay partly empty at once because each is
// reserved for a large task.
func TestReservedHostsAreBounded(t *testing.T) {
	var hosts []*planner.Host
	for _, name := range []string{"a", "b", "c"} {
		host := newHost(name, 8)
		host.AddPlanned("busy", ordinary(1, 7000))
		hosts = append(hosts, host)
	}
	groups := readyGroups(newJob("large", 0, ordinary(3, 6000)), newJob("small", 0, ordinary(3, 1000)))
	plan := (&planner.Planner{}).Plan(groups, hosts)
	assert.Equal(t, len(plan), 1)
	assert.Equal(t, plan[0].Task.ID().Job, "small")
}

// Guards against idle processors on a host that is reserved for a large task.
// Best-effort tasks don't delay the large task, unless it waits for memory.
func TestReservedHostRunsBestEffortTasks(t *testing.T) {
	plan := func(large *wire.JobStep) int {
		host := newHost("a", 8)
		host.AddPlanned("busy", ordinary(1, 4000))
		groups := readyGroups(newJob("large", 0, large), newJob("batch", 2, bestEffort(1, "quiet")))
		return len((&planner.Planner{}).Plan(groups, []*planner.Host{host}))
	}
	assert.Equal(t, plan(ordinary(1, 6000)), 1)
	wide := ordinary(1, 1000)
	wide.Resources.MemoryBytes = 64 * gigabyte
	assert.Equal(t, plan(wide), 0)
}

// Guards against a long-running task that waits because the host on which it
// fits is reserved for a larger task.
func TestKeptRoomAdmitsLastingTasks(t *testing.T) {
	host := newHost("a", 8)
	host.AddPlanned("small", ordinary(1, 4000))
	longRunning := ordinary(1, 3000)
	longRunning.LongRunning = true
	groups := readyGroups(newJob("larger", 0, ordinary(1, 6000)), newJob("long-running", 0, longRunning), newJob("small", 0, ordinary(1, 500)))
	plan := (&planner.Planner{}).Plan(groups, []*planner.Host{host})
	assert.Equal(t, len(plan), 1)
	assert.Equal(t, plan[0].Task.ID().Job, "long-running")
}

// Guards against reserving a host on which long-running tasks leave too little
// capacity for the large task, however long it waits.
func TestRoomIsKeptWhereItComesFree(t *testing.T) {
	longRunning := newHost("a", 8)
	longRunning.AddPlanned("long-running", serving("im"))
	finite := newHost("b", 8)
	finite.AddPlanned("finite", ordinary(1, 7000))
	groups := readyGroups(newJob("large", 0, ordinary(1, 6000)), newJob("small", 0, ordinary(5, 500)))
	plan := (&planner.Planner{}).Plan(groups, []*planner.Host{longRunning, finite})
	assert.DeepEqual(t, countByHost(plan), map[string]int{"a": 5})
}
