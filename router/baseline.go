package router

import (
	"sync/atomic"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// Baseline is a picker without zone preference, ejection or slow start.
// Benchmarks compare Router with it. The embedded Router supplies the endpoints
// and their load.
type Baseline struct {
	Router
	Policy    Policy
	pickCount atomic.Uint64
}

// Policy is how a Baseline picks endpoints. The zero value is Random.
type Policy int

// Policies of a Baseline.
const (
	Random Policy = iota
	RoundRobin
	// LeastLoaded scans all endpoints for the lowest load. Entries that act on
	// the same load reports all choose the same endpoint.
	LeastLoaded
)

var _ damaskspread.EndpointPicker = (*Baseline)(nil)

// Pick implements damaskspread.EndpointPicker.
func (b *Baseline) Pick(service, avoid string) (damaskspread.Pick, bool) {
	b.start()
	p := b.view.Load().services[service]
	if p == nil || len(p.all) == 0 {
		return damaskspread.Pick{}, false
	}
	chosen := b.choose(p)
	if chosen.spec.Host == avoid {
		chosen = p.other(avoid)
	}
	return chosen.beginRequest(), true
}

func (b *Baseline) choose(p *pool) *endpoint {
	n := uint64(len(p.all))
	switch b.Policy {
	case RoundRobin:
		return p.all[b.pickCount.Add(1)%n]
	case LeastLoaded:
		now := b.now()
		best := p.all[0]
		for _, e := range p.all[1:] {
			if e.load(now) < best.load(now) {
				best = e
			}
		}
		return best
	default:
		return p.all[b.nextRandom()%n]
	}
}

// Done implements damaskspread.EndpointPicker. It ignores the result and never
// ejects an endpoint.
func (b *Baseline) Done(pick damaskspread.Pick, _ damaskspread.PickResult) {
	if e, ok := pick.Handle.(*endpoint); ok {
		e.inFlight.Add(-1)
	}
}

// ObserveLoad implements damaskspread.LoadObserver.
func (b *Baseline) ObserveLoad(host string, load *wire.EndpointLoad) {
	b.Router.ObserveLoad(host, load)
}
