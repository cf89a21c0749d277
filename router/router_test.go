package router_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/router"
	"damaskspread.example/damaskspread/wire"
)

func endpoints(n, zones int) []damaskspread.Endpoint {
	list := make([]damaskspread.Endpoint, n)
	for i := range list {
		list[i] = damaskspread.Endpoint{
			Host:    fmt.Sprintf("h%d", i),
			Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
			Zone:    fmt.Sprintf("z%d", i%zones),
			Slots:   8,
		}
	}
	return list
}

func newRouter(n, zones int) (*router.Router, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	r := &router.Router{
		Clock: clock,
		Zone:  "z0",
		Seed:  1,
	}
	r.SetEndpoints("s", endpoints(n, zones))
	return r, clock
}

func countPicks(t *testing.T, r *router.Router, picks int, finish bool) map[string]int {
	t.Helper()
	seen := map[string]int{}
	for range picks {
		pick, ok := r.Pick("s", "")
		assert.Assert(t, ok)
		seen[pick.Host]++
		if finish {
			r.Done(pick, damaskspread.PickResult{
				Latency: time.Millisecond,
			})
		}
	}
	return seen
}

// Guards against requests that cross zones while the local zone has capacity,
// and against filling the local zone beyond its admission limit while other
// zones are idle.
func TestLocalZoneFirstThenSpillOver(t *testing.T) {
	r, _ := newRouter(12, 3)
	local := 0
	for range 16 {
		pick, _ := r.Pick("s", "")
		if pick.Zone == "z0" {
			local++
		}
	}
	assert.Equal(t, local, 16)
	remote := 0
	for range 60 {
		if pick, _ := r.Pick("s", ""); pick.Zone != "z0" {
			remote++
		}
	}
	assert.Assert(t, remote > 30, "remote %d", remote)
}

// Guards against an endpoint that receives all requests when it returns, because
// it is idle.
func TestReturnedEndpointStartsSlowly(t *testing.T) {
	r, clock := newRouter(10, 1)
	list := endpoints(10, 1)
	r.SetEndpoints("s", list[:9])
	clock.Advance(time.Minute)
	r.SetEndpoints("s", list)
	countPicks(t, r, 27, false) // the other nine have about three requests in flight each
	seen := countPicks(t, r, 20, false)
	assert.Assert(t, seen["h9"] <= 2, "%v", seen)
	clock.Advance(20 * time.Second)
	seen = countPicks(t, r, 100, true)
	assert.Assert(t, seen["h9"] > 5, "%v", seen)
}

// Guards against ejecting so many endpoints that the others are overloaded, and
// against an ejected endpoint that is never readmitted.
func TestEjectionIsBoundedAndEnds(t *testing.T) {
	r, clock := newRouter(10, 1)
	for range 500 {
		pick, _ := r.Pick("s", "")
		r.Done(pick, damaskspread.PickResult{
			Failed: true,
		})
	}
	assert.Equal(t, r.EjectedCount("s"), 3)
	clock.Advance(2 * time.Minute)
	countPicks(t, r, 1000, true)
	assert.Equal(t, r.EjectedCount("s"), 0)
}

// Guards against a slow endpoint that keeps its share of the requests.
func TestSlowEndpointIsEjected(t *testing.T) {
	r, _ := newRouter(10, 1)
	for range 2000 {
		pick, _ := r.Pick("s", "")
		latency := time.Millisecond
		if pick.Host == "h3" {
			latency = 50 * time.Millisecond
		}
		r.Done(pick, damaskspread.PickResult{
			Latency: latency,
		})
	}
	assert.Equal(t, r.EjectedCount("s"), 1)
	assert.Equal(t, countPicks(t, r, 200, true)["h3"], 0)
}

// Guards against picking an endpoint that reports a full queue, and against
// using a load report after it has expired.
func TestReportedLoad(t *testing.T) {
	r, clock := newRouter(2, 1)
	r.ObserveLoad("h0", &wire.EndpointLoad{
		Running: 8,
		Queued:  20,
		Limit:   8,
	})
	assert.Assert(t, countPicks(t, r, 100, true)["h0"] < 20)
	clock.Advance(3 * time.Second)
	assert.Assert(t, countPicks(t, r, 100, true)["h0"] > 20)
}

// Guards against refusals that count as fast responses, against an endpoint that
// attracts requests by returning empty responses, and against ejecting endpoints
// of a service whose responses are empty by design.
func TestRefusalsAndEmptyResponses(t *testing.T) {
	for name, c := range map[string]struct {
		result func(host string) damaskspread.PickResult
		want   int
	}{
		"refusals don't count as fast responses": {
			result: func(host string) damaskspread.PickResult {
				return damaskspread.PickResult{Latency: 20 * time.Millisecond, Refused: host != "h3"}
			},
		},
		"one endpoint with empty responses": {
			result: func(host string) damaskspread.PickResult {
				return damaskspread.PickResult{Latency: time.Millisecond, Empty: host == "h3"}
			},
			want: 1,
		},
		"a service with empty responses": {
			result: func(string) damaskspread.PickResult {
				return damaskspread.PickResult{Latency: time.Millisecond, Empty: true}
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := newRouter(4, 1)
			for range 1_000 {
				pick, _ := r.Pick("s", "")
				result := c.result(pick.Host)
				if result.Refused {
					result.Latency = 100 * time.Microsecond
				}
				r.Done(pick, result)
			}
			assert.Equal(t, r.EjectedCount("s"), c.want)
		})
	}
}

