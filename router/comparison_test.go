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

// result averages the seeds of one case.
type result struct {
	Deployment string             `json:"deployment"`
	Scenario   string             `json:"scenario"`
	Picker     string             `json:"picker"`
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

func compare(d deployment, s scenario, picker int, seeds []uint64) result {
	r := result{
		Deployment: d.name,
		Scenario:   s.name,
		Picker:     pickers[picker].name,
		Classes:    map[string]float64{},
	}
	n := float64(len(seeds))
	for _, seed := range seeds {
		calls := draw(d, s, seed)
		f := newModel(d, s, pickers[picker].make, seed).run(calls)
		total := float64(len(calls))
		r.P50 += quantile(f.latencies, 0.5) / n
		r.P99 += quantile(f.latencies, 0.99) / n
		r.P999 += quantile(f.latencies, 0.999) / n
		r.FirstP99 += quantile(f.first, 0.99) / n
		r.Goodput += float64(len(f.latencies)) / modelTime.Seconds() / n
		for i, class := range d.classes {
			r.Classes[class.name] += float64(f.good[i]) / float64(f.offered[i]) / n
		}
		r.Refused += float64(f.refused) / total / n
		r.Failed += float64(f.failed) / total / n
		r.Empty += float64(f.empty) / total / n
		r.Retries += float64(f.retries) / total / n
		r.Recovered += float64(f.recovered) / n
	}
	return r
}

func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[int(q*float64(len(sorted)-1))]) / float64(time.Millisecond)
}

// bound is what perfect knowledge allows: no queue, the nearest endpoint, and
// no more work than the healthy endpoints can do in each second.
func bound(d deployment, s scenario, seeds []uint64) result {
	r := result{
		Deployment: d.name,
		Scenario:   s.name,
		Picker:     "bound",
	}
	n := float64(len(seeds))
	for _, seed := range seeds {
		f := boundOf(d, s, draw(d, s, seed))
		r.P50 += quantile(f.latencies, 0.5) / n
		r.P99 += quantile(f.latencies, 0.99) / n
		r.P999 += quantile(f.latencies, 0.999) / n
		r.FirstP99 += quantile(f.first, 0.99) / n
		r.Goodput += float64(f.good[0]) / modelTime.Seconds() / n
		r.Recovered += float64(f.recovered) / n
	}
	return r
}

func printTable(results []result) {
	fmt.Printf("\n%-12s %-27s %-13s %7s %7s %8s %8s %8s %8s %7s %7s %7s %8s  %s\n", "deployment", "scenario", "picker",
		"p50 ms", "p99", "p99.9", "1st p99", "good/s", "refused", "failed", "empty", "retries", "recov.", "good by class")
	for _, r := range results {
		fmt.Printf("%-12s %-27s %-13s %7.1f %7.1f %8.1f %8.1f %8.0f %7.2f%% %6.2f%% %6.2f%% %6.2f%% %8.0f  %.3v\n", r.Deployment, r.Scenario, r.Picker,
			r.P50, r.P99, r.P999, r.FirstP99, r.Goodput, 100*r.Refused, 100*r.Failed, 100*r.Empty, 100*r.Retries, r.Recovered, r.Classes)
	}
}

// BenchmarkComparison compares the pickers on identical requests and prints a
// table. COMPARISON_DIR names a directory for the raw figures. Run it with
// -benchtime 1x.
func BenchmarkComparison(b *testing.B) {
	for b.Loop() {
		var all []result
		for _, d := range deployments {
			for _, s := range scenarios {
				for picker := range pickers {
					all = append(all, compare(d, s, picker, comparisonSeeds))
				}
				all = append(all, bound(d, s, comparisonSeeds))
			}
		}
		printTable(all)
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

// Guards against retries that make an outage worse, and against a recovery
// that is slower than the endpoints.
func TestOutageStaysWithinTheRetryBudget(t *testing.T) {
	for _, d := range deployments {
		s := scenarios[len(scenarios)-1]
		calls := draw(d, s, 1)
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
