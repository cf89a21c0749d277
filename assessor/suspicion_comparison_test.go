package assessor_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/assessor"
)

// suspicionSeeds are the seeds 1 to suspicionSeeds.
const suspicionSeeds = 10

var suspicionLoads = []suspicionLoad{
	{name: "a job of 200 fails", executors: 3, load: 0.4, large: 200},
	{name: "a job of 1,000 fails", executors: 12, load: 0.4, large: 1000},
	{name: "a fifth of the jobs fails", executors: 3, load: 0.4, brokenJobs: 0.2},
	{name: "a fifth of the jobs fails", executors: 12, load: 0.4, brokenJobs: 0.2},
	{name: "half of the jobs fail", executors: 12, load: 0.4, brokenJobs: 0.5},
	{name: "3% of the tasks fail", executors: 12, load: 0.4, brokenTasks: 0.03},
	{name: "one executor is broken", executors: 3, load: 0.4, brokenExecutors: 1, failingShare: 1},
	{name: "one executor is broken", executors: 12, load: 0.4, brokenExecutors: 1, failingShare: 1},
	{name: "one executor fails half", executors: 12, load: 0.4, brokenExecutors: 1, failingShare: 0.5},
	{name: "three executors are broken", executors: 12, load: 0.4, brokenExecutors: 3, failingShare: 1},
	{name: "one executor is broken, a fifth of the jobs fails", executors: 3, load: 0.4, brokenExecutors: 1, failingShare: 1, brokenJobs: 0.2},
	{name: "three executors are broken, a fifth of the jobs fails", executors: 12, load: 0.4, brokenExecutors: 3, failingShare: 1, brokenJobs: 0.2},
	{name: "one executor is broken, a job of 200 fails", executors: 3, load: 0.4, brokenExecutors: 1, failingShare: 1, large: 200},
	{name: "all executors are broken", executors: 3, load: 0.4, brokenExecutors: 3, failingShare: 1},
}

var suspicionRules = []struct {
	name string
	rule func() suspecting
}{
	{name: "two failures", rule: func() suspecting { return countFailures{} }},
	{name: "evidence", rule: func() suspecting { return &assessor.Failures{} }},
}

// suspicionOutcome is what callers of the sound jobs got, over all seeds.
type suspicionOutcome struct {
	Load      string  `json:"load"`
	Executors int     `json:"executors"`
	Rule      string  `json:"rule"`
	Jobs      int     `json:"sound_jobs"`
	GivenUp   int     `json:"given_up"`
	Wasted    int     `json:"wasted_starts"`
	P50       float64 `json:"p50_s"`
	P99       float64 `json:"p99_s"`
	Longest   float64 `json:"longest_s"`
}

func compareSuspicion(load suspicionLoad, name string, rule func() suspecting) suspicionOutcome {
	out := suspicionOutcome{
		Load:      load.name,
		Executors: load.executors,
		Rule:      name,
	}
	var times []time.Duration
	for seed := range suspicionSeeds {
		w := playSuspicion(load, rule(), uint64(seed+1))
		out.Wasted += w.wasted
		for _, job := range w.jobs {
			switch {
			case job.broken:
			case job.givenUp:
				out.GivenUp++
			case job.ended == 0:
				times = append(times, simulatedTime-job.arrived)
			default:
				times = append(times, job.ended-job.arrived)
			}
		}
	}
	slices.Sort(times)
	out.Jobs = len(times) + out.GivenUp
	out.P50 = times[len(times)/2].Seconds()
	out.P99 = times[len(times)*99/100].Seconds()
	out.Longest = times[len(times)-1].Seconds()
	return out
}

// BenchmarkComparison compares the rules on identical arrivals and prints a table. If
// COMPARISON_DIR is set, the outcomes are written to suspicion.json in that directory. Run
// it with -benchtime 1x.
func BenchmarkComparison(b *testing.B) {
	for b.Loop() {
		var all []suspicionOutcome
		fmt.Printf("\n| load | executors | suspect after | sound jobs | given up | wasted starts | p50 s | p99 s | longest s |\n")
		for _, load := range suspicionLoads {
			for _, compared := range suspicionRules {
				o := compareSuspicion(load, compared.name, compared.rule)
				all = append(all, o)
				fmt.Printf("| %s | %d | %s | %d | %d | %d | %.2f | %.2f | %.2f |\n",
					o.Load, o.Executors, o.Rule, o.Jobs, o.GivenUp, o.Wasted, o.P50, o.P99, o.Longest)
			}
		}
		if dir := os.Getenv("COMPARISON_DIR"); dir != "" {
			data, err := json.MarshalIndent(map[string]any{
				"command": "make bench",
				"seeds":   suspicionSeeds,
				"results": all,
			}, "", "  ")
			assert.NilError(b, err)
			assert.NilError(b, os.WriteFile(filepath.Join(dir, "suspicion.json"), data, 0o600))
		}
	}
}
