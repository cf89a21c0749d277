package planner

import (
	"slices"

	"damaskspread.example/damaskspread/tracker"
)

// Obstacle is the reason why a host can't take a task. The values appear in
// explanations of waiting tasks.
type Obstacle string

// Obstacles, in the order in which they are checked.
const (
	NoObstacle               Obstacle = ""
	ObstacleService          Obstacle = "other_service"
	ObstacleUnusable         Obstacle = "not_usable"
	ObstacleSuspect          Obstacle = "set_aside"
	ObstacleProbation        Obstacle = "probation"
	ObstacleTicket           Obstacle = "no_ticket"
	ObstacleLabel            Obstacle = "label"
	ObstacleAntiAffinity     Obstacle = "anti_affinity"
	ObstacleMemory           Obstacle = "memory"
	ObstacleAccelerators     Obstacle = "accelerators"
	ObstacleProcessors       Obstacle = "processors"
	ObstacleReserved         Obstacle = "kept_for_large_task"
	ObstacleNearTarget       Obstacle = "serving_task_near_target"
	ObstacleNoIdleProcessors Obstacle = "no_idle_processors"
	// ObstacleGangEnded keeps a start from being repeated: a member of its gang has ended.
	ObstacleGangEnded Obstacle = "gang_ended"
)

// Obstacles counts the hosts by their first obstacle to a waiting task.
// NoObstacle counts the hosts that can take it.
func (p *Planner) Obstacles(group *tracker.Group, task *tracker.Task, hosts []*Host) map[Obstacle]int {
	counts := map[Obstacle]int{}
	mayStart := mayEnterProbation(group, task, hosts)
	for _, host := range hosts {
		obstacle := p.obstacle(host, group, task)
		if obstacle == NoObstacle && !mayStart {
			obstacle = ObstacleProbation
		}
		counts[obstacle]++
	}
	return counts
}

// obstacle returns the first obstacle to placing the task on the host.
func (p *Planner) obstacle(host *Host, group *tracker.Group, task *tracker.Task) Obstacle {
	if constraintObstacle := p.constraintObstacle(host, group, task); constraintObstacle != NoObstacle {
		return constraintObstacle
	}
	return p.roomObstacle(host, group)
}

// roomObstacle returns the first obstacle that depends on the tasks of the host.
func (p *Planner) roomObstacle(host *Host, group *tracker.Group) Obstacle {
	step := group.Step()
	if shortage := host.shortage(step, nil); shortage != NoObstacle {
		return shortage
	}
	switch {
	case host.reservationExcludes(group):
		return ObstacleReserved
	case step.GetFillsIdle() && host.NearTarget:
		return ObstacleNearTarget
	case step.GetFillsIdle() && !p.reachesSpeed(host, step, p.requiredSpeed(host, group)):
		return ObstacleNoIdleProcessors
	default:
		return NoObstacle
	}
}

// constraintObstacle returns the first obstacle that does not depend on the free
// capacity of the host.
func (p *Planner) constraintObstacle(host *Host, group *tracker.Group, task *tracker.Task) Obstacle {
	switch {
	case host.Service != group.Job().Service():
		return ObstacleService
	case !host.Usable:
		return ObstacleUnusable
	case host.Suspect && !host.admitsProbe(group, task):
		return ObstacleSuspect
	default:
		return p.taskObstacle(host, group, task)
	}
}

// taskObstacle is constraintObstacle for a host that may be used.
func (p *Planner) taskObstacle(host *Host, group *tracker.Group, task *tracker.Task) Obstacle {
	if host.probation.excludes(task) {
		return ObstacleProbation
	}
	if obstacle := p.PermissionObstacle(host, group); obstacle != NoObstacle {
		return obstacle
	}
	if host.antiAffinityReached(group.Name(), group.Step()) {
		return ObstacleAntiAffinity
	}
	return NoObstacle
}

// PermissionObstacle returns the obstacle that keeps all tasks of the group from the host
// for as long as both exist, or until a ticket is granted or the configuration changes.
func (p *Planner) PermissionObstacle(host *Host, group *tracker.Group) Obstacle {
	label := group.Step().GetRequiredLabel()
	switch {
	case host.Service != group.Job().Service():
		return ObstacleService
	case !p.ticketSuffices(host, group):
		return ObstacleTicket
	case label != "" && !slices.Contains(host.Labels, label):
		return ObstacleLabel
	default:
		return NoObstacle
	}
}
