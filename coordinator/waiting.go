package coordinator

import (
	"time"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
)

const (
	// waitingAfter is the time for which tasks wait before it is told why.
	waitingAfter = time.Second
	// waitingEvery is the time between two accounts of the same step.
	waitingEvery = 2 * time.Second
	// maxAccounts bounds the accounts of one cycle.
	maxAccounts = 5
)

// waitingStep is a step with tasks that wait for a host.
type waitingStep struct {
	since   time.Duration
	toldAt  time.Duration
	present bool
}

// noteWaiting tells what keeps tasks waiting that are due for a while.
func (c *Coordinator) noteWaiting(groups []*tracker.Group, r *round, epoch int64) {
	for _, step := range c.waiting {
		step.present = false
	}
	accounts := 0
	for _, group := range groups {
		first := firstPending(group)
		if first == nil {
			continue
		}
		step := c.waitingStep(group.Name(), r.now)
		if accounts == maxAccounts || r.now-step.since < waitingAfter || r.now-step.toldAt < waitingEvery {
			continue
		}
		step.toldAt = r.now
		accounts++
		tracer.Write(&tracer.TasksWaiting{
			Job:       group.Job().Spec().GetId(),
			Step:      group.Name(),
			Tasks:     pending(group),
			Waited:    tracer.Milliseconds(r.now - step.since),
			Epoch:     epoch,
			Obstacles: named(c.Planner.Obstacles(group, first, r.hosts)),
		})
	}
	for name, step := range c.waiting {
		if !step.present {
			delete(c.waiting, name)
		}
	}
}

func (c *Coordinator) waitingStep(name string, now time.Duration) *waitingStep {
	step := c.waiting[name]
	if step == nil {
		step = &waitingStep{since: now}
		c.waiting[name] = step
	}
	step.present = true
	return step
}

func firstPending(group *tracker.Group) *tracker.Task {
	for _, t := range group.Tasks() {
		if t.Pending() {
			return t
		}
	}
	return nil
}

func pending(group *tracker.Group) int {
	count := 0
	for _, t := range group.Tasks() {
		if t.Pending() {
			count++
		}
	}
	return count
}

func named(obstacles map[planner.Obstacle]int) map[string]int {
	counts := map[string]int{}
	for obstacle, hosts := range obstacles {
		if obstacle == planner.NoObstacle {
			obstacle = "none"
		}
		counts[string(obstacle)] = hosts
	}
	return counts
}
