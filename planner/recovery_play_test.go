package planner_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const (
	// Jobs arrive until arrivalsMs; the outage begins at outageFromMs.
	arrivalsMs, outageFromMs, outageTickMs = 60_000, 10_000, 100
	// A caller is refused after holdMs and returns returnMs later, as package submitter
	// tells it. All have returned within recoveryTime.
	holdMs, returnMs = 1000, 2000
	recoveryTime     = 3 * time.Second
)

// recoveryPolicy is what callers are told and what starts after an outage.
type recoveryPolicy struct {
	name string
	// retryMs returns the Retry-After of a caller that is refused a time after the outage
	// began.
	retryMs func(random *rand.Rand, awayMs int64) int64
	// share is that of planner.PaceLate at a time since the end of the outage; 0 starts
	// all at once.
	share func(since time.Duration) float64
	order func(groups []*tracker.Group, nowMs int64)
}

func recoveryPolicies() []recoveryPolicy {
	byCost := (&planner.Planner{CostOrder: true}).Order
	constant := func(*rand.Rand, int64) int64 { return returnMs }
	spread := func(random *rand.Rand, awayMs int64) int64 {
		return 1000 + (random.Int64N(max(awayMs/4, 1000))+999)/1000*1000
	}
	none := func(time.Duration) float64 { return 0 }
	all := func(since time.Duration) float64 {
		if since < recoveryTime {
			return 1
		}
		return 0
	}
	return []recoveryPolicy{
		{name: "at once, deadline", retryMs: constant, share: none, order: planner.Order},
		{name: "at once, cost", retryMs: constant, share: none, order: byCost},
		{name: "returns spread over a quarter of the outage", retryMs: spread, share: none, order: byCost},
		{name: "no late starts while callers return", retryMs: constant, share: all, order: byCost},
		pacedRecovery(),
	}
}

// atOnce is what was done before, and pacedRecovery what paced_recovery does.
func atOnce() recoveryPolicy { return recoveryPolicies()[1] }

func pacedRecovery() recoveryPolicy {
	return recoveryPolicy{
		name:    "paced (chosen)",
		retryMs: func(*rand.Rand, int64) int64 { return returnMs },
		share:   func(since time.Duration) float64 { return planner.ReturningShare(since, recoveryTime) },
		order:   (&planner.Planner{CostOrder: true}).Order,
	}
}

// outageJob is a job and its caller.
type outageJob struct {
	burstJob
	// nextMs is the next submission; firstMs the first one. refused is set if the caller
	// was refused in the outage.
	nextMs, firstMs int64
	refused, large  bool
}

// outageMix is a service and its jobs: 4 of 5 have one short step, the others two long ones.
// Widths are numbers of tasks of one processor.
type outageMix struct {
	name                  string
	hosts, cores          int
	shortWidth, longWidth float64
	shortMs, longMs       float64
}

var (
	manyShort = outageMix{name: "64 cores", hosts: 8, cores: 8, shortWidth: 3, shortMs: 800, longWidth: 6, longMs: 3000}
	fewLong   = outageMix{name: "8 cores", hosts: 2, cores: 4, shortWidth: 2, shortMs: 800, longWidth: 3, longMs: 10_000}
)

// outageLoad is an outage and the work that arrives, as a multiple of what the hosts do:
// before the outage begins, and from then on.
type outageLoad struct {
	mix           outageMix
	before, after float64
	outage        time.Duration
}

func (l outageLoad) String() string {
	return fmt.Sprintf("%s, %.1f, then %s and %.1f", l.mix.name, l.before, l.outage, l.after)
}

// outageJobs draws the callers, in the order in which they come.
func outageJobs(seed uint64, load outageLoad) []*outageJob {
	random := rand.New(rand.NewPCG(seed, 7))
	jobs := load.arrivals(random, nil, 0, outageFromMs, load.before)
	jobs = load.arrivals(random, jobs, outageFromMs, arrivalsMs, load.after)
	slices.SortFunc(jobs, func(a, b *outageJob) int { return cmp.Compare(a.firstMs, b.firstMs) })
	return jobs
}

// arrivals adds the jobs of callers that come within a time. Widths and durations are
// log-normal with sigma 0.4.
func (l outageLoad) arrivals(random *rand.Rand, jobs []*outageJob, fromMs, untilMs int64, load float64) []*outageJob {
	spread := func(mean float64) float64 { return mean * math.Exp(0.4*random.NormFloat64()-0.08) }
	left := load * float64(l.mix.hosts*l.mix.cores) * float64(untilMs-fromMs) / 1000
	for left > 0 {
		job := &outageJob{
			firstMs: fromMs + random.Int64N(untilMs-fromMs),
			large:   random.IntN(5) == 0,
		}
		id := fmt.Sprintf("job-%04d", len(jobs))
		if job.large {
			job.spec = burstSpec(id, 0, 2, spread(l.mix.longWidth), spread(l.mix.longMs), 1000)
		} else {
			job.spec = burstSpec(id, 0, 1, spread(l.mix.shortWidth), spread(l.mix.shortMs), 1000)
		}
		job.spec.Stretch, job.spec.ObjectiveMs = 1.5, 500
		for _, step := range job.spec.GetSteps() {
			left -= float64(int64(step.GetCount())*step.GetEstimateMs()) / 1000
		}
		job.nextMs = job.firstMs
		jobs = append(jobs, job)
	}
	return jobs
}

