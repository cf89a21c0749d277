package screener_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/screener"
	"damaskspread.example/damaskspread/wire"
)

const (
	second = time.Second
	cores  = 4
)

func newScreener(random float64) *screener.Screener {
	return &screener.Screener{
		FromPriority: 1,
		Random:       func() float64 { return random },
	}
}

// newJob has count tasks of one core for estimate each and an objective of twice that.
func newJob(count int32, estimate time.Duration) *wire.Job {
	return &wire.Job{
		Queue:    "batch",
		Service:  "s",
		Priority: 2,
		Stretch:  2,
		Steps: []*wire.JobStep{{
			Count:      count,
			EstimateMs: estimate.Milliseconds(),
			Resources:  &wire.Resources{Millicores: 1000},
		}},
	}
}

// waiting is an estimate of a service that works at 4 cores, with work that takes wait.
func waiting(wait time.Duration) *wire.LoadEstimate {
	return &wire.LoadEstimate{
		Epoch: 7,
		Queues: []*wire.QueueLoad{{
			Queue:        "batch",
			Service:      "s",
			Priority:     2,
			WaitingCoreS: cores * wait.Seconds(),
			RateCores:    cores,
			OldestWaitMs: wait.Milliseconds(),
		}},
	}
}

// Load: the queue's work takes longer than thrice the objective. Guards against a
// refusal that comes later than at once, and against a retry time at which the same job
// is refused again although the load has developed as predicted.
func TestRefusedCallerIsAcceptedOnReturn(t *testing.T) {
	for _, random := range []float64{0, 0.5, 0.999} {
		s := newScreener(random)
		job := newJob(1, 2*second) // objective 4 s
		decision := s.Decide(waiting(30*second), 0, job)
		assert.Assert(t, decision.Refused())
		assert.Equal(t, decision.Wait, 30*second)
		assert.Equal(t, decision.Limit, 12*second)
		assert.Assert(t, decision.RetryAfter >= 24*second && decision.RetryAfter <= 36*second)
		remaining := 30*second - decision.RetryAfter
		assert.Assert(t, !s.Decide(waiting(max(remaining, 1)), 0, job).Refused())
	}
}

// Load: many callers are refused at once. Guards against all of them returning at once.
func TestReturnsAreSpread(t *testing.T) {
	random := 0.0
	s := newScreener(0)
	s.Random = func() float64 { random += 0.01; return random - 0.01 }
	perSecond := map[int]int{}
	for range 100 {
		decision := s.Decide(waiting(30*second), 0, newJob(1, 2*second))
		perSecond[int(decision.RetryAfter/second)]++
	}
	assert.Equal(t, len(perSecond), 12)
	for _, count := range perSecond {
		assert.Assert(t, count <= 10, perSecond)
	}
}

// Load: a burst of 40 jobs of 1 s arrives at a service with 40 idle cores that did
// nothing before; then one that keeps 4 cores busy for less than the limit. Guards
// against refusals of work that is absorbed in time.
func TestBurstIsAbsorbed(t *testing.T) {
	s := newScreener(0)
	idle := waiting(100 * time.Millisecond)
	idle.Queues[0].RateCores = 0
	idle.Queues[0].FreeMillicores = 40_000
	for range 40 {
		assert.Assert(t, !s.Decide(idle, 0, newJob(1, second)).Refused())
	}
	for wait := 500 * time.Millisecond; wait <= 5*second; wait += 500 * time.Millisecond {
		assert.Assert(t, !s.Decide(waiting(wait), 0, newJob(1, second)).Refused())
	}
}

// Load: one estimate shows little waiting work, and 200 jobs arrive before the next.
// Guards against a burst that is admitted as a whole because the estimate is old.
func TestWorkAdmittedSinceTheEstimateCounts(t *testing.T) {
	s := newScreener(0)
	estimate := waiting(second)
	admitted := 0
	for range 200 {
		if !s.Decide(estimate, 0, newJob(1, second)).Refused() {
			admitted++
		}
	}
	// 6 s of work at 4 cores are of use: 1 s waits, 1 s is the job's own.
	assert.Equal(t, admitted, 17)
	assert.Assert(t, !s.Decide(waiting(second), 0, newJob(1, second)).Refused())
}

