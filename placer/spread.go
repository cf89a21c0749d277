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
	// Cost returns the cost of one more task of a kind as a term of the score,
	// given the host's current load and tasks. It is 1 for a task that slows the
	// service from no slowdown to its limit.
	Cost(host, service, kind string) float64
	// ExceedsSlowdownLimit reports whether one more task of a kind would slow the
	// service beyond its limit.
	ExceedsSlowdownLimit(host, service, kind string) bool
}

// interferenceWeightLimit is the relative weight of tail latency from which a
// batch task waits rather than slow a service beyond its limit. Below it, such
// hosts only score worse. Balanced objectives have a relative weight of 1.
const interferenceWeightLimit = 1.5

const (
	// maxScoredHosts bounds the cost of a decision independently of the number of
	// hosts. Scoring more than about 40 hosts hardly improves the best score.
	maxScoredHosts = 40
	// minHostsPerZone is sampled in each zone at least, so that many zones may exceed
	// maxScoredHosts.
	minHostsPerZone = 2
	// maxHostsPerCell bounds the hosts that are sampled from one cell of a grid, so
	// that the sample spreads over cells.
	maxHostsPerCell = 2
)

// Spread is the default policy. It samples hosts that fit the task in every zone
// and takes the one with the lowest score. The score prefers hosts with a low and
// balanced load, few tasks of the same team and kind in the same rack and zone,
// and little interference. It is not safe for concurrent use.
type Spread struct {
	Index *Index
	// Interference may be nil. Then interference is ignored.
	Interference Interference
	// Objective weighs interference against the other terms. The zero value is
	// balanced.
	Objective damaskspread.Objective
	Random    *rand.Rand

	sample    []*host
	blockedBy damaskspread.Binding
}

// Name returns the policy's name in settings and tables.
func (p *Spread) Name() string { return "spread" }

// SetObjective implements damaskspread.WeightedPolicy.
func (p *Spread) SetObjective(objective damaskspread.Objective) { p.Objective = objective }

// Place implements damaskspread.PlacementPolicy. now determines the ramp of zones
// that returned to service.
func (p *Spread) Place(task *damaskspread.PlacementTask, now time.Time) (damaskspread.Placement, error) {
	need := amountOf(task.Spec.GetResources())
	p.collect(task, need, now, task.Avoid)
	if len(p.sample) == 0 && len(task.Avoid) > 0 {
		p.collect(task, need, now, nil)
	}
	if p.excludeByInterference(task.Spec) {
		p.blockedBy = damaskspread.BindingInterference
		return damaskspread.Placement{}, p.Index.refusal(task.Spec, p.blockedBy)
	}
	if len(p.sample) == 0 {
		return damaskspread.Placement{}, p.Index.refusal(task.Spec, p.blockedBy)
	}
	counts := p.Index.countsByKind[teamKind{
		team: task.Spec.GetTeam(),
		kind: task.Spec.GetKind(),
	}]
	var best *host
	var lowest score
	for _, h := range p.sample {
		s := p.score(task.Spec, need, h, counts)
		if best == nil || s.total < lowest.total {
			best, lowest = h, s
		}
	}
	return damaskspread.Placement{
		Host:       best.id,
		WorkerBoot: best.workerBoot,
		Reason: fmt.Sprintf("best of %d: load %.2f, spread %.2f, interference %.2f, accelerators %.2f",
			len(p.sample), lowest.load, lowest.spread, lowest.interference, lowest.accelerators),
	}, nil
}

// excludeByInterference removes the sampled hosts whose service a batch task would
// slow beyond its limit, if the objective requires it. It reports whether this
// removed all sampled hosts.
func (p *Spread) excludeByInterference(spec *wire.TaskSpec) bool {
	if p.Interference == nil || isUrgent(spec) || p.latencyWeight() < interferenceWeightLimit || len(p.sample) == 0 {
		return false
	}
	p.sample = slices.DeleteFunc(p.sample, func(h *host) bool {
		return h.service != "" && p.Interference.ExceedsSlowdownLimit(h.id, h.service, spec.GetKind())
	})
	return len(p.sample) == 0
}

type score struct {
	total, load, spread, interference, accelerators float64
}

