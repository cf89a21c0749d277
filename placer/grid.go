package placer

import "math/bits"

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
	return levelOfFree(max(free.accelerators, 0))
}

// levelOfFree returns the level of hosts with a number of free accelerators.
func levelOfFree(accelerators int64) int {
	return 1 + int(min(accelerators, acceleratorLevels-2))
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
