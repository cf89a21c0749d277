package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/scheduler"
)

// stopLog lets the state age for a time, as it does while the log is down.
func (c *cluster) stopLog(d time.Duration) {
	for ; d > 0; d -= tick {
		c.age += tick
		c.step(tick)
	}
	c.age = 0
}

func (c *cluster) stepFor(d time.Duration) {
	for ; d > 0; d -= tick {
		c.step(tick)
	}
}

func newClusterWithTaskHold(hold time.Duration) *cluster {
	c := newCluster(1, nil)
	c.planners[0].Limits = scheduler.Limits{
		TaskHold: hold,
	}
	c.join("h", "z", 16_000, 60)
	c.submit(spec("b", false, 1_000, 1))
	c.step(tick)
	return c
}

// Guards against running finished tasks again: an agent that is back while the log
// is down for a second time can record their results only afterwards.
func TestShortLogOutagesAreNoSilenceOfAnAgent(t *testing.T) {
	c := newClusterWithTaskHold(4 * time.Second)
	c.stepFor(2900 * time.Millisecond)
	c.stopLog(1300 * time.Millisecond)
	c.stepFor(100 * time.Millisecond)
	c.stopLog(1300 * time.Millisecond)
	c.stepFor(5 * time.Second)
	assert.Equal(t, c.task("b").GetPhase(), claimed)
	c.stepFor(3 * time.Second)
	assert.Equal(t, c.task("b").GetPhase(), pending)
}

// Guards against releasing hosts for an outage in which the process waits for an
// append, and so does not see the age of the state.
func TestOutageDuringAppendIsNoSilenceOfAnAgent(t *testing.T) {
	c := newClusterWithTaskHold(4 * time.Second)
	c.stepFor(2900 * time.Millisecond)
	c.step(3 * time.Second)
	c.stepFor(5 * time.Second)
	assert.Equal(t, c.task("b").GetPhase(), claimed)
	c.stepFor(4 * time.Second)
	assert.Equal(t, c.task("b").GetPhase(), pending)
}

// Guards against a silent host that is never released because each read of the log
// takes long, or because the log is down for a short time again and again.
func TestSlowLogDoesNotKeepSilentHosts(t *testing.T) {
	for name, pause := range map[string]time.Duration{"all reads slow": 0, "repeated outages": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			c := newClusterWithTaskHold(4 * time.Second)
			for c.now.Sub(start) < 20*time.Second {
				c.stopLog(1400 * time.Millisecond)
				c.stepFor(pause)
			}
			assert.Equal(t, c.task("b").GetPhase(), pending)
		})
	}
}
