package planner_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// The burst: hosts and how long jobs arrive. A cycle plans each cycleMs.
const (
	burstHosts, burstCores = 40, 16
	burstMs, cycleMs       = 30_000, 50
	comparisonSeeds        = 5
)

// burstLoad is a load relative to the capacity, the part of it that belongs to the
// short class, and a time in which nothing starts, as during an outage of the store.
type burstLoad struct {
	name                        string
	load, shortShare            float64
	outageFromMs, outageUntilMs int64
}

var burstLoads = []burstLoad{
	{name: "0.8", load: 0.8, shortShare: 0.4},
	{name: "1.2", load: 1.2, shortShare: 0.4},
	{name: "2.0", load: 2, shortShare: 0.4},
	{name: "0.8, outage", load: 0.8, shortShare: 0.4, outageFromMs: 10_000, outageUntilMs: 20_000},
	{name: "1.2 short, outage", load: 1.2, shortShare: 0.8, outageFromMs: 10_000, outageUntilMs: 20_000},
}

// policy sorts the waiting groups.
type policy struct {
	name string
	sort func(groups []*tracker.Group, nowMs int64)
}

// policies returns the orders to compare. All but the first keep to the classes of
// planner.CostOf and differ in the order within a class.
func policies() []policy {
	return []policy{
		{"deadline (existing)", planner.Order},
		{"classes, deadline", byAmount(func(w *planner.Waiting) float64 { return -float64(w.Deadline.UnixMilli()) })},
		{"least slack", byAmount(func(w *planner.Waiting) float64 { return -w.Slack().Seconds() })},
		{"shortest remaining work", byAmount(func(w *planner.Waiting) float64 { return -w.Work })},
		{"delay per core-second", byAmount(delayPerCoreSecond)},
		{"cost (chosen)", (&planner.Planner{CostOrder: true}).Order},
	}
}

// delayPerCoreSecond is the cost of delay per core-second. A job in time is worth 1,
// which falls to 0 between its deadline and overdue. While it has slack, the share
// of its time left that it needs is at stake.
func delayPerCoreSecond(w *planner.Waiting) float64 {
	end := w.Now.Add(w.Remaining)
	stake := float64(w.Remaining) / float64(max(w.Deadline.Sub(w.Now), 1))
	if end.After(w.Deadline) {
		stake = max(0, float64(w.Overdue.Sub(end))/float64(max(w.Overdue.Sub(w.Deadline), 1)))
	}
	return stake / max(w.Work, 0.01)
}

// byAmount returns a policy that replaces the amount of the cost.
func byAmount(amount func(w *planner.Waiting) float64) func([]*tracker.Group, int64) {
	return func(groups []*tracker.Group, nowMs int64) {
		costs := map[*tracker.Group]planner.Cost{}
		for _, g := range groups {
			w := planner.WaitingOf(g, nowMs)
			cost := planner.CostOf(w)
			cost.Amount = amount(&w)
			costs[g] = cost
		}
		slices.SortStableFunc(groups, func(a, b *tracker.Group) int {
			return cmp.Or(costs[a].Compare(costs[b]), cmp.Compare(a.Name(), b.Name()))
		})
	}
}

// burstJob is a job of a burst with the actual duration of its tasks.
type burstJob struct {
	spec  *wire.Job
	state *tracker.Job
	heavy bool
	work  float64
	endMs int64
}

