package scheduler_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/scheduler"
	"damaskspread.example/damaskspread/wire"
)

func (c *cluster) expire(id string) {
	host, _ := c.state.Host(id)
	c.apply(&wire.Record{Body: &wire.Record_HostExpired{HostExpired: &wire.HostExpired{
		Host:  &wire.HostRef{Host: id, Incarnation: host.GetSpec().GetIncarnation()},
		Alive: host.GetAlive(),
	}}})
}

// Guards against running finished tasks again, because the next fence of a worker that
// did not respond once would come after the release of its host.
func TestExpiredHostIsFencedAgainBeforeItsRelease(t *testing.T) {
	c := newClusterWithTaskHold(4 * time.Second)
	c.stepFor(9 * time.Second)
	c.sendHeartbeat()
	c.stepFor(2 * time.Second)
	c.expire("h")
	assert.Equal(t, len(c.planners[0].HostsToFence(c.now, 0)), 1)
	c.stepFor(2 * time.Second)
	assert.Equal(t, c.task("b").GetPhase(), claimed)
	assert.Equal(t, len(c.planners[0].HostsToFence(c.now, 0)), 1)
}

// Guards against a worker that does not respond and delays the fences of others: each
// of two workers responds only while the other one is called as well.
func TestWorkersAreFencedConcurrently(t *testing.T) {
	c := newCluster(1, nil)
	for _, id := range []string{"0", "1"} {
		c.join("h"+id, "z", 1_000, 60)
		c.submit(spec("b"+id, false, 1_000, 1))
	}
	c.step(tick)
	c.expire("h0")
	c.expire("h1")
	l := &fakeLog{
		state:   c.state,
		offset:  c.offset,
		changes: make(chan []replayer.Change, 100),
	}
	var called sync.WaitGroup
	called.Add(2)
	allCalled := make(chan struct{})
	go func() {
		called.Wait()
		close(allCalled)
	}()
	s := &scheduler.Scheduler{
		Follower: l,
		Recorder: l,
		Clock:    clockwork.NewFakeClockAt(c.now),
		Planner:  c.planners[0],
		Fence: func(ctx context.Context, _ *wire.HostSpec, _ int64) ([]*wire.WorkerTask, error) {
			called.Done()
			select {
			case <-allCalled:
				return nil, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		},
	}
	s.FenceExpired(t.Context())
	assert.Equal(t, len(c.claims()), 0)
}
