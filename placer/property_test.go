package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/placer"
	"damaskspread.example/damaskspread/wire"
)

type hostUsage struct {
	capacity, used *wire.Resources
}

// Guards against an index that miscounts free capacity: no policy may exceed a
// host's capacity, or refuse a task that fits a host.
func TestPoliciesStayWithinHostCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := placer.NewIndex()
		hosts := map[string]*hostUsage{}
		for i := range rapid.IntRange(1, 8).Draw(t, "hosts") {
			state := hostIn(fmt.Sprint("h", i), fmt.Sprint("z", i%3), rapid.Int64Range(1_000, 32_000).Draw(t, "cores"),
				rapid.Int64Range(1, 64).Draw(t, "memory"), rapid.Int64Range(0, 2).Draw(t, "accelerators"))
			x.SetHost(state)
			hosts[state.GetSpec().GetHost()] = &hostUsage{
				capacity: state.GetSpec().GetCapacity(),
				used:     &wire.Resources{},
			}
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		policies := []damaskspread.PlacementPolicy{spread(x, 1)}
		for _, order := range []placer.Order{placer.RandomOrder, placer.RoundRobin, placer.LeastLoaded, placer.FirstFit, placer.BestFit} {
			policies = append(policies, &placer.Baseline{
				Index:  x,
				Order:  order,
				Random: random,
			})
		}
		placed := map[string]string{}
		specs := map[string]*wire.TaskSpec{}
		for i := range rapid.IntRange(1, 60).Draw(t, "tasks") {
			for id, host := range placed {
				if rapid.IntRange(0, 5).Draw(t, "release") == 0 {
					x.Release(id)
					addResources(hosts[host].used, specs[id].GetResources(), -1)
					delete(placed, id)
				}
				break
			}
			spec := batch(fmt.Sprint("t", i), resources(rapid.Int64Range(0, 12_000).Draw(t, "need"),
				rapid.Int64Range(0, 20).Draw(t, "memory need"), rapid.Int64Range(0, 1).Draw(t, "accelerator need")))
			p, err := place(policies[i%len(policies)], spec)
			if err != nil {
				for id, h := range hosts {
					if fits(h, spec.GetResources()) {
						t.Fatalf("refused with %v although the task fits host %s", err, id)
					}
				}
				continue
			}
			if !fits(hosts[p.Host], spec.GetResources()) {
				t.Fatalf("policy %s exceeds the capacity of host %s", policies[i%len(policies)].Name(), p.Host)
			}
			x.Commit(spec, p.Host)
			addResources(hosts[p.Host].used, spec.GetResources(), 1)
			placed[spec.GetTask()], specs[spec.GetTask()] = p.Host, spec
		}
	})
}

func addResources(total, part *wire.Resources, sign int64) {
	total.Millicores += sign * part.GetMillicores()
	total.MemoryBytes += sign * part.GetMemoryBytes()
	total.Accelerators += sign * part.GetAccelerators()
}

func fits(h *hostUsage, need *wire.Resources) bool {
	return h.used.GetMillicores()+need.GetMillicores() <= h.capacity.GetMillicores() &&
		h.used.GetMemoryBytes()+need.GetMemoryBytes() <= h.capacity.GetMemoryBytes() &&
		h.used.GetAccelerators()+need.GetAccelerators() <= h.capacity.GetAccelerators()
}
