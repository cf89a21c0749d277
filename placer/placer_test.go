package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/placer"
	"damaskspread.example/damaskspread/wire"
)

var start = time.Unix(1_700_000_000, 0)

func hostIn(id, zone string, millicores, memoryGB, accelerators int64) *wire.HostState {
	return &wire.HostState{
		Spec: &wire.HostSpec{
			Host:       id,
			WorkerBoot: "boot-" + id,
			Zone:       zone,
			Rack:       "rack-" + id,
			Capacity:   resources(millicores, memoryGB, accelerators),
		},
	}
}

func resources(millicores, memoryGB, accelerators int64) *wire.Resources {
	return &wire.Resources{
		Millicores:   millicores,
		MemoryBytes:  memoryGB << 30,
		Accelerators: accelerators,
	}
}

func batch(id string, need *wire.Resources) *wire.TaskSpec {
	return &wire.TaskSpec{
		Task:          id,
		Team:          "team",
		Kind:          "render",
		Class:         wire.TaskClass_TASK_CLASS_BATCH,
		CanCheckpoint: true,
		Resources:     need,
	}
}

func spread(x *placer.Index, seed uint64) *placer.Spread {
	return &placer.Spread{
		Index:  x,
		Random: rand.New(rand.NewPCG(seed, 0)),
	}
}

func place(p damaskspread.PlacementPolicy, spec *wire.TaskSpec, avoid ...string) (damaskspread.Placement, error) {
	return p.Place(&damaskspread.PlacementTask{
		Spec:  spec,
		Avoid: avoid,
	}, start)
}

// Guards against using hosts with accelerators for tasks that don't need them, and
// against placing a task again on a host where it failed.
func TestPlacePrefersSuitableHosts(t *testing.T) {
	x := placer.NewIndex()
	x.SetHost(hostIn("plain", "z1", 16_000, 60, 0))
	x.SetHost(hostIn("accelerated", "z2", 16_000, 60, 4))
	for seed := range uint64(20) {
		p, err := place(spread(x, seed), batch("t", resources(1_000, 1, 0)))
		assert.NilError(t, err)
		assert.Equal(t, p.Host, "plain")
		p, err = place(spread(x, seed), batch("t", resources(1_000, 1, 0)), "plain")
		assert.NilError(t, err)
		assert.Equal(t, p.Host, "accelerated")
		p, err = place(spread(x, seed), batch("t", resources(1_000, 1, 0)), "plain", "accelerated")
		assert.NilError(t, err)
		assert.Equal(t, p.Host, "plain")
	}
}

// Guards against starting the whole queue at once in a zone that returned to
// service.
func TestReturnedZoneAdmitsBatchGradually(t *testing.T) {
	x := placer.NewIndex()
	x.RampTime = time.Minute
	x.SetHost(hostIn("a", "z1", 16_000, 60, 0))
	x.SetZone("z1", false, start)
	x.SetZone("z1", true, start)
	placed := 0
	for second := range 61 {
		for n := 0; ; n++ {
			spec := batch(fmt.Sprint(second, "-", n), resources(1_000, 1, 0))
			p, err := spread(x, 1).Place(&damaskspread.PlacementTask{
				Spec: spec,
			}, start.Add(time.Duration(second)*time.Second))
			if err != nil {
				break
			}
			x.Commit(spec, p.Host)
			placed++
			// The ramp admits 16 tasks of one processor in 60 s.
			assert.Assert(t, placed <= 2+second*16/60)
			assert.Assert(t, n < 2)
		}
	}
	assert.Equal(t, placed, 16)
}

// Guards against a batch task with a reservation that takes the capacity of
// victims evicted on the same host for an urgent task.
func TestCapacityFreedByVictimsGoesToUrgentTask(t *testing.T) {
	x := placer.NewIndex()
	x.SetHost(hostIn("a", "z1", 16_000, 60, 0))
	x.Commit(batch("stays", resources(8_000, 1, 0)), "a")
	x.Commit(batch("victim", resources(8_000, 1, 0)), "a")
	urgent := batch("urgent", resources(4_000, 1, 0))
	urgent.Class = wire.TaskClass_TASK_CLASS_LATENCY_CRITICAL
	x.Reserve(batch("waits", resources(6_000, 1, 0)), "a")
	x.Reserve(urgent, "a")
	x.Release("victim")
	_, _, _, ready := x.Reserved("waits")
	assert.Assert(t, !ready)
	_, _, _, ready = x.Reserved("urgent")
	assert.Assert(t, ready)
	x.SetZone("z1", false, start)
	_, _, usable, ready := x.Reserved("urgent")
	assert.Assert(t, !usable && !ready)
}
