package router_test

import (
	"math"
	"math/rand/v2"
	"time"
)

// class is a priority class of requests. A lower index is a higher class.
type class struct {
	name            string
	shareOfRequests float64
	timeout         time.Duration
	idempotent      bool
}

// deployment has one entry per zone. The times are one-way network delays
// between zones, within a zone, and between caller and entry.
type deployment struct {
	name                               string
	zones                              int
	betweenZones, withinZone, toCaller time.Duration
	classes                            []class
}

var deployments = []deployment{
	{
		name: "atelier", zones: 4, betweenZones: 1500 * time.Microsecond, withinZone: 200 * time.Microsecond, toCaller: time.Millisecond,
		classes: []class{{"preview", 0.5, time.Second, true}, {"render", 0.35, 2 * time.Second, false}, {"watcher", 0.15, 2 * time.Second, false}},
	},
	{
		name: "association", zones: 3, betweenZones: time.Millisecond, withinZone: 200 * time.Microsecond, toCaller: 3 * time.Millisecond,
		classes: []class{{"counter", 0.5, time.Second, true}, {"closure", 0.35, 2 * time.Second, false}, {"ledger", 0.15, 2 * time.Second, false}},
	},
}

// scenario sets the offered load as a share of the capacity, and a fault.
type scenario struct {
	name string
	load float64
	// fault is the mode of the first endpoint while the fault lasts.
	fault mode
	zone  bool // the first zone leaves instead; fault is not set
	all   bool // fault applies to all endpoints
}

// mode is how an endpoint behaves.
type mode int

const (
	healthy mode = iota
	slow
	failing
	empty
	down
)

var scenarios = []scenario{
	{name: "steady load", load: 0.6},
	{name: "one slow endpoint", load: 0.6, fault: slow},
	{name: "one failing endpoint", load: 0.6, fault: failing},
	{name: "one endpoint returns empty", load: 0.6, fault: empty},
	{name: "a zone leaves and returns", load: 0.6, zone: true},
	{name: "twice the capacity", load: 2},
	{name: "outage and recovery", load: 0.6, fault: down, all: true},
}

// call is one request. All pickers get the same calls.
type call struct {
	at          time.Duration
	entry       int
	class       int
	serviceTime time.Duration
	deadline    time.Duration
	tries       int
	mayHaveRun  bool
}

// generateCalls returns the calls of a run: Poisson arrivals with log-normal
// service times of mean meanServiceTime.
func generateCalls(d deployment, s scenario, seed uint64) []call {
	random := rand.New(rand.NewPCG(seed, 5))
	rate := s.load * modelEndpoints * modelSlots / meanServiceTime.Seconds()
	const sigma = 0.6
	var calls []call
	for at := 0.0; ; {
		at += random.ExpFloat64() / rate
		c := call{
			at:          time.Duration(at * float64(time.Second)),
			entry:       random.IntN(d.zones),
			serviceTime: time.Duration(float64(meanServiceTime) * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2)),
		}
		if c.at >= runTime {
			return calls
		}
		for share := random.Float64() - d.classes[0].shareOfRequests; share > 0 && c.class < len(d.classes)-1; c.class++ {
			share -= d.classes[c.class+1].shareOfRequests
		}
		c.deadline = c.at + d.classes[c.class].timeout
		calls = append(calls, c)
	}
}
