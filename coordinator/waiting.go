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
	since, toldAt time.Duration
}

// noteWaiting tells what keeps tasks waiting that are due for a while.
func (c *Coordinator) noteWaiting(groups []*tracker.Group, r *round, epoch int64) {
	waiting := map[string]*waitingStep{}
	accounts := 0
	for _, group := range groups {
		tasks := pending(group)
		if len(tasks) == 0 {
			continue
		}
		step := c.waiting[group.Name()]
		if step == nil {
			step = &waitingStep{since: r.now}
		}
		waiting[group.Name()] = step
		if accounts == maxAccounts || r.now-step.since < waitingAfter || r.now-step.toldAt < waitingEvery {
			continue
		}
		step.toldAt = r.now
		accounts++
		tracer.Write(&tracer.TasksWaiting{
			Job:       group.Job().Spec().GetId(),
			Step:      group.Name(),
			Tasks:     len(tasks),
			Waited:    tracer.Milliseconds(r.now - step.since),
			Epoch:     epoch,
			Obstacles: named(c.Planner.Obstacles(group, tasks[0], r.hosts)),
		})
	}
	c.waiting = waiting
}

// pending are the tasks of a group that still wait after the round's plan.
func pending(group *tracker.Group) []*tracker.Task {
	var tasks []*tracker.Task
	for _, t := range group.Tasks() {
		if t.Pending() {
			tasks = append(tasks, t)
		}
	}
	return tasks
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
