package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/scheduler"
	"damaskspread.example/damaskspread/wire"
)

// restart replaces the first entry by a new process that reads the state after a time.
func (c *cluster) restart(away time.Duration) {
	limits := c.planners[0].Limits
	fresh := newCluster(1, nil).planners[0]
	fresh.Limits = limits
	c.planners[0] = &scheduler.Planner{
		Entry:  "away",
		Index:  fresh.Index,
		Policy: fresh.Policy,
		Random: fresh.Random,
	}
	c.planners[0].Reload(c.state, c.now)
	c.stepFor(away)
	c.planners[0] = fresh
	fresh.Reload(c.state, c.now)
}

// sendHeartbeat appends the heartbeat of host h.
func (c *cluster) sendHeartbeat() {
	state, _ := c.state.Host("h")
	c.apply(&wire.Record{Body: &wire.Record_HostsAlive{HostsAlive: &wire.HostsAlive{
		Hosts: []*wire.HostRef{{
			Host:        "h",
			Incarnation: state.GetSpec().GetIncarnation(),
		}},
	}}})
}

// Guards against a wait for a dead host that begins again with each start of the
// entry that owns it.
func TestSilentHostIsReleasedWhileEntryRestartsInSeries(t *testing.T) {
	c := newClusterWithTaskHold(time.Minute)
	began := c.now
	for c.task("b").GetPhase() == claimed && c.now.Sub(began) < 5*time.Minute {
		c.stepFor(25 * time.Second)
		c.restart(5 * time.Second)
	}
	waited := c.now.Sub(began)
	// The host is silent for 1.1 minutes. Each start costs up to a tenth of a
	// minute, and the last one the time in which agents may renew.
	assert.Assert(t, waited > 66*time.Second && waited <= 120*time.Second, "%s", waited)
	assert.Assert(t, c.recordCounts["*wire.Record_HostsSilent"] <= 10)
}

// Guards against a wait that another, running entry knows to be over but that the
// owner begins again, because it restarts often.
func TestSilenceIsRecordedByOtherEntries(t *testing.T) {
	c := newCluster(2, nil)
	for _, p := range c.planners {
		p.Limits = scheduler.Limits{
			TaskHold: time.Minute,
		}
	}
	hosts := []string{"h0", "h1", "h2", "h3"}
	for i, host := range hosts {
		c.join(host, "z", 1_000, 60)
		c.submit(spec("t"+hosts[i], false, 1_000, 1))
	}
	c.stepFor(time.Second)
	assert.Equal(t, len(c.claims()), len(hosts))
	began := c.now
	for len(c.claims()) > 0 && c.now.Sub(began) < 3*time.Minute {
		c.stepFor(11 * time.Second)
		c.restart(tick)
	}
	assert.Assert(t, c.now.Sub(began) <= 100*time.Second, "%d claims", len(c.claims()))
}

// Guards against the release of a host that lives: a silence counts only until the
// next heartbeat, also if its record comes late or twice.
func TestRecordedSilenceEndsWithHeartbeat(t *testing.T) {
	c := newClusterWithTaskHold(time.Minute)
	c.stepFor(50 * time.Second)
	host, _ := c.state.Host("h")
	assert.Assert(t, host.GetSilentMs() >= 40_000 && host.GetSilentMs() <= 50_000)
	late := &wire.Record{Body: &wire.Record_HostsSilent{HostsSilent: &wire.HostsSilent{
		Hosts: []*wire.HostSilence{{
			Host:     "h",
			Alive:    host.GetAlive(),
			SilentMs: host.GetSilentMs(),
		}},
	}}}
	c.sendHeartbeat()
	c.apply(late)
	host, _ = c.state.Host("h")
	assert.Equal(t, host.GetSilentMs(), int64(0))
	c.restart(time.Second)
	c.stepFor(60 * time.Second)
	assert.Equal(t, c.task("b").GetPhase(), claimed)
	c.stepFor(10 * time.Second)
	assert.Equal(t, c.task("b").GetPhase(), pending)
}

// Guards against records about hosts that send their heartbeats.
func TestNoSilenceOfLiveHosts(t *testing.T) {
	c := newClusterWithTaskHold(time.Minute)
	for range 20 {
		c.stepFor(12 * time.Second)
		c.sendHeartbeat()
	}
	assert.Equal(t, c.recordCounts["*wire.Record_HostsSilent"], 0)
}

// sendUptime appends the heartbeat of an entry.
func (c *cluster) sendUptime(entry, incarnation string, uptime time.Duration) {
	c.apply(&wire.Record{Body: &wire.Record_EntryAlive{EntryAlive: &wire.EntryAlive{
		Entry:       entry,
		Incarnation: incarnation,
		UptimeMs:    max(1, uptime.Milliseconds()),
	}}})
}

// waitWithRestarts restarts the only entry each 21 s until the condition holds, and
// returns how long that took. Its heartbeats come each 2 s, one of them twice and late.
func (c *cluster) waitWithRestarts(condition func() bool) time.Duration {
	began := c.now
	for c.now.Sub(began) < 5*time.Minute {
		incarnation := fmt.Sprint("from ", c.now)
		for uptime := time.Duration(0); uptime <= 20*time.Second; uptime += tick {
			if uptime%(2*time.Second) == 0 {
				c.sendUptime("entry0", incarnation, uptime)
				c.sendUptime("entry0", incarnation, uptime/2)
				c.sendUptime("entry0", incarnation, uptime)
			}
			if condition() {
				return c.now.Sub(began)
			}
			c.step(tick)
		}
		c.restart(time.Second)
	}
	return c.now.Sub(began)
}

