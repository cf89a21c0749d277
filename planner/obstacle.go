package planner

import (
	"slices"

	"damaskspread.example/damaskspread/tracker"
)

// Obstacle is what keeps a host from taking a task.
type Obstacle string

// Obstacles, in the order in which they are looked for.
const (
	NoObstacle               Obstacle = ""
	ObstacleService          Obstacle = "other_service"
	ObstacleUnusable         Obstacle = "not_usable"
	ObstacleSetAside         Obstacle = "set_aside"
	ObstacleTicket           Obstacle = "no_ticket"
	ObstacleAntiAffinity     Obstacle = "anti_affinity"
	ObstacleLabel            Obstacle = "label"
	ObstacleMemory           Obstacle = "memory"
	ObstacleAccelerators     Obstacle = "accelerators"
	ObstacleProcessors       Obstacle = "processors"
	ObstacleKept             Obstacle = "kept_for_large_task"
	ObstacleStrained         Obstacle = "serving_task_near_target"
	ObstacleNoIdleProcessors Obstacle = "no_idle_processors"
)

// Obstacles counts the hosts by what keeps them from taking a waiting task.
func (p *Planner) Obstacles(group *tracker.Group, task *tracker.Task, hosts []*Host) map[Obstacle]int {
	counts := map[Obstacle]int{}
	for _, host := range hosts {
		counts[p.obstacle(host, group, task)]++
	}
	return counts
}

// obstacle is the first one that keeps the host from taking the task.
func (p *Planner) obstacle(host *Host, group *tracker.Group, task *tracker.Task) Obstacle {
	if closed := p.closed(host, group, task); closed != NoObstacle {
		return closed
	}
	step := group.Step()
	if shortage := host.shortage(step, nil); shortage != NoObstacle {
		return shortage
	}
	switch {
	case host.keeps(step):
		return ObstacleKept
	case step.GetFillsIdle() && host.Strained:
		return ObstacleStrained
	case step.GetFillsIdle() && p.speed(host, step) < leastSpeed:
		return ObstacleNoIdleProcessors
	default:
		return NoObstacle
	}
}

// closed is the obstacle that remains however much room the host has.
func (p *Planner) closed(host *Host, group *tracker.Group, task *tracker.Task) Obstacle {
	label := group.Step().GetRequiredLabel()
	switch {
	case host.Service != group.Job().Spec().GetService():
		return ObstacleService
	case !host.Usable:
		return ObstacleUnusable
	case host.Suspect && !host.admitsTrial(group, task):
		return ObstacleSetAside
	case !p.advised(host, group):
		return ObstacleTicket
	case host.crowded(group.Name(), group.Step()):
		return ObstacleAntiAffinity
	case label != "" && !slices.Contains(host.Labels, label):
		return ObstacleLabel
	default:
		return NoObstacle
	}
}
