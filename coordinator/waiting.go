package coordinator

import (
	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
)

// reportWaiting writes to the trace why the tasks of a step have waited for longer
// than waitReportDelay. Steps of which recovery holds tasks back are those of reportHeld.
func (c *Coordinator) reportWaiting(groups []*tracker.Group, cycle *cycleState, epoch int64) {
	c.waiting.begin(cycle.now)
	for _, group := range groups {
		first := group.First()
		if first == nil {
			continue
		}
		waited, due := c.waiting.due(group.Name())
		if !due || c.recovery.holds(group) {
			continue
		}
		tracer.Write(&tracer.TasksWaiting{
			Job:       group.Job().Spec().GetId(),
			Step:      group.Name(),
			Tasks:     group.Pending(),
			Waited:    tracer.Milliseconds(max(waited, group.Waited())),
			Epoch:     epoch,
			Obstacles: obstacleCounts(c.Planner.Obstacles(group, first, cycle.hosts)),
			Cost:      c.waitCost(group),
			First:     c.firstCosts[group.Job().Service()],
		})
	}
	c.waiting.end()
}

// recordFirstCost keeps, for each service, the cost of the step that the cycle
// starts first, for the reports of the steps that wait longer.
func (c *Coordinator) recordFirstCost(assignments []planner.Assignment) {
	if !c.Planner.CostOrder {
		return
	}
	seen := map[string]bool{}
	for _, assignment := range assignments {
		if service := assignment.Host.Service; !seen[service] {
			seen[service] = true
			c.firstCosts[service] = c.waitCost(assignment.Task.Group())
		}
	}
}

// waitCost describes the cost of waiting of a step, with its inputs. It is nil if
// steps are not ordered by cost.
func (c *Coordinator) waitCost(group *tracker.Group) *tracer.WaitCost {
	if !c.Planner.CostOrder {
		return nil
	}
	waiting := planner.WaitingOf(group, c.Clock.Now().UnixMilli())
	cost := planner.CostOf(waiting)
	return &tracer.WaitCost{
		Step:     group.Name(),
		Priority: cost.Priority,
		Class:    cost.Class.String(),
		Amount:   cost.Amount,
		Slack:    tracer.Milliseconds(waiting.Slack()),
		Work:     waiting.Work,
	}
}

// obstacleCounts converts the counts for the trace, which needs a name for hosts
// without an obstacle.
func obstacleCounts(obstacles map[planner.Obstacle]int) map[string]int {
	counts := map[string]int{}
	for obstacle, hosts := range obstacles {
		if obstacle == planner.NoObstacle {
			obstacle = "none"
		}
		counts[string(obstacle)] = hosts
	}
	return counts
}