// Guards against tasks that stay on a leaving host for ever, because the owning entry
// restarts more often than each minute and its wait begins again.
func TestLeavingHostIsDrainedWhileEntryRestartsInSeries(t *testing.T) {
	c := newCluster(1, nil)
	c.join("h", "z", 16_000, 60)
	c.submit(spec("kept", false, 1_000, 1))
	c.step(tick)
	host, _ := c.state.Host("h")
	c.apply(&wire.Record{Body: &wire.Record_HostLeaving{HostLeaving: &wire.HostLeaving{Host: &wire.HostRef{
		Host:        "h",
		Incarnation: host.GetSpec().GetIncarnation(),
	}}}})
	waited := c.waitWithRestarts(func() bool { return c.task("kept").GetEvictionRequested() })
	// The host keeps its tasks for a minute, and each start may cost three seconds.
	assert.Assert(t, waited >= 60*time.Second && waited <= 85*time.Second, "%s", waited)
}

// newBrokenWorker returns a cluster whose only worker has claimed some tasks, for failClaims.
func newBrokenWorker(tasks int) *cluster {
	c := newCluster(1, nil)
	c.join("h", "z", 16_000, 60)
	for i := range tasks {
		c.submit(spec(fmt.Sprint("t", i), false, 1_000, 1))
	}
	c.step(tick)
	return c
}

// failClaims lets all claimed tasks fail.
func (c *cluster) failClaims() {
	for _, task := range c.claims() {
		c.finish(task.GetSpec().GetTask(), wire.TaskResult_TASK_RESULT_FAILED)
	}
}

// Guards against a worker that is never probed again, because the owning entry restarts
// more often than each 30 s and the quarantine begins again.
func TestQuarantineEndsWhileEntryRestartsInSeries(t *testing.T) {
	c := newBrokenWorker(3)
	c.failClaims()
	c.submit(spec("probe", false, 1_000, 1))
	waited := c.waitWithRestarts(func() bool { return len(c.claims()) > 0 })
	assert.Assert(t, waited >= 30*time.Second && waited <= 45*time.Second, "%s", waited)
}

// Guards against a quarantine that begins again with its minimum after each start of the
// owning entry, so that a broken worker gets a task more often than each minute.
func TestQuarantineDoublesWhileEntryRestartsInSeries(t *testing.T) {
	c := newBrokenWorker(3)
	for _, quarantine := range []time.Duration{30 * time.Second, 60 * time.Second, 120 * time.Second} {
		c.failClaims()
		c.submit(spec(fmt.Sprint("probe after ", quarantine), false, 1_000, 1))
		waited := c.waitWithRestarts(func() bool { return len(c.claims()) > 0 })
		assert.Assert(t, waited >= quarantine*9/10 && waited <= quarantine*3/2, "%s instead of %s", waited, quarantine)
	}
}

// Guards against a worker that is excluded for an hour after a restart of the owning
// entry, because many tasks failed there at once that may be at fault themselves.
func TestQuarantineAfterBurstOfFailuresIsShortOnceEntryRestarts(t *testing.T) {
	c := newBrokenWorker(10)
	c.failClaims()
	c.submit(spec("probe", false, 1_000, 1))
	waited := c.waitWithRestarts(func() bool { return len(c.claims()) > 0 })
	assert.Assert(t, waited <= 45*time.Second, "%s", waited)
}

// oldTask starts a task without checkpoints that is expected to end 110 s later, lets
// the entry restart in series for 75 s, and then takes the zone out of service.
func (c *cluster) oldTask() {
	c.join("h", "z", 16_000, 60)
	old := spec("old", false, 1_000, 1)
	old.CanCheckpoint = false
	old.ExpectedDurationMs = (110 * time.Second).Milliseconds()
	c.submit(old)
	c.step(tick)
	began := c.now
	c.waitWithRestarts(func() bool { return c.now.Sub(began) >= 75*time.Second })
	c.setZone("z", false)
}

// Guards against a task that loses its work shortly before its end, because its age
// counts from the start of the owning entry.
func TestAgeOfTaskCountsOnWhileEntryRestartsInSeries(t *testing.T) {
	c := newCluster(1, nil)
	c.oldTask()
	drained := c.now
	c.waitWithRestarts(func() bool { return c.now.Sub(drained) >= 45*time.Second })
	assert.Assert(t, !c.task("old").GetEvictionRequested())
}

// Guards against tasks without checkpoints that stay for ever in a zone that is out of
// service, because the owning entry restarts more often than each minute.
func TestZoneIsDrainedWhileEntryRestartsInSeries(t *testing.T) {
	c := newCluster(1, nil)
	c.oldTask()
	waited := c.waitWithRestarts(func() bool { return c.task("old").GetEvictionRequested() })
	assert.Assert(t, waited >= 60*time.Second && waited <= 80*time.Second, "%s", waited)
}