// burst returns jobs that arrive at random, with load times the capacity. Widths
// and durations are log-normal with sigma 0.5 and 0.3.
func burst(seed uint64, load, shortShare float64) []*burstJob {
	random := rand.New(rand.NewPCG(seed, 1))
	spread := func(mean, sigma float64) float64 { return mean * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2) }
	uniform := func(low, high float64) float64 { return low + (high-low)*random.Float64() }
	capacity := float64(burstHosts * burstCores * burstMs / 1000)
	var jobs []*burstJob
	for _, heavy := range []bool{false, true} {
		share := shortShare
		if heavy {
			share = 1 - shortShare
		}
		for left := load * share * capacity; left > 0; {
			job := &burstJob{heavy: heavy}
			id := fmt.Sprintf("job-%04d", len(jobs))
			arrival := int64(uniform(0, burstMs))
			if heavy {
				job.spec = burstSpec(id, arrival, 2, spread(20, 0.5), spread(2000, 0.3), uniform(1800, 7000))
				job.spec.Priority, job.spec.Stretch, job.spec.ObjectiveMs = 2, 2, 1000
			} else {
				job.spec = burstSpec(id, arrival, 1+random.IntN(2), spread(10, 0.5), spread(uniform(600, 900), 0.3), uniform(300, 1400))
				job.spec.Stretch, job.spec.ObjectiveMs = 1.5, 250
			}
			for _, step := range job.spec.GetSteps() {
				job.work += float64(int64(step.GetCount())*step.GetEstimateMs()*step.GetResources().GetMillicores()) / 1e6
			}
			left -= job.work
			jobs = append(jobs, job)
		}
	}
	slices.SortFunc(jobs, func(a, b *burstJob) int { return cmp.Compare(a.spec.GetAcceptedUnixMs(), b.spec.GetAcceptedUnixMs()) })
	return jobs
}

