package feeder_test

import (
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

// Guards against an agent that misses configuration, claims or shards, and
// against a host that stays a member after its agent left and stopped.
func TestAgentLifecycle(t *testing.T) {
	e := startEntry(t, newLog(), "e1", false)
	agent, stop := startAgent(t, "h1", e)
	eventually(t, "the join", func() bool { return agent.View().Joined() })
	e.append(t, taskSubmitted("t1"), taskClaimed("t1", "h1"), record(`section_published {section: "zone z1"}`))
	eventually(t, "the claim", func() bool { return len(agent.View().Claims()) == 1 })
	_, ok := agent.View().Section("zone z1")
	assert.Assert(t, ok)
	assert.Equal(t, len(agent.View().Shards()), replayer.ShardCount)
	before := agent.View().Alive()
	_, err := agent.AppendRecords(t.Context(), []*wire.Record{
		record(`hosts_alive {hosts {host: "h1" incarnation: %q}}`, agent.Ref().GetIncarnation()),
	})
	assert.NilError(t, err)
	eventually(t, "the heartbeat", func() bool { return agent.View().Alive().GetOffset() > before.GetOffset() })
	assert.Equal(t, len(agent.View().Claims()), 1)
	assert.Assert(t, agent.Age() < 20*time.Second)

	assert.NilError(t, agent.Leave(t.Context()))
	assert.Assert(t, agent.View().Leaving())
	stop()
	eventually(t, "the expiry", func() bool {
		expired := false
		e.follower.View(func(state *replayer.State) {
			host, _ := state.Host("h1")
			expired = host.GetExpired()
		})
		return expired
	})
	// A claim keeps the host in the state until it is released.
	e.append(t, record(`host_released {host: "h1" worker_boot: "b1" reason: RELEASE_REASON_DECLARED_LOST}`))
	eventually(t, "the deletion of the host", func() bool {
		known := true
		e.follower.View(func(state *replayer.State) { _, known = state.Host("h1") })
		return !known
	})
	// A deleted host can join again.
	again, _ := startAgent(t, "h1", e)
	eventually(t, "the join after the deletion", func() bool { return again.View().Joined() })
}

// Guards against the expiry of a host whose entry process failed but which can
// reach another one, and against a failed entry process that never expires.
func TestEntryFailure(t *testing.T) {
	log := newLog()
	e1 := startEntry(t, log, "e1", false)
	e2 := startEntry(t, log, "e2", false)
	agent, _ := startAgent(t, "h1", e1)
	eventually(t, "the join", func() bool { return agent.View().Joined() })
	failover, _ := startAgent(t, "h2", e1, e2)
	eventually(t, "the join", func() bool { return failover.View().Joined() })
	incarnation := failover.Ref().GetIncarnation()
	e1.stop()
	eventually(t, "the attachment", func() bool {
		_, attached, _ := e2.host("h2")
		return attached == "e2"
	})
	eventually(t, "the expiry of the entry process and of the host without another one", func() bool {
		known := true
		e2.follower.View(func(state *replayer.State) { _, known = state.Entry("e1") })
		_, _, member := e2.host("h1")
		return !known && !member
	})
	current, _, member := e2.host("h2")
	assert.Assert(t, member)
	assert.Equal(t, current, incarnation)
}

// Guards against agents that stay attached to an entry process that announced its
// planned stop.
func TestEntryLeaves(t *testing.T) {
	log := newLog()
	e1 := startEntry(t, log, "e1", false)
	e2 := startEntry(t, log, "e2", false)
	agent, _ := startAgent(t, "h1", e1, e2)
	eventually(t, "the join", func() bool { return agent.View().Joined() })
	attached := func() string {
		_, name, _ := e2.host("h1")
		return name
	}
	eventually(t, "the attachment", func() bool { return attached() != "" })
	first := attached()
	assert.NilError(t, map[string]*entry{"e1": e1, "e2": e2}[first].feeder.Leave(t.Context()))
	eventually(t, "the attachment to the other entry process", func() bool { return attached() != first })
}

// Guards against an agent that keeps using an expired incarnation.
func TestRejoin(t *testing.T) {
	e := startEntry(t, newLog(), "e1", false)
	agent, _ := startAgent(t, "h1", e)
	eventually(t, "the join", func() bool { return agent.View().Joined() })
	first := agent.Ref()
	var alive *wire.Position
	e.follower.View(func(state *replayer.State) {
		host, _ := state.Host("h1")
		alive = host.GetAlive()
	})
	expired := record(`host_expired {host {host: "h1" incarnation: %q}}`, first.GetIncarnation())
	expired.GetHostExpired().Alive = alive
	e.append(t, expired)
	eventually(t, "the second join", func() bool {
		incarnation, _, member := e.host("h1")
		return member && incarnation != first.GetIncarnation() && agent.View().Joined()
	})
	// A delayed Sync of the first incarnation must not make it a member again.
	second := agent.Ref()
	response, err := e.feeder.Sync(t.Context(), connect.NewRequest(&wire.SyncRequest{
		Host:     first,
		Replaces: &wire.Position{Offset: -1},
		Spec: &wire.HostSpec{
			Host:        "h1",
			Incarnation: first.GetIncarnation(),
		},
	}))
	assert.NilError(t, err)
	assert.Assert(t, response.Msg.GetRejoin())
	incarnation, _, member := e.host("h1")
	assert.Assert(t, member)
	assert.Equal(t, incarnation, second.GetIncarnation())
	// A new worker boot makes the agent join again.
	agent.SetWorker("b2", agent.Spec.GetCapacity())
	eventually(t, "the third join", func() bool {
		incarnation, _, member := e.host("h1")
		return member && incarnation != second.GetIncarnation() && agent.View().Joined()
	})
}

// Guards against an entry process that stays stale while another one reaches the
// log: at its start, in operation, and after records expired that it had not read.
func TestRelay(t *testing.T) {
	log := newLog()
	e1 := startEntry(t, log, "e1", false)
	eventually(t, "the first entry process", e1.follower.Ready)
	e1.append(t, taskSubmitted("t1"))
	e2 := startEntry(t, log, "e2", true, e1)
	eventually(t, "the start from a peer without the log", e2.follower.Ready)
	offset := e1.append(t, taskSubmitted("t2"))
	assert.NilError(t, e2.follower.Wait(t.Context(), offset))
	assert.Assert(t, e2.follower.Age() >= 0 && e2.follower.Age() < 20*time.Second)

	e3 := startEntry(t, log, "e3", false)
	eventually(t, "the third entry process", e3.follower.Ready)
	e3.log.setPartitioned(true)
	e1.append(t, taskSubmitted("t3"))
	offset = e1.append(t, taskSubmitted("t4"))
	log.expireAll()
	e3.log.setPartitioned(false)
	// e1 has applied all records and writes a snapshot at once, which e3 loads.
	assert.NilError(t, e3.follower.Wait(t.Context(), offset))
	eventually(t, "the end of the history error", func() bool { return e3.follower.Err() == nil })

	e4 := startEntry(t, log, "e4", true, e3, e1)
	eventually(t, "the start from peers after records expired", e4.follower.Ready)
	assert.NilError(t, e4.follower.Wait(t.Context(), offset))
}

// Guards against entries that do not record their uptime, so that waits begin again
// with each of their starts.
func TestEntriesRecordElapsedTime(t *testing.T) {
	began := time.Now()
	e := startEntry(t, newLog(), "e1", false)
	uptime := func() (ms int64) {
		e.follower.View(func(state *replayer.State) {
			entry, _ := state.Entry("e1")
			ms = entry.GetElapsedMs()
		})
		return ms
	}
	eventually(t, "300 ms are counted", func() bool { return uptime() >= 300 })
	assert.Assert(t, time.Since(began) >= 300*time.Millisecond)
}