// outagePlay is a service whose log is away for a time.
type outagePlay struct {
	policy      recoveryPolicy
	mix         outageMix
	random      *rand.Rand
	untilMs     int64
	open        []*outageJob
	assignments *tracker.Assignments
	running     []runningTask
}

type runningTask struct {
	task  *tracker.Task
	endMs int64
}

// run plays until all jobs have ended.
func (p *outagePlay) run(jobs []*outageJob) {
	p.assignments = &tracker.Assignments{}
	for now := int64(0); len(jobs)+len(p.open) > 0; now += outageTickMs {
		away := now >= outageFromMs && now < p.untilMs
		jobs = slices.DeleteFunc(jobs, func(job *outageJob) bool { return p.submit(job, now, away) })
		if !away {
			p.cycle(now)
		}
	}
}

// submit reports whether the job was accepted at now.
func (p *outagePlay) submit(job *outageJob, now int64, away bool) bool {
	switch {
	case job.nextMs > now:
		return false
	case !away:
		job.spec.AcceptedUnixMs = now
		job.state = tracker.New(job.spec)
		p.assignments.Add(job.state)
		p.open = append(p.open, job)
		return true
	case now-job.nextMs >= holdMs:
		job.refused = true
		job.nextMs = now + p.policy.retryMs(p.random, now-outageFromMs)
	}
	return false
}

// cycle applies the ends, of which the leader learns only now, and plans.
func (p *outagePlay) cycle(now int64) {
	p.running = slices.DeleteFunc(p.running, func(r runningTask) bool {
		if r.endMs > now {
			return false
		}
		r.task.End(&wire.RunEnd{Run: r.task.Run(), Cause: wire.EndCause_END_CAUSE_DONE}, r.task.Executor().ID)
		return true
	})
	var groups []*tracker.Group
	p.open = slices.DeleteFunc(p.open, func(job *outageJob) bool {
		job.endMs = now
		groups = append(groups, job.state.Ready(now)...)
		return job.state.Over()
	})
	if len(groups) > 0 {
		p.plan(groups, now)
	}
}

func (p *outagePlay) plan(groups []*tracker.Group, now int64) {
	var hosts []*planner.Host
	for i := range p.mix.hosts {
		host := newHost(fmt.Sprintf("host-%d", i), int64(p.mix.cores))
		for _, task := range p.assignments.On(host.Key) {
			host.AddAssigned(task)
		}
		hosts = append(hosts, host)
	}
	p.policy.order(groups, now)
	if now >= p.untilMs {
		since := time.Duration(now-p.untilMs) * time.Millisecond
		if share := p.policy.share(since); share > 0 {
			groups, _ = planner.PaceLate(groups, hosts, share, now)
		}
	}
	for _, a := range (&planner.Planner{}).Plan(groups, hosts) {
		a.Task.Assign(a.Host.Key, a.Host.Name, a.Run, time.Duration(now+1)*time.Millisecond)
		p.running = append(p.running, runningTask{
			task:  a.Task,
			endMs: now + a.Task.Step().GetEstimateMs(),
		})
	}
}

// recoveryOutcome is what callers got, as numbers of jobs. Returning callers are those that
// were refused in the outage.
type recoveryOutcome struct {
	Load            string `json:"load"`
	Policy          string `json:"policy"`
	Returning       int    `json:"returning"`
	ReturningInTime int    `json:"returning_in_time"`
	ReturningOfUse  int    `json:"returning_of_use"`
	Jobs            int    `json:"jobs"`
	InTime          int    `json:"in_time"`
	OfUse           int    `json:"of_use"`
	Large           int    `json:"large"`
	LargeOfUse      int    `json:"large_of_use"`
	// LongestS is the longest time from acceptance to the end, ReturningMeanS the mean time
	// from the first submission of a returning caller to the end, in seconds.
	LongestS       float64 `json:"longest_s"`
	ReturningMeanS float64 `json:"returning_mean_s"`
}

func compareRecovery(load outageLoad, policy recoveryPolicy, seeds uint64) recoveryOutcome {
	outcome := recoveryOutcome{
		Load:   load.String(),
		Policy: policy.name,
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		jobs := outageJobs(seed, load)
		play := &outagePlay{
			policy:  policy,
			mix:     load.mix,
			random:  rand.New(rand.NewPCG(seed, 9)),
			untilMs: outageFromMs + load.outage.Milliseconds(),
		}
		play.run(slices.Clone(jobs))
		for _, job := range jobs {
			outcome.count(job)
		}
	}
	return outcome
}

func (o *recoveryOutcome) count(job *outageJob) {
	objective := job.state.Objective().Milliseconds()
	took := job.endMs - job.spec.GetAcceptedUnixMs()
	// Ends are seen at the next tick, which isn't held against the policy.
	inTime, ofUse := took <= objective+outageTickMs, took <= 3*objective
	add := func(n *int, counts bool) {
		if counts {
			*n++
		}
	}
	o.Jobs++
	add(&o.InTime, inTime)
	add(&o.OfUse, ofUse)
	add(&o.Returning, job.refused)
	add(&o.ReturningInTime, job.refused && inTime)
	add(&o.ReturningOfUse, job.refused && ofUse)
	add(&o.Large, job.large)
	add(&o.LargeOfUse, job.large && ofUse)
	if job.refused {
		o.ReturningMeanS += (float64(job.endMs-job.firstMs)/1000 - o.ReturningMeanS) / float64(o.Returning)
	}
	o.LongestS = max(o.LongestS, float64(took)/1000)
}
