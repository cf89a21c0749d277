package screener_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"damaskspread.example/damaskspread/appraiser"
	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const (
	estimateInterval = 500 * time.Millisecond
	tick             = 50 * time.Millisecond
	// maxReturns is how often a refused caller returns.
	maxReturns = 5
	// minRunTime is the interval of estimates, which show nothing shorter.
	minRunTime = estimateInterval
	// meanWork is the mean work of a job in core-seconds.
	meanWork = 2.5
)

// admission decides on a job by an estimate of the given age.
type admission func(estimate *wire.LoadEstimate, age time.Duration, job *wire.Job) (admitted bool, retryAfter time.Duration)

// mix draws the sizes of jobs.
type mix string

const (
	// mixTwoSizes: 7 of 10 jobs are small and take 1 s, the others are large and take 6 s.
	mixTwoSizes mix = "two sizes"
	// mixSpread: log-normal run times with sigma 1, at least minRunTime. "Largest" are the tenth with the
	// most work, "large" the fifth below it.
	mixSpread mix = "spread"
)

// draw returns the run time of a job and its size.
func (m mix) draw(random *rand.Rand) (time.Duration, string) {
	if m == mixTwoSizes {
		if random.IntN(10) < 3 {
			return 6 * time.Second, "large"
		}
		return time.Second, "small"
	}
	normal := random.NormFloat64()
	estimate := max(time.Duration(meanWork*math.Exp(normal-0.5)*float64(time.Second)), minRunTime)
	// The quantiles of the normal distribution at 0.9 and 0.7.
	switch {
	case normal > 1.2816:
		return estimate, "largest"
	case normal > 0.5244:
		return estimate, "large"
	default:
		return estimate, "small"
	}
}

// caller is one job of the play, with one task.
type caller struct {
	job *wire.Job
	// next is its next submission, and returns how often it was refused.
	next      time.Duration
	returns   int
	remaining time.Duration
	ended     time.Duration
	// size is "small", "large" or "largest".
	size string
}

// outcome is what callers got. Of use means within three times the objective from
// acceptance, in time within the objective.
type outcome struct {
	accepted, useful, inTime, late, gaveUp, refusals int
	acceptedBySize, totalBySize                      map[string]int
}

// newCallers returns the callers of a minute, with load times the work that the
// processors do.
func newCallers(seed uint64, load float64, sizes mix, result *outcome) []*caller {
	random := rand.New(rand.NewPCG(seed, 2))
	var callers []*caller
	for at := time.Duration(0); at < time.Minute; {
		estimate, size := sizes.draw(random)
		at += time.Duration(random.ExpFloat64() * meanWork / (cores * load) * float64(time.Second))
		callers = append(callers, &caller{
			job:       newJob(1, estimate),
			next:      at,
			remaining: estimate,
			size:      size,
		})
		result.totalBySize[size]++
	}
	return callers
}

// server is a queue on 4 processors and its leader.
type server struct {
	in             order
	acceptedAt     map[*caller]time.Duration
	queue, running []*caller
	ends           []workEnd
	estimate       *wire.LoadEstimate
	estimatedAt    time.Duration
}

// advance runs the queue for a tick and estimates the load if it is time to.
func (s *server) advance(now time.Duration) {
	if len(s.running) < cores {
		s.in.sort(s.queue, s.acceptedAt, now)
	}
	for len(s.running) < cores && len(s.queue) > 0 {
		s.running, s.queue = append(s.running, s.queue[0]), s.queue[1:]
	}
	s.running = slices.DeleteFunc(s.running, func(c *caller) bool {
		c.remaining -= tick
		if c.remaining > 0 {
			return false
		}
		c.ended = now
		s.ends = append(s.ends, workEnd{
			at:   now,
			work: coreSeconds(c.job),
		})
		return true
	})
	if now >= s.estimatedAt+estimateInterval {
		s.estimate, s.estimatedAt = s.describe(now), now
	}
}

