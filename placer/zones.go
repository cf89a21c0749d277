package placer

import (
	"math/bits"
	"time"

	"damaskspread.example/damaskspread/wire"
)

const (
	// sizeClasses is the number of size classes per resource. It is the number of
	// bits in the masks of a grid.
	sizeClasses = 64
	// millicoresUnit and memoryUnit (in bytes) are the sizes of the smallest size
	// class. With four classes per doubling, the hosts of a class are within 25%
	// of each other, so few sampled hosts fail the exact check.
	millicoresUnit = 64
	memoryUnit     = 64 << 20
	// acceleratorLevels is the number of grids per zone: level 0 is for hosts
	// without accelerators, levels 1 to 9 for hosts with 0 to 8 free accelerators
	// (level 9: 8 or more).
	acceleratorLevels = 10
)

// sizeClass returns the size class of a value. Larger values have the same or a
// higher class.
func sizeClass(value, unit int64) int {
	if value < unit {
		return 0
	}
	v := uint64(value / unit)
	octave := bits.Len64(v) - 1
	return min(sizeClasses-1, 1+octave*4+int(v<<2>>octave&3))
}

// gridPosition is a host's position in zone.grids[acceleratorLevel]. millicores
// (row) and memory (column) are size classes; cellIndex is the index in the cell.
type gridPosition struct {
	inGrid           bool
	acceleratorLevel int
	millicores       int
	memory           int
	cellIndex        int
}

// grid lists the hosts of a zone by the size classes of their free processors
// (rows) and free memory (columns). Bit r of rowMask is set if row r has hosts,
// and bit c of columnMasks[r] if cell c of the row has.
type grid struct {
	rowMask     uint64
	columnMasks [sizeClasses]uint64
	cells       [sizeClasses]*[sizeClasses][]*host
}

