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

// Guards against tasks that fail on every host and get healthy workers
// quarantined.
func TestFailingTasksDoNotQuarantineWorkers(t *testing.T) {
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
	// Every host still gets tasks.
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

// Guards against a worker that fails every task and keeps getting tasks, and
// against a quarantined worker that is never probed again after its repair.
func TestFailingWorkerIsQuarantinedAndProbed(t *testing.T) {
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
	// Three failures quarantine the worker. The probes after 30, 60 and 120 s fail
	// as well, and the probe after another 240 s meets the repaired worker.
	assert.Assert(t, failures >= 4 && failures <= 8, "%d failures", failures)
	assert.Assert(t, afterRepair > 0)
	for round := range 600 {
		assert.Equal(t, c.task(fmt.Sprint("t", round)).GetResult(), wire.TaskResult_TASK_RESULT_SUCCEEDED)
	}
}

// Guards against a restarted entry that forgets the quarantine of a worker, and
// against a worker that stays quarantined after its own restart.
func TestQuarantineAfterEntryAndWorkerRestarts(t *testing.T) {
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

// Guards against a drain that evicts all tasks of a zone at the same time, and
// against filling a returned zone at once.
func TestZoneDrainsAndReturnsGradually(t *testing.T) {
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
	countInZone := func() (running, evicting int) {
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
	c.setZone("z1", false)
	for range 30 {
		c.step(tick)
		_, evicting := countInZone()
		// Two entries that plan at the same time may each use the drain limit.
		assert.Assert(t, evicting <= 12, "%d at once", evicting)
		c.stopTasks()
	}
	running, _ := countInZone()
	assert.Equal(t, running, 0)
	c.setZone("z1", true)
	for range 10 * 60 {
		before, _ := countInZone()
		c.step(tick)
		after, _ := countInZone()
		assert.Assert(t, after-before <= 4, "%d at once", after-before)
	}
	running, _ = countInZone()
	assert.Assert(t, running >= 60, "%d", running)
}

// Guards against evicting tasks that a restarted agent would adopt, and against
// keeping tasks on a leaving host that does not return.
func TestLeavingHostKeepsTasksForRestartedAgent(t *testing.T) {
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
	evictionRequested := func(after time.Duration) bool {
		for range int(after / tick) {
			c.step(tick)
		}
		return c.task("kept").GetEvictionRequested()
	}
	assert.Assert(t, !evictionRequested(50*time.Second))
	assert.Assert(t, evictionRequested(15*time.Second))
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

// Guards against evicting a task that cannot be checkpointed shortly before its
// end, and against a zone that such tasks never leave.
func TestNonCheckpointableTasksMayFinishDuringDrain(t *testing.T) {
	c := newCluster(1, nil)
	c.join("h", "z", 16_000, 60)
	for id, expected := range map[string]time.Duration{"soon": 30 * time.Second, "late": time.Hour} {
		s := spec(id, false, 1_000, 1)
		s.CanCheckpoint = false
		s.ExpectedDurationMs = expected.Milliseconds()
		c.submit(s)
	}
	c.submit(spec("kept", false, 1_000, 1))
	c.step(tick)
	c.setZone("z", false)
	for range 10 {
		c.step(time.Second)
	}
	assert.Assert(t, c.task("late").GetEvictionRequested() && c.task("kept").GetEvictionRequested())
	assert.Assert(t, !c.task("soon").GetEvictionRequested())
	for range 55 {
		c.step(time.Second)
	}
	assert.Assert(t, c.task("soon").GetEvictionRequested())
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

// Guards against claims that exceed the capacity of a host or the quota of a
// team, lost tasks and starvation. Two planners get random bursts of submissions,
// cancellations, evictions and zone changes; the replayed state is checked after
// every step.
func TestPlannersStayWithinCapacityAndQuota(t *testing.T) {
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
				c.setZone("z0", random.IntN(2) == 0)
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
				c.stopTasks()
			}
			c.step(tick)
			checkBounds(t, c, quota)
		}
		c.setZone("z0", true)
		for i := 0; i < 4_000 && (c.state.PendingCount() > 0 || len(c.claims()) > 0); i++ {
			c.step(tick)
			c.stopTasks()
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
				t.Fatalf("task %s neither succeeded nor was canceled: %v", task.GetSpec().GetTask(), task)
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
		t.Fatalf("team limited exceeds its quota: %d of %d millicores in use", used, quota.GetMillicores())
	}
	for host := range c.state.Hosts() {
		free := c.state.Free(host.GetSpec().GetHost())
		if free.GetMillicores() < 0 || free.GetMemoryBytes() < 0 {
			t.Fatalf("capacity of host %s exceeded: %v free", host.GetSpec().GetHost(), free)
		}
	}
}

// BenchmarkBacklog measures one scheduling cycle of 100 ms with a large backlog. At the
// target size of 3,100 hosts, 37 tasks end, 37 are submitted and 37 start in a
// cycle, with 36,000 pending; smaller runs scale all numbers down. The time per
// operation covers the replayer and all planners. plan-ns and observe-ns are the
// times of a single planner.
func BenchmarkBacklog(b *testing.B) {
	for _, c := range []struct{ part, entries int }{{4, 1}, {2, 1}, {1, 1}, {1, 3}} {
		b.Run(fmt.Sprintf("hosts=%d/entries=%d", 3_100/c.part, c.entries), func(b *testing.B) {
			benchmarkBacklog(b, c.part, c.entries)
		})
	}
}

func benchmarkBacklog(b *testing.B, part, entries int) {
	c := newCluster(entries, nil)
	for h := range 3_100 / part {
		c.join(fmt.Sprint("h", h), fmt.Sprint("z", h%10), 32_000, 120)
	}
	random := rand.New(rand.NewPCG(1, 1))
	next := 0
	submit := func() {
		next++
		s := spec(fmt.Sprint("t", next), false, 2_000+random.Int64N(1_600), 1+random.Int64N(10))
		s.Team = fmt.Sprint("team", random.IntN(680/part))
		c.submit(s)
	}
	for range (35_400 + 36_000) / part {
		submit()
	}
	for range 400 {
		c.step(tick)
	}
	running := c.claims()
	b.Logf("%d running, %d pending", len(running), c.state.PendingCount())
	starts, planning, rounds := 0, time.Duration(0), 0
	c.observeTime = 0
	b.ReportAllocs()
	for b.Loop() {
		rounds++
		for range 37 / part {
			n := random.IntN(len(running))
			c.finish(running[n].GetSpec().GetTask(), wire.TaskResult_TASK_RESULT_SUCCEEDED)
			running[n] = running[len(running)-1]
			running = running[:len(running)-1]
			submit()
		}
		c.now = c.now.Add(tick)
		for _, p := range c.planners {
			began := time.Now()
			records := p.Plan(c.now, 0)
			planning += time.Since(began)
			c.apply(records...)
			for _, record := range records {
				if body := record.GetTaskClaimed(); body != nil {
					running = append(running, c.task(body.GetTask()))
					starts++
				}
			}
		}
	}
	each := float64(rounds * entries)
	b.ReportMetric(float64(planning.Nanoseconds())/each, "plan-ns/round")
	b.ReportMetric(float64(c.observeTime.Nanoseconds())/each, "observe-ns/round")
	b.ReportMetric(float64(starts)/float64(rounds), "starts/round")
}

// Guards against ignoring the setting drain = no: a zone that is taken out of
// service with it keeps its running tasks.
func TestZoneWithDrainDisabledKeepsTasks(t *testing.T) {
	c := newCluster(1, nil)
	drains := false
	c.planners[0].Drains = func(string) bool { return drains }
	c.join("h0", "z", 16_000, 60)
	c.submit(spec("kept", false, 1_000, 1))
	c.step(tick)
	c.setZone("z", false)
	for range 50 {
		c.step(tick)
	}
	assert.Assert(t, !c.task("kept").GetEvictionRequested())
	drains = true
	for range 2 * 60 * 10 {
		c.step(tick)
	}
	assert.Assert(t, c.task("kept").GetEvictionRequested())
}
