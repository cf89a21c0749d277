package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

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
