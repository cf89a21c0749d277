package coordinator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

const (
	// handoverLimit is the time within which jobs run again under another leader.
	handoverLimit = 6 * time.Second
	// cancelWithin is the time from an acknowledged cancellation to the stops, cancel_ms of
	// the deployments.
	cancelWithin = 3 * time.Second
)

// newLastingTasks returns a fleet with tasks that last on each of four hosts.
func newLastingTasks(t *testing.T) *testFleet {
	f := newTestFleet(t, 3, 4, func(task string) time.Duration {
		if task[:len(jobID)] == jobID {
			return -1
		}
		return 20 * time.Millisecond
	})
	job := &wire.Job{Id: jobID, Steps: steps(8)}
	job.Steps[0].LongRunning = true
	f.submit(f.leader(), job)
	f.waitFor("runs", func() bool { return f.lastingStarts() == 8 })
	// Longer than a poll of an agent, which extends the lease.
	f.pass(1500 * time.Millisecond)
	return f
}

func (f *testFleet) lastingStarts() int { return f.countEvents(wire.EndCause_END_CAUSE_UNSPECIFIED) }

// setFault sets the fault of the entries' appends; nil ends it.
func setFault(fault *appendFault, entries ...*entry) {
	for _, e := range entries {
		e.writes.fault.Store(fault)
	}
}

// succeedsWithin submits a job and waits until it has succeeded.
func (f *testFleet) succeedsWithin(limit time.Duration, id string) {
	f.t.Helper()
	f.submit(f.entries[0], &wire.Job{Id: id, Steps: steps(2)})
	f.waitWithin(limit, "success of "+id, func() bool {
		f.noticeLeaseEnds()
		return f.jobState(f.entries[0], id) == wire.JobState_JOB_STATE_SUCCEEDED
	})
}

// assertUndisturbed checks that the tasks that last have run on.
func (f *testFleet) assertUndisturbed() {
	f.t.Helper()
	f.pass(lease)
	assert.Equal(f.t, f.lastingStarts(), 8)
	assert.Equal(f.t, f.countEvents(wire.EndCause_END_CAUSE_LEASE_EXPIRED), 0)
	f.assertNoDuplicateRuns()
}

const nextJobID = "00000000000000e1"

// Guards against a leader that renews its leadership, can't store progress, and schedules
// nothing although another process could.
func TestLeaderThatCannotStoreProgressIsReplaced(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]*appendFault{
		"progress fails": {topic: "progress"},
		"progress hangs": {topic: "progress", hangs: true},
		"statuses fail":  {topic: "jobs"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLastingTasks(t)
			leader := f.leader()
			setFault(fault, leader)
			f.succeedsWithin(handoverLimit, nextJobID)
			assert.Assert(t, f.leader() != leader)
			f.assertUndisturbed()
		})
	}
}

// Guards against a candidate that takes over although it can't store progress either.
func TestOnlyACandidateThatStoresProgressTakesOver(t *testing.T) {
	t.Parallel()
	f := newLastingTasks(t)
	leader := f.leader()
	var able *entry
	for _, e := range f.entries {
		if e != leader {
			able = e
		}
	}
	for _, e := range f.entries {
		if e != able {
			setFault(&appendFault{topic: "progress", hangs: true}, e)
		}
	}
	f.succeedsWithin(handoverLimit, nextJobID)
	assert.Equal(t, f.leader(), able)
	assert.Equal(t, able.elector.Leader().GetHandovers(), int32(1))
	f.assertUndisturbed()
}

// Guards against changes of leader while no process can store progress: each would end
// the leases that its leader can't grant.
func TestStalledLeaderStaysWhileNoneCanStoreProgress(t *testing.T) {
	t.Parallel()
	f := newLastingTasks(t)
	epoch := f.leader().elector.Epoch()
	setFault(&appendFault{topic: "progress"}, f.entries...)
	f.submit(f.leader(), &wire.Job{Id: nextJobID, Steps: steps(2)})
	f.pass(2 * lease)
	assert.Equal(t, f.leader().elector.Epoch(), epoch)
	setFault(nil, f.entries...)
	f.waitSucceeded(f.entries[0], nextJobID)
	f.assertUndisturbed()
}

// Guards against runs of a canceled job that go on because the leader waits for an append.
func TestRunsOfACanceledJobStopWhileProgressCannotBeStored(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]*appendFault{
		"progress fails": {topic: "progress"},
		"progress hangs": {topic: "progress", hangs: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLastingTasks(t)
			setFault(fault, f.entries...)
			f.submit(f.leader(), &wire.Job{Id: nextJobID, Steps: steps(2)})
			f.pass(200 * time.Millisecond)
			for _, id := range []string{jobID, nextJobID} {
				assert.NilError(t, f.leader().submitter.Cancel(t.Context(), nil, id))
			}
			f.waitWithin(cancelWithin, "stop", func() bool { return f.countEvents(wire.EndCause_END_CAUSE_STOPPED) == 8 })
			setFault(nil, f.entries...)
			for _, id := range []string{jobID, nextJobID} {
				f.waitFor("end of "+id, func() bool {
					return f.jobState(f.entries[0], id) == wire.JobState_JOB_STATE_CANCELED && f.assignedTasks(id) == 0
				})
			}
			assert.Equal(t, f.lastingStarts(), 8)
		})
	}
}

