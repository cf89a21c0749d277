package coordinator_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// Guards against copies where nobody has asked for them: the switch is off, or the step
// doesn't allow them.
func TestNoCopyUnlessAllowed(t *testing.T) {
	t.Parallel()
	t.Run("switched off", func(t *testing.T) {
		p := newStraggler(newTestFleet(t, 1, 0, fixedRunTime(-1)), speculativeStep())
		p.assertNoCopy()
	})
	t.Run("not speculative", func(t *testing.T) {
		p := newStraggler(newCopyFleet(t, 1), estimatedSteps(1, time.Second))
		p.assertNoCopy()
	})
	t.Run("in time", func(t *testing.T) {
		p := newStraggler(newCopyFleet(t, 1), speculativeStep())
		p.assertNoCopyWhile(func(elapsed time.Duration) {
			p.first.running[0].Percent = min(99, 1+int32(elapsed/(25*time.Millisecond)))
		})
	})
}

func (p *copyPlay) assertNoCopy() {
	p.f.t.Helper()
	p.assertNoCopyWhile(func(time.Duration) {})
}

// assertNoCopyWhile waits for longer than it takes to copy a straggler.
func (p *copyPlay) assertNoCopyWhile(progress func(elapsed time.Duration)) {
	p.f.t.Helper()
	const enough = 3 * time.Second
	for started := time.Now(); time.Since(started) < enough; time.Sleep(20 * time.Millisecond) {
		progress(time.Since(started))
		p.report()
		assert.Assert(p.f.t, !p.starts(2), "run 2 was ordered")
	}
}

// Guards against a task that isn't done by the first end of its runs, or whose other run
// goes on.
func TestFirstEndCounts(t *testing.T) {
	t.Parallel()
	t.Run("copy", func(t *testing.T) {
		p := newCopyPlay(t)
		p.assertUndisturbed()
		p.second.end(2, wire.EndCause_END_CAUSE_DONE)
		p.waitFor("stop of run 1", func() bool { return p.first.stops(1) })
		p.waitSucceeded()
	})
	t.Run("copied run", func(t *testing.T) {
		p := newCopyPlay(t)
		p.first.end(1, wire.EndCause_END_CAUSE_DONE)
		p.waitFor("stop of run 2", func() bool { return p.second.stops(2) })
		p.waitSucceeded()
	})
	t.Run("both at once", func(t *testing.T) {
		p := newCopyPlay(t)
		p.first.end(1, wire.EndCause_END_CAUSE_DONE)
		p.second.end(2, wire.EndCause_END_CAUSE_DONE)
		p.waitSucceeded()
		p.assertNoStart(3)
	})
}

func (p *copyPlay) assertNoStart(run int32) {
	p.f.t.Helper()
	for deadline := time.Now().Add(heldBackFor); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		p.report()
		assert.Assert(p.f.t, !p.starts(run), "run %d was ordered", run)
	}
}

// Guards against a new leader that stops one of the two runs, or starts a third one,
// because it doesn't know that one is a copy of the other.
func TestLeaderReplacedBesideACopy(t *testing.T) {
	t.Parallel()
	t.Run("copy is first", func(t *testing.T) {
		p := newCopyPlay(t)
		p.replaceLeader()
		p.assertUndisturbed()
		p.second.end(2, wire.EndCause_END_CAUSE_DONE)
		p.waitFor("stop of run 1", func() bool { return p.first.stops(1) })
		p.waitSucceeded()
	})
	t.Run("copied run is first", func(t *testing.T) {
		p := newCopyPlay(t)
		p.replaceLeader()
		p.first.end(1, wire.EndCause_END_CAUSE_DONE)
		p.waitFor("stop of run 2", func() bool { return p.second.stops(2) })
		p.waitSucceeded()
	})
	t.Run("after the copy is done", func(t *testing.T) {
		p := newCopyPlay(t)
		p.second.end(2, wire.EndCause_END_CAUSE_DONE)
		p.waitFor("stop of run 1", func() bool { return p.first.stops(1) })
		p.replaceLeader()
		p.waitFor("stop of run 1 by the next leader", func() bool { return p.first.stops(1) })
		p.waitSucceeded()
	})
	t.Run("after the copy has failed", func(t *testing.T) {
		p := newCopyPlay(t)
		p.second.end(2, wire.EndCause_END_CAUSE_FAILED)
		p.assertNoStart(3)
		p.replaceLeader()
		p.assertUndisturbed()
		p.first.end(1, wire.EndCause_END_CAUSE_FAILED)
		p.waitFor("run 3", func() bool { return p.starts(3) })
	})
}

