package coordinator_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

const jobID = "00000000000000a1"

// Guards against steps that start before the ones they follow, and against
// tasks that run more than once on a calm day.
func TestStepsRunInOrder(t *testing.T) {
	w := newWorld(t, 2, 3, after(30*time.Millisecond))
	w.submit(w.entries[0], &wire.Job{Id: jobID, Steps: steps(6, 4)})
	w.succeeds(w.entries[1], jobID)
	assert.Equal(t, w.count(wire.EndCause_END_CAUSE_DONE), 10)
	assert.Equal(t, w.count(wire.EndCause_END_CAUSE_UNSPECIFIED), 10)
	w.mu.Lock()
	defer w.mu.Unlock()
	done := 0
	for _, event := range w.events {
		if event.Cause == wire.EndCause_END_CAUSE_DONE {
			done++
		} else if strings.HasPrefix(event.Task, jobID+".0.1.") {
			assert.Assert(t, done >= 6, "%s started after %d of 6 ends", event.Task, done)
		}
	}
}

// Guards against a job that is lost, or a task that runs twice, when the
// leader dies in the middle of it.
func TestLeaderDies(t *testing.T) {
	w := newWorld(t, 3, 3, after(400*time.Millisecond))
	leader := w.leader()
	w.submit(leader, &wire.Job{Id: jobID, Steps: steps(8, 8)})
	w.until("start", func() bool { return w.count(wire.EndCause_END_CAUSE_UNSPECIFIED) >= 4 })
	w.killEntry(leader)
	w.succeeds(w.leader(), jobID)
	assert.Equal(t, w.count(wire.EndCause_END_CAUSE_DONE), 16)
	w.neverTwice()
}

// Guards against a takeover that waits for a leader that has resigned.
func TestLeaderResigns(t *testing.T) {
	w := newWorld(t, 3, 1, after(10*time.Millisecond))
	leader := w.leader()
	began := time.Now()
	leader.elector.Resign(context.Background())
	w.until("another leader", func() bool { return w.leader() != leader })
	// A handoff is faster than the silence after which a leader counts as dead.
	assert.Assert(t, time.Since(began) < 700*time.Millisecond, "%s", time.Since(began))
}

// Guards against a leader without the log that keeps the fleet waiting, and
// against both leaders starting the same tasks.
func TestLeaderLosesTheLog(t *testing.T) {
	w := newWorld(t, 3, 3, after(200*time.Millisecond))
	leader := w.leader()
	leader.client.SetDown(true)
	w.until("another leader", func() bool {
		for _, e := range w.entries {
			if e != leader && e.elector.Epoch() != 0 {
				return true
			}
		}
		return false
	})
	var successor *entry
	for _, e := range w.entries {
		if e != leader && e.elector.Epoch() != 0 {
			successor = e
		}
	}
	w.submit(successor, &wire.Job{Id: jobID, Steps: steps(12)})
	w.succeeds(successor, jobID)
	assert.Equal(t, w.count(wire.EndCause_END_CAUSE_DONE), 12)
	w.neverTwice()
}

// Guards against accepted work that is gone after every process lost power,
// and against tasks of executors that are gone being waited for.
func TestPowerLoss(t *testing.T) {
	w := newWorld(t, 2, 2, after(300*time.Millisecond))
	w.submit(w.entries[0], &wire.Job{Id: jobID, Steps: steps(4, 4)})
	w.until("start", func() bool { return w.count(wire.EndCause_END_CAUSE_UNSPECIFIED) >= 2 })
	for _, e := range w.entries {
		w.killEntry(e)
	}
	for _, h := range w.hosts {
		w.killAgent(h)
		w.boot(h)
	}
	for _, e := range w.entries {
		w.startEntry(e)
	}
	began := time.Now()
	for _, h := range w.hosts {
		w.startAgent(h)
	}
	w.succeeds(w.entries[1], jobID)
	// The leases of the incarnations before need not be waited for.
	assert.Assert(t, time.Since(began) < lease, "%s", time.Since(began))
	w.neverTwice()
}

// Guards against an agent that starts its executor's tasks again when it
// restarts.
func TestAgentRestarts(t *testing.T) {
	w := newWorld(t, 1, 1, after(800*time.Millisecond))
	w.submit(w.entries[0], &wire.Job{Id: jobID, Steps: steps(4)})
	w.until("start", func() bool { return w.hosts[0].executor.Running() == 4 })
	w.killAgent(w.hosts[0])
	w.startAgent(w.hosts[0])
	w.succeeds(w.entries[0], jobID)
	assert.Equal(t, w.count(wire.EndCause_END_CAUSE_UNSPECIFIED), 4)
}

// Guards against tasks that stay assigned to an incarnation that has ended.
func TestExecutorReplaced(t *testing.T) {
	w := newWorld(t, 1, 2, after(500*time.Millisecond))
	w.submit(w.entries[0], &wire.Job{Id: jobID, Steps: steps(8)})
	w.boot(w.busy())
	w.succeeds(w.entries[0], jobID)
	w.neverTwice()
}

// Guards against a task that runs twice when its executor is silent and its
// lease is still running.
func TestSilentExecutor(t *testing.T) {
	w := newWorld(t, 1, 2, after(600*time.Millisecond))
	w.submit(w.entries[0], &wire.Job{Id: jobID, Steps: steps(8)})
	w.busy().executor.SetSilent(true)
	w.succeeds(w.entries[0], jobID)
	w.neverTwice()
}

