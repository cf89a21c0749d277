package coordinator_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/wire"
)

const jobID = "00000000000000a1"

// Guards against steps that start before the steps they depend on have ended, and
// against tasks that run more than once although nothing fails.
func TestStepsRunInOrder(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 2, 3, fixedRunTime(30*time.Millisecond))
	f.submit(f.entries[0], &wire.Job{Id: jobID, Steps: steps(6, 4)})
	f.waitSucceeded(f.entries[1], jobID)
	assert.Equal(t, f.countEvents(wire.EndCause_END_CAUSE_DONE), 10)
	assert.Equal(t, f.countEvents(wire.EndCause_END_CAUSE_UNSPECIFIED), 10)
	f.mu.Lock()
	defer f.mu.Unlock()
	done := 0
	for _, event := range f.events {
		if event.Cause == wire.EndCause_END_CAUSE_DONE {
			done++
		} else if strings.HasPrefix(event.Task, jobID+".0.1.") {
			assert.Assert(t, done >= 6, "%s started after %d of 6 ends", event.Task, done)
		}
	}
}

// Guards against a job that is lost, or a task that runs twice, when the leader
// dies while the job runs.
func TestLeaderDies(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 3, 3, fixedRunTime(400*time.Millisecond))
	leader := f.leader()
	f.submit(leader, &wire.Job{Id: jobID, Steps: steps(8, 8)})
	f.waitFor("start", func() bool { return f.countEvents(wire.EndCause_END_CAUSE_UNSPECIFIED) >= 4 })
	f.killEntry(leader)
	f.waitSucceeded(f.leader(), jobID)
	assert.Equal(t, f.countEvents(wire.EndCause_END_CAUSE_DONE), 16)
	f.assertNoDuplicateRuns()
}

// Guards against a successor that waits for the takeover timeout although the
// leader has resigned.
func TestLeaderResigns(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 3, 1, fixedRunTime(10*time.Millisecond))
	leader := f.leader()
	started := time.Now()
	leader.elector.Resign(context.Background())
	f.waitFor("successor", func() bool { return f.leader() != leader })
	// Below the time without renewals after which another process claims.
	assert.Assert(t, time.Since(started) < 700*time.Millisecond, "%s", time.Since(started))
}

// Guards against a fleet without a leader when the leader can't reach the log,
// and against tasks that the old and the new leader both start.
func TestLeaderLosesTheLog(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 3, 3, fixedRunTime(200*time.Millisecond))
	leader := f.leader()
	leader.client.SetDown(true)
	f.waitFor("successor", func() bool {
		for _, e := range f.entries {
			if e != leader && e.elector.Epoch() != 0 {
				return true
			}
		}
		return false
	})
	var successor *entry
	for _, e := range f.entries {
		if e != leader && e.elector.Epoch() != 0 {
			successor = e
		}
	}
	f.submit(successor, &wire.Job{Id: jobID, Steps: steps(12)})
	f.waitSucceeded(successor, jobID)
	assert.Equal(t, f.countEvents(wire.EndCause_END_CAUSE_DONE), 12)
	f.assertNoDuplicateRuns()
}

// Guards against accepted jobs that are lost when every process loses power, and
// against a leader that waits for tasks of executors that were replaced.
func TestPowerLoss(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 2, 2, fixedRunTime(300*time.Millisecond))
	f.submit(f.entries[0], &wire.Job{Id: jobID, Steps: steps(4, 4)})
	f.waitFor("start", func() bool { return f.countEvents(wire.EndCause_END_CAUSE_UNSPECIFIED) >= 2 })
	for _, e := range f.entries {
		f.killEntry(e)
	}
	for _, h := range f.hosts {
		f.killAgent(h)
		f.boot(h)
	}
	for _, e := range f.entries {
		f.startEntry(e)
	}
	started := time.Now()
	for _, h := range f.hosts {
		f.startAgent(h)
	}
	f.waitSucceeded(f.entries[1], jobID)
	// The leader need not wait for the leases of the earlier incarnations.
	assert.Assert(t, time.Since(started) < lease, "%s", time.Since(started))
	f.assertNoDuplicateRuns()
}

// Guards against a restarted agent that starts again the tasks that its executor
// already runs.
func TestAgentRestarts(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 1, fixedRunTime(800*time.Millisecond))
	f.submit(f.entries[0], &wire.Job{Id: jobID, Steps: steps(4)})
	f.waitFor("start", func() bool { return f.hosts[0].executor.Running() == 4 })
	f.killAgent(f.hosts[0])
	f.startAgent(f.hosts[0])
	f.waitSucceeded(f.entries[0], jobID)
	assert.Equal(t, f.countEvents(wire.EndCause_END_CAUSE_UNSPECIFIED), 4)
}

