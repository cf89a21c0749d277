package router_test

import (
	"slices"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/router"
)

var pickers = []struct {
	name string
	make func(clock damaskspread.Clock, zone string, seed uint64) damaskspread.EndpointPicker
}{
	{"ours", func(clock damaskspread.Clock, zone string, seed uint64) damaskspread.EndpointPicker {
		return &router.Router{Clock: clock, Zone: zone, Seed: seed}
	}},
	{"random", baseline(router.Random)},
	{"round robin", baseline(router.RoundRobin)},
	{"least loaded", baseline(router.LeastLoaded)},
}

func baseline(rule router.Policy) func(damaskspread.Clock, string, uint64) damaskspread.EndpointPicker {
	return func(clock damaskspread.Clock, zone string, seed uint64) damaskspread.EndpointPicker {
		return &router.Baseline{Router: router.Router{Clock: clock, Zone: zone, Seed: seed}, Policy: rule}
	}
}

// upperBound returns an upper bound for any picker: no queueing, the nearest
// endpoint, and no more work than the healthy endpoints can do in each second
// and the next.
func upperBound(d deployment, s scenario, calls []call) *figures {
	f := &figures{
		good: []int{0},
	}
	spareSeconds, second := 0.0, -1
	for _, c := range calls {
		if now := int(c.at / time.Second); now != second {
			// A request may run one second later and still meet its deadline.
			spareSeconds = min(spareSeconds, 0) + modelSlots*float64(healthyEndpointsAt(d, s, c.at))
			second = now
		}
		capacity := modelSlots * float64(healthyEndpointsAt(d, s, c.at))
		if spareSeconds+capacity < c.serviceTime.Seconds() {
			continue
		}
		spareSeconds -= c.serviceTime.Seconds()
		f.good[0]++
		if c.at >= faultTo && c.at < faultTo+2*time.Second {
			f.recovered++
		}
		latency := c.serviceTime + 2*d.toCaller + 2*d.withinZone
		f.latencies = append(f.latencies, latency)
		if c.class == 0 {
			f.firstClass = append(f.firstClass, latency)
		}
	}
	slices.Sort(f.latencies)
	slices.Sort(f.firstClass)
	return f
}

// healthyEndpointsAt returns the number of healthy endpoints. The first zone has
// one endpoint more than others if they don't divide evenly, hence rounded up.
func healthyEndpointsAt(d deployment, s scenario, at time.Duration) int {
	if at < faultFrom || at >= faultTo {
		return modelEndpoints
	}
	switch {
	case s.all:
		return 0
	case s.zone:
		return modelEndpoints - (modelEndpoints+d.zones-1)/d.zones
	case s.fault != healthy:
		return modelEndpoints - 1
	}
	return modelEndpoints
}
