package planner

import (
	"cmp"
	"slices"

	"damaskspread.example/damaskspread/tracker"
)

// planForced forces the start of one task of each job whose wait has reached the
// bound and which has no run in progress. plan is what was assigned before.
func (p *Planner) planForced(groups []*tracker.Group, hosts []*Host, plan []Assignment) []Assignment {
	if p.BestEffortWait <= 0 {
		return nil
	}
	started := map[*tracker.Job]bool{}
	for _, assignment := range plan {
		started[assignment.Task.Job()] = true
	}
	var forced []Assignment
	for _, group := range groups {
		// The search below looks at each host for each waiting group.
		if !slices.ContainsFunc(hosts, func(host *Host) bool { return !host.ForcedUnmeasured }) {
			break
		}
		if started[group.Job()] || !p.mayForce(group, hosts) {
			continue
		}
		if assignment, fits := p.forceStart(group, hosts); fits {
			started[group.Job()] = true
			forced = append(forced, assignment)
		}
	}
	return forced
}

// mayForce reports whether the group's wait has reached the bound. Gangs start at
// full pace on several hosts at once, so they are never forced.
func (p *Planner) mayForce(group *tracker.Group, hosts []*Host) bool {
	step := group.Step()
	if !step.GetFillsIdle() || step.GetGang() || group.Job().AssignedTasks() > 0 {
		return false
	}
	service := group.Job().Service()
	i := slices.IndexFunc(hosts, func(host *Host) bool { return host.Service == service })
	return i >= 0 && group.Waited() >= p.WaitBound(hosts[i])
}

// forceStart starts a task of the group at the lowest pace on the host that is
// affected least. A suspected task waits for its probation instead.
func (p *Planner) forceStart(group *tracker.Group, hosts []*Host) (Assignment, bool) {
	var task *tracker.Task
	for task = range unsuspectedTasks(group) {
		break
	}
	if task == nil {
		return Assignment{}, false
	}
	host := p.chooseForcedHost(group, task, hosts)
	if host == nil {
		return Assignment{}, false
	}
	speed := p.speed(host, group.Step())
	host.place(task, group.Name())
	host.ForcedUnmeasured = true
	return Assignment{
		Task:    task,
		Host:    host,
		Run:     task.Run() + 1,
		Group:   group.Name(),
		Percent: LowestPercent,
		Forced:  true,
		Waited:  group.Waited(),
		Speed:   speed,
	}, true
}

// forcedClass ranks the hosts for a forced start of a task; the lowest class is best.
type forcedClass int

const (
	forcedBelowTarget forcedClass = iota
	forcedAboveTarget
	// forcedAtRisk are hosts on which the task or many tasks have failed.
	forcedAtRisk
	forcedClasses
)

func forcedClassOf(host *Host, task *tracker.Task) forcedClass {
	switch {
	case host.Suspect || task.FailedOn(host.Key.ID):
		return forcedAtRisk
	case host.Margin < 0:
		return forcedAboveTarget
	default:
		return forcedBelowTarget
	}
}

// chooseForcedHost returns the host with the largest margin in the best class of
// those that only the load of their tasks excludes. Hosts on which an earlier forced
// start isn't measured yet can't be chosen, but count for the class: a host above
// its target gets no task while another one only has to be measured first.
func (p *Planner) chooseForcedHost(group *tracker.Group, task *tracker.Task, hosts []*Host) *Host {
	var best [forcedClasses]*Host
	lowest := forcedClasses
	for _, host := range hosts {
		if obstacle := p.obstacle(host, group, task); obstacle != ObstacleNearTarget && obstacle != ObstacleNoIdleProcessors {
			continue
		}
		class := forcedClassOf(host, task)
		lowest = min(lowest, class)
		if !host.ForcedUnmeasured && (best[class] == nil || host.hasMoreMargin(best[class])) {
			best[class] = host
		}
	}
	if lowest == forcedClasses {
		return nil
	}
	return best[lowest]
}

// hasMoreMargin compares the margins of hosts. Hosts without serving tasks have the
// same margin; of them the one with the larger idle share is better.
func (h *Host) hasMoreMargin(other *Host) bool {
	return cmp.Or(cmp.Compare(h.Margin, other.Margin), cmp.Compare(h.idleShare(), other.idleShare())) > 0
}
