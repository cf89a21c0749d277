package planner

import (
	"cmp"
	"slices"

	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// maxVictims bounds the tasks that make room for one.
const maxVictims = 4

// Hold adds a task that is assigned to the host. It may make room for a more
// urgent one.
func (h *Host) Hold(task *tracker.Task) {
	h.reserve(task.GroupName(), task.Step())
	if h.Suspect && task.AssignedAt() >= h.TriedFrom {
		h.probes++
	}
	if task.Stopping() {
		add(&h.leaving, task.Step())
		return
	}
	h.held = append(h.held, task)
}

func add(sum *wire.Resources, step *wire.JobStep) {
	sum.MemoryBytes += step.GetResources().GetMemoryBytes()
	sum.Accelerators += step.GetResources().GetAccelerators()
	if !step.GetFillsIdle() {
		sum.Millicores += step.GetResources().GetMillicores()
	}
}

// Preempt chooses tasks of less urgent queues whose stop makes room for a task
// that fits nowhere. It chooses none while earlier stops already make room.
func (p *Planner) Preempt(group *tracker.Group, task *tracker.Task, hosts []*Host) []*tracker.Task {
	var best []*tracker.Task
	for _, host := range hosts {
		if p.closed(host, group, task) != NoObstacle {
			continue
		}
		victims, possible := host.victims(group)
		if possible && len(victims) == 0 {
			return nil
		}
		if possible && (best == nil || len(victims) < len(best)) {
			best = victims
		}
	}
	return best
}

// victims returns the fewest tasks of less urgent queues that make room.
func (h *Host) victims(group *tracker.Group) (victims []*tracker.Task, possible bool) {
	step := group.Step()
	freed := &wire.Resources{
		Millicores:   h.leaving.GetMillicores(),
		MemoryBytes:  h.leaving.GetMemoryBytes(),
		Accelerators: h.leaving.GetAccelerators(),
	}
	if h.shortage(step, freed) == NoObstacle {
		return nil, true
	}
	priority := group.Job().Spec().GetPriority()
	for _, candidate := range h.lessUrgent(priority) {
		if len(victims) == maxVictims {
			return nil, false
		}
		victims = append(victims, candidate)
		add(freed, candidate.Step())
		if h.shortage(step, freed) == NoObstacle {
			return victims, true
		}
	}
	return nil, false
}

// lessUrgent are the tasks that may be stopped, those first that lose least:
// less urgent queues, tasks with checkpoints, later runs.
func (h *Host) lessUrgent(priority int32) []*tracker.Task {
	var candidates []*tracker.Task
	for _, t := range h.held {
		if t.Job().Spec().GetPriority() > priority && !t.Step().GetGang() {
			candidates = append(candidates, t)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *tracker.Task) int {
		if c := cmp.Compare(b.Job().Spec().GetPriority(), a.Job().Spec().GetPriority()); c != 0 {
			return c
		}
		if a.Step().GetCanCheckpoint() != b.Step().GetCanCheckpoint() {
			if a.Step().GetCanCheckpoint() {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.AssignedAt(), a.AssignedAt())
	})
	return candidates
}
