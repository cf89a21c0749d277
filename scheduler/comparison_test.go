package scheduler_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/placer"
)

func variants() []variant {
	balanced := damaskspread.Objective{TailLatency: 1, BatchThroughput: 1, Evictions: 1}
	list := []variant{
		{name: "spread", estimates: true, objective: balanced},
		{name: "spread, tail latency x5", estimates: true, objective: damaskspread.Objective{TailLatency: 5, BatchThroughput: 1, Evictions: 1}},
		{name: "spread, batch and evictions x5", estimates: true, objective: damaskspread.Objective{TailLatency: 1, BatchThroughput: 5, Evictions: 5}},
		{name: "spread, immediate eviction", estimates: true, objective: damaskspread.Objective{TailLatency: 1}},
		{name: "spread, no interference model", objective: balanced},
		{name: "spread, no model, no ramp", objective: balanced, noRamp: true},
	}
	for _, order := range []placer.Order{placer.RandomOrder, placer.RoundRobin, placer.LeastLoaded, placer.FirstFit, placer.BestFit} {
		list = append(list, variant{
			name:  string(order),
			order: order,
		})
	}
	return list
}

var deployments = []deployment{
	{name: "atelier", zones: 4, cores: 16, memoryGB: 60},
	{name: "association", zones: 3, cores: 32, memoryGB: 120},
}

// runs returns one outcome for each seed from 1 to seeds.
func runs(d deployment, v variant, seeds int) []outcome {
	var list []outcome
	for seed := uint64(1); seed <= uint64(seeds); seed++ {
		o := newSimulation(d, v, seed).run(seed)
		o.Deployment, o.Variant, o.Seed = d.name, v.name, seed
		list = append(list, o)
	}
	return list
}

func average(runs []outcome) outcome {
	sum := outcome{
		Deployment: runs[0].Deployment,
		Variant:    runs[0].Variant,
	}
	n := float64(len(runs))
	for _, o := range runs {
		sum.Throughput += o.Throughput / n
		sum.Evictions += o.Evictions / n
		sum.Lost += o.Lost / n
		sum.Interference += o.Interference / n
		sum.Slowdown += o.Slowdown / n
		sum.UrgentMedian += o.UrgentMedian / n
		sum.UrgentWorst = max(sum.UrgentWorst, o.UrgentWorst)
		sum.ZoneWork += o.ZoneWork / n
		sum.ZoneUrgent = max(sum.ZoneUrgent, o.ZoneUrgent)
	}
	return sum
}

const comparisonSeeds = 5

// BenchmarkComparison compares the placement policies on identical inputs and
// prints a table of the averages. The columns are the fields of outcome in order;
// their JSON names have the units. If COMPARISON_DIR is set, the outcomes of all
// runs are written to placement.json in that directory. Run it with
// -benchtime 1x.
func BenchmarkComparison(b *testing.B) {
	for b.Loop() {
		var all []outcome
		fmt.Printf("\n%-12s %-31s %8s %7s %8s %7s %7s %7s %7s %8s %7s\n", "deployment", "variant",
			"batch/s", "evicted", "lost", "interf.", "p99", "urg.med", "urg.max", "zone/s", "zone.ur")
		for _, d := range deployments {
			for _, v := range variants() {
				list := runs(d, v, comparisonSeeds)
				all = append(all, list...)
				o := average(list)
				fmt.Printf("%-12s %-31s %8.2f %7.1f %8.1f %6.1f%% %7.2f %6.2fs %6.2fs %8.2f %6.2fs\n", o.Deployment, o.Variant,
					o.Throughput, o.Evictions, o.Lost, 100*o.Interference, o.Slowdown, o.UrgentMedian, o.UrgentWorst, o.ZoneWork, o.ZoneUrgent)
			}
		}
		if dir := os.Getenv("COMPARISON_DIR"); dir != "" {
			data, err := json.MarshalIndent(map[string]any{
				"command": "make bench",
				"seeds":   comparisonSeeds,
				"results": all,
			}, "", "  ")
			assert.NilError(b, err)
			assert.NilError(b, os.WriteFile(filepath.Join(dir, "placement.json"), data, 0o600))
		}
	}
}

// Guards against objective weights without an effect on the outcome, and against
// a default objective that is worse than no interference model.
func TestObjectiveWeightsChangeOutcome(t *testing.T) {
	all := variants()
	d := deployments[0]
	balanced, tail, batch, none := average(runs(d, all[0], 2)), average(runs(d, all[1], 2)), average(runs(d, all[2], 2)), average(runs(d, all[4], 2))
	// Any changed decision moves the 99th percentile of a single run by up to a
	// fifth, so the means over all seeds are compared.
	withModel, withoutModel := average(runs(d, all[0], comparisonSeeds)), average(runs(d, all[4], comparisonSeeds))
	t.Logf("interference: balanced %.3f, tail %.3f, batch %.3f, none %.3f", balanced.Interference, tail.Interference, batch.Interference, none.Interference)
	t.Logf("99th percentile of the slowdown: balanced %.2f, tail %.2f, batch %.2f, none %.2f", balanced.Slowdown, tail.Slowdown, batch.Slowdown, none.Slowdown)
	t.Logf("evictions: balanced %.0f, tail %.0f, batch %.0f", balanced.Evictions, tail.Evictions, batch.Evictions)
	assert.Assert(t, tail.Interference < balanced.Interference)
	t.Logf("all seeds: 99th percentile of the slowdown: balanced %.2f, none %.2f", withModel.Slowdown, withoutModel.Slowdown)
	assert.Assert(t, balanced.Interference < none.Interference)
	assert.Assert(t, withModel.Interference < withoutModel.Interference)
	assert.Assert(t, withModel.Slowdown < withoutModel.Slowdown)
	assert.Assert(t, batch.Evictions < tail.Evictions)
	assert.Assert(t, batch.Throughput > tail.Throughput)
	// Urgent tasks have to start within 4.8 s.
	assert.Assert(t, balanced.UrgentWorst <= 4.8)
}