// Guards against a new leader that waits for ever for its first append.
func TestNewLeaderThatCannotStoreProgressIsReplaced(t *testing.T) {
	t.Parallel()
	f := newLastingTasks(t)
	first := f.leader()
	var others []*entry
	for _, e := range f.entries {
		if e != first {
			others = append(others, e)
		}
	}
	setFault(&appendFault{topic: "progress", hangs: true}, others...)
	f.killEntry(first)
	f.pass(200 * time.Millisecond)
	second := f.leader()
	for _, e := range others {
		if e != second {
			setFault(nil, e)
		}
	}
	f.waitWithin(handoverLimit, "next leader", func() bool {
		f.noticeLeaseEnds()
		return f.leader() != second && f.leader().coordinator.Sessions() == 4
	})
	f.startEntry(first)
	f.succeedsWithin(handoverLimit, nextJobID)
	f.assertNoDuplicateRuns()
}

// Guards against leaders that replace each other without a pause, because the append of a
// candidate succeeds and those of a leader do not.
func TestStalledLeadersReplaceEachOtherMoreAndMoreRarely(t *testing.T) {
	t.Parallel()
	f := newLastingTasks(t)
	setFault(&appendFault{topic: "progress", leadersOnly: true}, f.entries...)
	f.submit(f.leader(), &wire.Job{Id: nextJobID, Steps: steps(2)})
	epochs := map[int64]bool{}
	for end := time.Now().Add(13 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		epochs[f.leader().elector.Leader().GetEpoch()] = true
	}
	// They end after 2 s, 4 s more and 8 s more.
	assert.Assert(t, len(epochs) >= 2 && len(epochs) <= 3, "%v", epochs)
	setFault(nil, f.entries...)
	f.waitSucceeded(f.entries[0], nextJobID)
	f.assertNoDuplicateRuns()
}

// Guards against stops that wait for the append of the cycle which orders them.
func TestRunsStopBeforeTheirCancellationIsStored(t *testing.T) {
	t.Parallel()
	f := newLastingTasks(t)
	setFault(&appendFault{topic: "progress", hangs: true}, f.entries...)
	assert.NilError(t, f.leader().submitter.Cancel(t.Context(), nil, jobID))
	f.waitWithin(cancelWithin, "stop", func() bool { return f.countEvents(wire.EndCause_END_CAUSE_STOPPED) == 8 })
}

// Guards against a start order for a job that was canceled during the append before it.
func TestJobCanceledBeforeItsStartIsStoredIsNotOrdered(t *testing.T) {
	t.Parallel()
	p := newStraggler(newCopyFleet(t, 1), steps(1))
	leader := p.f.leader()
	// The sessions are stored, so that the append which fails is that of the start.
	p.f.pass(300 * time.Millisecond)
	setFault(&appendFault{topic: "progress"}, leader)
	p.f.submit(leader, &wire.Job{Id: nextJobID, Steps: steps(2)})
	p.f.pass(200 * time.Millisecond)
	assert.NilError(t, leader.submitter.Cancel(t.Context(), nil, nextJobID))
	p.f.pass(200 * time.Millisecond)
	setFault(nil, leader)
	started := startedRun{nextJobID + ".0.0.0", 1}
	p.waitFor("stop", func() bool { return p.first.stopped[started] || p.second.stopped[started] })
	p.f.pass(time.Second)
	p.report()
	assert.Assert(t, !p.first.started[started] && !p.second.started[started], "started after its cancellation")
}

// Guards against a copied run of a canceled job that goes on because the leader waits for an
// append.
func TestCopiedRunOfACanceledJobStopsWhileProgressCannotBeStored(t *testing.T) {
	t.Parallel()
	p := newCopyPlay(t)
	leader := p.f.leader()
	setFault(&appendFault{topic: "progress", hangs: true}, leader)
	p.f.submit(leader, &wire.Job{Id: nextJobID, Steps: steps(2)})
	p.f.pass(200 * time.Millisecond)
	assert.NilError(t, leader.submitter.Cancel(t.Context(), nil, jobID))
	p.f.waitWithin(cancelWithin, "stop of both runs", func() bool {
		p.report()
		return p.first.stops(1) && p.second.stops(2)
	})
}

// Guards against a run of a canceled job that goes on because its agent has restarted while the
// leader waits for an append.
func TestRunOfACanceledJobStopsInASessionOpenedDuringAnAppend(t *testing.T) {
	t.Parallel()
	for _, canceledBefore := range []bool{true, false} {
		p := newStraggler(newCopyFleet(t, 1), steps(1))
		leader := p.f.leader()
		setFault(&appendFault{topic: "progress", hangs: true}, leader)
		p.f.submit(leader, &wire.Job{Id: nextJobID, Steps: steps(2)})
		p.f.pass(200 * time.Millisecond)
		if !canceledBefore {
			p.first.open(p.f, "a.2")
		}
		assert.NilError(t, leader.submitter.Cancel(t.Context(), nil, jobID))
		if canceledBefore {
			p.f.pass(200 * time.Millisecond)
			p.first.open(p.f, "a.2")
		}
		p.f.waitWithin(cancelWithin, "stop", func() bool {
			p.report()
			return p.first.stops(1)
		})
	}
}
