package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"damaskspread.example/damaskspread/scheduler"
	"damaskspread.example/damaskspread/wire"
)

const (
	pending  = wire.TaskPhase_TASK_PHASE_PENDING
	claimed  = wire.TaskPhase_TASK_PHASE_CLAIMED
	finished = wire.TaskPhase_TASK_PHASE_FINISHED
	tick     = 100 * time.Millisecond
)

// Guards against urgent work that waits behind batch, needless victims, and
// batch that takes the victim's room again.
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
			evicted = append(evicted, c.stop()...)
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

// Guards against a job that fails everywhere and takes good workers with it.
func TestBadJobsDoNotCondemnWorkers(t *testing.T) {
	c := newCluster(1, nil)
	for h := range 6 {
		c.join(fmt.Sprint("h", h), "z", 16_000, 60)
	}
	for round := range 40 {
		for i := range 12 {
			c.submit(spec(fmt.Sprint("good", round, "-", i), false, 1_000, 1))
		}
		if round == 5 {
			for i := range 6 {
				c.submit(spec(fmt.Sprint("bad", i), false, 1_000, 1))
			}
		}
		for range 5 {
			c.step(tick)
		}
		for _, task := range c.claims() {
			id, result := task.GetSpec().GetTask(), wire.TaskResult_TASK_RESULT_SUCCEEDED
			if strings.HasPrefix(id, "bad") {
				result = wire.TaskResult_TASK_RESULT_FAILED
			}
			c.finish(id, result)
		}
	}
	for i := range 6 {
		bad := c.task(fmt.Sprint("bad", i))
		assert.Equal(t, bad.GetPhase(), finished)
		assert.Assert(t, strings.Contains(bad.GetDetail(), "failed on"), bad.GetDetail())
		assert.Assert(t, bad.GetFailures() <= 5)
	}
	// Every host still takes work.
	for i := range 60 {
		c.submit(spec(fmt.Sprint("last", i), false, 1_000, 1))
	}
	c.step(tick)
	hosts := map[string]bool{}
	for _, task := range c.claims() {
		hosts[task.GetHost()] = true
	}
	assert.Equal(t, len(hosts), 6)
}

// Guards against a worker that fails everything and keeps getting tasks, and
// against one that is never tried again.
func TestBadWorkerIsSetAsideAndTriedAgain(t *testing.T) {
	c := newCluster(1, nil)
	for h := range 4 {
		c.join(fmt.Sprint("h", h), "z", 16_000, 60)
	}
	failures, repaired, afterRepair := 0, false, 0
	for round := range 600 {
		repaired = round >= 300
		c.submit(spec(fmt.Sprint("t", round), false, 4_000, 1))
		c.submit(spec(fmt.Sprint("s", round), false, 4_000, 1))
		for range 10 {
			c.step(tick)
		}
		for _, task := range c.claims() {
			result := wire.TaskResult_TASK_RESULT_SUCCEEDED
			if task.GetHost() == "h0" && !repaired {
				result = wire.TaskResult_TASK_RESULT_FAILED
				failures++
			}
			if task.GetHost() == "h0" && repaired {
				afterRepair++
			}
			c.finish(task.GetSpec().GetTask(), result)
		}
	}
	// Three failures condemn; after the pauses of 30, 60 and 120 s three tries
	// fail, and the one after 240 s more meets the repaired worker.
	assert.Assert(t, failures >= 4 && failures <= 8, "%d failures", failures)
	assert.Assert(t, afterRepair > 0)
	for round := range 600 {
		assert.Equal(t, c.task(fmt.Sprint("t", round)).GetResult(), wire.TaskResult_TASK_RESULT_SUCCEEDED)
	}
}

// Guards against a restarted entry that trusts a bad worker again, and against
// a worker that stays set aside after its own restart.
func TestRestartsAndQuarantine(t *testing.T) {
	c := newCluster(1, nil)
	c.join("h0", "z", 16_000, 60)
	for i := range 3 {
		c.submit(spec(fmt.Sprint("t", i), false, 1_000, 1))
	}
	c.step(tick)
	for i := range 3 {
		c.finish(fmt.Sprint("t", i), wire.TaskResult_TASK_RESULT_FAILED)
	}
	fresh := newCluster(1, nil)
	fresh.state, fresh.now, fresh.offset = c.state, c.now, c.offset
	fresh.planners[0].Reload(c.state, c.now)
	fresh.step(tick)
	assert.Equal(t, len(fresh.claims()), 0)
	e, _ := fresh.planners[0].Explain(fresh.state, "t0")
	assert.Equal(t, string(e.Binding), "quarantine")
	fresh.apply(&wire.Record{Body: &wire.Record_HostJoined{HostJoined: &wire.HostJoined{Spec: &wire.HostSpec{
		Host:        "h0",
		Incarnation: "next",
		WorkerBoot:  "next",
		Zone:        "z",
		Capacity:    &wire.Resources{Millicores: 16_000, MemoryBytes: 60 << 30},
	}}}})
	for range 5 {
		fresh.step(tick)
	}
	assert.Equal(t, len(fresh.claims()), 3)
}

