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
	"damaskspread.example/damaskspread/wire"
)

// copyPolicy returns the indexes of the runs to copy. free is the number of free slots.
type copyPolicy struct {
	name   string
	choose func(candidates []planner.CopyCandidate, room *planner.CopyRoom, free int) []int
}

func copyPolicies() []copyPolicy {
	return []copyPolicy{
		{"none", func([]planner.CopyCandidate, *planner.CopyRoom, int) []int { return nil }},
		{"all late", copyAllLate},
		{"ChooseCopies", func(candidates []planner.CopyCandidate, room *planner.CopyRoom, _ int) []int {
			var chosen []int
			for _, choice := range planner.ChooseCopies(candidates, map[string]*planner.CopyRoom{copySimService: room}) {
				chosen = append(chosen, choice.Index)
			}
			return chosen
		}},
	}
}

// copyAllLate is a baseline: it copies each run that is over its expected time by half,
// while a slot is free.
func copyAllLate(candidates []planner.CopyCandidate, _ *planner.CopyRoom, free int) []int {
	var chosen []int
	for i, c := range candidates {
		if len(chosen) < free && c.Eligible && c.Elapsed > c.Expected*3/2 {
			chosen = append(chosen, i)
		}
	}
	return chosen
}

const (
	copySimService = "s"
	copySimHosts   = 40
	copySimSlots   = 4
	copySimJobs    = 400
	copySimStep    = 50 * time.Millisecond
	// copySimReports is the time between two reports of progress, copySimDelay their age.
	copySimReports = 500 * time.Millisecond
	copySimDelay   = 300 * time.Millisecond
	copySimTasks   = 20
	slotMillicores = 1000
)

// copyLoad is a load of jobs of up to copySimTasks tasks. tailOfTask makes the long run
// time of a task that of each run of it; otherwise each run draws anew.
type copyLoad struct {
	name       string
	use        float64
	tailOfTask bool
}

var copyLoads = []copyLoad{
	{"half used, tail by run", 0.5, false},
	{"half used, tail by task", 0.5, true},
	{"nine tenths used, tail by run", 0.9, false},
	{"overloaded, tail by run", 1.1, false},
}

type copyRun struct {
	task   *copyTask
	host   int
	begun  time.Duration
	length time.Duration
	// The first and the latest report of the progress.
	firstPercent, lastPercent int32
	firstAt, lastAt           time.Duration
}

// report notes the progress if a report is due.
func (r *copyRun) report(now time.Duration) {
	if now-r.lastAt < copySimReports && r.lastAt > 0 || now-r.begun < copySimDelay {
		return
	}
	r.lastPercent = int32(100 * (now - r.begun - copySimDelay) / r.length)
	r.lastAt = now
	if r.firstAt == 0 {
		r.firstPercent, r.firstAt = r.lastPercent, now
	}
}

type copyTask struct {
	job    *copyJob
	factor float64
	runs   int
	done   bool
}

type copyJob struct {
	name     string
	declared time.Duration
	arrived  time.Duration
	tasks    int
	open     int
	waiting  int
	took     time.Duration
}

// copySim is a service with hosts of unequal speed, of which one in twenty is slow.
type copySim struct {
	load   copyLoad
	policy copyPolicy
	random *rand.Rand
	speeds []float64
	free   []int
	queue  []*copyTask
	runs   []*copyRun
	jobs   []*copyJob
	now    time.Duration

	copies, won int
	// useful and total are slot-seconds of runs that completed their task, and of all.
	useful, total float64
}

// copyOutcome is what a policy made of a load.
type copyOutcome struct {
	Load   string `json:"load"`
	Policy string `json:"policy"`
	// Mean, P90 and P99 are of the time of a job over the declared time of one task.
	Mean   float64 `json:"mean"`
	P90    float64 `json:"p90"`
	P99    float64 `json:"p99"`
	Copies int     `json:"copies"`
	Won    int     `json:"won"`
	Wasted float64 `json:"wasted"`
}

func newCopySim(load copyLoad, policy copyPolicy, seed uint64) *copySim {
	s := &copySim{
		load:   load,
		policy: policy,
		random: rand.New(rand.NewPCG(seed, 3)),
	}
	for range copySimHosts {
		speed := 0.8 + 0.7*s.random.Float64()
		if s.random.Float64() < 0.05 {
			speed /= 4
		}
		s.speeds = append(s.speeds, speed)
		s.free = append(s.free, copySimSlots)
	}
	return s
}

