package executor_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/executor"
	"damaskspread.example/damaskspread/wire"
)

// Guards against a task of a paused agent that runs beyond its lease while the
// next attempt runs on another host.
func TestLeaseExpiresBeforeReassignment(t *testing.T) {
	w := newWorld(t)
	w.submit("x", untilStopped)
	w.claim("x", hostA)
	w.step(1)
	for range int(taskHold.Seconds() * 1.1) {
		w.clock.Advance(time.Second)
		w.stepAgent(hostB)
	}
	w.release(hostA, wire.ReleaseReason_RELEASE_REASON_HOLD_PASSED)
	assert.Equal(t, w.task("x").GetPhase(), pending)
	w.claim("x", hostB)
	w.stepAgent(hostB)
	w.step(3)
	assert.DeepEqual(t, w.events(), []string{"start a", "lapse a", "start b"})
	assert.Equal(t, len(w.platform.History().Violations), 0)
}

// Guards against lost progress when the log is down for longer than the task
// hold: the task is checkpointed and stopped before its lease ends.
func TestLogOutageStopsBeforeLeaseEnd(t *testing.T) {
	w := newWorld(t)
	w.submit("x", untilStopped)
	w.claim("x", hostA)
	w.step(1)
	w.feeds[hostA].down = true
	w.step(int(taskHold.Seconds() * 0.8))
	assert.DeepEqual(t, w.events(), []string{"start a"})
	w.step(int(taskHold.Seconds() * 0.2))
	assert.DeepEqual(t, w.events(), []string{"start a", "checkpoint a", "stop a"})
	w.feeds[hostA].down = false
	w.step(3)
	assert.Equal(t, w.task("x").GetPhase(), pending)
	assert.Assert(t, w.task("x").GetCheckpoint() != "")
}

// Guards against a lease that an ignored record extends: the host was released
// before its HostsAlive record, and the agent's view does not show that yet.
func TestIgnoredHeartbeatExtendsNoLease(t *testing.T) {
	w := newWorld(t)
	w.submit("x", untilStopped)
	w.claim("x", hostA)
	w.step(1)
	w.feeds[hostA].viewFrozen = true
	w.release(hostA, wire.ReleaseReason_RELEASE_REASON_HOLD_PASSED)
	w.step(int(taskHold.Seconds()))
	assert.DeepEqual(t, w.events(), []string{"start a", "checkpoint a", "stop a"})
	w.claim("x", hostB)
	w.feeds[hostA].viewFrozen = false
	w.feeds[hostA].join()
	w.step(2)
	assert.DeepEqual(t, w.events(), []string{"start a", "checkpoint a", "stop a", "start b"})
}

// Guards against a lease that a heartbeat extends before the feed confirmed it.
func TestConfirmLease(t *testing.T) {
	heartbeat := executor.PendingHeartbeat{Offset: 5, Boot: "b1", ReadUs: 100}
	tests := []struct {
		name        string
		view        *fakeView
		leased      bool
		unconfirmed int
	}{
		{name: "batch not seen", view: &fakeView{offset: 4, joined: true, host: aliveAt(3)}, unconfirmed: 1},
		{name: "no effect", view: &fakeView{offset: 6, joined: true, host: aliveAt(3)}},
		{name: "not a member", view: &fakeView{offset: 6, host: aliveAt(5)}},
		{name: "confirmed", view: &fakeView{offset: 5, joined: true, host: aliveAt(5)}, leased: true},
		{name: "confirmed by a later one", view: &fakeView{offset: 9, joined: true, host: aliveAt(8)}, leased: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			lease, unconfirmed := executor.ConfirmHeartbeats(executor.Lease{}, []executor.PendingHeartbeat{heartbeat}, test.view, time.Millisecond)
			assert.Equal(t, lease == executor.Lease{Boot: "b1", UntilUs: 1000}, test.leased, "%+v", lease)
			assert.Equal(t, len(unconfirmed), test.unconfirmed)
		})
	}
}

func aliveAt(offset int64) *wire.HostState {
	return &wire.HostState{Alive: &wire.Position{Offset: offset}}
}