// Guards against a zone that is emptied or filled all at once.
func TestZoneLeavesInWavesAndReturnsGradually(t *testing.T) {
	c := newCluster(2, nil)
	for h := range 8 {
		c.join(fmt.Sprint("h", h), fmt.Sprint("z", h%2), 16_000, 60)
	}
	for i := range 160 {
		c.submit(spec(fmt.Sprint("b", i), false, 1_000, 1))
	}
	c.step(tick)
	c.step(tick)
	assert.Equal(t, len(c.claims()), 128)
	in := func() (running, evicting int) {
		for _, task := range c.claims() {
			host, _ := c.state.Host(task.GetHost())
			if host.GetSpec().GetZone() == "z1" {
				running++
				if task.GetEvictionRequested() {
					evicting++
				}
			}
		}
		return running, evicting
	}
	c.zone("z1", false)
	for range 30 {
		c.step(tick)
		_, evicting := in()
		// Two entries that plan at the same time may each ask for a wave.
		assert.Assert(t, evicting <= 12, "%d at once", evicting)
		c.stop()
	}
	running, _ := in()
	assert.Equal(t, running, 0)
	c.zone("z1", true)
	for range 10 * 60 {
		before, _ := in()
		c.step(tick)
		after, _ := in()
		assert.Assert(t, after-before <= 4, "%d at once", after-before)
	}
	running, _ = in()
	assert.Assert(t, running >= 60, "%d", running)
}

// Guards against stopping tasks that the successor of a restarting agent
// adopts, and against leaving them on a host that stays away.
func TestLeavingHostKeepsItsTasksForASuccessor(t *testing.T) {
	c := newCluster(1, nil)
	c.join("h0", "z", 16_000, 60)
	c.submit(spec("kept", false, 1_000, 1))
	c.step(tick)
	host, _ := c.state.Host("h0")
	ref := &wire.HostRef{
		Host:        "h0",
		Incarnation: host.GetSpec().GetIncarnation(),
	}
	c.apply(&wire.Record{
		Body: &wire.Record_HostLeaving{
			HostLeaving: &wire.HostLeaving{
				Host: ref,
			},
		},
	})
	asked := func(after time.Duration) bool {
		for range int(after / tick) {
			c.step(tick)
		}
		return c.task("kept").GetEvictionRequested()
	}
	assert.Assert(t, !asked(50*time.Second))
	assert.Assert(t, asked(15*time.Second))
}

// Guards against ending a task while hosts are still joining, and against
// keeping it for ever.
func TestUnplaceableEndsWithItsReason(t *testing.T) {
	c := newCluster(1, nil)
	c.submit(spec("large", false, 64_000, 1))
	for h := range 20 {
		c.join(fmt.Sprint("h", h), "z", 16_000, 60)
		for range 100 {
			c.step(tick)
		}
		assert.Equal(t, c.task("large").GetPhase(), pending)
	}
	e, ok := c.planners[0].Explain(c.state, "large")
	assert.Assert(t, ok && e.Never && e.Binding == "millicores", "%+v", e)
	for range 400 {
		c.step(tick)
	}
	assert.Equal(t, c.task("large").GetResult(), wire.TaskResult_TASK_RESULT_UNPLACEABLE)
	assert.Assert(t, strings.Contains(c.task("large").GetDetail(), "needs 64000"))
}

// Guards against planning on an old state, and against a flood afterwards.
func TestOutageStopsAndCatchesUpInBounds(t *testing.T) {
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
	assert.Equal(t, c.kinds["*wire.Record_TaskClaimed"], 1_000)
}

// Guards against a host whose claims are never returned, and against
// releasing one before its leases have certainly ended.
func TestSilentHostIsReleasedAfterTheHold(t *testing.T) {
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
	assert.Equal(t, c.kinds["*wire.Record_HostReleased"], 1)
}

