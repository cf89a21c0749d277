package planner

import (
	"maps"
	"slices"
	"time"

	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// servingShare is the part of its declared processors that a serving task uses
// on average; the rest is idle and can be filled.
const servingShare = 0.6

// Host is an executor as a target of placement. It is rebuilt for each round.
type Host struct {
	Key      tracker.ExecutorKey
	Name     string
	Service  string
	Zone     string
	Labels   []string
	Capacity *wire.Resources
	// Usable is false while nothing may start here.
	Usable bool
	// Strained hosts get no more filling tasks: a serving task is near its
	// target or above it.
	Strained bool
	// Suspect hosts get one task at a time after repeated failures. Tasks that
	// were assigned earlier than TriedFrom don't count.
	Suspect   bool
	TriedFrom time.Duration

	reserved wire.Resources
	// ending is what tasks have reserved that don't last.
	ending wire.Resources
	// leaving is what tasks hold that were ordered to stop.
	leaving        wire.Resources
	held           []*tracker.Task
	servingMilli   int64
	fillMilli      int64
	tasksByStep    map[string]int
	servingByImage map[string]int64
	fillByImage    map[string]int64
	// probes are the tasks that try a suspect host.
	probes int
	// kept hosts leave room that comes free to a large task; keptMemory ones
	// leave memory too, which filling tasks also take.
	kept, keptMemory bool
}

// Rack is the label that names the host's rack. Executors list their kind
// first and the rack last.
func (h *Host) Rack() string {
	if len(h.Labels) == 0 {
		return ""
	}
	return h.Labels[len(h.Labels)-1]
}

// Occupy adds a task that will run on the host.
func (h *Host) Occupy(group string, step *wire.JobStep) {
	h.reserve(group, step)
	if h.Suspect {
		h.probes++
	}
}

func (h *Host) reserve(group string, step *wire.JobStep) {
	add(&h.reserved, step)
	if !step.GetLongRunning() {
		add(&h.ending, step)
	}
	if step.GetFillsIdle() {
		h.fillMilli += step.GetResources().GetMillicores()
		addMilli(&h.fillByImage, step)
	}
	if step.GetTargetLatencyMs() > 0 {
		h.servingMilli += step.GetResources().GetMillicores()
		addMilli(&h.servingByImage, step)
	}
	if h.tasksByStep == nil {
		h.tasksByStep = map[string]int{}
	}
	h.tasksByStep[group]++
}

func addMilli(byImage *map[string]int64, step *wire.JobStep) {
	if *byImage == nil {
		*byImage = map[string]int64{}
	}
	(*byImage)[step.GetImage()] += step.GetResources().GetMillicores()
}

// shortage is the resource that the host lacks for a task once others free what
// they hold. Filling tasks need no processors of their own.
func (h *Host) shortage(step *wire.JobStep, freed *wire.Resources) Obstacle {
	need := step.GetResources()
	lacks := func(reserved, freed, need, capacity int64) bool { return reserved-freed+need > capacity }
	switch {
	case lacks(h.reserved.GetMemoryBytes(), freed.GetMemoryBytes(), need.GetMemoryBytes(), h.Capacity.GetMemoryBytes()):
		return ObstacleMemory
	case lacks(h.reserved.GetAccelerators(), freed.GetAccelerators(), need.GetAccelerators(), h.Capacity.GetAccelerators()):
		return ObstacleAccelerators
	case !step.GetFillsIdle() &&
		lacks(h.reserved.GetMillicores(), freed.GetMillicores(), need.GetMillicores(), h.Capacity.GetMillicores()):
		return ObstacleProcessors
	default:
		return NoObstacle
	}
}

// crowded reports whether the host has as many tasks of a step as the step
// allows.
func (h *Host) crowded(group string, step *wire.JobStep) bool {
	limit := step.GetAntiAffinity()
	return limit > 0 && h.tasksByStep[group] >= int(limit)
}

// idleMilli estimates the processors that no task uses; it is negative where
// filling tasks already share.
func (h *Host) idleMilli() int64 {
	busy := h.reserved.Millicores - int64(float64(h.servingMilli)*(1-servingShare))
	return h.Capacity.GetMillicores() - busy - h.fillMilli
}

// idleShare is the idle part of the host's processors.
func (h *Host) idleShare() float64 {
	return float64(h.idleMilli()) / float64(max(h.Capacity.GetMillicores(), 1))
}

// reservedShare is the part of the host's processors that tasks have reserved.
func (h *Host) reservedShare() float64 {
	return float64(h.reserved.GetMillicores()) / float64(max(h.Capacity.GetMillicores(), 1))
}

// near reports whether the host is in the rack that holds the step's data.
func (h *Host) near(step *wire.JobStep) bool {
	rack := step.GetAffinityRack()
	return rack == "" || slices.Contains(h.Labels, rack)
}

// clone copies a host for a trial placement.
func (h *Host) clone() *Host {
	return &Host{
		Key:      h.Key,
		Name:     h.Name,
		Service:  h.Service,
		Zone:     h.Zone,
		Labels:   h.Labels,
		Capacity: h.Capacity,
		Usable:   h.Usable,
		Strained: h.Strained,
		Suspect:  h.Suspect,
		reserved: wire.Resources{
			Millicores:   h.reserved.Millicores,
			MemoryBytes:  h.reserved.MemoryBytes,
			Accelerators: h.reserved.Accelerators,
		},
		ending: wire.Resources{
			Millicores:   h.ending.Millicores,
			MemoryBytes:  h.ending.MemoryBytes,
			Accelerators: h.ending.Accelerators,
		},
		servingMilli:   h.servingMilli,
		fillMilli:      h.fillMilli,
		tasksByStep:    maps.Clone(h.tasksByStep),
		servingByImage: maps.Clone(h.servingByImage),
		fillByImage:    maps.Clone(h.fillByImage),
		probes:         h.probes,
		kept:           h.kept,
		keptMemory:     h.keptMemory,
	}
}
