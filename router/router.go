// Package router is the load balancer of an entry process: it picks the
// endpoint of each request by zone and load and ejects failing endpoints. It
// sends nothing; package dispatcher does.
//
// It owns the endpoints of each service, the load that they reported with
// responses and Sync, and the number of requests that this entry has in flight
// at each. It starts no goroutine. Pick takes no lock and allocates nothing: the
// set of endpoints is replaced as a whole, and the counters of an endpoint are
// atomic.
//
// Open question: each entry counts failures on its own, so an entry with little
// traffic ejects a failing endpoint later than the others.
package router

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

const (
	// maxReportAge is the age above which load reports are ignored: requests take
	// milliseconds, so the queue has changed since. It is longer than a Sync call,
	// which brings a report, waits by default (sync_wait).
	maxReportAge = 2 * time.Second
	// slowStartTime is the time after which an added or readmitted endpoint gets
	// its full share of requests. It spans several load reports.
	slowStartTime = 10 * time.Second
	// minSlowStartShare is the share of requests at which slow start begins. It is
	// enough to detect that the endpoint still fails.
	minSlowStartShare = 0.1
	// spilloverLoad is the load of a local endpoint, as a share of its admission
	// limit, from which requests spill over to other zones. At 1 the endpoint would
	// queue the request.
	spilloverLoad = 1.0
	// maxDraws is the largest number of random draws for one choice. With at most
	// maxEjectedShare of the endpoints ejected, all draws hit ejected ones in
	// under 0.1% of cases.
	maxDraws = 6
	// emptyCheckDraws is the number of other endpoints that are checked when
	// one returns mostly empty responses: a service may do so by design.
	emptyCheckDraws = 8
)

// Router is the zone-aware picker. It takes the less loaded of two random
// endpoints of the local zone, or of all zones if the local ones are full. It is
// safe for concurrent use. The exported fields are set before the first use.
type Router struct {
	Clock damaskspread.Clock
	// Zone is the entry's own zone.
	Zone string
	// Seed is the seed of the random draws.
	Seed uint64

	randomState atomic.Uint64
	once        sync.Once
	startedAt   time.Time
	mu          sync.Mutex // serializes writers of view
	view        atomic.Pointer[view]
}

var _ damaskspread.EndpointPicker = (*Router)(nil)

func (r *Router) start() {
	r.once.Do(func() {
		r.startedAt = r.Clock.Now()
		r.randomState.Store(r.Seed)
		r.view.Store(&view{
			services: map[string]*pool{},
			hosts:    map[string]*endpoint{},
		})
	})
}

// now returns the nanoseconds since the first use of the router plus 1, because
// 0 means that a time is not set.
func (r *Router) now() int64 { return int64(r.Clock.Since(r.startedAt)) + 1 }

