package scheduler_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/scheduler"
	"damaskspread.example/damaskspread/wire"
)

func (c *cluster) workerTask(id string, phase wire.WorkerTaskPhase, checkpoint string) *wire.WorkerTask {
	return &wire.WorkerTask{
		Task:       id,
		Token:      damaskspread.Token(c.task(id).GetToken()),
		Phase:      phase,
		Checkpoint: checkpoint,
	}
}

// Guards against running finished tasks again: the worker of a silent host is read
// until the release, and what has ended there is recorded once.
func TestWorkerOfSilentHostIsReadBeforeRelease(t *testing.T) {
	c := newClusterWithTaskHold(4 * time.Second)
	c.stepFor(9 * time.Second)
	c.sendHeartbeat()
	for _, id := range []string{"b", "lapsed", "running"} {
		c.submit(spec(id, false, 1_000, 1))
	}
	c.stepFor(time.Second)
	p := c.planners[0]
	assert.Equal(t, len(p.HostsToRead(c.now, 0)), 0)
	c.stepFor(time.Second)
	assert.Equal(t, len(p.HostsToRead(c.now, 4*time.Second)), 0, "the state is not current")
	hosts := p.HostsToRead(c.now, 0)
	assert.Equal(t, len(hosts), 1)
	assert.Equal(t, len(p.HostsToRead(c.now, 0)), 0)
	tasks := []*wire.WorkerTask{
		c.workerTask("b", wire.WorkerTaskPhase_WORKER_TASK_PHASE_SUCCEEDED, ""),
		c.workerTask("lapsed", wire.WorkerTaskPhase_WORKER_TASK_PHASE_LEASE_LAPSED, "last"),
		c.workerTask("running", wire.WorkerTaskPhase_WORKER_TASK_PHASE_RUNNING, "old"),
	}
	records := p.ReadRecords(hosts[0].Spec, tasks, c.now)
	assert.Equal(t, len(records), 2)
	c.apply(records...)
	assert.Equal(t, len(p.ReadRecords(hosts[0].Spec, tasks, c.now)), 0)
	for range 6 {
		c.stepFor(400 * time.Millisecond)
		assert.Equal(t, len(p.HostsToRead(c.now, 0)), 1)
	}
	c.stepFor(time.Second)
	assert.Equal(t, c.task("b").GetResult(), wire.TaskResult_TASK_RESULT_SUCCEEDED)
	assert.Equal(t, c.task("lapsed").GetPhase(), pending)
	assert.Equal(t, c.task("lapsed").GetCheckpoint(), "last")
	assert.Equal(t, c.task("running").GetCheckpoint(), "")
	assert.Equal(t, len(p.HostsToRead(c.now, 0)), 0)
}

// Guards against a worker that does not respond and delays the release of its host or
// the reads of other workers.
func TestHungWorkerDelaysNeitherReleaseNorOtherReads(t *testing.T) {
	c := newCluster(1, nil)
	c.planners[0].Limits = scheduler.Limits{
		TaskHold: 4 * time.Second,
	}
	for _, id := range []string{"0", "1"} {
		c.join("h"+id, "z", 1_000, 60)
		c.submit(spec("b"+id, false, 1_000, 1))
	}
	c.step(tick)
	l := &fakeLog{
		state:   c.state,
		offset:  c.offset,
		changes: make(chan []replayer.Change, 100),
	}
	hung := c.task("b0")
	finished := c.workerTask("b1", wire.WorkerTaskPhase_WORKER_TASK_PHASE_SUCCEEDED, "")
	healthy := c.task("b1").GetHost()
	clock := clockwork.NewFakeClockAt(c.now)
	over := make(chan struct{})
	s := &scheduler.Scheduler{
		Follower:     l,
		Subscription: l,
		Recorder:     l,
		Clock:        clock,
		Planner:      c.planners[0],
		Read: func(_ context.Context, host *wire.HostSpec) ([]*wire.WorkerTask, error) {
			if host.GetHost() != healthy {
				<-over
			}
			return []*wire.WorkerTask{finished}, nil
		},
	}
	var group tomb.Tomb
	group.Go(func() error { return s.Run(&group) })
	l.waitAdvancing(t, clock, func() bool { return hung.GetPhase() == pending })
	l.View(func(*replayer.State) {
		assert.Equal(t, c.task("b1").GetResult(), wire.TaskResult_TASK_RESULT_SUCCEEDED)
	})
	assert.Assert(t, clock.Since(c.now) < 20*time.Second)
	group.Kill(nil)
	close(over)
	assert.NilError(t, group.Wait())
}
