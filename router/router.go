// Package router chooses the endpoint of each request at an entry.
//
// It owns the entry's load view of the endpoints: what they reported with
// answers and Sync, plus the entry's own requests in flight. It starts no
// goroutine. Pick takes no lock and allocates nothing: the set of endpoints
// is replaced as a whole and the figures of an endpoint are atomic.
//
// Open question: the share of failures that ejects an endpoint is counted by
// each entry alone, so an entry with little traffic finds a failing endpoint
// later than the others.
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
	// A report older than two Sync periods says little about a queue of
	// requests that take milliseconds.
	freshFor = 2 * time.Second
	// slowStart spreads the return of an endpoint over several load reports.
	slowStart = 10 * time.Second
	// minRamp keeps enough traffic on a returning endpoint to judge it.
	minRamp = 0.1
	// Load of the local zone from which requests spill over, as a share of
	// the admission limit. At 1 the endpoint would queue the request.
	spillLoad = 1.0
	// samples bounds the draws per zone. With at most maxEjectedShare of the
	// endpoints ejected, all draws hit ejected ones in under 0.1% of cases.
	samples = 6
	// comparedEndpoints bounds the look at the others when one returns empty
	// responses; a service may do so by design.
	comparedEndpoints = 8
)

// Router is the zone-aware picker: two random endpoints of the local zone are
// compared, and of all zones if both are full.
type Router struct {
	Clock damaskspread.Clock
	// Zone is the entry's own zone.
	Zone string
	// Seed starts the random sequence.
	Seed uint64

	random atomic.Uint64
	once   sync.Once
	epoch  time.Time
	mu     sync.Mutex // serializes writers of view
	view   atomic.Pointer[view]
}

var _ damaskspread.EndpointPicker = (*Router)(nil)

type view struct {
	services map[string]*pool
	hosts    map[string]*endpoint
}

// pool holds the endpoints of a service, those of the local zone first.
type pool struct {
	all   []*endpoint
	local int
	group *group
}

// group holds the figures of a service that outlive a change of endpoints.
type group struct {
	size    atomic.Int32
	ejected atomic.Int32
	// Mean latency in microseconds.
	latency average
}

func (r *Router) start() {
	r.once.Do(func() {
		r.epoch = r.Clock.Now()
		r.random.Store(r.Seed)
		r.view.Store(&view{
			services: map[string]*pool{},
			hosts:    map[string]*endpoint{},
		})
	})
}

// now is the time since the start of the router; it is never zero.
func (r *Router) now() int64 { return int64(r.Clock.Since(r.epoch)) + 1 }

