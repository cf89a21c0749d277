package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/scheduler"
	"damaskspread.example/damaskspread/wire"
)

// restart replaces an entry by a new process that reads the state after a time.
func (c *cluster) restart(entry int, away time.Duration) {
	limits := c.planners[entry].Limits
	fresh := newCluster(entry+1, nil).planners[entry]
	fresh.Limits = limits
	c.planners[entry] = &scheduler.Planner{
		Entry:  "away",
		Index:  fresh.Index,
		Policy: fresh.Policy,
		Random: fresh.Random,
	}
	c.planners[entry].Reload(c.state, c.now)
	c.stepFor(away)
	c.planners[entry] = fresh
	fresh.Reload(c.state, c.now)
}

func (c *cluster) sendHeartbeat(host string) {
	state, _ := c.state.Host(host)
	c.apply(&wire.Record{Body: &wire.Record_HostsAlive{HostsAlive: &wire.HostsAlive{
		Hosts: []*wire.HostRef{{
			Host:        host,
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
		c.restart(0, 5*time.Second)
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
		c.restart(0, tick)
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
	c.sendHeartbeat("h")
	c.apply(late)
	host, _ = c.state.Host("h")
	assert.Equal(t, host.GetSilentMs(), int64(0))
	c.restart(0, time.Second)
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
		c.sendHeartbeat("h")
	}
	assert.Equal(t, c.recordCounts["*wire.Record_HostsSilent"], 0)
}
