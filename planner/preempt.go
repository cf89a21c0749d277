package planner

import (
	"cmp"
	"slices"
	"time"

	"damaskspread.example/damaskspread/tracker"
)

const (
	// maxVictims bounds the tasks that are preempted for one task.
	maxVictims = 4
	// startupTime is how long after its assignment a task may not be at work yet.
	startupTime = 3 * time.Second
)

// AddAssigned adds a task that was assigned to the host in an earlier cycle. Unless
// it is stopping, Preempt may choose it.
func (h *Host) AddAssigned(task *tracker.Task) {
	h.addTask(task.GroupName(), task.Step())
	h.probation.addAssigned(task, h.ProbationFrom)
	if h.Suspect && task.AssignedAt() >= h.ProbesFrom && !task.Step().GetLongRunning() {
		h.probes++
	}
	if task.Stopping() {
		tracker.AddRequest(&h.stoppingRequested, task.Step())
		return
	}
	h.assigned = append(h.assigned, task)
}

// Preempt chooses tasks of less urgent queues to stop, so that the given task of
// the group, which fits on no host, fits on one. It returns nil if no host can be
// cleared with maxVictims stops, or if the task fits somewhere once the tasks that
// were ordered to stop have ended. now is a reading of the leader's clock.
func (p *Planner) Preempt(group *tracker.Group, task *tracker.Task, hosts []*Host, now time.Duration) []*tracker.Task {
	if !mayEnterProbation(group, task, hosts) {
		return nil
	}
	var best []*tracker.Task
	for _, host := range hosts {
		if p.constraintObstacle(host, group, task) != NoObstacle {
			continue
		}
		victims, possible := host.victims(group, now)
		if possible && len(victims) == 0 {
			return nil
		}
		if possible && (best == nil || len(victims) < len(best)) {
			best = victims
		}
	}
	return best
}

// victims returns the tasks to stop so that a task of the group fits on the host,
// and whether that is possible. None are needed if the tasks that are stopping
// free enough.
func (h *Host) victims(group *tracker.Group, now time.Duration) (victims []*tracker.Task, possible bool) {
	step := group.Step()
	freed := copyRequest(&h.stoppingRequested)
	if h.shortage(step, freed) == NoObstacle {
		return nil, true
	}
	priority := group.Job().Spec().GetPriority()
	for _, candidate := range h.preemptible(priority, now) {
		if len(victims) == maxVictims {
			return nil, false
		}
		if limitsUnavailability(candidate) && containsSibling(victims, candidate) {
			continue
		}
		victims = append(victims, candidate)
		tracker.AddRequest(freed, candidate.Step())
		if h.shortage(step, freed) == NoObstacle {
			return victims, true
		}
	}
	return nil, false
}

// preemptible returns the tasks that may be stopped for a task of the given
// priority, in the order in which to stop them: the least urgent queue first,
// then tasks that can checkpoint, then the latest assigned. These lose the least
// work. Gangs are never preempted, nor are tasks whose step would have too few at
// work.
func (h *Host) preemptible(priority int32, now time.Duration) []*tracker.Task {
	var candidates []*tracker.Task
	for _, t := range h.assigned {
		if t.Job().Spec().GetPriority() > priority && !t.Step().GetGang() && t.MayBeStopped(now, startupTime) {
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

func limitsUnavailability(t *tracker.Task) bool { return t.Step().GetMaxUnavailable() > 0 }

func containsSibling(tasks []*tracker.Task, t *tracker.Task) bool {
	return slices.ContainsFunc(tasks, func(other *tracker.Task) bool { return other.GroupName() == t.GroupName() })
}
