package coordinator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a leader that renews its leadership, but that no agent reaches, so that all
// leases end although the agents reach other processes.
func TestLeaderThatNoAgentReachesIsReplaced(t *testing.T) {
	f := newLastingTasks(t)
	leader := f.leader()
	leader.disconnected.Store(true)
	f.succeedsWithin(handoverLimit, nextJobID)
	assert.Assert(t, f.leader() != leader)
	f.waitWithin(lastingLimit, "lasting tasks", func() bool { return f.runningTasks() == 8 })
	f.assertNoDuplicateRuns()
}

// Guards against leaders that replace each other without a pause while there are no agents.
func TestLeadersWithoutAgentsReplaceEachOtherMoreAndMoreRarely(t *testing.T) {
	f := newLastingTasks(t)
	for _, h := range f.hosts {
		f.killAgent(h)
	}
	epochs := map[int64]bool{}
	for end := time.Now().Add(13 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		epochs[f.leader().elector.Leader().GetEpoch()] = true
	}
	// They end after 3.3 s, 5.3 s more and 9.3 s more.
	assert.Assert(t, len(epochs) >= 2 && len(epochs) <= 3, "%v", epochs)
	for _, h := range f.hosts {
		f.startAgent(h)
	}
	f.succeedsWithin(recoveryBound, "00000000000000e2")
	f.assertNoDuplicateRuns()
}

// runningTasks returns the number of tasks with a run in progress.
func (f *testFleet) runningTasks() int {
	f.noticeLeaseEnds()
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.running)
}
