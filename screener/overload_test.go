package screener_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/screener"
	"damaskspread.example/damaskspread/wire"
)

const (
	estimateInterval = 500 * time.Millisecond
	tick             = 50 * time.Millisecond
	// maxReturns is how often a refused caller returns.
	maxReturns = 5
)

// caller is one job of the play, with one task.
type caller struct {
	job *wire.Job
	// first is its first submission, next the next one, and returns how often it was
	// refused.
	first, next time.Duration
	returns     int
	remaining   time.Duration
	ended       time.Duration
	// size is "small" or "large".
	size string
}

// outcome is what callers got. Of use means within three times the objective from
// acceptance, in time within the objective.
type outcome struct {
	accepted, useful, inTime, late, gaveUp, refusals int
	acceptedBySize, totalBySize                      map[string]int
}

// play runs a queue on 4 processors for a minute of arrivals.
// Estimates are half a second old on average, as those of a leader are.
func play(seed uint64, load float64, byArrival bool, admit func(*wire.LoadEstimate, time.Duration, *wire.Job) (bool, time.Duration)) *outcome {
	random := rand.New(rand.NewPCG(seed, 2))
	result := newOutcome()
	var callers, queue, running []*caller
	acceptedAt := map[*caller]time.Duration{}
	for at := time.Duration(0); at < time.Minute; {
		estimate, size := time.Second, "small"
		if random.IntN(10) < 3 {
			estimate, size = 6*time.Second, "large"
		}
		// The mean is 2.5 core-seconds.
		at += time.Duration(random.ExpFloat64() * 2.5 / (cores * load) * float64(time.Second))
		callers = append(callers, &caller{
			job:       newJob(1, estimate),
			first:     at,
			next:      at,
			remaining: estimate,
			size:      size,
		})
		result.totalBySize[size]++
	}
	var estimate *wire.LoadEstimate
	var estimatedAt time.Duration
	doneWork := 0.0
	open := len(callers)
	for now := time.Duration(0); open > 0 || len(queue)+len(running) > 0; now += tick {
		if !byArrival {
			sortAsPlanner(queue, acceptedAt, now)
		}
		for len(running) < cores && len(queue) > 0 {
			running, queue = append(running, queue[0]), queue[1:]
		}
		var left []*caller
		for _, c := range running {
			c.remaining -= tick
			doneWork += tick.Seconds()
			if c.remaining <= 0 {
				c.ended = now
				continue
			}
			left = append(left, c)
		}
		running = left
		if now >= estimatedAt+estimateInterval {
			estimate = describe(queue, acceptedAt, now, doneWork/(now-estimatedAt).Seconds(), cores-len(running))
			estimatedAt, doneWork = now, 0
		}
		for _, c := range callers {
			if c.next != c.first && c.returns == 0 || c.next > now || c.next < 0 {
				continue
			}
			admitted, after := admit(estimate, now-estimatedAt, c.job)
			if admitted {
				c.next = -1
				open--
				acceptedAt[c] = now
				queue = append(queue, c)
				continue
			}
			result.refusals++
			c.returns++
			c.next = now + after.Round(time.Second)
			if c.returns > maxReturns {
				c.next = -1
				open--
				result.gaveUp++
			}
		}
	}
	for c, at := range acceptedAt {
		result.accepted++
		result.acceptedBySize[c.size]++
		objective := screener.Objective(c.job)
		switch took := c.ended - at; {
		case took <= objective:
			result.inTime++
			result.useful++
		case took <= 3*objective:
			result.useful++
		default:
			result.late++
		}
	}
	return result
}

// sortAsPlanner puts jobs that can be in time first, then those with an earlier deadline.
func sortAsPlanner(queue []*caller, acceptedAt map[*caller]time.Duration, now time.Duration) {
	slices.SortStableFunc(queue, func(a, b *caller) int {
		deadlineA, deadlineB := acceptedAt[a]+screener.Objective(a.job), acceptedAt[b]+screener.Objective(b.job)
		lateA, lateB := now+a.remaining > deadlineA, now+b.remaining > deadlineB
		switch {
		case lateA && !lateB:
			return 1
		case lateB && !lateA:
			return -1
		default:
			return cmp.Compare(deadlineA, deadlineB)
		}
	})
}

// describe returns the estimate of a leader.
func describe(queue []*caller, acceptedAt map[*caller]time.Duration, now time.Duration, rate float64, free int) *wire.LoadEstimate {
	load := &wire.QueueLoad{
		Queue:          "batch",
		Service:        "s",
		Priority:       2,
		RateCores:      rate,
		FreeMillicores: int64(1000 * free),
	}
	for _, c := range queue {
		load.WaitingCoreS += c.remaining.Seconds()
		load.OldestWaitMs = max(load.OldestWaitMs, 1, (now - acceptedAt[c]).Milliseconds())
	}
	return &wire.LoadEstimate{Queues: []*wire.QueueLoad{load}}
}

// add adds the outcome of another play.
func (o *outcome) add(other *outcome) {
	o.accepted += other.accepted
	o.useful += other.useful
	o.inTime += other.inTime
	o.late += other.late
	o.refusals += other.refusals
	o.gaveUp += other.gaveUp
	for size, total := range other.totalBySize {
		o.totalBySize[size] += total
		o.acceptedBySize[size] += other.acceptedBySize[size]
	}
}

func (o *outcome) share(size string) float64 {
	return float64(o.acceptedBySize[size]) / float64(o.totalBySize[size])
}

func newOutcome() *outcome {
	return &outcome{
		acceptedBySize: map[string]int{},
		totalBySize:    map[string]int{},
	}
}

// Load: for a minute, half, one and a half times and twice the work that 4 processors
// do, in jobs of 1 s and of 6 s; refused callers return as told, at most five times.
// Compared with the admission of everything, in the order of arrival and in that of the
// planner, where late work goes last. Guards against refusals where all fits, against
// as many late jobs as without refusals, and against refusals for size. In the order of
// arrival more jobs must be of use than without refusals; in the planner's order that
// isn't so (docs/decisions.md).
func TestOverload(t *testing.T) {
	for _, load := range []float64{0.3, 1.5, 2} {
		for _, byArrival := range []bool{true, false} {
			testOverload(t, load, byArrival)
		}
	}
}

func testOverload(t *testing.T, load float64, byArrival bool) {
	t.Helper()
	const seeds = 20
	screened, all := newOutcome(), newOutcome()
	for seed := range uint64(seeds) {
		s := newScreener(0)
		s.Random = rand.New(rand.NewPCG(seed, 3)).Float64
		screened.add(play(seed, load, byArrival, func(estimate *wire.LoadEstimate, age time.Duration, job *wire.Job) (bool, time.Duration) {
			decision := s.Decide(estimate, age, job)
			return !decision.Refused(), decision.RetryAfter
		}))
		all.add(play(seed, load, byArrival, func(*wire.LoadEstimate, time.Duration, *wire.Job) (bool, time.Duration) { return true, 0 }))
	}
	t.Logf("load %.1f by arrival %t: screened %+v", load, byArrival, screened)
	t.Logf("load %.1f by arrival %t: all admitted %+v", load, byArrival, all)
	if load < 1 {
		assert.Equal(t, screened.refusals, 0)
		return
	}
	assert.Assert(t, screened.late < all.late)
	assert.Assert(t, 2*screened.share("large") >= screened.share("small"))
	if byArrival {
		assert.Assert(t, screened.useful > all.useful)
	}
}