// drawFactor draws the length of a run over its declared time: 3 in 100 take seven times
// as long.
func drawFactor(random *rand.Rand) float64 {
	factor := math.Exp(0.25 * random.NormFloat64())
	if random.Float64() < 0.03 {
		factor *= 7
	}
	return factor
}

// interval draws the time between two jobs.
func (s *copySim) interval(random *rand.Rand) time.Duration {
	const meanSeconds, meanTasks, meanFactor, meanSpeed = 2.4, (1 + copySimTasks) / 2.0, 1.22, 1.11
	perSecond := s.load.use * copySimHosts * copySimSlots * meanSpeed / (meanSeconds * meanTasks * meanFactor)
	return time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
}

func (s *copySim) run() {
	arrivals := rand.New(rand.NewPCG(s.random.Uint64(), 4))
	next := time.Duration(0)
	for len(s.jobs) < copySimJobs || len(s.runs) > 0 || len(s.queue) > 0 {
		for ; next <= s.now && len(s.jobs) < copySimJobs; next += s.interval(arrivals) {
			s.arrive(arrivals, next)
		}
		s.endRuns()
		s.start()
		if s.now%(4*copySimStep) == 0 {
			s.copy()
		}
		s.now += copySimStep
	}
}

func (s *copySim) arrive(random *rand.Rand, at time.Duration) {
	job := &copyJob{
		name:     fmt.Sprint(len(s.jobs)),
		declared: time.Duration(2 * math.Exp(0.6*random.NormFloat64()) * float64(time.Second)),
		arrived:  at,
		open:     1 + random.IntN(copySimTasks),
	}
	job.tasks, job.waiting = job.open, job.open
	s.jobs = append(s.jobs, job)
	for range job.open {
		s.queue = append(s.queue, &copyTask{
			job:    job,
			factor: drawFactor(random),
		})
	}
}

func (s *copySim) endRuns() {
	slices.SortStableFunc(s.runs, func(a, b *copyRun) int { return cmp.Compare(a.begun+a.length, b.begun+b.length) })
	for _, run := range s.runs {
		if run.task.done || run.begun+run.length > s.now {
			continue
		}
		run.task.done = true
		s.useful += run.length.Seconds()
		job := run.task.job
		if job.open--; job.open == 0 {
			job.took = run.begun + run.length - job.arrived
		}
		if run.task.runs > 1 && run != s.firstRun(run.task) {
			s.won++
		}
	}
	s.runs = slices.DeleteFunc(s.runs, func(run *copyRun) bool {
		if run.task.done {
			s.total += min(run.length, s.now-run.begun).Seconds()
			s.free[run.host]++
		}
		return run.task.done
	})
}

// firstRun returns the run of a task that began first.
func (s *copySim) firstRun(t *copyTask) *copyRun {
	var first *copyRun
	for _, run := range s.runs {
		if run.task == t && (first == nil || run.begun < first.begun) {
			first = run
		}
	}
	return first
}

// begin starts a run on the host with the most free slots other than not.
func (s *copySim) begin(t *copyTask, not int) bool {
	best := -1
	for host, free := range s.free {
		if host != not && free > 0 && (best < 0 || free > s.free[best]) {
			best = host
		}
	}
	if best < 0 {
		return false
	}
	factor := t.factor
	if t.runs > 0 && !s.load.tailOfTask {
		factor = drawFactor(s.random)
	}
	t.runs++
	s.free[best]--
	s.runs = append(s.runs, &copyRun{
		task:   t,
		host:   best,
		begun:  s.now,
		length: time.Duration(factor * float64(t.job.declared) / s.speeds[best]),
	})
	return true
}

func (s *copySim) start() {
	for len(s.queue) > 0 && s.begin(s.queue[0], -1) {
		s.queue[0].job.waiting--
		s.queue = s.queue[1:]
	}
}

