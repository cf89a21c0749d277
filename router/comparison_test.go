package router_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var comparisonSeeds = []uint64{1, 2, 3}

// result holds the figures of one run, or their means over the seeds.
type result struct {
	Deployment string             `json:"deployment"`
	Scenario   string             `json:"scenario"`
	Picker     string             `json:"picker"`
	Seed       uint64             `json:"seed"`
	P50        float64            `json:"p50_ms"`
	P99        float64            `json:"p99_ms"`
	P999       float64            `json:"p999_ms"`
	FirstP99   float64            `json:"first_class_p99_ms"`
	Goodput    float64            `json:"goodput_per_second"`
	Classes    map[string]float64 `json:"goodput_share_by_class"`
	Refused    float64            `json:"refused_share"`
	Failed     float64            `json:"failed_share"`
	Empty      float64            `json:"empty_share"`
	Retries    float64            `json:"retries_share"`
	Recovered  float64            `json:"good_in_2s_after_the_fault"`
}

func runScenario(d deployment, s scenario, picker int, seed uint64) result {
	calls := generateCalls(d, s, seed)
	f := newModel(d, s, pickers[picker].make, seed).run(calls)
	r := resultOf(d, s, pickers[picker].name, seed, f)
	total := float64(len(calls))
	for i, class := range d.classes {
		r.Classes[class.name] = float64(f.good[i]) / float64(f.offered[i])
	}
	r.Refused = float64(f.refused) / total
	r.Failed = float64(f.failed) / total
	r.Empty = float64(f.empty) / total
	r.Retries = float64(f.retries) / total
	return r
}

// resultOf returns a result without the shares of requests, and without classes.
func resultOf(d deployment, s scenario, picker string, seed uint64, f *figures) result {
	return result{
		Deployment: d.name,
		Scenario:   s.name,
		Picker:     picker,
		Seed:       seed,
		Classes:    map[string]float64{},
		P50:        quantile(f.latencies, 0.5),
		P99:        quantile(f.latencies, 0.99),
		P999:       quantile(f.latencies, 0.999),
		FirstP99:   quantile(f.firstClass, 0.99),
		Goodput:    float64(len(f.latencies)) / runTime.Seconds(),
		Recovered:  float64(f.recovered),
	}
}

func mean(runs []result) result {
	m, n := runs[0], float64(len(runs))
	m.Classes = map[string]float64{}
	average := func(field func(*result) *float64) {
		sum := 0.0
		for i := range runs {
			sum += *field(&runs[i])
		}
		*field(&m) = sum / n
	}
	for _, field := range []func(*result) *float64{
		func(r *result) *float64 { return &r.P50 }, func(r *result) *float64 { return &r.P99 },
		func(r *result) *float64 { return &r.P999 }, func(r *result) *float64 { return &r.FirstP99 },
		func(r *result) *float64 { return &r.Goodput }, func(r *result) *float64 { return &r.Recovered },
		func(r *result) *float64 { return &r.Refused }, func(r *result) *float64 { return &r.Failed },
		func(r *result) *float64 { return &r.Empty }, func(r *result) *float64 { return &r.Retries },
	} {
		average(field)
	}
	for _, r := range runs {
		for name, share := range r.Classes {
			m.Classes[name] += share / n
		}
	}
	return m
}

func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[int(q*float64(len(sorted)-1))]) / float64(time.Millisecond)
}

// printTable prints times in ms and counts in shares of all requests. "1st p99"
// is of the first class, "good/s" the good responses per second, and "recov." the
// good responses to requests of the 2 s after the fault.
func printTable(results []result) {
	fmt.Printf("\n%-12s %-27s %-13s %7s %7s %8s %8s %8s %8s %7s %7s %7s %8s  %s\n", "deployment", "scenario", "picker",
		"p50 ms", "p99", "p99.9", "1st p99", "good/s", "refused", "failed", "empty", "retries", "recov.", "good by class")
	for _, r := range results {
		fmt.Printf("%-12s %-27s %-13s %7.1f %7.1f %8.1f %8.1f %8.0f %7.2f%% %6.2f%% %6.2f%% %6.2f%% %8.0f  %.3v\n", r.Deployment, r.Scenario, r.Picker,
			r.P50, r.P99, r.P999, r.FirstP99, r.Goodput, 100*r.Refused, 100*r.Failed, 100*r.Empty, 100*r.Retries, r.Recovered, r.Classes)
	}
}

// BenchmarkComparison compares the pickers on identical requests and prints a
// table of means, with an upper bound as the last picker. COMPARISON_DIR names a
// directory for the figures of each run; none are written if it is empty. Run it
// with -benchtime 1x.
func BenchmarkComparison(b *testing.B) {
	for b.Loop() {
		var all, means []result
		for _, d := range deployments {
			for _, s := range scenarios {
				for picker := range len(pickers) + 1 {
					var runs []result
					for _, seed := range comparisonSeeds {
						if picker < len(pickers) {
							runs = append(runs, runScenario(d, s, picker, seed))
						} else {
							runs = append(runs, resultOf(d, s, "bound", seed, upperBound(d, s, generateCalls(d, s, seed))))
						}
					}
					all = append(all, runs...)
					means = append(means, mean(runs))
				}
			}
		}
		printTable(means)
		if dir := os.Getenv("COMPARISON_DIR"); dir != "" {
			data, err := json.MarshalIndent(map[string]any{
				"command": "make bench",
				"seeds":   comparisonSeeds,
				"results": all,
			}, "", "  ")
			assert.NilError(b, err)
			assert.NilError(b, os.WriteFile(filepath.Join(dir, "requests.json"), data, 0o600))
		}
	}
}

// Guards against retries that exceed the retry budget during an outage of all
// endpoints, and against requests that fail after the endpoints have recovered.
func TestOutageStaysWithinTheRetryBudget(t *testing.T) {
	for _, d := range deployments {
		s := scenarios[len(scenarios)-1]
		calls := generateCalls(d, s, 1)
		f := newModel(d, s, pickers[0].make, 1).run(calls)
		during, after := 0, 0
		for _, c := range calls {
			switch {
			case c.at >= faultFrom && c.at < faultTo:
				during++
			case c.at >= faultTo && c.at < faultTo+2*time.Second:
				after++
			}
		}
		budget := float64(during)*1.1 + float64(20*d.zones)
		assert.Assert(t, float64(f.outageTries) <= budget, "%d tries of %d requests", f.outageTries, during)
		assert.Assert(t, f.recovered >= after*99/100, "%d of %d requests after the outage", f.recovered, after)
	}
}
