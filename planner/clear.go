package planner

import (
	"math"
	"slices"

	"damaskspread.example/damaskspread/wire"
)

const (
	// scoreKeptClear is the score for a serving task of a host that is kept clear of
	// them. It is below the one of a host that serves another image, so that such a host
	// serves only what fits nowhere else, or what the best-effort tasks of the others
	// would slow down by more than the difference.
	scoreKeptClear = -6.0
	// weightHarmless makes a best-effort task that is known to interfere with none of
	// the serving tasks of a host prefer it to the hosts that are kept clear, as long as
	// they are not much faster.
	weightHarmless = 1.0
)

// keepClear marks the hosts that are kept clear of serving tasks: of each service, the
// share ClearHosts of the usable ones, rounded up, if so many serve nothing. They are the
// last in the order of hosts, so that each cycle keeps the same ones.
func (p *Planner) keepClear(hosts []*Host) {
	if p.ClearHosts <= 0 {
		return
	}
	usable := map[string]int{}
	for _, host := range hosts {
		if host.Usable {
			usable[host.Service]++
		}
	}
	kept := map[string]int{}
	for _, host := range slices.Backward(hosts) {
		wanted := int(math.Ceil(p.ClearHosts * float64(usable[host.Service])))
		host.keptClear = host.mayKeepClear() && kept[host.Service] < wanted
		if host.keptClear {
			kept[host.Service]++
		}
	}
}

func (h *Host) mayKeepClear() bool {
	return h.Usable && !h.Suspect && h.servingMillicores == 0
}

// harmlessScore returns weightHarmless if the host serves and the tasks of the step are
// known to interfere with none of its serving tasks.
func (p *Planner) harmlessScore(host *Host, step *wire.JobStep) float64 {
	if p.ClearHosts <= 0 || p.Weight == nil || host.servingMillicores == 0 {
		return 0
	}
	weights := p.weightsFor(host)
	interference := host.servingInterference(weights)
	row := weights.row(step.GetImage())
	for _, serving := range interference {
		if row[serving.index] >= minWeight {
			return 0
		}
	}
	return weightHarmless
}