// Guards against a run that goes on because its agent has lost the stop with its session.
func TestLostStopOfACopiedRun(t *testing.T) {
	t.Parallel()
	p := newCopyPlay(t)
	p.second.end(2, wire.EndCause_END_CAUSE_DONE)
	p.waitFor("stop of run 1", func() bool { return p.first.stops(1) })
	p.first.open(p.f, "a.2")
	p.waitFor("repeated stop of run 1", func() bool { return p.first.stops(1) })
	p.waitSucceeded()
}

// Guards against a third run beside the copied one, or none once both have ended, when the
// executor of one of both restarts.
func TestExecutorRestartsBesideACopy(t *testing.T) {
	t.Parallel()
	t.Run("of the copy", func(t *testing.T) {
		p := newCopyPlay(t)
		p.second.info, p.second.running = executorInfo("executor-1", 2), nil
		p.second.open(p.f, "b.2")
		p.assertUndisturbed()
		p.first.end(1, wire.EndCause_END_CAUSE_DONE)
		p.waitSucceeded()
	})
	t.Run("of the copied run", func(t *testing.T) {
		p := newCopyPlay(t)
		p.first.info, p.first.running = executorInfo("executor-0", 2), nil
		p.first.open(p.f, "a.2")
		p.assertUndisturbed()
		p.second.end(2, wire.EndCause_END_CAUSE_DONE)
		p.waitSucceeded()
	})
	t.Run("of both", func(t *testing.T) {
		p := newCopyPlay(t)
		p.first.info, p.first.running = executorInfo("executor-0", 2), nil
		p.first.open(p.f, "a.2")
		p.second.info, p.second.running = executorInfo("executor-1", 2), nil
		p.second.open(p.f, "b.2")
		p.waitFor("run 3", func() bool { return p.starts(3) })
	})
	t.Run("of the copy, which starts late", func(t *testing.T) {
		p := newCopyPlay(t)
		p.second.info = executorInfo("executor-1", 2)
		p.second.open(p.f, "b.2")
		p.assertUndisturbed()
		p.second.end(2, wire.EndCause_END_CAUSE_DONE)
		p.waitFor("stop of run 1", func() bool { return p.first.stops(1) })
		p.waitSucceeded()
	})
	t.Run("of the copied run, which starts late", func(t *testing.T) {
		p := newCopyPlay(t)
		p.first.info = executorInfo("executor-0", 2)
		p.first.open(p.f, "a.2")
		p.waitFor("stop of run 1", func() bool { return p.first.stops(1) })
		p.second.end(2, wire.EndCause_END_CAUSE_DONE)
		p.waitSucceeded()
	})
}

// Guards against a third run, or a copy that is stopped, when the lease of one of the two
// executors lapses.
func TestLeaseLapsesBesideACopy(t *testing.T) {
	t.Parallel()
	t.Run("of the copied run", func(t *testing.T) {
		p := newCopyPlay(t)
		p.reportOnly(p.second)
		assert.Equal(t, len(p.second.stopped), 0, "%v", p.second.stopped)
		p.second.end(2, wire.EndCause_END_CAUSE_DONE)
		p.second.report()
		p.f.waitSucceeded(p.f.leader(), jobID)
		assert.Assert(t, !p.starts(3), "run 3 was ordered")
		// The run may still be in progress, under a lease that its agent has prolonged.
		p.first.open(p.f, "a.2")
		p.waitFor("stop of run 1", func() bool { return p.first.stops(1) })
	})
	t.Run("of the copy", func(t *testing.T) {
		p := newCopyPlay(t)
		p.reportOnly(p.first)
		assert.Equal(t, len(p.first.stopped), 0, "%v", p.first.stopped)
		p.first.end(1, wire.EndCause_END_CAUSE_DONE)
		p.first.report()
		p.f.waitSucceeded(p.f.leader(), jobID)
		assert.Assert(t, !p.starts(3), "run 3 was ordered")
	})
}

