package placer_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/estimator"
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

// refusalCase is a task that no host of z1 and z2 takes.
type refusalCase struct {
	spec    *wire.TaskSpec
	prepare func(*placer.Index)
	binding damaskspread.Binding
	never   bool
}

var refusalCases = map[string]refusalCase{
	"too many processors": {
		spec:    batch("t", resources(32_000, 1, 0)),
		binding: damaskspread.BindingMillicores,
		never:   true,
	},
	"too much memory": {
		spec:    batch("t", resources(1_000, 100, 0)),
		binding: damaskspread.BindingMemory,
		never:   true,
	},
	"processors in use": {
		spec: batch("t", resources(9_000, 1, 0)),
		prepare: func(x *placer.Index) {
			x.Commit(batch("1", resources(8_000, 1, 0)), "a")
			x.Commit(batch("2", resources(8_000, 1, 0)), "b")
		},
		binding: damaskspread.BindingMillicores,
	},
	"no accelerators": {
		spec:    batch("t", resources(1_000, 1, 1)),
		binding: damaskspread.BindingAccelerators,
		never:   true,
	},
	"unknown zone": {
		spec: &wire.TaskSpec{
			Resources: resources(1, 1, 0),
			Zones:     []string{"elsewhere"},
		},
		binding: damaskspread.BindingZone,
		never:   true,
	},
	"zones out": {
		spec: batch("t", resources(1, 1, 0)),
		prepare: func(x *placer.Index) {
			x.SetZone("z1", false, start)
			x.SetZone("z2", false, start)
		},
		binding: damaskspread.BindingZone,
	},
	"quarantined": {
		spec: batch("t", resources(1, 1, 0)),
		prepare: func(x *placer.Index) {
			x.SetAdmission("a", placer.Quarantined)
			x.SetAdmission("b", placer.Quarantined)
		},
		binding: damaskspread.BindingQuarantine,
	},
	"headroom": {
		spec: &wire.TaskSpec{
			Task:      "t",
			Class:     wire.TaskClass_TASK_CLASS_BATCH,
			Resources: resources(10_000, 1, 0),
		},
		prepare: func(x *placer.Index) {
			for _, id := range []string{"a", "b"} {
				urgent := batch("u"+id, resources(6_000, 1, 0))
				urgent.Class = wire.TaskClass_TASK_CLASS_LATENCY_CRITICAL
				x.Commit(urgent, id)
			}
		},
		binding: damaskspread.BindingHeadroom,
	},
}

