package planner

import (
	"slices"

	"damaskspread.example/damaskspread/tracker"
)

// doubtfulGroups returns the groups whose tasks fail on most hosts. There are none unless
// a host is suspect.
func (p *Planner) doubtfulGroups(groups []*tracker.Group, hosts []*Host) map[*tracker.Group]bool {
	if p.Doubtful == nil || !slices.ContainsFunc(hosts, func(host *Host) bool { return host.Suspect }) {
		return nil
	}
	doubtful := map[*tracker.Group]bool{}
	for _, group := range groups {
		if p.Doubtful(group) {
			doubtful[group] = true
		}
	}
	return doubtful
}

// hostsByDoubt returns the hosts for a group: those that are not suspect if it is doubtful.
func hostsByDoubt(doubtful map[*tracker.Group]bool, hosts []*Host) func(*tracker.Group) []*Host {
	trusted := hosts
	if len(doubtful) > 0 {
		trusted = slices.DeleteFunc(slices.Clone(hosts), func(host *Host) bool { return host.Suspect })
	}
	return func(group *tracker.Group) []*Host {
		if doubtful[group] {
			return trusted
		}
		return hosts
	}
}

// planDoubtfulProbes assigns waiting tasks of doubtful groups to the suspect hosts that no
// other task probes. Their failures there would extend the backoff of a sound host, while
// the tasks that could show that it is sound wait. plan is what was assigned before.
func (p *Planner) planDoubtfulProbes(groups []*tracker.Group, hosts []*Host, doubtful map[*tracker.Group]bool, plan []Assignment) []Assignment {
	if len(doubtful) == 0 {
		return nil
	}
	assigned := map[*tracker.Task]bool{}
	for _, assignment := range plan {
		assigned[assignment.Task] = true
	}
	var probes []Assignment
	for _, group := range groups {
		switch {
		case !doubtful[group]:
			continue
		case group.Step().GetGang():
			if first := group.First(); !suspected(first) && !assigned[first] {
				probes = append(probes, p.planGang(group, hosts)...)
			}
			continue
		}
		waiting := func(yield func(*tracker.Task) bool) {
			for task := range unsuspectedTasks(group) {
				if !assigned[task] && !yield(task) {
					return
				}
			}
		}
		probes = append(probes, p.planTasks(group, waiting, hosts)...)
	}
	return probes
}