// Guards against ejecting an endpoint as slow because requests queue at it.
func TestQueuedLatencyDoesNotEject(t *testing.T) {
	r, _ := newRouter(10, 1)
	for range 2000 {
		pick, _ := r.Pick("s", "")
		latency := time.Millisecond
		if pick.Host == "h3" {
			latency = 50 * time.Millisecond
			r.ObserveLoad("h3", &wire.EndpointLoad{Running: 8, Queued: 20, Limit: 8})
		}
		r.Done(pick, damaskspread.PickResult{Latency: latency})
	}
	assert.Equal(t, r.EjectedCount("s"), 0)
}

// Guards against picking an endpoint often before its retry delay is over, and
// against assigned requests that don't count in the load of their endpoint. Equally
// loaded endpoints would get about 50 picks each.
func TestRetryAfterAndAssignedRequests(t *testing.T) {
	r, clock := newRouter(2, 1)
	pick, ok := r.Assign("h0")
	assert.Assert(t, ok)
	r.Done(pick, damaskspread.PickResult{Refused: true, RetryAfter: 100 * time.Millisecond})
	assert.Assert(t, countPicks(t, r, 100, true)["h0"] < 40)
	clock.Advance(100 * time.Millisecond)
	for range 8 {
		_, ok = r.Assign("h1")
		assert.Assert(t, ok)
	}
	assert.Assert(t, countPicks(t, r, 100, true)["h0"] > 80)
	_, ok = r.Assign("absent")
	assert.Assert(t, !ok)
}

// Guards against picking an endpoint that has said that it leaves, of which an entry that
// can't read the log learns from nothing else, and against a request without an endpoint
// if all leave.
func TestLeavingEndpoint(t *testing.T) {
	r, clock := newRouter(2, 1)
	leave := func(host string) {
		pick, ok := r.Assign(host)
		assert.Assert(t, ok)
		r.Done(pick, damaskspread.PickResult{Refused: true, Leaving: true})
	}
	leave("h0")
	assert.Equal(t, countPicks(t, r, 1000, true)["h0"], 0)
	clock.Advance(5 * time.Second)
	assert.Assert(t, countPicks(t, r, 100, true)["h0"] > 20)
	leave("h0")
	leave("h1")
	countPicks(t, r, 100, true)
}

// Guards against a retry at the endpoint that refused the first try.
func TestAvoid(t *testing.T) {
	r, _ := newRouter(2, 1)
	for range 50 {
		pick, _ := r.Pick("s", "h0")
		assert.Equal(t, pick.Host, "h1")
	}
	_, ok := r.Pick("absent", "")
	assert.Assert(t, !ok)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{1850, 3700, 7400} {
		pickers := map[string]damaskspread.EndpointPicker{}
		pickers["router"] = &router.Router{Clock: clockwork.NewRealClock(), Zone: "z0"}
		for name, rule := range map[string]router.Policy{
			"random": router.Random, "round_robin": router.RoundRobin, "least_loaded": router.LeastLoaded,
		} {
			p := &router.Baseline{Policy: rule}
			p.Clock = clockwork.NewRealClock()
			pickers[name] = p
		}
		for name, p := range pickers {
			p.SetEndpoints("s", endpoints(n, 10))
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					pick, _ := p.Pick("s", "")
					p.Done(pick, damaskspread.PickResult{Latency: time.Millisecond})
				}
			})
		}
	}
}

// Guards against a ReportedLoad that differs from the report that Pick uses.
func TestLoadIsTheLatestReport(t *testing.T) {
	r, _ := newRouter(2, 1)
	_, known := r.ReportedLoad("h0")
	assert.Assert(t, !known)
	r.ObserveLoad("h0", &wire.EndpointLoad{Running: 3})
	load, known := r.ReportedLoad("h0")
	assert.Assert(t, known && load.GetRunning() == 3)
}

// Guards against a division by zero that ends the entry process: the last endpoint
// of a service left while a request with an empty response was in flight.
func TestEmptyResponseAfterTheLastEndpointLeft(t *testing.T) {
	r, _ := newRouter(1, 1)
	for range 100 {
		pick, _ := r.Pick("s", "")
		r.Done(pick, damaskspread.PickResult{Latency: time.Millisecond, Empty: true})
	}
	pick, ok := r.Pick("s", "")
	assert.Assert(t, ok)
	r.SetEndpoints("s", nil)
	r.Done(pick, damaskspread.PickResult{Latency: time.Millisecond, Empty: true})
	assert.Equal(t, r.EjectedCount("s"), 0)
}