// Guards against a start without an answer that is given up while it took
// effect, and against one that is repeated elsewhere.
func TestStartsWithoutAnswer(t *testing.T) {
	w := newWorld(t, 1, 2, after(200*time.Millisecond))
	for _, h := range w.hosts {
		h.executor.SetLosingStarts(true)
	}
	w.submit(w.entries[0], &wire.Job{Id: jobID, Steps: steps(6)})
	w.succeeds(w.entries[0], jobID)
	assert.Equal(t, w.count(wire.EndCause_END_CAUSE_DONE), 6)
	w.neverTwice()
}

// Guards against a submission that becomes two jobs, or none, when the log's
// answers are lost.
func TestLostAppendAnswers(t *testing.T) {
	w := newWorld(t, 2, 2, after(50*time.Millisecond))
	leader := w.leader()
	for _, e := range w.entries {
		e.client.LoseAnswers(6)
	}
	job := &wire.Job{Id: jobID, Steps: steps(6)}
	w.submit(w.entries[0], job)
	w.submit(w.entries[1], job)
	w.succeeds(leader, jobID)
	assert.Equal(t, w.count(wire.EndCause_END_CAUSE_DONE), 6)
	w.neverTwice()
}

// Guards against tasks of a canceled job that run on or start afterwards.
func TestCancel(t *testing.T) {
	w := newWorld(t, 2, 2, after(-1))
	job := &wire.Job{Id: jobID, Steps: steps(4)}
	job.Steps[0].LongRunning = true
	w.submit(w.entries[0], job)
	w.until("start", func() bool { return w.count(wire.EndCause_END_CAUSE_UNSPECIFIED) == 4 })
	w.until("acknowledged cancellation", func() bool {
		return w.entries[1].submitter.Cancel(context.Background(), nil, jobID) == nil
	})
	// cancel_ms of the deployments.
	began := time.Now()
	w.until("stop", func() bool { return w.count(wire.EndCause_END_CAUSE_STOPPED) == 4 })
	assert.Assert(t, time.Since(began) < 3*time.Second, "%s", time.Since(began))
	w.until("state", func() bool { return w.state(w.entries[0], jobID) == wire.JobState_JOB_STATE_CANCELED })
	assert.Equal(t, w.count(wire.EndCause_END_CAUSE_UNSPECIFIED), 4)
}

// Guards against one bad executor that uses up the attempts of good jobs.
func TestFailingExecutor(t *testing.T) {
	w := newWorld(t, 1, 3, after(100*time.Millisecond))
	w.hosts[0].executor.SetFailing(true)
	for _, id := range []string{"00000000000000b1", "00000000000000b2", "00000000000000b3"} {
		w.submit(w.entries[0], &wire.Job{Id: id, Steps: steps(12)})
	}
	for _, id := range []string{"00000000000000b1", "00000000000000b2", "00000000000000b3"} {
		w.succeeds(w.entries[0], id)
	}
	w.neverTwice()
}

// Guards against an agent that stays without orders after it was cut off for
// longer than its lease.
func TestAgentCutOff(t *testing.T) {
	w := newWorld(t, 1, 1, after(50*time.Millisecond))
	w.submit(w.entries[0], &wire.Job{Id: jobID, Steps: steps(6)})
	w.succeeds(w.entries[0], jobID)
	w.entries[0].cut.Store(true)
	time.Sleep(lease + 2*time.Second)
	w.entries[0].cut.Store(false)
	second := "00000000000000a2"
	w.submit(w.entries[0], &wire.Job{Id: second, Steps: steps(6)})
	began := time.Now()
	w.succeeds(w.entries[0], second)
	assert.Assert(t, time.Since(began) < 2*time.Second, "%s", time.Since(began))
}

// Guards against starts on executors that the advice did not grant, and against
// advice that is asked for each task.
func TestAdvice(t *testing.T) {
	w := newWorld(t, 1, 3, after(50*time.Millisecond))
	w.advisor.host = "host-1"
	queue := &wire.Queue{Name: "advised", Service: service, MaxAttempts: 3, Advice: &wire.AdvicePolicy{}}
	assert.NilError(t, w.entries[0].submitter.Submit(context.Background(), queue, &wire.Job{Id: jobID, Steps: steps(8, 4)}))
	w.succeeds(w.entries[0], jobID)
	assert.Assert(t, w.advisor.calls.Load() <= 6, "%d calls", w.advisor.calls.Load())
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, event := range w.events {
		assert.Assert(t, strings.HasPrefix(event.Executor, "host-1-"), "%s ran on %s", event.Task, event.Executor)
	}
}

// Guards against a leader that waits for itself to fall silent after its
// restart; after a loss of power that delays the whole fleet.
func TestLeaderRestarts(t *testing.T) {
	w := newWorld(t, 1, 1, after(10*time.Millisecond))
	leader := w.leader()
	w.killEntry(leader)
	w.startEntry(leader)
	began := time.Now()
	w.leader()
	assert.Assert(t, time.Since(began) < 600*time.Millisecond, "%s", time.Since(began))
}