// Guards against a refusal with the wrong binding constraint, or with Never set
// for a task that only has to wait.
func TestRefusalNamesTheBindingConstraint(t *testing.T) {
	for name, c := range refusalCases {
		t.Run(name, func(t *testing.T) {
			x := placer.NewIndex()
			x.SetHost(hostIn("a", "z1", 16_000, 60, 0))
			x.SetHost(hostIn("b", "z2", 16_000, 60, 0))
			if c.prepare != nil {
				c.prepare(x)
			}
			_, err := place(spread(x, 1), c.spec)
			var refused *damaskspread.PlacementRefusedError
			assert.Assert(t, errors.As(err, &refused))
			assert.Equal(t, refused.Binding, c.binding, refused.Detail)
			assert.Equal(t, refused.Never, c.never, refused.Detail)
		})
	}
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

// BenchmarkPlace measures placing and releasing one task, with interference
// estimates. The hosts run as many tasks per host as at the target size of 3,100
// hosts and 35,400 tasks. median-ns is the median time of Place.
func BenchmarkPlace(b *testing.B) {
	for _, hosts := range []int{775, 1550, 3100} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			x := placer.NewIndex()
			e := &estimator.Estimator{
				Clock: clockwork.NewFakeClockAt(start),
			}
			for i := range hosts {
				state := hostIn(fmt.Sprint("h", i), fmt.Sprint("z", i%10), 32_000, 120, int64(i%2*3))
				state.Spec.Rack = fmt.Sprint("rack", i/3)
				state.Spec.Endpoint = &wire.EndpointSpec{
					Service: "service",
				}
				x.SetHost(state)
				e.SetHost(state.GetSpec())
			}
			p := spread(x, 1)
			p.Interference = e
			random := rand.New(rand.NewPCG(2, 0))
			for i := range hosts * 35_400 / 3_100 {
				spec := batch(fmt.Sprint("r", i), resources(500+random.Int64N(3_000), 1+random.Int64N(10), 0))
				spec.Team = fmt.Sprint("team", i%680)
				placed, err := place(p, spec)
				assert.NilError(b, err)
				x.Commit(spec, placed.Host)
				e.Started(spec, placed.Host, int64(i))
				e.ObserveLoad(placed.Host, &wire.EndpointLoad{
					Running:       int32(i % 8),
					Limit:         8,
					ServiceTimeUs: 1_000 + int64(i%1_000),
				})
			}
			durations := make([]time.Duration, 0, 1<<20)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				spec := batch("new", resources(500+random.Int64N(3_000), 1+random.Int64N(10), 0))
				spec.Team = fmt.Sprint("team", i%680)
				began := time.Now()
				placed, err := place(p, spec)
				durations = append(durations, time.Since(began))
				if err == nil {
					x.Commit(spec, placed.Host)
					x.Release("new")
				}
			}
			b.ReportMetric(float64(median(durations).Nanoseconds()), "median-ns/decision")
		})
	}
}

// BenchmarkRefusal measures a refused placement when all hosts are full.
func BenchmarkRefusal(b *testing.B) {
	for _, hosts := range []int{775, 1550, 3100} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) { benchmarkRefusal(b, hosts) })
	}
}

func benchmarkRefusal(b *testing.B, hosts int) {
	x := placer.NewIndex()
	for i := range hosts {
		x.SetHost(hostIn(fmt.Sprint("h", i), fmt.Sprint("z", i%10), 32_000, 120, 0))
		x.Commit(batch(fmt.Sprint("r", i), resources(31_000, 100, 0)), fmt.Sprint("h", i))
	}
	p := spread(x, 1)
	spec := batch("new", resources(2_000, 1, 0))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := place(p, spec); err == nil {
			b.Fatal("placed on a full host")
		}
	}
}

func median(durations []time.Duration) time.Duration {
	slices.Sort(durations)
	return durations[len(durations)/2]
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

// Guards against two faults of refusals in large clusters, where hosts are
// sampled: reporting a quarantine although a host outside the sample is available,
// and losing hosts whose capacity changed.
func TestRefusalInLargeCluster(t *testing.T) {
	x := placer.NewIndex()
	for i := range 1_000 {
		id := fmt.Sprint("h", i)
		x.SetHost(hostIn(id, fmt.Sprint("z", i%10), 8_000, 30, 0))
		x.SetHost(hostIn(id, fmt.Sprint("z", i%10), 16_000, 60, 0))
		if i != 11 {
			x.SetAdmission(id, placer.Quarantined)
		}
	}
	x.Commit(batch("full", resources(16_000, 1, 0)), "h11")
	for cores, want := range map[int64]damaskspread.Binding{
		1_000:  damaskspread.BindingMillicores,
		16_001: damaskspread.BindingMillicores,
	} {
		_, err := place(spread(x, 1), batch("new", resources(cores, 1, 0)))
		var refused *damaskspread.PlacementRefusedError
		assert.Assert(t, errors.As(err, &refused))
		assert.Equal(t, refused.Binding, want, "%v", err)
		assert.Equal(t, refused.Never, cores > 16_000, "%v", err)
	}
	x.SetAdmission("h11", placer.Quarantined)
	_, err := place(spread(x, 1), batch("new", resources(1_000, 1, 0)))
	assert.ErrorContains(t, err, "the 1000 hosts that could hold the task are quarantined")
}
