package router

import "sync/atomic"

// view is an immutable set of the endpoints of all services.
type view struct {
	services map[string]*pool
	hosts    map[string]*endpoint
}

// pool holds the endpoints of a service. The first localCount are in the router's
// zone.
type pool struct {
	all        []*endpoint
	localCount int
	stats      *serviceStats
}

// serviceStats holds the counters of a service that are kept when its endpoints
// change.
type serviceStats struct {
	size    atomic.Int32
	ejected atomic.Int32
	// Mean latency in microseconds.
	latency average
}

// withPool returns a copy in which the pool of a service is replaced.
func (v *view) withPool(service string, changed *pool) *view {
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

// other returns an endpoint that is not on the host avoid, if there is one.
func (p *pool) other(avoid string) *endpoint {
	for _, e := range p.all {
		if e.spec.Host != avoid {
			return e
		}
	}
	return p.all[0]
}
