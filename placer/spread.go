package placer

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// Interference predicts how much a task kind slows the service of a host.
type Interference interface {
	// Cost is the cost at the host's present load and with its present tasks.
	Cost(host, service, kind string) float64
	// Crowded reports whether the service would be slowed beyond its limit.
	Crowded(host, service, kind string) bool
}

// protectWeight is the weight of tail latency from which on a batch task
// waits instead of slowing a service beyond its limit.
const protectWeight = 1.5

// scoredPerDecision bounds the work of a decision independently of the number
// of hosts; more than about 40 samples no longer changed the score noticeably.
const scoredPerDecision = 40

// Spread is the default policy. It samples hosts that fit in every zone and
// takes the one with the lowest score.
type Spread struct {
	Index *Index
	// Interference may be nil.
	Interference Interference
	Objective    damaskspread.Objective
	Random       *rand.Rand

	sample  []*host
	blocked damaskspread.Binding
}

// Name is the policy's name in settings and tables.
func (p *Spread) Name() string { return "spread" }

// SetObjective implements damaskspread.WeighedPolicy.
func (p *Spread) SetObjective(objective damaskspread.Objective) { p.Objective = objective }

// Place chooses a host.
func (p *Spread) Place(task *damaskspread.PlacementTask, now time.Time) (damaskspread.Placement, error) {
	need := amountOf(task.Spec.GetResources())
	p.collect(task, need, now, task.Avoid)
	if len(p.sample) == 0 && len(task.Avoid) > 0 {
		p.collect(task, need, now, nil)
	}
	if p.protect(task.Spec) {
		p.blocked = damaskspread.BindingInterference
		return damaskspread.Placement{}, p.Index.refusal(task.Spec, p.blocked)
	}
	if len(p.sample) == 0 {
		return damaskspread.Placement{}, p.Index.refusal(task.Spec, p.blocked)
	}
	kinds := p.Index.kinds[kindKey{
		team: task.Spec.GetTeam(),
		kind: task.Spec.GetKind(),
	}]
	var best *host
	var least score
	for _, h := range p.sample {
		s := p.score(task.Spec, need, h, kinds)
		if best == nil || s.total < least.total {
			best, least = h, s
		}
	}
	return damaskspread.Placement{
		Host:       best.id,
		WorkerBoot: best.boot,
		Reason: fmt.Sprintf("best of %d: load %.2f, spread %.2f, interference %.2f, accelerators %.2f",
			len(p.sample), least.load, least.spread, least.interference, least.accelerators),
	}, nil
}

// protect removes hosts whose service a batch task would slow too much and
// reports whether none is left.
func (p *Spread) protect(spec *wire.TaskSpec) bool {
	if p.Interference == nil || isUrgent(spec) || p.latencyWeight() < protectWeight || len(p.sample) == 0 {
		return false
	}
	p.sample = slices.DeleteFunc(p.sample, func(h *host) bool {
		return h.service != "" && p.Interference.Crowded(h.id, h.service, spec.GetKind())
	})
	return len(p.sample) == 0
}

type score struct {
	total, load, spread, interference, accelerators float64
}

func (p *Spread) score(spec *wire.TaskSpec, need amount, h *host, kinds *spreadCount) score {
	used := h.used.plus(h.reserved).plus(h.excess).plus(need)
	processors := share(used.millicores, h.capacity.millicores)
	memory := share(used.memory, h.capacity.memory)
	var s score
	// An unbalanced host strands the resource that is left.
	s.load = max(processors, memory) + abs(processors-memory)
	if kinds != nil && kinds.total > 0 {
		total := float64(kinds.total)
		s.spread = float64(kinds.racks[h.rack])/total + float64(kinds.zones[h.zone])/total
	}
	if p.Interference != nil && h.service != "" {
		s.interference = p.Interference.Cost(h.id, h.service, spec.GetKind()) * p.latencyWeight()
	}
	if h.accelerators {
		s.accelerators = share(h.free().accelerators-need.accelerators, h.capacity.accelerators)
	}
	s.total = s.load + s.spread + s.interference + s.accelerators
	return s
}

// latencyWeight is 1 for balanced objectives.
func (p *Spread) latencyWeight() float64 {
	o := p.Objective
	sum := o.TailLatency + o.BatchThroughput + o.Evictions
	if sum <= 0 {
		return 1
	}
	return 3 * o.TailLatency / sum
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func abs(v float64) float64 {
	return max(v, -v)
}

// collect samples hosts that fit. Hosts with accelerators are used for tasks
// that need none only if nothing else fits.
func (p *Spread) collect(task *damaskspread.PlacementTask, need amount, now time.Time, avoid []string) {
	p.sample = p.sample[:0]
	p.blocked = ""
	if need.accelerators == 0 {
		p.collectGroups(task.Spec, need, now, avoid, 0, 0)
	}
	if len(p.sample) == 0 {
		p.collectGroups(task.Spec, need, now, avoid, 1+int(min(need.accelerators, acceleratorGroups-2)), acceleratorGroups-1)
	}
}

func (p *Spread) collectGroups(spec *wire.TaskSpec, need amount, now time.Time, avoid []string, from, to int) {
	zones := p.Index.zoneList
	perZone := max(2, scoredPerDecision/max(1, len(zones)))
	if len(spec.GetZones()) > 0 {
		perZone = max(2, scoredPerDecision/len(spec.GetZones()))
	}
	for _, z := range zones {
		if !z.inService || !allows(spec, z.name) {
			continue
		}
		if !isUrgent(spec) && p.Index.rampFull(z, now) {
			p.blocked = damaskspread.BindingZone
			continue
		}
		if !p.Index.keepsHeadroom(spec, z) {
			p.blocked = damaskspread.BindingHeadroom
			continue
		}
		left := perZone
		for g := from; g <= to && left > 0; g++ {
			if z.groups[g] != nil {
				left -= p.collectGroup(z.groups[g], need, avoid, left)
			}
		}
	}
}

func allows(spec *wire.TaskSpec, zone string) bool {
	return len(spec.GetZones()) == 0 || slices.Contains(spec.GetZones(), zone)
}

// collectGroup visits the cells whose hosts may fit, from a random row on, and
// takes a few hosts of each cell from a random position on.
func (p *Spread) collectGroup(g *group, need amount, avoid []string, limit int) int {
	lowest := level(need.millicores, millicoresUnit)
	above := ^uint64(0) << lowest
	memory := ^uint64(0) << level(need.memory, memoryUnit)
	rows := g.rows & above
	turn := p.Random.IntN(levels)
	rows = bits.RotateLeft64(rows, -turn)
	taken := 0
	for rows != 0 && taken < limit {
		row := (bits.TrailingZeros64(rows) + turn) % levels
		rows &= rows - 1
		for columns := g.masks[row] & memory; columns != 0 && taken < limit; columns &= columns - 1 {
			cell := g.cells[row][bits.TrailingZeros64(columns)]
			taken += p.collectCell(cell, need, avoid, min(2, limit-taken))
		}
	}
	return taken
}

func (p *Spread) collectCell(cell []*host, need amount, avoid []string, limit int) int {
	taken := 0
	start := p.Random.IntN(len(cell))
	for i := range cell {
		h := cell[(start+i)%len(cell)]
		if !h.free().holds(need) || slices.Contains(avoid, h.id) {
			continue
		}
		p.sample = append(p.sample, h)
		if taken++; taken == limit {
			break
		}
	}
	return taken
}