func burstSpec(id string, arrivalMs int64, steps int, width, durationMs, millicores float64) *wire.Job {
	spec := &wire.Job{
		Id:             id,
		Service:        "s",
		AcceptedUnixMs: arrivalMs,
	}
	for i := range steps {
		step := ordinary(max(1, int32(width)), int64(millicores))
		step.Resources.MemoryBytes = 1 << 20
		step.EstimateMs = max(50, int64(durationMs))
		if i > 0 {
			step.After = []int32{int32(i - 1)}
		}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

// play runs the jobs under a policy until all of them have ended. Each task takes
// its estimate.
func play(jobs []*burstJob, load burstLoad, sort func([]*tracker.Group, int64)) {
	assignments := &tracker.Assignments{}
	ends := map[int64][]*tracker.Task{}
	arrived, open := 0, []*burstJob{}
	for now := int64(0); arrived < len(jobs) || len(open) > 0; now += cycleMs {
		for _, task := range ends[now] {
			task.End(&wire.RunEnd{Run: task.Run(), Cause: wire.EndCause_END_CAUSE_DONE}, task.Executor().ID)
		}
		delete(ends, now)
		for ; arrived < len(jobs) && jobs[arrived].spec.GetAcceptedUnixMs() <= now; arrived++ {
			jobs[arrived].state = tracker.New(jobs[arrived].spec)
			assignments.Add(jobs[arrived].state)
			open = append(open, jobs[arrived])
		}
		var groups []*tracker.Group
		open = slices.DeleteFunc(open, func(job *burstJob) bool {
			job.endMs = now
			groups = append(groups, job.state.Ready(now)...)
			return job.state.Over()
		})
		if len(groups) == 0 || now >= load.outageFromMs && now < load.outageUntilMs {
			continue
		}
		sort(groups, now)
		for _, a := range (&planner.Planner{}).Plan(groups, burstFleet(assignments)) {
			a.Task.Assign(a.Host.Key, a.Host.Name, a.Run, time.Duration(now+1)*time.Millisecond)
			end := (now + a.Task.Step().GetEstimateMs() + cycleMs - 1) / cycleMs * cycleMs
			ends[end] = append(ends[end], a.Task)
		}
	}
}

// burstFleet returns the hosts with the tasks that are assigned to them.
func burstFleet(assignments *tracker.Assignments) []*planner.Host {
	var hosts []*planner.Host
	for i := range burstHosts {
		host := newHost(fmt.Sprintf("host-%02d", i), burstCores)
		for _, task := range assignments.On(host.Key) {
			host.AddAssigned(task)
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// burstOutcome is what callers of one class got. Lateness is in seconds after the
// objective; LargestInTime is the share in time of the largest tenth by work.
type burstOutcome struct {
	Load          string  `json:"load"`
	Policy        string  `json:"policy"`
	Heavy         bool    `json:"heavy"`
	Jobs          int     `json:"jobs"`
	InTime        float64 `json:"in_time"`
	OfUse         float64 `json:"of_use"`
	Median        float64 `json:"median_lateness_s"`
	P99           float64 `json:"p99_lateness_s"`
	LargestInTime float64 `json:"largest_tenth_in_time"`
	LargestOfUse  float64 `json:"largest_tenth_of_use"`
}

// compareBurst plays the bursts of the seeds from 1 on under a policy and returns the
// outcomes of the short and the heavy class.
func compareBurst(load burstLoad, p policy, seeds uint64) [2]burstOutcome {
	var all [2][]*burstJob
	for seed := uint64(1); seed <= seeds; seed++ {
		jobs := burst(seed, load.load, load.shortShare)
		play(jobs, load, p.sort)
		for _, job := range jobs {
			class := 0
			if job.heavy {
				class = 1
			}
			all[class] = append(all[class], job)
		}
	}
	var outcomes [2]burstOutcome
	for class, jobs := range all {
		outcomes[class] = outcomeOf(jobs)
		outcomes[class].Load, outcomes[class].Policy, outcomes[class].Heavy = load.name, p.name, class == 1
	}
	return outcomes
}

func outcomeOf(jobs []*burstJob) burstOutcome {
	slices.SortFunc(jobs, func(a, b *burstJob) int { return cmp.Compare(b.work, a.work) })
	tenth := (len(jobs) + 9) / 10
	outcome := burstOutcome{Jobs: len(jobs)}
	var lateness []float64
	for i, job := range jobs {
		objective := float64(job.state.LongestPathMs())*job.spec.GetStretch() + float64(job.spec.GetObjectiveMs())
		took := float64(job.endMs - job.spec.GetAcceptedUnixMs())
		lateness = append(lateness, max(0, took-objective)/1000)
		// Ends are seen at cycles, which isn't held against the policy.
		if took <= objective+cycleMs {
			outcome.InTime += 1 / float64(len(jobs))
			if i < tenth {
				outcome.LargestInTime += 1 / float64(tenth)
			}
		}
		if took <= 3*objective {
			outcome.OfUse += 1 / float64(len(jobs))
			if i < tenth {
				outcome.LargestOfUse += 1 / float64(tenth)
			}
		}
	}
	slices.Sort(lateness)
	outcome.Median, outcome.P99 = lateness[len(lateness)/2], lateness[len(lateness)*99/100]
	return outcome
}

// BenchmarkComparison compares the orders of waiting steps on identical bursts
// (seeds 1 to 5) and prints a table by class. If COMPARISON_DIR is set, the
// outcomes are written to order.json in that directory. Run it with -benchtime 1x.
func BenchmarkComparison(b *testing.B) {
	for b.Loop() {
		var all []burstOutcome
		fmt.Printf("\n%-20s %-24s %-6s %5s %8s %7s %8s %8s %9s %9s\n", "load", "policy", "class", "jobs",
			"in time", "of use", "median", "p99", "large.in", "large.use")
		for _, load := range burstLoads {
			for _, p := range policies() {
				for _, o := range compareBurst(load, p, comparisonSeeds) {
					all = append(all, o)
					class := map[bool]string{false: "short", true: "heavy"}[o.Heavy]
					fmt.Printf("%-20s %-24s %-6s %5d %7.1f%% %6.1f%% %7.2fs %7.2fs %8.1f%% %8.1f%%\n", o.Load, o.Policy, class, o.Jobs,
						100*o.InTime, 100*o.OfUse, o.Median, o.P99, 100*o.LargestInTime, 100*o.LargestOfUse)
				}
			}
		}
		if dir := os.Getenv("COMPARISON_DIR"); dir != "" {
			data, err := json.MarshalIndent(map[string]any{
				"command": "make bench",
				"seeds":   comparisonSeeds,
				"results": all,
			}, "", "  ")
			assert.NilError(b, err)
			assert.NilError(b, os.WriteFile(filepath.Join(dir, "order.json"), data, 0o600))
		}
	}
}
