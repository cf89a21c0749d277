package placer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"damaskspread.example/damaskspread"
)

// Order is how a Baseline picks among the hosts that fit.
type Order string

// Orders of the baselines.
const (
	RandomOrder Order = "random"
	RoundRobin  Order = "round_robin"
	LeastLoaded Order = "least_loaded"
	FirstFit    Order = "first_fit"
	BestFit     Order = "best_fit"
)

// Baseline is a simple policy to compare others with. It looks at every host.
type Baseline struct {
	Index  *Index
	Order  Order
	Random *rand.Rand

	next int
	fits []int
}

// Name is the policy's name in settings and tables.
func (p *Baseline) Name() string { return string(p.Order) }

// Place chooses a host.
func (p *Baseline) Place(task *damaskspread.PlacementTask, _ time.Time) (damaskspread.Placement, error) {
	need := amountOf(task.Spec.GetResources())
	p.fits = p.fits[:0]
	for i, h := range p.Index.ordered {
		if h.takes(need) && allows(task.Spec, h.zone.name) {
			p.fits = append(p.fits, i)
		}
	}
	if len(p.fits) == 0 {
		return damaskspread.Placement{}, p.Index.refusal(task.Spec, "")
	}
	h := p.Index.ordered[p.choose(need)]
	return damaskspread.Placement{
		Host:       h.id,
		WorkerBoot: h.boot,
		Reason:     fmt.Sprintf("%s of %d hosts that fit", p.Order, len(p.fits)),
	}, nil
}

func (p *Baseline) choose(need amount) int {
	switch p.Order {
	case RandomOrder:
		return p.fits[p.Random.IntN(len(p.fits))]
	case RoundRobin:
		chosen := p.fits[0]
		for _, i := range p.fits {
			if i >= p.next {
				chosen = i
				break
			}
		}
		p.next = chosen + 1
		return chosen
	case FirstFit:
		return p.fits[0]
	}
	best, least := p.fits[0], 0.0
	for n, i := range p.fits {
		h := p.Index.ordered[i]
		used := h.used.plus(need)
		load := max(share(used.millicores, h.capacity.millicores), share(used.memory, h.capacity.memory))
		if p.Order == BestFit {
			load = -load
		}
		if n == 0 || load < least {
			best, least = i, load
		}
	}
	return best
}
