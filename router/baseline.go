package router

import (
	"sync/atomic"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// Baseline is a picker without zones, ejection or slow start. It exists to
// compare Router with.
type Baseline struct {
	Router
	Rule  Rule
	index atomic.Uint64
}

// Rule is the choice rule of a baseline picker.
type Rule int

// Rules of baseline pickers.
const (
	Random Rule = iota
	RoundRobin
	// LeastLoaded scans every endpoint, so all entries choose the same one.
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
	return chosen.pick(), true
}

func (b *Baseline) choose(p *pool) *endpoint {
	n := uint64(len(p.all))
	switch b.Rule {
	case RoundRobin:
		return p.all[b.index.Add(1)%n]
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
		return p.all[b.next()%n]
	}
}

// Done implements damaskspread.EndpointPicker. It never ejects.
func (b *Baseline) Done(pick damaskspread.Pick, _ damaskspread.PickResult) {
	if e, ok := pick.Handle.(*endpoint); ok {
		e.inflight.Add(-1)
	}
}

// ObserveLoad implements damaskspread.LoadObserver.
func (b *Baseline) ObserveLoad(host string, load *wire.EndpointLoad) {
	b.Router.ObserveLoad(host, load)
}