// reportOnly reports one agent until the lease of the other has lapsed.
func (p *copyPlay) reportOnly(agent *copyAgent) {
	p.f.t.Helper()
	coordinator := p.f.leader().coordinator
	p.f.waitFor("lapse", func() bool {
		agent.report()
		return coordinator.Sessions() == 1
	})
	for deadline := time.Now().Add(heldBackFor); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		agent.report()
	}
}

// Guards against failures of a run and its copy that fail the job before its attempts are
// used up, or that aren't counted, so that a task starts too often.
func TestFailuresOfACopyAreAttempts(t *testing.T) {
	t.Parallel()
	for _, copyFirst := range []bool{true, false} {
		p := newCopyPlay(t)
		failures := []func(){
			func() { p.second.end(2, wire.EndCause_END_CAUSE_FAILED) },
			func() { p.first.end(1, wire.EndCause_END_CAUSE_FAILED) },
		}
		if !copyFirst {
			slices.Reverse(failures)
		}
		failures[0]()
		p.assertUndisturbed()
		failures[1]()
		p.waitFor("run 3", func() bool { return p.starts(3) })
		third := p.first
		if p.second.starts(3) {
			third = p.second
		}
		third.end(3, wire.EndCause_END_CAUSE_FAILED)
		p.waitState(wire.JobState_JOB_STATE_FAILED)
		p.assertNoStart(4)
	}
}

// Guards against a refused copy that keeps the copied run from completing its task, or
// that is ordered again.
func TestRefusedCopy(t *testing.T) {
	t.Parallel()
	p := newStraggler(newCopyFleet(t, 1), speculativeStep())
	p.waitFor("copy", func() bool { return p.second.starts(2) })
	p.second.refusals = []*wire.StartRefusal{{
		Task:   copiedTask,
		Run:    2,
		Reason: string(damaskspread.RefusedNoRoom),
	}}
	p.assertUndisturbed()
	p.first.end(1, wire.EndCause_END_CAUSE_DONE)
	p.waitSucceeded()
}

// Guards against a canceled job of which one of the two runs goes on.
func TestCanceledBesideACopy(t *testing.T) {
	t.Parallel()
	p := newCopyPlay(t)
	assert.NilError(t, p.f.leader().submitter.Cancel(t.Context(), nil, jobID))
	p.waitFor("stops", func() bool { return p.first.stops(1) && p.second.stops(2) })
}

// Guards against a copied run whose room is given away, and against a copy that keeps a
// first run waiting.
func TestRoomBesideACopy(t *testing.T) {
	t.Parallel()
	const otherJob = "00000000000000b2"
	p := newCopyPlay(t)
	large := steps(2)
	large[0].Resources.Millicores = defaultMillicores
	p.f.submit(p.f.leader(), &wire.Job{Id: otherJob, Steps: large})
	large0, large1 := startedRun{otherJob + ".0.0.0", 1}, startedRun{otherJob + ".0.0.1", 1}
	p.waitFor("stop of the copy", func() bool { return p.second.stops(2) })
	p.second.end(2, wire.EndCause_END_CAUSE_STOPPED)
	p.waitFor("first run in the room of the copy", func() bool { return p.second.started[large0] || p.second.started[large1] })
	p.assertNoStart(3)
	assert.Assert(t, !p.first.started[large0] && !p.first.started[large1], "the room of run 1 was given away")
	assert.Equal(t, len(p.first.stopped), 0, "%v", p.first.stopped)
}