type zone struct {
	name      string
	inService bool
	// returnedAt is when the zone returned to service, or zero if it never left
	// or is out of service.
	returnedAt time.Time
	capacity   amount
	used       amount
	// urgentUsed is the use of urgent tasks. protectedUsed is the use of tasks that
	// are not to be evicted: urgent tasks, and batch tasks that cannot be
	// checkpointed and would lose work.
	urgentUsed    amount
	protectedUsed amount
	grids         [acceleratorLevels]*grid
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

// SetZone sets whether a zone is in service. The ramp of a zone starts when it
// returns to service at now.
func (x *Index) SetZone(name string, inService bool, now time.Time) {
	z := x.zone(name)
	if z.inService == inService {
		return
	}
	z.inService = inService
	z.returnedAt = time.Time{}
	if inService {
		z.returnedAt = now
	}
	x.freedCount++
}

// Ramping reports whether any zone that returned to service is not yet fully
// available to batch tasks.
func (x *Index) Ramping(now time.Time) bool {
	for _, z := range x.zoneList {
		if z.inService && !z.returnedAt.IsZero() && now.Sub(z.returnedAt) < x.RampTime {
			return true
		}
	}
	return false
}

// rampLimitReached reports whether a zone that returned to service may not take
// another batch task yet. Without the ramp, the whole queue would start in the
// empty zone at once, while its hosts are still restarting.
func (x *Index) rampLimitReached(z *zone, now time.Time) bool {
	if z.returnedAt.IsZero() || x.RampTime <= 0 {
		return false
	}
	elapsed := now.Sub(z.returnedAt)
	if elapsed >= x.RampTime {
		return false
	}
	allowed := float64(z.capacity.millicores) * float64(elapsed) / float64(x.RampTime)
	return float64(z.used.millicores) >= allowed
}

// changeCapacity adds the capacity of a host, or subtracts it if sign is -1.
func (z *zone) changeCapacity(h *host, sign int64) {
	z.capacity.millicores += sign * h.capacity.millicores
	z.capacity.memory += sign * h.capacity.memory
	z.capacity.accelerators += sign * h.capacity.accelerators
}

// changeUsage adds the use of a task, or subtracts it if sign is -1.
func (z *zone) changeUsage(c commitment, sign int64) {
	n := amount{
		millicores:   sign * c.need.millicores,
		memory:       sign * c.need.memory,
		accelerators: sign * c.need.accelerators,
	}
	z.used = z.used.plus(n)
	urgent := isUrgent(c.spec)
	if urgent {
		z.urgentUsed = z.urgentUsed.plus(n)
	}
	if urgent || !c.spec.GetCanCheckpoint() {
		z.protectedUsed = z.protectedUsed.plus(n)
	}
}

func isUrgent(spec *wire.TaskSpec) bool {
	return spec.GetClass() == wire.TaskClass_TASK_CLASS_LATENCY_CRITICAL
}

// keepsHeadroom reports whether a task may start in the target zone without using
// the headroom for the loss of a zone: after the loss of any other zone, the urgent
// tasks of that zone must fit into the remaining zones by evicting only
// checkpointable tasks. It restricts only batch tasks that cannot be checkpointed.
func (x *Index) keepsHeadroom(spec *wire.TaskSpec, target *zone) bool {
	if len(x.zoneList) < 2 || isUrgent(spec) || spec.GetCanCheckpoint() {
		return true
	}
	need := amountOf(spec.GetResources())
	var capacity, protectedUsed amount
	for _, z := range x.zoneList {
		if z.inService {
			capacity = capacity.plus(z.capacity)
			protectedUsed = protectedUsed.plus(z.protectedUsed)
		}
	}
	for _, lost := range x.zoneList {
		if !lost.inService || lost == target {
			continue
		}
		left := capacity.minus(lost.capacity)
		load := protectedUsed.minus(lost.protectedUsed).plus(lost.urgentUsed).plus(need)
		if load.millicores > left.millicores || load.memory > left.memory {
			return false
		}
	}
	return true
}

func (x *Index) addToGrid(h *host) {
	if !h.available() {
		return
	}
	free := h.free()
	h.gridPosition = gridPosition{
		inGrid:           true,
		acceleratorLevel: acceleratorLevelOf(h, free),
		millicores:       sizeClass(free.millicores, millicoresUnit),
		memory:           sizeClass(free.memory, memoryUnit),
	}
	g := h.zone.grids[h.gridPosition.acceleratorLevel]
	if g == nil {
		g = &grid{}
		h.zone.grids[h.gridPosition.acceleratorLevel] = g
	}
	row := g.cells[h.gridPosition.millicores]
	if row == nil {
		row = &[sizeClasses][]*host{}
		g.cells[h.gridPosition.millicores] = row
	}
	h.gridPosition.cellIndex = len(row[h.gridPosition.memory])
	row[h.gridPosition.memory] = append(row[h.gridPosition.memory], h)
	g.columnMasks[h.gridPosition.millicores] |= 1 << h.gridPosition.memory
	g.rowMask |= 1 << h.gridPosition.millicores
}

func acceleratorLevelOf(h *host, free amount) int {
	if !h.hasAccelerators {
		return 0
	}
	return 1 + int(min(max(free.accelerators, 0), acceleratorLevels-2))
}

func (x *Index) removeFromGrid(h *host) {
	position := h.gridPosition
	if !position.inGrid {
		return
	}
	h.gridPosition = gridPosition{}
	g := h.zone.grids[position.acceleratorLevel]
	cell := g.cells[position.millicores][position.memory]
	last := cell[len(cell)-1]
	cell[position.cellIndex] = last
	last.gridPosition.cellIndex = position.cellIndex
	if last == h {
		h.gridPosition = gridPosition{}
	}
	cell[len(cell)-1] = nil
	g.cells[position.millicores][position.memory] = cell[:len(cell)-1]
	if len(cell) == 1 {
		g.columnMasks[position.millicores] &^= 1 << position.memory
		if g.columnMasks[position.millicores] == 0 {
			g.rowMask &^= 1 << position.millicores
		}
	}
}
