package planner_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/wire"
)

// Guards against a wide step that counts as one task although it runs in waves, and
// against executors of other services or labels that count for it.
func TestWaves(t *testing.T) {
	executor := func(service string, millicores int64, labels ...string) *wire.ExecutorInfo {
		return &wire.ExecutorInfo{
			Service:  service,
			Capacity: &wire.Resources{Millicores: millicores, MemoryBytes: 16 << 30, Accelerators: 1},
			Labels:   labels,
		}
	}
	capacities := &planner.Capacities{}
	for range 3 {
		capacities.Add(executor("render", 4000))
	}
	capacities.Add(executor("render", 2500, "fast"))
	capacities.Add(executor("other", 100_000, "fast"))

	for name, test := range map[string]struct {
		step  *wire.JobStep
		tasks int64
		want  int64
	}{
		"fits at once":       {step: &wire.JobStep{Resources: &wire.Resources{Millicores: 1000}}, tasks: 14, want: 1},
		"one too many":       {step: &wire.JobStep{Resources: &wire.Resources{Millicores: 1000}}, tasks: 15, want: 2},
		"many":               {step: &wire.JobStep{Resources: &wire.Resources{Millicores: 1000}}, tasks: 140, want: 10},
		"memory is short":    {step: &wire.JobStep{Resources: &wire.Resources{MemoryBytes: 8 << 30}}, tasks: 16, want: 2},
		"accelerators":       {step: &wire.JobStep{Resources: &wire.Resources{Accelerators: 1}}, tasks: 8, want: 2},
		"label":              {step: &wire.JobStep{RequiredLabel: "fast", Resources: &wire.Resources{Millicores: 1000}}, tasks: 4, want: 2},
		"anti-affinity":      {step: &wire.JobStep{AntiAffinity: 2}, tasks: 9, want: 2},
		"gang":               {step: &wire.JobStep{Gang: true, Resources: &wire.Resources{Millicores: 1000}}, tasks: 140, want: 1},
		"needs nothing":      {step: &wire.JobStep{}, tasks: 140, want: 1},
		"fits on no host":    {step: &wire.JobStep{Resources: &wire.Resources{Millicores: 5000}}, tasks: 140, want: 1},
		"nothing to be done": {step: &wire.JobStep{Resources: &wire.Resources{Millicores: 1000}}, tasks: 0, want: 1},
	} {
		assert.Equal(t, capacities.Waves("render", test.step, test.tasks), test.want, name)
	}
}