// play runs a queue for a minute of arrivals and until all accepted jobs have ended.
// Estimates are a quarter of a second old on average.
func play(seed uint64, load float64, sizes mix, in order, admit admission) *outcome {
	result := newOutcome()
	callers := newCallers(seed, load, sizes, result)
	s := &server{
		in:         in,
		acceptedAt: map[*caller]time.Duration{},
	}
	for now := time.Duration(0); len(callers)+len(s.queue)+len(s.running) > 0; now += tick {
		s.advance(now)
		callers = slices.DeleteFunc(callers, func(c *caller) bool {
			if c.next > now {
				return false
			}
			admitted, after := admit(s.estimate, now-s.estimatedAt, c.job)
			if admitted {
				s.acceptedAt[c] = now
				s.queue = append(s.queue, c)
				return true
			}
			result.refusals++
			c.returns++
			c.next = now + after.Round(time.Second)
			if c.returns > maxReturns {
				result.gaveUp++
				return true
			}
			return false
		})
	}
	result.count(s.acceptedAt)
	return result
}

// count adds the jobs that were accepted at the given times.
func (o *outcome) count(acceptedAt map[*caller]time.Duration) {
	for c, at := range acceptedAt {
		o.accepted++
		o.acceptedBySize[c.size]++
		objective := tracker.Objective(c.job)
		switch took := c.ended - at; {
		case took <= objective:
			o.inTime++
			o.useful++
		case took <= 3*objective:
			o.useful++
		default:
			o.late++
		}
	}
}

// coreSeconds is the work of a job of the play.
func coreSeconds(job *wire.Job) float64 { return float64(job.GetSteps()[0].GetEstimateMs()) / 1000 }

// workEnd is work that ended.
type workEnd struct {
	at   time.Duration
	work float64
}

// order is the order in which waiting jobs start.
type order string

const (
	// orderArrival is the order of arrival.
	orderArrival order = "arrival"
	// orderLateLast is by deadline with late work last, in which overdue jobs go before
	// those that are late but still of use.
	orderLateLast order = "late last"
	// orderCost is by class and deadline, as the planner orders a queue.
	orderCost order = "cost"
)

func (o order) sort(queue []*caller, acceptedAt map[*caller]time.Duration, now time.Duration) {
	if o == orderArrival {
		return
	}
	class := func(w planner.Waiting) planner.Class {
		if class := planner.CostOf(w).Class; o == orderCost || class == planner.ClassOnTime {
			return class
		}
		return planner.ClassLate
	}
	slices.SortStableFunc(queue, func(a, b *caller) int {
		waitingA, waitingB := waitingOf(a, acceptedAt[a], now), waitingOf(b, acceptedAt[b], now)
		return cmp.Or(
			cmp.Compare(class(waitingA), class(waitingB)),
			waitingA.Deadline.Compare(waitingB.Deadline),
		)
	})
}

// waitingOf describes a waiting job to the planner.
func waitingOf(c *caller, acceptedAt, now time.Duration) planner.Waiting {
	start := time.Unix(0, 0).Add(acceptedAt)
	objective := tracker.Objective(c.job)
	return planner.Waiting{
		Deadline:  start.Add(objective),
		Overdue:   start.Add(3 * objective),
		Now:       time.Unix(0, 0).Add(now),
		Remaining: c.remaining,
		Waited:    now - acceptedAt,
	}
}

// describe returns the estimate of a leader.
func (s *server) describe(now time.Duration) *wire.LoadEstimate {
	s.ends = slices.DeleteFunc(s.ends, func(end workEnd) bool { return end.at < now-appraiser.Window })
	load := &wire.QueueLoad{
		Queue:          "batch",
		Service:        "s",
		Priority:       2,
		FreeMillicores: int64(1000 * (cores - len(s.running))),
		CapacityCores:  cores,
		RunningCores:   float64(len(s.running)),
		Waiting:        &wire.WaitingWork{},
	}
	for _, c := range s.queue {
		load.WaitingCoreS += c.remaining.Seconds()
		load.OldestWaitMs = max(load.OldestWaitMs, 1, (now - s.acceptedAt[c]).Milliseconds())
		appraiser.AddWaiting(load.GetWaiting(), waitingOf(c, s.acceptedAt[c], now), c.remaining.Seconds())
	}
	for _, c := range s.running {
		load.RunningCoreS += c.remaining.Seconds()
	}
	for _, end := range s.ends {
		load.RateCores += end.work / min(appraiser.Window, max(now, time.Second)).Seconds()
	}
	return &wire.LoadEstimate{
		Number: 1 + int64(now/tick),
		Queues: []*wire.QueueLoad{load},
	}
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
