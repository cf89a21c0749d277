package planner

import (
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const (
	// largeShare is the share of a host's processors or memory from which a task
	// is large. Smaller tasks fit without a reservation as others end.
	largeShare = 0.1
	// maxReservedHosts bounds the hosts that are reserved for large tasks in one
	// cycle.
	maxReservedHosts = 2
)

// reserveForLarge reserves the host with the most free processors for a large
// task that fits on no host yet. Otherwise small tasks of the same priority would
// take the capacity piece by piece as it comes free, and the large task would
// never start. Long-running tasks ignore the reservation, because they may fit
// nowhere else, and so do tasks that end before the large task fits; see mayBackfill.
// Reservations last one cycle; successive cycles choose the same
// host as long as it has the most free processors. It reports whether it reserved
// one.
func (p *Planner) reserveForLarge(group *tracker.Group, task *tracker.Task, hosts []*Host) bool {
	step := group.Step()
	if step.GetFillsIdle() || step.GetGang() {
		return false
	}
	reserved := 0
	var best *Host
	for _, host := range hosts {
		if host.reserved {
			reserved++
			continue
		}
		if p.constraintObstacle(host, group, task) != NoObstacle || !host.isLarge(step) || !host.fitsAfterFiniteTasks(step) {
			continue
		}
		if best == nil || host.freeMillicores() > best.freeMillicores() {
			best = host
		}
	}
	if best == nil || reserved >= maxReservedHosts {
		return false
	}
	best.reserved = true
	best.reservedFor = group
	best.reservedMemory = best.shortage(step, nil) == ObstacleMemory
	best.reservedWait = best.waitFor(group)
	return true
}

// reservationExcludes reports whether a reservation for a large task excludes a
// task of the group from the host. Best-effort tasks request memory but no
// processors, so only a reservation of memory excludes them.
func (h *Host) reservationExcludes(group *tracker.Group) bool {
	step := group.Step()
	if !h.reserved || step.GetLongRunning() || h.mayBackfill(group) {
		return false
	}
	return h.reservedMemory || !step.GetFillsIdle()
}

// isLarge reports whether a task of the step requests a large share of the host.
func (h *Host) isLarge(step *wire.JobStep) bool {
	resources := step.GetResources()
	return float64(resources.GetMillicores()) >= largeShare*float64(h.Capacity.GetMillicores()) ||
		float64(resources.GetMemoryBytes()) >= largeShare*float64(h.Capacity.GetMemoryBytes())
}

// fitsAfterFiniteTasks reports whether a task of the step fits once all tasks that
// are not long-running have ended.
func (h *Host) fitsAfterFiniteTasks(step *wire.JobStep) bool {
	return h.shortage(step, &h.finiteRequested) == NoObstacle
}

func (h *Host) freeMillicores() int64 {
	return h.Capacity.GetMillicores() - h.requested.GetMillicores()
}
