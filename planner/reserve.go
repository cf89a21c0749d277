package planner

import (
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const (
	// largeShare of a host's processors or memory makes a task large. Smaller
	// ones find room by themselves as others end.
	largeShare = 0.1
	// maxKept bounds the hosts whose room is kept in one round.
	maxKept = 2
)

// keepRoom leaves the room of a host to a large task that fits nowhere yet, so
// that small tasks of the same priority don't take each bit that comes free.
// Tasks that last take it if they fit: they may have nowhere else to go.
// Rounds choose the same host as long as it is the emptiest.
func (p *Planner) keepRoom(group *tracker.Group, task *tracker.Task, hosts []*Host) {
	step := group.Step()
	if step.GetFillsIdle() || step.GetGang() {
		return
	}
	kept := 0
	var best *Host
	for _, host := range hosts {
		if host.kept {
			kept++
			continue
		}
		if p.closed(host, group, task) != NoObstacle || !host.large(step) || !host.couldHold(step) {
			continue
		}
		if best == nil || host.freeMilli() > best.freeMilli() {
			best = host
		}
	}
	if best != nil && kept < maxKept {
		best.kept = true
		best.keptMemory = best.shortage(step, nil) == ObstacleMemory
	}
}

// keeps reports whether the host keeps its room from a task. Filling tasks take
// memory only.
func (h *Host) keeps(step *wire.JobStep) bool {
	if !h.kept || step.GetLongRunning() {
		return false
	}
	return h.keptMemory || !step.GetFillsIdle()
}

// large reports whether a task takes a large part of the host.
func (h *Host) large(step *wire.JobStep) bool {
	resources := step.GetResources()
	return float64(resources.GetMillicores()) >= largeShare*float64(h.Capacity.GetMillicores()) ||
		float64(resources.GetMemoryBytes()) >= largeShare*float64(h.Capacity.GetMemoryBytes())
}

// couldHold reports whether the task will fit once all tasks have ended that
// don't last.
func (h *Host) couldHold(step *wire.JobStep) bool { return h.shortage(step, &h.ending) == NoObstacle }

func (h *Host) freeMilli() int64 { return h.Capacity.GetMillicores() - h.reserved.GetMillicores() }

// admitsTrial reports whether a task may try a suspect host: one at a time, one
// that has not failed itself, and one whose end will tell.
func (h *Host) admitsTrial(group *tracker.Group, task *tracker.Task) bool {
	return h.probes == 0 && task.Failures() == 0 && !group.Step().GetLongRunning()
}

// Tried reports whether a task tries a suspect host.
func (h *Host) Tried() bool { return h.probes > 0 }