// Guards against tasks that stay assigned to an executor incarnation that has
// ended.
func TestExecutorReplaced(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 2, fixedRunTime(500*time.Millisecond))
	f.submit(f.entries[0], &wire.Job{Id: jobID, Steps: steps(8)})
	f.boot(f.busyHost())
	f.waitSucceeded(f.entries[0], jobID)
	f.assertNoDuplicateRuns()
}

// Guards against a task that runs twice when its executor stops responding before
// its lease has expired.
func TestSilentExecutor(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 2, fixedRunTime(600*time.Millisecond))
	f.submit(f.entries[0], &wire.Job{Id: jobID, Steps: steps(8)})
	f.busyHost().executor.SetUnresponsive(true)
	f.waitSucceeded(f.entries[0], jobID)
	f.assertNoDuplicateRuns()
}

// Guards against a start that took effect without a response and is then given up
// or repeated on another executor.
func TestStartsWithoutAnswer(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 2, fixedRunTime(200*time.Millisecond))
	for _, h := range f.hosts {
		h.executor.SetLosingStartResponses(true)
	}
	f.submit(f.entries[0], &wire.Job{Id: jobID, Steps: steps(6)})
	f.waitSucceeded(f.entries[0], jobID)
	assert.Equal(t, f.countEvents(wire.EndCause_END_CAUSE_DONE), 6)
	f.assertNoDuplicateRuns()
}

// Guards against a job, submitted at two entries, that runs twice or not at all
// when the responses of the log are lost.
func TestLostAppendAnswers(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 2, 2, fixedRunTime(50*time.Millisecond))
	leader := f.leader()
	for _, e := range f.entries {
		e.client.LoseResponses(6)
	}
	job := &wire.Job{Id: jobID, Steps: steps(6)}
	f.submit(f.entries[0], job)
	f.submit(f.entries[1], job)
	f.waitSucceeded(leader, jobID)
	assert.Equal(t, f.countEvents(wire.EndCause_END_CAUSE_DONE), 6)
	f.assertNoDuplicateRuns()
}

// Guards against tasks that keep running or start after their job was canceled.
func TestCancel(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 2, 2, fixedRunTime(-1))
	job := &wire.Job{Id: jobID, Steps: steps(4)}
	job.Steps[0].LongRunning = true
	f.submit(f.entries[0], job)
	f.waitFor("start", func() bool { return f.countEvents(wire.EndCause_END_CAUSE_UNSPECIFIED) == 4 })
	f.waitFor("acknowledged cancellation", func() bool {
		return f.entries[1].submitter.Cancel(context.Background(), nil, jobID) == nil
	})
	// The bound below is cancel_ms of the deployments.
	started := time.Now()
	f.waitFor("stop", func() bool { return f.countEvents(wire.EndCause_END_CAUSE_STOPPED) == 4 })
	assert.Assert(t, time.Since(started) < 3*time.Second, "%s", time.Since(started))
	f.waitFor("state", func() bool { return f.jobState(f.entries[0], jobID) == wire.JobState_JOB_STATE_CANCELED })
	assert.Equal(t, f.countEvents(wire.EndCause_END_CAUSE_UNSPECIFIED), 4)
}

// Guards against one executor on which all tasks fail and that uses up the
// attempts of jobs.
func TestFailingExecutor(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 3, fixedRunTime(100*time.Millisecond))
	f.hosts[0].executor.SetFailingTasks(true)
	for _, id := range []string{"00000000000000b1", "00000000000000b2", "00000000000000b3"} {
		f.submit(f.entries[0], &wire.Job{Id: id, Steps: steps(12)})
	}
	for _, id := range []string{"00000000000000b1", "00000000000000b2", "00000000000000b3"} {
		f.waitSucceeded(f.entries[0], id)
	}
	f.assertNoDuplicateRuns()
}

// Guards against an agent that gets no orders after it was disconnected from the
// leader for longer than its lease.
func TestAgentCutOff(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 1, fixedRunTime(50*time.Millisecond))
	f.submit(f.entries[0], &wire.Job{Id: jobID, Steps: steps(6)})
	f.waitSucceeded(f.entries[0], jobID)
	f.entries[0].disconnected.Store(true)
	time.Sleep(lease + 2*time.Second)
	f.entries[0].disconnected.Store(false)
	second := "00000000000000a2"
	f.submit(f.entries[0], &wire.Job{Id: second, Steps: steps(6)})
	started := time.Now()
	f.waitSucceeded(f.entries[0], second)
	assert.Assert(t, time.Since(started) < 2*time.Second, "%s", time.Since(started))
}