// nextRandom returns a random number by SplitMix64, whose state needs only one
// atomic addition.
func (r *Router) nextRandom() uint64 {
	z := r.randomState.Add(0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// SetEndpoints implements damaskspread.EndpointPicker. An added endpoint gets a
// slow start, unless the service had no endpoint before.
func (r *Router) SetEndpoints(service string, endpoints []damaskspread.Endpoint) {
	r.start()
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.view.Load()
	previous := old.services[service]
	next := &pool{
		stats: &serviceStats{},
	}
	if previous != nil {
		next.stats = previous.stats
	}
	next.stats.size.Store(int32(len(endpoints)))
	noneBefore := previous == nil || len(previous.all) == 0
	kept := make(map[*endpoint]bool, len(endpoints))
	for _, spec := range endpoints {
		e := old.hosts[spec.Host]
		if e == nil || e.spec != spec || e.service != service {
			e = newEndpoint(service, spec, next.stats)
			if !noneBefore {
				e.slowStartFrom.Store(r.now())
			}
		}
		kept[e] = true
		next.all = append(next.all, e)
	}
	if previous != nil {
		for _, e := range previous.all {
			if !kept[e] {
				e.remove()
			}
		}
	}
	slices.SortStableFunc(next.all, func(a, b *endpoint) int { return r.zoneDistance(a) - r.zoneDistance(b) })
	next.localCount = 0
	for next.localCount < len(next.all) && r.zoneDistance(next.all[next.localCount]) == 0 {
		next.localCount++
	}
	r.view.Store(old.withPool(service, next))
}

// zoneDistance is 0 in the router's zone and 1 in others.
func (r *Router) zoneDistance(e *endpoint) int {
	if e.spec.Zone == r.Zone {
		return 0
	}
	return 1
}

// Pick implements damaskspread.EndpointPicker.
func (r *Router) Pick(service, avoid string) (damaskspread.Pick, bool) {
	r.start()
	p := r.view.Load().services[service]
	if p == nil || len(p.all) == 0 {
		return damaskspread.Pick{}, false
	}
	now := r.now()
	chosen, load := r.lessLoaded(p.all[:p.localCount], avoid, now)
	if chosen == nil || load >= spilloverLoad {
		// Full endpoints of all zones are compared by load alone. Preferring
		// local ones would give zones of different sizes unequal queues, and the
		// smallest zone would shed requests of its highest class.
		if other, otherLoad := r.lessLoaded(p.all, avoid, now); other != nil &&
			(chosen == nil || otherLoad <= load) {
			chosen = other
		}
	}
	if chosen == nil {
		chosen = r.undrawn(p, avoid, now)
	}
	return chosen.beginRequest(), true
}

// Assign implements damaskspread.EndpointPicker.
func (r *Router) Assign(host string) (damaskspread.Pick, bool) {
	r.start()
	e := r.view.Load().hosts[host]
	if e == nil {
		return damaskspread.Pick{}, false
	}
	return e.beginRequest(), true
}

// undrawn returns an endpoint when all draws were ejected, leaving or on the avoided host:
// the first one from a random one on that is none of these. Without one it returns one that
// is ejected or leaving, which may still respond, while a request without an endpoint fails.
func (r *Router) undrawn(p *pool, avoid string, now int64) *endpoint {
	start := int(r.nextRandom() % uint64(len(p.all)))
	for i := range p.all {
		e := p.all[(start+i)%len(p.all)]
		if e.spec.Host != avoid && e.mayBePicked(now) {
			return e
		}
	}
	if p.all[start].spec.Host != avoid {
		return p.all[start]
	}
	return p.other(avoid)
}

// lessLoaded draws random endpoints until two may be picked and returns the
// less loaded one with its load. It returns nil if none may be picked.
func (r *Router) lessLoaded(candidates []*endpoint, avoid string, now int64) (*endpoint, float64) {
	var best *endpoint
	var bestLoad float64
	found := 0
	for i := 0; i < maxDraws && found < 2 && len(candidates) > 0; i++ {
		e := candidates[r.nextRandom()%uint64(len(candidates))]
		if e == best || e.spec.Host == avoid || !e.mayBePicked(now) {
			continue
		}
		found++
		if load := e.load(now); best == nil || load < bestLoad {
			best, bestLoad = e, load
		}
	}
	return best, bestLoad
}

// Done implements damaskspread.EndpointPicker. It may eject the endpoint.
func (r *Router) Done(pick damaskspread.Pick, result damaskspread.PickResult) {
	e, ok := pick.Handle.(*endpoint)
	if !ok {
		return
	}
	e.inFlight.Add(-1)
	now := r.now()
	e.recordResult(result, now)
	if result.Empty && e.returnsEmpty() && r.othersReturnBodies(e) {
		e.eject(now)
	}
}

// othersReturnBodies reports whether most of a random sample of the service's
// other endpoints return bodies. The share of empty responses over the whole
// service would mislead, because a broken endpoint that responds fast serves most
// requests.
func (r *Router) othersReturnBodies(e *endpoint) bool {
	p := r.view.Load().services[e.service]
	if p == nil || len(p.all) == 0 {
		return false
	}
	checked, withBody := 0, 0
	for range emptyCheckDraws {
		other := p.all[r.nextRandom()%uint64(len(p.all))]
		if other == e || other.latencySamples.Load() == 0 {
			continue
		}
		checked++
		if other.emptyResponseShare.get() < normalEmptyShare {
			withBody++
		}
	}
	return 2*withBody > checked
}

// ObserveLoad implements damaskspread.LoadObserver. It ignores unknown hosts and
// a nil load.
func (r *Router) ObserveLoad(host string, load *wire.EndpointLoad) {
	r.start()
	if e := r.view.Load().hosts[host]; e != nil && load != nil {
		e.setLoadReport(load, r.now())
	}
}

// ReportedLoad returns the latest load that a host reported; false if the host is
// unknown or has not reported.
func (r *Router) ReportedLoad(host string) (*wire.EndpointLoad, bool) {
	r.start()
	e := r.view.Load().hosts[host]
	if e == nil {
		return nil, false
	}
	load := e.report.Load()
	return load, load != nil
}

// EjectedCount returns the number of ejected endpoints of a service.
func (r *Router) EjectedCount(service string) int {
	r.start()
	p := r.view.Load().services[service]
	if p == nil {
		return 0
	}
	return int(p.stats.ejected.Load())
}