func (p *Spread) score(spec *wire.TaskSpec, need amount, h *host, counts *domainCounts) score {
	used := h.used.plus(h.reserved).plus(h.overuse).plus(need)
	processors := share(used.millicores, h.capacity.millicores)
	memory := share(used.memory, h.capacity.memory)
	var s score
	// Unbalanced use of processors and memory leaves capacity that no task can
	// use.
	s.load = max(processors, memory) + abs(processors-memory)
	if counts != nil && counts.total > 0 {
		total := float64(counts.total)
		s.spread = float64(counts.racks[h.rack])/total + float64(counts.zones[h.zone])/total
	}
	if p.Interference != nil && h.service != "" {
		s.interference = p.Interference.Cost(h.id, h.service, spec.GetKind()) * p.latencyWeight()
	}
	if h.hasAccelerators {
		s.accelerators = share(h.free().accelerators-need.accelerators, h.capacity.accelerators)
	}
	s.total = s.load + s.spread + s.interference + s.accelerators
	return s
}

// latencyWeight returns the relative weight of tail latency: 1 for a balanced
// objective, 3 if only tail latency counts.
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

// collect fills sample with hosts that fit. Hosts with accelerators get tasks that
// need none only if no other host fits.
func (p *Spread) collect(task *damaskspread.PlacementTask, need amount, now time.Time, avoid []string) {
	p.sample = p.sample[:0]
	p.blockedBy = ""
	if need.accelerators == 0 {
		p.collectFromZones(task.Spec, need, now, avoid, 0, 0)
	}
	if len(p.sample) == 0 {
		p.collectFromZones(task.Spec, need, now, avoid, levelOfFree(need.accelerators), acceleratorLevels-1)
	}
}

// collectFromZones samples hosts of all zones that may take the task, from the grids
// of the given levels.
func (p *Spread) collectFromZones(spec *wire.TaskSpec, need amount, now time.Time, avoid []string, fromLevel, toLevel int) {
	zoneCount := len(p.Index.zoneList)
	if len(spec.GetZones()) > 0 {
		zoneCount = len(spec.GetZones())
	}
	perZone := max(minHostsPerZone, maxScoredHosts/max(1, zoneCount))
	for _, z := range p.Index.zoneList {
		if !z.inService || !allows(spec, z.name) {
			continue
		}
		if !isUrgent(spec) && p.Index.rampLimitReached(z, now) {
			p.blockedBy = damaskspread.BindingZone
			continue
		}
		if !p.Index.keepsHeadroom(spec, z) {
			p.blockedBy = damaskspread.BindingHeadroom
			continue
		}
		remaining := perZone
		for level := fromLevel; level <= toLevel && remaining > 0; level++ {
			if z.grids[level] != nil {
				remaining -= p.collectFromGrid(z.grids[level], need, avoid, remaining)
			}
		}
	}
}

func allows(spec *wire.TaskSpec, zone string) bool {
	return len(spec.GetZones()) == 0 || slices.Contains(spec.GetZones(), zone)
}

// collectFromGrid samples hosts from the cells whose hosts may fit and returns
// their number. To randomize the sample, it starts at a random row, and in each
// cell at a random host.
func (p *Spread) collectFromGrid(g *grid, need amount, avoid []string, limit int) int {
	lowestRow := sizeClass(need.millicores, millicoresUnit)
	rowsAbove := ^uint64(0) << lowestRow
	columnsAbove := ^uint64(0) << sizeClass(need.memory, memoryUnit)
	rows := g.rowMask & rowsAbove
	firstRow := p.Random.IntN(sizeClasses)
	rows = bits.RotateLeft64(rows, -firstRow)
	taken := 0
	for rows != 0 && taken < limit {
		row := (bits.TrailingZeros64(rows) + firstRow) % sizeClasses
		rows &= rows - 1
		for columns := g.columnMasks[row] & columnsAbove; columns != 0 && taken < limit; columns &= columns - 1 {
			cell := g.cells[row][bits.TrailingZeros64(columns)]
			taken += p.collectFromCell(cell, need, avoid, min(maxHostsPerCell, limit-taken))
		}
	}
	return taken
}

func (p *Spread) collectFromCell(cell []*host, need amount, avoid []string, limit int) int {
	taken := 0
	start := p.Random.IntN(len(cell))
	for i := range cell {
		h := cell[(start+i)%len(cell)]
		if !h.free().covers(need) || slices.Contains(avoid, h.id) {
			continue
		}
		p.sample = append(p.sample, h)
		if taken++; taken == limit {
			break
		}
	}
	return taken
}