// Guards against starts on executors without a ticket, and against one advice
// request per task instead of per step.
func TestAdvice(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 3, fixedRunTime(50*time.Millisecond))
	f.advisor.host = "host-1"
	queue := &wire.Queue{Name: "advised", Service: service, MaxAttempts: 3, Advice: &wire.AdvicePolicy{}}
	f.submitTo(f.entries[0], queue, &wire.Job{Id: jobID, Steps: steps(8, 4)})
	f.waitSucceeded(f.entries[0], jobID)
	assert.Assert(t, f.advisor.calls.Load() <= 6, "%d calls", f.advisor.calls.Load())
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, event := range f.events {
		assert.Assert(t, strings.HasPrefix(event.Executor, "host-1-"), "%s ran on %s", event.Task, event.Executor)
	}
}

// Guards against tickets that a leader keeps for each step that it ever had: they take its
// memory in weeks.
func TestTicketsOfDoneStepsAreDropped(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 1, fixedRunTime(5*time.Millisecond))
	f.advisor.host = "host-0"
	queue := &wire.Queue{Name: "advised", Service: service, MaxAttempts: 3, Advice: &wire.AdvicePolicy{}}
	for i := range 5 {
		id := fmt.Sprintf("%016x", i+1)
		f.submitTo(f.entries[0], queue, &wire.Job{Id: id, RepeatCount: 4, Steps: steps(2, 2)})
		f.waitSucceeded(f.entries[0], id)
	}
	calls := f.advisor.calls.Load()
	assert.Assert(t, calls >= 40, "%d steps were advised", calls)
	f.waitFor("removal", func() bool { return f.leader().coordinator.AdvisedSteps() <= 1 })
}

// Guards against a restarted leader that waits for its own earlier leadership to
// time out. After a power loss that delays the whole fleet.
func TestLeaderRestarts(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 1, fixedRunTime(10*time.Millisecond))
	leader := f.leader()
	f.killEntry(leader)
	f.startEntry(leader)
	started := time.Now()
	f.leader()
	assert.Assert(t, time.Since(started) < 600*time.Millisecond, "%s", time.Since(started))
}

// Guards against progress that is never stored because one append is larger than
// the log takes: the leader would repeat it for good and start nothing more.
func TestAppendsFitTheLog(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 0, 0, fixedRunTime(20*time.Millisecond))
	f.log.MaxCallBytes = 2000
	f.maxAppendBytes = f.log.MaxCallBytes
	f.entries = []*entry{{name: "entry-0"}}
	f.startEntry(f.entries[0])
	for i := range 30 {
		step := &wire.JobStep{Count: 8, Resources: &wire.Resources{Millicores: 10}}
		f.submit(f.entries[0], &wire.Job{Id: fmt.Sprintf("%016x", i), Steps: []*wire.JobStep{step}})
	}
	f.hosts = []*host{f.newHost("host-0")}
	f.startAgent(f.hosts[0])
	for i := range 30 {
		f.waitSucceeded(f.entries[0], fmt.Sprintf("%016x", i))
	}
}

// Guards against one malformed record that ends the leader, or keeps each new one
// from taking over: jobs that can't be scheduled, and progress that can't be
// decoded.
func TestMalformedRecords(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 1, fixedRunTime(20*time.Millisecond))
	leader := f.leader()
	for _, job := range []*wire.Job{
		{Id: "a", Steps: []*wire.JobStep{{Count: -1}}},
		{Id: "b", Steps: []*wire.JobStep{{Count: 1, After: []int32{7}}}},
		{Id: "c", RepeatCount: 1 << 30, Steps: steps(4000)},
		{Id: "d"},
	} {
		value, err := proto.Marshal(job)
		assert.NilError(t, err)
		record := &wire.KeyedRecord{Key: job.GetId(), Value: value}
		_, err = leader.client.Append(t.Context(), indexer.Topic, []*wire.KeyedRecord{record}, nil)
		assert.NilError(t, err)
	}
	f.submit(leader, &wire.Job{Id: jobID, Steps: steps(2)})
	f.waitSucceeded(leader, jobID)

	const held = "00000000000000b2"
	f.killEntry(leader)
	writer := &emulator.KeyedLogClient{Log: f.log}
	progress := &wire.KeyedRecord{Key: held, Value: []byte{0xff, 0xff, 0xff}}
	_, err := writer.Append(t.Context(), "progress", []*wire.KeyedRecord{progress}, nil)
	assert.NilError(t, err)
	f.startEntry(leader)
	const other = "00000000000000c3"
	f.submit(f.leader(), &wire.Job{Id: held, Steps: steps(1)})
	f.submit(f.leader(), &wire.Job{Id: other, Steps: steps(1)})
	f.waitSucceeded(f.leader(), other)
}
