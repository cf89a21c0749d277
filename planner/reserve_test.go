package planner_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// crowd plays rounds in which small tasks of the same priority arrive faster
// than hosts have room for them; each holds its room for some rounds.
type crowd struct {
	hosts  []string
	stay   int
	arrive int
	held   []heldTask
	queue  []*tracker.Job
}

type heldTask struct {
	host  string
	step  *wire.JobStep
	until int
}

// round plans once and returns how many tasks of the large job started.
func (c *crowd) round(number int, large *tracker.Job) int {
	for i := range c.arrive {
		c.queue = append(c.queue, tracker.New(&wire.Job{
			Id:             fmt.Sprintf("small-%d-%d", number, i),
			Service:        "s",
			AcceptedUnixMs: int64(1000 + number),
			Steps:          []*wire.JobStep{plain(1, 1000)},
		}))
	}
	var hosts []*planner.Host
	byName := map[string]*planner.Host{}
	for _, name := range c.hosts {
		host := newHost(name, 8)
		byName[name] = host
		hosts = append(hosts, host)
	}
	var left []heldTask
	for _, h := range c.held {
		if h.until > number {
			byName[h.host].Occupy("small", h.step)
			left = append(left, h)
		}
	}
	c.held = left
	groups := ready(append([]*tracker.Job{large}, c.queue...)...)
	planner.Order(groups, 0)
	started := 0
	for _, a := range (&planner.Planner{}).Plan(groups, hosts) {
		a.Task.Assign(a.Host.Key, a.Host.Name, a.Run, 0)
		if a.Task.Job() == large {
			started++
			continue
		}
		c.held = append(c.held, heldTask{host: a.Host.Name, step: a.Task.Step(), until: number + c.stay})
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
// priority take each bit of room as it comes free.
func TestLargeTaskIsNotStarved(t *testing.T) {
	c := &crowd{
		hosts:  []string{"a", "b", "c"},
		stay:   10,
		arrive: 4,
	}
	none := tracker.New(&wire.Job{Id: "none", Service: "s", Steps: []*wire.JobStep{plain(0, 0)}})
	for number := range 20 {
		c.round(number, none)
	}
	large := tracker.New(&wire.Job{Id: "large", Service: "s", AcceptedUnixMs: 1, Steps: []*wire.JobStep{plain(1, 6000)}})
	for number := 20; number < 20+c.stay+1; number++ {
		if c.round(number, large) == 1 {
			return
		}
	}
	t.Fatalf("the large task has not started within the time that a small one runs")
}

// Guards against room that stands empty for many waiting tasks at once.
func TestKeptRoomIsBounded(t *testing.T) {
	var hosts []*planner.Host
	for _, name := range []string{"a", "b", "c"} {
		host := newHost(name, 8)
		host.Occupy("busy", plain(1, 7000))
		hosts = append(hosts, host)
	}
	groups := ready(newJob("large", 0, plain(3, 6000)), newJob("small", 0, plain(3, 1000)))
	plan := (&planner.Planner{}).Plan(groups, hosts)
	assert.Equal(t, len(plan), 1)
	assert.Equal(t, plan[0].Task.ID().Job, "small")
}

// Guards against kept processors that stand idle: filling tasks use what others
// leave unused and are in nobody's way, unless memory is what lacks.
func TestKeptHostIsFilled(t *testing.T) {
	plan := func(large *wire.JobStep) int {
		host := newHost("a", 8)
		host.Occupy("busy", plain(1, 4000))
		groups := ready(newJob("large", 0, large), newJob("batch", 2, filling(1, "quiet")))
		return len((&planner.Planner{}).Plan(groups, []*planner.Host{host}))
	}
	assert.Equal(t, plan(plain(1, 6000)), 1)
	wide := plain(1, 1000)
	wide.Resources.MemoryBytes = 64 * gigabyte
	assert.Equal(t, plan(wide), 0)
}

// Guards against a lasting task that waits beside room which is kept for a
// larger one.
func TestKeptRoomAdmitsLastingTasks(t *testing.T) {
	host := newHost("a", 8)
	host.Occupy("small", plain(1, 4000))
	lasting := plain(1, 3000)
	lasting.LongRunning = true
	groups := ready(newJob("larger", 0, plain(1, 6000)), newJob("lasting", 0, lasting), newJob("small", 0, plain(1, 500)))
	plan := (&planner.Planner{}).Plan(groups, []*planner.Host{host})
	assert.Equal(t, len(plan), 1)
	assert.Equal(t, plan[0].Task.ID().Job, "lasting")
}

// Guards against room that is kept where lasting tasks never let enough of it
// come free.
func TestRoomIsKeptWhereItComesFree(t *testing.T) {
	lasting := newHost("a", 8)
	lasting.Occupy("lasting", serving("im"))
	ending := newHost("b", 8)
	ending.Occupy("ending", plain(1, 7000))
	groups := ready(newJob("large", 0, plain(1, 6000)), newJob("small", 0, plain(5, 500)))
	plan := (&planner.Planner{}).Plan(groups, []*planner.Host{lasting, ending})
	assert.DeepEqual(t, counts(plan), map[string]int{"a": 5})
}