// Load: waits from 0 to 40 s, jobs from 1 to 400 tasks and chains from 1 to 8 s. Guards
// against refusals for size: each fifth of the jobs must be accepted at least half as
// often as all of them.
func TestLargeJobsAreNotRefusedForTheirSize(t *testing.T) {
	accepted, total := map[string]int{}, map[string]int{}
	for wait := 250 * time.Millisecond; wait <= 40*second; wait += 250 * time.Millisecond {
		for _, size := range []int32{1, 4, 40, 400} {
			for _, estimate := range []time.Duration{second, 8 * second} {
				kind := fmt.Sprintf("%d tasks of %s", size, estimate)
				total[estimate.String()]++
				if !newScreener(0).Decide(waiting(wait), 0, newJob(size, estimate)).Refused() {
					accepted[kind]++
				}
			}
		}
	}
	for _, estimate := range []time.Duration{second, 8 * second} {
		small := accepted[fmt.Sprintf("1 tasks of %s", estimate)]
		assert.Assert(t, small > 0)
		for _, size := range []int32{40, 400} {
			assert.Assert(t, 2*accepted[fmt.Sprintf("%d tasks of %s", size, estimate)] >= small, accepted)
		}
	}
	assert.Assert(t, accepted["400 tasks of 8s"] >= accepted["1 tasks of 1s"], accepted)
}

// Load: far too much. Guards against refusals of what callers are promised always.
func TestExemptions(t *testing.T) {
	urgent, long, repeated, bare := newJob(1, second), newJob(1, second), newJob(1, second), newJob(1, second)
	urgent.Priority = 0
	long.Steps[0].LongRunning = true
	repeated.RepeatCount = 2
	bare.Stretch = 0
	for _, job := range []*wire.Job{urgent, long, repeated, bare} {
		decision := newScreener(0).Decide(waiting(time.Hour), 0, job)
		assert.Equal(t, decision.Reason, screener.ReasonExempt)
	}
}

// Load: unknown. Guards against refusals from an estimate that says nothing about now.
func TestWithoutEstimateAllIsAdmitted(t *testing.T) {
	s := newScreener(0)
	job := newJob(1, second)
	assert.Equal(t, s.Decide(nil, 0, job).Reason, screener.ReasonNoEstimate)
	assert.Equal(t, s.Decide(waiting(time.Hour), 3*second+1, job).Reason, screener.ReasonNoEstimate)
	assert.Equal(t, s.Decide(&wire.LoadEstimate{}, 0, job).Reason, screener.ReasonNotListed)
	noWait := waiting(time.Hour)
	noWait.Queues[0].OldestWaitMs = 0
	assert.Equal(t, s.Decide(noWait, 0, job).Reason, screener.ReasonNoWait)
	assert.Assert(t, s.Decide(waiting(time.Hour), 3*second, job).Refused())
}

// Load: the wait falls from above thrice the objective through twice of it. Guards
// against decisions that alternate around one limit.
func TestHysteresis(t *testing.T) {
	s := newScreener(0)
	job := newJob(1, second) // objective 2 s
	refused := func(wait time.Duration) bool { return s.Decide(waiting(wait), 0, job).Refused() }
	assert.Assert(t, !refused(5*second))
	assert.Assert(t, refused(6*second))
	assert.Assert(t, refused(5*second))
	assert.Assert(t, refused(3500*time.Millisecond))
	// A job with a longer objective doesn't end it.
	assert.Assert(t, !s.Decide(waiting(3500*time.Millisecond), 0, newJob(1, 8*second)).Refused())
	assert.Assert(t, refused(3500*time.Millisecond))
	assert.Assert(t, !refused(2500*time.Millisecond))
	assert.Assert(t, !refused(5*second))
}

// Load: work of more urgent queues of the same service waits, or that of less urgent
// queues and other services. Guards against predictions that leave out what goes first
// or count what doesn't.
func TestOnlyWorkThatGoesFirstCounts(t *testing.T) {
	add := func(service string, priority int32) *wire.LoadEstimate {
		estimate := waiting(second)
		estimate.Queues = append(estimate.Queues, &wire.QueueLoad{
			Queue:        "other",
			Service:      service,
			Priority:     priority,
			WaitingCoreS: 400,
		})
		return estimate
	}
	assert.Assert(t, newScreener(0).Decide(add("s", 0), 0, newJob(1, second)).Refused())
	assert.Assert(t, !newScreener(0).Decide(add("s", 3), 0, newJob(1, second)).Refused())
	assert.Assert(t, !newScreener(0).Decide(add("t", 0), 0, newJob(1, second)).Refused())
}

// Load: best-effort work waits while nothing of it ends. Guards against a prediction of
// no wait where nothing is known of the rate.
func TestNoProgress(t *testing.T) {
	job := newJob(1, second)
	job.Steps[0].FillsIdle = true
	estimate := waiting(20 * second)
	estimate.Queues[0].OldestWaitMs, estimate.Queues[0].OldestBestEffortWaitMs = 0, estimate.Queues[0].OldestWaitMs
	estimate.Queues[0].WaitingBestEffortCoreS = 1
	decision := newScreener(0).Decide(estimate, 0, job)
	assert.Assert(t, decision.Refused())
	assert.Equal(t, decision.Wait, 20*second)
	assert.Assert(t, decision.RetryAfter > 0)
}