// next is one step of SplitMix64, which needs a single atomic addition.
func (r *Router) next() uint64 {
	z := r.random.Add(0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// SetEndpoints implements damaskspread.EndpointPicker. An endpoint that was
// not there before starts slowly, unless the service had none at all.
func (r *Router) SetEndpoints(service string, endpoints []damaskspread.Endpoint) {
	r.start()
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.view.Load()
	previous := old.services[service]
	next := &pool{
		group: &group{},
	}
	if previous != nil {
		next.group = previous.group
	}
	next.group.size.Store(int32(len(endpoints)))
	fresh := previous == nil || len(previous.all) == 0
	kept := make(map[*endpoint]bool, len(endpoints))
	for _, spec := range endpoints {
		e := old.hosts[spec.Host]
		if e == nil || e.spec != spec || e.service != service {
			e = newEndpoint(service, spec, next.group)
			if !fresh {
				e.rampFrom.Store(r.now())
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
	slices.SortStableFunc(next.all, func(a, b *endpoint) int { return r.distance(a) - r.distance(b) })
	next.local = 0
	for next.local < len(next.all) && r.distance(next.all[next.local]) == 0 {
		next.local++
	}
	r.view.Store(old.with(service, next))
}

func (r *Router) distance(e *endpoint) int {
	if e.spec.Zone == r.Zone {
		return 0
	}
	return 1
}

func (v *view) with(service string, changed *pool) *view {
	next := &view{
		services: make(map[string]*pool, len(v.services)+1),
		hosts:    make(map[string]*endpoint, len(v.hosts)),
	}
	for name, p := range v.services {
		next.services[name] = p
	}
	next.services[service] = changed
	for _, p := range next.services {
		for _, e := range p.all {
			next.hosts[e.spec.Host] = e
		}
	}
	return next
}

// Pick implements damaskspread.EndpointPicker.
func (r *Router) Pick(service, avoid string) (damaskspread.Pick, bool) {
	r.start()
	p := r.view.Load().services[service]
	if p == nil || len(p.all) == 0 {
		return damaskspread.Pick{}, false
	}
	now := r.now()
	chosen, load := r.better(p.all[:p.local], avoid, now)
	if chosen == nil || load >= spillLoad {
		// Among full endpoints the queues are of equal length and the local
		// ones have no advantage: zones of different sizes would get unequal
		// shares, and the smallest would shed its highest class.
		if other, otherLoad := r.better(p.all, avoid, now); other != nil &&
			(chosen == nil || otherLoad <= load) {
			chosen = other
		}
	}
	if chosen == nil {
		// Every draw was ejected or avoided; an ejected endpoint may still
		// answer, and a request without one certainly fails.
		chosen = p.all[r.next()%uint64(len(p.all))]
		if chosen.spec.Host == avoid && len(p.all) > 1 {
			chosen = p.other(avoid)
		}
	}
	return chosen.pick(), true
}

// Assign implements damaskspread.EndpointPicker.
func (r *Router) Assign(host string) (damaskspread.Pick, bool) {
	r.start()
	e := r.view.Load().hosts[host]
	if e == nil {
		return damaskspread.Pick{}, false
	}
	return e.pick(), true
}

func (p *pool) other(avoid string) *endpoint {
	for _, e := range p.all {
		if e.spec.Host != avoid {
			return e
		}
	}
	return p.all[0]
}

// better draws until it has two usable endpoints and returns the less loaded.
func (r *Router) better(candidates []*endpoint, avoid string, now int64) (*endpoint, float64) {
	var best *endpoint
	var bestLoad float64
	found := 0
	for i := 0; i < samples && found < 2 && len(candidates) > 0; i++ {
		e := candidates[r.next()%uint64(len(candidates))]
		if e == best || e.spec.Host == avoid || !e.usable(now) {
			continue
		}
		found++
		if load := e.load(now); best == nil || load < bestLoad {
			best, bestLoad = e, load
		}
	}
	return best, bestLoad
}

// Done implements damaskspread.EndpointPicker.
func (r *Router) Done(pick damaskspread.Pick, result damaskspread.PickResult) {
	e, ok := pick.Handle.(*endpoint)
	if !ok {
		return
	}
	e.inflight.Add(-1)
	now := r.now()
	e.judge(result, now)
	if result.Empty && e.mostlyEmpty() && r.othersFilled(e) {
		e.eject(now)
	}
}

// othersFilled reports whether most of a few other endpoints of the service
// return bodies. The share among all responses would mislead: an endpoint that
// answers fast draws the most requests.
func (r *Router) othersFilled(e *endpoint) bool {
	p := r.view.Load().services[e.service]
	if p == nil {
		return false
	}
	seen, filled := 0, 0
	for range comparedEndpoints {
		other := p.all[r.next()%uint64(len(p.all))]
		if other == e || other.sampled.Load() == 0 {
			continue
		}
		seen++
		if other.empty.get() < seldomEmpty {
			filled++
		}
	}
	return 2*filled > seen
}

// ObserveLoad implements damaskspread.LoadObserver.
func (r *Router) ObserveLoad(host string, load *wire.EndpointLoad) {
	r.start()
	if e := r.view.Load().hosts[host]; e != nil && load != nil {
		e.observe(load, r.now())
	}
}

// Load is the latest load that a host reported.
func (r *Router) Load(host string) (*wire.EndpointLoad, bool) {
	r.start()
	e := r.view.Load().hosts[host]
	if e == nil {
		return nil, false
	}
	load := e.reported.Load()
	return load, load != nil
}

// Ejected is the number of endpoints of a service that get no requests.
func (r *Router) Ejected(service string) int {
	r.start()
	p := r.view.Load().services[service]
	if p == nil {
		return 0
	}
	return int(p.group.ejected.Load())
}
