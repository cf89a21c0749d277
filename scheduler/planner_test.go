package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

const (
	pending  = wire.TaskPhase_TASK_PHASE_PENDING
	claimed  = wire.TaskPhase_TASK_PHASE_CLAIMED
	finished = wire.TaskPhase_TASK_PHASE_FINISHED
	tick     = 100 * time.Millisecond
)

// Guards against urgent tasks that wait behind batch tasks, against evicting more
// tasks than needed, and against batch tasks that take the capacity freed for an
// urgent task.
func TestUrgentStartsInTimeOnFullHosts(t *testing.T) {
	c := newCluster(2, nil)
	for h := range 8 {
		c.join(fmt.Sprint("h", h), fmt.Sprint("z", h%2), 16_000, 60)
	}
	for i := range 100 {
		s := spec(fmt.Sprint("b", i), false, 4_000, 8)
		s.CanCheckpoint = i%4 != 0
		c.submit(s)
	}
	for range 20 {
		c.step(tick)
	}
	assert.Equal(t, len(c.claims()), 32)
	for i := range 6 {
		c.submit(spec(fmt.Sprint("u", i), true, 4_000, 8))
	}
	began, evicted := c.now, []string{}
	for c.now.Sub(began) < 4800*time.Millisecond {
		c.step(tick)
		if c.now.Sub(began) >= time.Second {
			evicted = append(evicted, c.stopTasks()...)
		}
	}
	for i := range 6 {
		assert.Equal(t, c.task(fmt.Sprint("u", i)).GetPhase(), claimed)
	}
	assert.Equal(t, len(evicted), 6)
	for _, id := range evicted {
		assert.Assert(t, c.task(id).GetSpec().GetCanCheckpoint(), "work of %s was lost", id)
	}
}

// Guards against finishing a task as unplaceable while hosts are still joining,
// and against keeping it pending for ever.
func TestUnplaceableTaskFinishesWithReason(t *testing.T) {
	c := newCluster(1, nil)
	c.submit(spec("large", false, 64_000, 1))
	for h := range 20 {
		c.join(fmt.Sprint("h", h), "z", 16_000, 60)
		// 10 s without a change are less than UnplaceableDelay.
		for range 100 {
			c.step(tick)
		}
		assert.Equal(t, c.task("large").GetPhase(), pending)
	}
	e, ok := c.planners[0].Explain(c.state, "large")
	assert.Assert(t, ok && e.Never && e.Binding == "millicores", "%+v", e)
	// 40 s without a change are more than UnplaceableDelay.
	for range 400 {
		c.step(tick)
	}
	assert.Equal(t, c.task("large").GetResult(), wire.TaskResult_TASK_RESULT_UNPLACEABLE)
	assert.Assert(t, strings.Contains(c.task("large").GetDetail(), "needs 64000"))
}

// Guards against planning on an outdated state, and against an unbounded burst of
// claims after an outage.
func TestOutageStopsPlanningAndCatchUpIsBounded(t *testing.T) {
	c := newCluster(1, nil)
	for h := range 100 {
		c.join(fmt.Sprint("h", h), "z", 16_000, 60)
	}
	for i := range 1_000 {
		c.submit(spec(fmt.Sprint("b", i), false, 1_000, 1))
	}
	c.age = 3100 * time.Millisecond
	for range 50 {
		c.step(tick)
		assert.Equal(t, len(c.plans[0]), 0)
	}
	c.age = 0
	for range 8 {
		c.step(tick)
		assert.Assert(t, len(c.plans[0]) <= 128)
	}
	assert.Equal(t, len(c.claims()), 1_000)
	assert.Equal(t, c.recordCounts["*wire.Record_TaskClaimed"], 1_000)
}

// Guards against a silent host whose tasks are never requeued, and against
// releasing a host before its leases have certainly ended.
func TestSilentHostIsReleasedAfterTaskHold(t *testing.T) {
	c := newCluster(2, nil)
	c.join("h", "z", 16_000, 60)
	c.submit(spec("b", false, 1_000, 1))
	c.step(tick)
	for c.now.Sub(start) < 16*time.Minute+29*time.Second {
		c.step(time.Second)
		assert.Equal(t, c.task("b").GetPhase(), claimed)
	}
	for range 5 {
		c.step(time.Second)
	}
	assert.Equal(t, c.task("b").GetPhase(), pending)
	assert.Equal(t, c.recordCounts["*wire.Record_HostReleased"], 1)
}

// Guards against repeating a claim in every scheduling cycle although the state
// ignores it.
func TestIgnoredClaimsBackOff(t *testing.T) {
	c := newCluster(1, nil)
	c.join("h", "z", 16_000, 60)
	c.submit(spec("b", false, 1_000, 1))
	p := c.planners[0]
	c.planners = nil // From here on, the planner observes only the ignored claims.
	claims := 0
	for range 600 {
		c.now = c.now.Add(tick)
		for _, record := range p.Plan(c.now, 0) {
			claims++
			record.GetTaskClaimed().WorkerBoot = "another"
			p.Observe(c.state, c.apply(record), c.now)
		}
	}
	assert.Assert(t, claims >= 4 && claims <= 12, "%d claims in a minute", claims)
}

// Guards against small tasks that take all freed capacity, so that a large task
// never fits.
func TestLargeBatchTaskDoesNotStarve(t *testing.T) {
	c := newCluster(1, nil)
	for h := range 3 {
		c.join(fmt.Sprint("h", h), "z", 16_000, 60)
	}
	c.submit(spec("first", false, 1_000, 1))
	c.step(tick)
	random := rand.New(rand.NewPCG(1, 1))
	for i := 0; c.now.Sub(start) < 3*time.Minute; i++ {
		for n := range 3 {
			s := spec(fmt.Sprint("b", i, "-", n), false, 2_000, 1)
			s.Team = "many"
			c.submit(s)
		}
		if i == 20 {
			c.submit(spec("large", false, 16_000, 1))
		}
		c.step(time.Second)
		if c.task("large").GetPhase() == claimed {
			return
		}
		for _, task := range c.claims() {
			if random.IntN(10) == 0 {
				c.finish(task.GetSpec().GetTask(), wire.TaskResult_TASK_RESULT_SUCCEEDED)
			}
		}
	}
	t.Fatal("the large task did not start")
}
