package placer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"damaskspread.example/damaskspread"
)

// Order is the rule by which a Baseline picks one of the hosts that fit a task.
type Order string

// The orders. LeastLoaded and BestFit take the host with the lowest and the
// highest load, which is the larger of its shares of processors and memory.
// FirstFit and RoundRobin follow the order in which hosts were added.
const (
	RandomOrder Order = "random"
	RoundRobin  Order = "round_robin"
	LeastLoaded Order = "least_loaded"
	FirstFit    Order = "first_fit"
	BestFit     Order = "best_fit"
)

// Baseline is a simple policy for comparison with Spread. It considers every
// host. It is not safe for concurrent use.
type Baseline struct {
	Index  *Index
	Order  Order
	Random *rand.Rand

	nextIndex int
	fitting   []int
}

// Name returns the policy's name in settings and tables.
func (p *Baseline) Name() string { return string(p.Order) }

// Place implements damaskspread.PlacementPolicy. It ignores the time.
func (p *Baseline) Place(task *damaskspread.PlacementTask, _ time.Time) (damaskspread.Placement, error) {
	need := amountOf(task.Spec.GetResources())
	p.fitting = p.fitting[:0]
	for i, h := range p.Index.hostList {
		if h.canTake(need) && allows(task.Spec, h.zone.name) {
			p.fitting = append(p.fitting, i)
		}
	}
	if len(p.fitting) == 0 {
		return damaskspread.Placement{}, p.Index.refusal(task.Spec, "")
	}
	h := p.Index.hostList[p.pick(need)]
	return damaskspread.Placement{
		Host:       h.id,
		WorkerBoot: h.workerBoot,
		Reason:     fmt.Sprintf("%s of %d hosts that fit", p.Order, len(p.fitting)),
	}, nil
}

func (p *Baseline) pick(need amount) int {
	switch p.Order {
	case RandomOrder:
		return p.fitting[p.Random.IntN(len(p.fitting))]
	case RoundRobin:
		picked := p.fitting[0]
		for _, i := range p.fitting {
			if i >= p.nextIndex {
				picked = i
				break
			}
		}
		p.nextIndex = picked + 1
		return picked
	case FirstFit:
		return p.fitting[0]
	}
	bestIndex, lowestLoad := p.fitting[0], 0.0
	for n, i := range p.fitting {
		h := p.Index.hostList[i]
		used := h.used.plus(need)
		load := max(share(used.millicores, h.capacity.millicores), share(used.memory, h.capacity.memory))
		if p.Order == BestFit {
			load = -load
		}
		if n == 0 || load < lowestLoad {
			bestIndex, lowestLoad = i, load
		}
	}
	return bestIndex
}