// Guards against a void claim that is repeated in every round.
func TestVoidClaimsBackOff(t *testing.T) {
	c := newCluster(1, nil)
	c.join("h", "z", 16_000, 60)
	c.submit(spec("b", false, 1_000, 1))
	p := c.planners[0]
	c.planners = nil // The planner sees only the void claims from here on.
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

// Guards against small tasks that take every freed part before a large one.
func TestLargeTaskDoesNotStarve(t *testing.T) {
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

// Guards against exceeding hosts or quotas as the replayer counts them, lost
// tasks and starvation, through bursts of cancellations, evictions, failures
// and zone changes with two planners.
func TestPlannersKeepTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota := &wire.Resources{Millicores: 6_000}
		c := newCluster(2, func(team string) scheduler.Team {
			if team == "limited" {
				return scheduler.Team{Quota: quota}
			}
			return scheduler.Team{}
		})
		hosts := rapid.IntRange(2, 6).Draw(t, "hosts")
		for h := range hosts {
			c.join(fmt.Sprint("h", h), fmt.Sprint("z", h%2), 8_000, 16)
		}
		next := 0
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				for range 1 + random.IntN(10) {
					next++
					s := spec(fmt.Sprint("t", next), random.IntN(4) == 0, 500+random.Int64N(6_000), 1+random.Int64N(8))
					s.Team = []string{"limited", "free"}[random.IntN(2)]
					s.CanCheckpoint = random.IntN(2) == 0
					c.submit(s)
				}
			case 2:
				c.zone("z0", random.IntN(2) == 0)
			case 3:
				for i := range next {
					if random.IntN(3) == 0 {
						c.apply(&wire.Record{Body: &wire.Record_CancelRequested{CancelRequested: &wire.CancelRequested{Task: fmt.Sprint("t", i)}}})
					}
				}
			case 4:
				for _, task := range c.claims() {
					if random.IntN(2) == 0 {
						c.finish(task.GetSpec().GetTask(), wire.TaskResult_TASK_RESULT_SUCCEEDED)
					}
				}
			default:
				c.stop()
			}
			c.step(tick)
			checkBounds(t, c, quota)
		}
		c.zone("z0", true)
		for i := 0; i < 4_000 && (c.state.PendingCount() > 0 || len(c.claims()) > 0); i++ {
			c.step(tick)
			c.stop()
			checkBounds(t, c, quota)
			if i%10 == 9 {
				for _, task := range c.claims() {
					c.finish(task.GetSpec().GetTask(), wire.TaskResult_TASK_RESULT_SUCCEEDED)
				}
			}
		}
		for task := range c.state.Tasks() {
			if result := task.GetResult(); result != wire.TaskResult_TASK_RESULT_SUCCEEDED && result != wire.TaskResult_TASK_RESULT_CANCELED &&
				(result != wire.TaskResult_TASK_RESULT_UNPLACEABLE || task.GetSpec().GetTeam() != "limited") {
				t.Fatalf("task %s did not run: %v", task.GetSpec().GetTask(), task)
			}
		}
	})
}

func checkBounds(t *rapid.T, c *cluster, quota *wire.Resources) {
	used := int64(0)
	for _, task := range c.claims() {
		if task.GetSpec().GetTeam() == "limited" {
			used += task.GetSpec().GetResources().GetMillicores()
		}
	}
	if used > quota.GetMillicores() {
		t.Fatalf("the team uses %d of %d", used, quota.GetMillicores())
	}
	for host := range c.state.Hosts() {
		free := c.state.Free(host.GetSpec().GetHost())
		if free.GetMillicores() < 0 || free.GetMemoryBytes() < 0 {
			t.Fatalf("host %s is exceeded: %v", host.GetSpec().GetHost(), free)
		}
	}
}

// BenchmarkBacklog is one round of 100 ms at the target size: 37 tasks end, 37
// are submitted and 37 start, with 36,000 pending. The time covers the
// replayer and the planner; plan-ns covers Plan alone.
func BenchmarkBacklog(b *testing.B) {
	c := newCluster(1, nil)
	for h := range 3_100 {
		c.join(fmt.Sprint("h", h), fmt.Sprint("z", h%10), 32_000, 120)
	}
	random := rand.New(rand.NewPCG(1, 1))
	next := 0
	submit := func() {
		next++
		s := spec(fmt.Sprint("t", next), false, 2_000+random.Int64N(1_600), 1+random.Int64N(10))
		s.Team = fmt.Sprint("team", random.IntN(680))
		c.submit(s)
	}
	for range 35_400 + 36_000 {
		submit()
	}
	for range 400 {
		c.step(tick)
	}
	running := c.claims()
	starts := c.kinds["*wire.Record_TaskClaimed"]
	b.Logf("%d running, %d pending", len(running), c.state.PendingCount())
	planning := time.Duration(0)
	b.ReportAllocs()
	rounds := 0
	for b.Loop() {
		rounds++
		for range 37 {
			n := random.IntN(len(running))
			c.finish(running[n].GetSpec().GetTask(), wire.TaskResult_TASK_RESULT_SUCCEEDED)
			running[n] = running[len(running)-1]
			running = running[:len(running)-1]
			submit()
		}
		c.now = c.now.Add(tick)
		began := time.Now()
		records := c.planners[0].Plan(c.now, 0)
		planning += time.Since(began)
		c.apply(records...)
		for _, record := range records {
			if body := record.GetTaskClaimed(); body != nil {
				running = append(running, c.task(body.GetTask()))
				starts++
			}
		}
	}
	b.ReportMetric(float64(planning.Nanoseconds())/float64(rounds), "plan-ns/round")
	b.ReportMetric(float64(starts-c.kinds["*wire.Record_TaskClaimed"])/float64(rounds), "starts/round")
}
