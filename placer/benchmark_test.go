package placer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/estimator"
	"damaskspread.example/damaskspread/placer"
	"damaskspread.example/damaskspread/wire"
)

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
