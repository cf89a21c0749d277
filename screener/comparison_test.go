package screener_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

// limitWork is a baseline: it refuses jobs while the waiting work of the queue, with
// what was admitted since the estimate, takes longer than limit at the capacity, and
// names the time until it doesn't, spread over half of itself.
func limitWork(limit time.Duration) func(seed uint64) admission {
	return func(seed uint64) admission {
		random := rand.New(rand.NewPCG(seed, 3))
		var latest *wire.LoadEstimate
		admitted := 0.0
		return func(estimate *wire.LoadEstimate, _ time.Duration, job *wire.Job) (bool, time.Duration) {
			if estimate != latest {
				latest, admitted = estimate, 0
			}
			if estimate == nil {
				return true, 0
			}
			waiting := (estimate.GetQueues()[0].GetWaitingCoreS() + admitted) / cores
			excess := time.Duration(waiting*float64(time.Second)) - limit
			if excess <= 0 {
				admitted += coreSeconds(job)
				return true, 0
			}
			after := max(excess, time.Second)
			return false, after + time.Duration(random.Float64()*float64(after)/2)
		}
	}
}

// comparedPolicies are the baselines and package screener.
var comparedPolicies = []struct {
	name   string
	policy func(seed uint64) admission
}{
	{name: "all admitted", policy: admitAll},
	{name: "waiting work up to 2 s", policy: limitWork(2 * time.Second)},
	{name: "waiting work up to 4 s", policy: limitWork(4 * time.Second)},
	{name: "waiting work up to 8 s", policy: limitWork(8 * time.Second)},
	{name: "screened", policy: screen},
}

// comparedOutcome is what callers got under a policy, as numbers of jobs.
type comparedOutcome struct {
	Load     string             `json:"load"`
	Sizes    mix                `json:"sizes"`
	Policy   string             `json:"policy"`
	Jobs     int                `json:"jobs"`
	Accepted int                `json:"accepted"`
	InTime   int                `json:"in_time"`
	OfUse    int                `json:"of_use"`
	Late     int                `json:"late"`
	Refusals int                `json:"refusals"`
	GaveUp   int                `json:"gave_up"`
	Shares   map[string]float64 `json:"accepted_share_by_size"`
}

func compare(load float64, sizes mix, name string, policy func(seed uint64) admission) comparedOutcome {
	sum := playSeeds(load, sizes, orderCost, policy)
	compared := comparedOutcome{
		Load:     fmt.Sprintf("%.1f", load),
		Sizes:    sizes,
		Policy:   name,
		Accepted: sum.accepted,
		InTime:   sum.inTime,
		OfUse:    sum.useful,
		Late:     sum.late,
		Refusals: sum.refusals,
		GaveUp:   sum.gaveUp,
		Shares:   map[string]float64{},
	}
	for size, total := range sum.totalBySize {
		compared.Jobs += total
		compared.Shares[size] = sum.share(size)
	}
	return compared
}

// BenchmarkComparison compares admission policies on identical arrivals (the seeds of
// TestOverload) in the order of the planner and prints a table. If COMPARISON_DIR is
// set, the outcomes are written to admission.json in that directory. Run it with
// -benchtime 1x.
func BenchmarkComparison(b *testing.B) {
	for b.Loop() {
		var all []comparedOutcome
		fmt.Printf("\n| sizes | load | policy | jobs | accepted | in time | of use | late | refusals | gave up | accepted by size |\n")
		for _, sizes := range []mix{mixTwoSizes, mixSpread} {
			for _, load := range []float64{0.8, 1.2, 1.5, 2} {
				for _, p := range comparedPolicies {
					o := compare(load, sizes, p.name, p.policy)
					all = append(all, o)
					fmt.Printf("| %s | %s | %s | %d | %d | %d | %d | %d | %d | %d | %v |\n",
						o.Sizes, o.Load, o.Policy, o.Jobs, o.Accepted, o.InTime, o.OfUse, o.Late, o.Refusals, o.GaveUp, shares(o.Shares))
				}
			}
		}
		if dir := os.Getenv("COMPARISON_DIR"); dir != "" {
			data, err := json.MarshalIndent(map[string]any{
				"command": "make bench",
				"seeds":   overloadSeeds,
				"results": all,
			}, "", "  ")
			assert.NilError(b, err)
			assert.NilError(b, os.WriteFile(filepath.Join(dir, "admission.json"), data, 0o600))
		}
	}
}

// shares formats the shares accepted of small, large and largest jobs.
func shares(bySize map[string]float64) string {
	text := ""
	for _, size := range []string{"small", "large", "largest"} {
		if share, known := bySize[size]; known {
			text += fmt.Sprintf("%s %.0f%% ", size, 100*share)
		}
	}
	return strings.TrimSpace(text)
}
