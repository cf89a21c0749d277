package placer

import (
	"math/bits"
	"time"

	"damaskspread.example/damaskspread/wire"
)

const (
	// levels is the number of size classes per resource; one word of bits.
	levels = 64
	// Four classes per doubling keep the hosts of a class within 25% of each
	// other, so few listed hosts fail the exact check.
	millicoresUnit = 64
	memoryUnit     = 64 << 20
	// acceleratorGroups separates hosts without accelerators (0) from hosts
	// with 0 to 8 and more free ones (1 to 9).
	acceleratorGroups = 10
)

// level is the size class of a value, growing with it.
func level(value, unit int64) int {
	if value < unit {
		return 0
	}
	v := uint64(value / unit)
	octave := bits.Len64(v) - 1
	return min(levels-1, 1+octave*4+int(v<<2>>octave&3))
}

// slot is a host's place in the index.
type slot struct {
	listed     bool
	group      int
	millicores int
	memory     int
	position   int
}

// group lists hosts by free processors and free memory.
type group struct {
	rows  uint64
	masks [levels]uint64
	cells [levels]*[levels][]*host
}

type zone struct {
	name      string
	inService bool
	// The ramp starts when the zone returns and is zero otherwise.
	returned time.Time
	capacity amount
	used     amount
	// urgent is the use of latency-critical tasks; firm adds batch tasks that
	// cannot be checkpointed and so cannot make room without losing work.
	urgent amount
	firm   amount
	groups [acceleratorGroups]*group
}

func (x *Index) zone(name string) *zone {
	z := x.zones[name]
	if z == nil {
		z = &zone{
			name:      name,
			inService: true,
		}
		x.zones[name] = z
		x.zoneList = append(x.zoneList, z)
	}
	return z
}

// SetZone takes a zone out of service or returns it.
func (x *Index) SetZone(name string, inService bool, now time.Time) {
	z := x.zone(name)
	if z.inService == inService {
		return
	}
	z.inService = inService
	z.returned = time.Time{}
	if inService {
		z.returned = now
	}
	x.freed++
}

// Ramping reports whether a returned zone is not fully available yet.
func (x *Index) Ramping(now time.Time) bool {
	for _, z := range x.zoneList {
		if z.inService && !z.returned.IsZero() && now.Sub(z.returned) < x.RampTime {
			return true
		}
	}
	return false
}

// rampFull reports whether a returned zone has taken its share of batch work
// so far. Without the ramp, the whole queue would start in the empty zone at
// once, together with the restarts of its hosts.
func (x *Index) rampFull(z *zone, now time.Time) bool {
	if z.returned.IsZero() || x.RampTime <= 0 {
		return false
	}
	elapsed := now.Sub(z.returned)
	if elapsed >= x.RampTime {
		return false
	}
	allowed := float64(z.capacity.millicores) * float64(elapsed) / float64(x.RampTime)
	return float64(z.used.millicores) >= allowed
}

func (z *zone) addCapacity(h *host, sign int64) {
	z.capacity.millicores += sign * h.capacity.millicores
	z.capacity.memory += sign * h.capacity.memory
	z.capacity.accelerators += sign * h.capacity.accelerators
}

func (z *zone) count(c commitment, sign int64) {
	n := amount{
		millicores:   sign * c.need.millicores,
		memory:       sign * c.need.memory,
		accelerators: sign * c.need.accelerators,
	}
	z.used = z.used.plus(n)
	urgent := isUrgent(c.spec)
	if urgent {
		z.urgent = z.urgent.plus(n)
	}
	if urgent || !c.spec.GetCanCheckpoint() {
		z.firm = z.firm.plus(n)
	}
}

func isUrgent(spec *wire.TaskSpec) bool {
	return spec.GetClass() == wire.TaskClass_TASK_CLASS_LATENCY_CRITICAL
}

// keepsHeadroom reports whether, after the loss of any one zone, its urgent
// tasks still fit into the others by evicting only checkpointable tasks.
func (x *Index) keepsHeadroom(spec *wire.TaskSpec, target *zone) bool {
	if len(x.zoneList) < 2 || isUrgent(spec) || spec.GetCanCheckpoint() {
		return true
	}
	need := amountOf(spec.GetResources())
	var capacity, firm amount
	for _, z := range x.zoneList {
		if z.inService {
			capacity = capacity.plus(z.capacity)
			firm = firm.plus(z.firm)
		}
	}
	for _, lost := range x.zoneList {
		if !lost.inService || lost == target {
			continue
		}
		left := capacity.minus(lost.capacity)
		load := firm.minus(lost.firm).plus(lost.urgent).plus(need)
		if load.millicores > left.millicores || load.memory > left.memory {
			return false
		}
	}
	return true
}

func (x *Index) list(h *host) {
	if !h.available() {
		return
	}
	free := h.free()
	h.slot = slot{
		listed:     true,
		group:      groupOf(h, free),
		millicores: level(free.millicores, millicoresUnit),
		memory:     level(free.memory, memoryUnit),
	}
	g := h.zone.groups[h.slot.group]
	if g == nil {
		g = &group{}
		h.zone.groups[h.slot.group] = g
	}
	row := g.cells[h.slot.millicores]
	if row == nil {
		row = &[levels][]*host{}
		g.cells[h.slot.millicores] = row
	}
	h.slot.position = len(row[h.slot.memory])
	row[h.slot.memory] = append(row[h.slot.memory], h)
	g.masks[h.slot.millicores] |= 1 << h.slot.memory
	g.rows |= 1 << h.slot.millicores
}

func groupOf(h *host, free amount) int {
	if !h.accelerators {
		return 0
	}
	return 1 + int(min(max(free.accelerators, 0), acceleratorGroups-2))
}

func (x *Index) unlist(h *host) {
	s := h.slot
	if !s.listed {
		return
	}
	h.slot = slot{}
	g := h.zone.groups[s.group]
	cell := g.cells[s.millicores][s.memory]
	last := cell[len(cell)-1]
	cell[s.position] = last
	last.slot.position = s.position
	if last == h {
		h.slot = slot{}
	}
	cell[len(cell)-1] = nil
	g.cells[s.millicores][s.memory] = cell[:len(cell)-1]
	if len(cell) == 1 {
		g.masks[s.millicores] &^= 1 << s.memory
		if g.masks[s.millicores] == 0 {
			g.rows &^= 1 << s.millicores
		}
	}
}
