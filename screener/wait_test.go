package screener_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/screener"
	"damaskspread.example/damaskspread/wire"
)

// divided is an estimate of a service with 4 cores whose waiting work has the parts.
func divided(parts *wire.WaitingWork) *wire.LoadEstimate {
	estimate := waiting(0)
	queue := estimate.Queues[0]
	queue.CapacityCores = cores
	queue.OldestWaitMs = 1000
	queue.Waiting = parts
	for _, work := range append(parts.GetOnTimeCoreS(), parts.GetLateCoreS(), parts.GetOverdueCoreS()) {
		queue.WaitingCoreS += float64(work)
	}
	return estimate
}

// Load: 400 core-seconds wait, which are overdue, or have a later or an earlier deadline
// than the new job. Guards against refusals for work that the new job overtakes, and
// against work that goes first and doesn't count.
func TestOnlyEarlierDeadlinesCount(t *testing.T) {
	job := newJob(1, 2*second) // objective 4 s
	for _, parts := range []*wire.WaitingWork{
		{OverdueCoreS: 400},
		{LateCoreS: 400},
		{OnTimeCoreS: []float32{0, 0, 0, 400}},
		{OnTimeCoreS: []float32{0, 0, 0, 0, 0, 0, 400}},
	} {
		decision := newScreener(0).Decide(divided(parts), 0, job)
		assert.Equal(t, decision.Reason, screener.ReasonInTime, "%v", parts)
		assert.Equal(t, decision.Wait, time.Duration(0))
	}
	for _, parts := range []*wire.WaitingWork{
		{OnTimeCoreS: []float32{400}},
		{OnTimeCoreS: []float32{0, 0, 400}},
	} {
		assert.Assert(t, newScreener(0).Decide(divided(parts), 0, job).Refused(), "%v", parts)
	}
	// An objective of 6 s is in the middle of the bucket from 4 to 8 s.
	decision := newScreener(0).Decide(divided(&wire.WaitingWork{OnTimeCoreS: []float32{0, 0, 0, 16}}), 0, newJob(1, 3*second))
	assert.Equal(t, decision.Wait, 2*second)
}

// Load: work on time delays a job until it is late. Guards against an acceptance that
// leaves out the late work that goes before it then.
func TestLateJobWaitsForLateWork(t *testing.T) {
	job := newJob(1, 2*second) // objective 4 s, limit 12 s
	decision := newScreener(0).Decide(divided(&wire.WaitingWork{OnTimeCoreS: []float32{12}}), 0, job)
	// 3 s of work, and the objective for jobs that arrive later.
	assert.Equal(t, decision.Wait, 7*second)
	assert.Assert(t, !decision.Refused())
	decision = newScreener(0).Decide(divided(&wire.WaitingWork{
		OnTimeCoreS: []float32{12},
		LateCoreS:   40,
	}), 0, job)
	assert.Equal(t, decision.Wait, 17*second)
	assert.Assert(t, decision.Refused())
}

// Load: a more urgent queue has work with later deadlines, and overdue work. Guards
// against predictions that compare deadlines across priorities.
func TestMoreUrgentQueueGoesFirstWhateverItsDeadlines(t *testing.T) {
	for _, test := range []struct {
		parts   *wire.WaitingWork
		refused bool
	}{
		{parts: &wire.WaitingWork{OnTimeCoreS: []float32{0, 0, 0, 0, 0, 0, 400}}, refused: true},
		{parts: &wire.WaitingWork{LateCoreS: 400}, refused: true},
		{parts: &wire.WaitingWork{OverdueCoreS: 400}},
	} {
		estimate := divided(&wire.WaitingWork{OnTimeCoreS: []float32{1}})
		estimate.Queues = append(estimate.Queues, &wire.QueueLoad{
			Queue:        "other",
			Service:      "s",
			Priority:     0,
			WaitingCoreS: 400,
			Waiting:      test.parts,
		})
		assert.Equal(t, newScreener(0).Decide(estimate, 0, newJob(1, second)).Refused(), test.refused, "%v", test.parts)
	}
}

// Load: a burst arrives at an entry that leads itself, so that each call returns another
// message. Guards against a burst that is admitted as a whole, against work of an earlier
// estimate that still counts, and against numbers that are compared across epochs.
func TestEstimateIsKnownByItsNumber(t *testing.T) {
	s := newScreener(0)
	estimate := waiting(second)
	estimate.Number = 1
	refused := func() bool {
		return s.Decide(proto.CloneOf(estimate), 0, newJob(1, second)).Refused()
	}
	admitted := 0
	for !refused() {
		admitted++
	}
	assert.Equal(t, admitted, 17)
	estimate.Number++
	assert.Assert(t, !refused())
	for !refused() {
	}
	estimate.Epoch++
	assert.Assert(t, !refused())
}

// Load: reserving tasks wait and best-effort ones don't, or the other way round. Guards
// against decisions on best-effort work by the wait of other work.
func TestBestEffortWaitIsSeparate(t *testing.T) {
	filler := newJob(1, second)
	filler.Steps[0].FillsIdle = true
	estimate := waiting(30 * second)
	assert.Equal(t, newScreener(0).Decide(estimate, 0, filler).Reason, screener.ReasonNoWait)
	queue := estimate.Queues[0]
	queue.OldestWaitMs, queue.OldestBestEffortWaitMs = 0, queue.OldestWaitMs
	queue.WaitingBestEffortCoreS, queue.RateBestEffortCores = 60, 2
	decision := newScreener(0).Decide(estimate, 0, filler)
	assert.Assert(t, decision.Refused())
	assert.Equal(t, decision.Wait, 30*second)
	assert.Equal(t, newScreener(0).Decide(estimate, 0, newJob(1, second)).Reason, screener.ReasonNoWait)
}

// Load: a queue that was idle gets a burst; later it is behind for longer than the window
// of the rates. Guards against a rate that shows how little work there was, and against a
// capacity that the service doesn't reach.
func TestCapacityAppliesUntilWorkHasWaitedForTheWindow(t *testing.T) {
	estimate := waiting(4 * second)
	queue := estimate.Queues[0]
	queue.RateCores, queue.CapacityCores = 0.5, cores
	assert.Equal(t, newScreener(0).Decide(estimate, 0, newJob(1, second)).Wait, 4*second)
	queue.OldestWaitMs = 6000
	assert.Equal(t, newScreener(0).Decide(estimate, 0, newJob(1, second)).Wait, 32*second)
}

// Load: all processors run long tasks. Guards against a prediction that leaves out the
// work that is left of them, or waits until all of it is done.
func TestRunningWorkCounts(t *testing.T) {
	estimate := waiting(4 * second)
	estimate.Queues[0].CapacityCores = cores
	estimate.Queues[0].RunningCoreS = 64
	assert.Equal(t, newScreener(0).Decide(estimate, 0, newJob(1, 8*second)).Wait, 16*second)
	estimate.Queues[0].RunningCoreS = 8
	assert.Equal(t, newScreener(0).Decide(estimate, 0, newJob(1, 8*second)).Wait, 6*second)
}