func (s *copySim) copy() {
	free, used := 0, 0
	for _, slots := range s.free {
		free += slots
	}
	slot := &wire.Resources{Millicores: slotMillicores}
	candidates := make([]planner.CopyCandidate, len(s.runs))
	for i, run := range s.runs {
		run.report(s.now)
		candidates[i] = planner.CopyCandidate{
			Group:    run.task.job.name,
			Service:  copySimService,
			Request:  slot,
			Elapsed:  s.now - run.begun,
			Expected: run.task.job.declared,
			Waiting:  run.task.job.waiting,
			Done:     run.task.job.tasks - run.task.job.open,
			Eligible: run.task.runs == 1,

			Percent:    run.lastPercent,
			Progressed: run.lastPercent - run.firstPercent,
			ReportAge:  s.now - run.lastAt,
			Observed:   run.lastAt - run.firstAt,
		}
		if run.task.runs > 1 {
			used++
		}
	}
	room := &planner.CopyRoom{Waiting: len(s.queue) > 0}
	room.Capacity.Millicores = copySimHosts * copySimSlots * slotMillicores
	room.Free.Millicores = int64(free) * slotMillicores
	room.Copies.Millicores = int64(used/2) * slotMillicores
	for _, i := range s.policy.choose(candidates, room, free) {
		if s.begin(s.runs[i].task, s.runs[i].host) {
			s.copies++
		}
	}
}

func (s *copySim) outcome() copyOutcome {
	var took []float64
	sum := 0.0
	for _, job := range s.jobs {
		ratio := float64(job.took) / float64(job.declared)
		took = append(took, ratio)
		sum += ratio
	}
	slices.Sort(took)
	return copyOutcome{
		Load:   s.load.name,
		Policy: s.policy.name,
		Mean:   sum / float64(len(took)),
		P90:    took[len(took)*9/10],
		P99:    took[len(took)*99/100],
		Copies: s.copies,
		Won:    s.won,
		Wasted: 1 - s.useful/s.total,
	}
}

// copyComparison returns the means over the seeds 1 to seeds.
func copyComparison(load copyLoad, policy copyPolicy, seeds uint64) copyOutcome {
	mean := copyOutcome{Load: load.name, Policy: policy.name}
	for seed := range seeds {
		s := newCopySim(load, policy, seed+1)
		s.run()
		outcome := s.outcome()
		mean.Mean += outcome.Mean / float64(seeds)
		mean.P90 += outcome.P90 / float64(seeds)
		mean.P99 += outcome.P99 / float64(seeds)
		mean.Wasted += outcome.Wasted / float64(seeds)
		mean.Copies += outcome.Copies
		mean.Won += outcome.Won
	}
	return mean
}

// Guards against copies that don't shorten the jobs that a straggler holds back, that take
// room from first runs, or that waste more than the copies of all late runs.
func TestCopiesAgainstBaselines(t *testing.T) {
	const seeds = 2
	for _, load := range copyLoads {
		var by [3]copyOutcome
		for i, policy := range copyPolicies() {
			by[i] = copyComparison(load, policy, seeds)
		}
		none, allLate, chosen := by[0], by[1], by[2]
		assert.Assert(t, chosen.Mean <= 1.01*none.Mean, "%+v, without copies %+v", chosen, none)
		assert.Assert(t, chosen.Wasted <= allLate.Wasted+0.005, "%+v, baseline %+v", chosen, allLate)
		if load.use < 1 && !load.tailOfTask {
			assert.Assert(t, chosen.P90 < 0.85*none.P90, "%+v, without copies %+v", chosen, none)
		}
	}
}

// BenchmarkComparisonOfCopies compares ChooseCopies with no copies and with copies of all
// late runs on identical jobs (seeds 1 to 10) and prints a table. If COMPARISON_DIR is set,
// the outcomes are written to copies.json in that directory. Run it with -benchtime 1x.
func BenchmarkComparisonOfCopies(b *testing.B) {
	const seeds = 10
	for b.Loop() {
		var all []copyOutcome
		fmt.Printf("\n%-30s %-14s %6s %6s %6s %7s %6s %7s\n", "load", "policy", "mean", "p90", "p99", "copies", "won", "wasted")
		for _, load := range copyLoads {
			for _, policy := range copyPolicies() {
				o := copyComparison(load, policy, seeds)
				all = append(all, o)
				fmt.Printf("%-30s %-14s %6.2f %6.2f %6.2f %7d %6d %6.1f%%\n", o.Load, o.Policy, o.Mean, o.P90, o.P99, o.Copies, o.Won, 100*o.Wasted)
			}
		}
		if dir := os.Getenv("COMPARISON_DIR"); dir != "" {
			data, err := json.MarshalIndent(map[string]any{
				"command": "make bench",
				"seeds":   seeds,
				"results": all,
			}, "", "  ")
			assert.NilError(b, err)
			assert.NilError(b, os.WriteFile(filepath.Join(dir, "copies.json"), data, 0o600))
		}
	}
}
