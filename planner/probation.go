package planner

import (
	"iter"
	"slices"
	"time"

	"damaskspread.example/damaskspread/tracker"
)

// A task is suspected to crash its executors once an executor has crashed shortly
// after it had started the task. All tasks that had started there at that time are
// suspected alike, and most of them are healthy. So each of them starts apart from
// others: the next crash then tells which one it was, and takes little else along.

const (
	// ProbationTime is the time from the assignment of a suspected task during which
	// its host gets no other task. It covers the window in which an agent relates a
	// crash to a start, and the usual time from the assignment to the start.
	ProbationTime = 700 * time.Millisecond
	// probationShare is the share of a service's hosts, at least one host, that may
	// be in probation for tasks other than gangs. The others stay free for the tasks
	// that are not suspected.
	probationShare = 0.25
	// maxRounds is the number of probations one after another, about 3 s, in which the
	// waiting tasks of one crash have to start. If they are too many to start alone,
	// several start together.
	maxRounds = 4
	// maxWorkAge bounds the age up to which the work of a task counts as lost with
	// its host.
	maxWorkAge = time.Minute
	// Weights of the penalties of a host for a suspected task. They differ by more
	// than all that speaks for a host otherwise.
	penaltyRecentStart = 20.0
	penaltyCrashedOn   = 10.0
	weightWorkAtRisk   = 40.0
)

// probation is the part of a Host that concerns suspected tasks.
type probation struct {
	// by is the name of the suspected task, or of its gang, that the host has in
	// probation, or "".
	by string
	// planned is set once this cycle has placed a task on the host.
	planned bool
	// room is the number of further tasks that may start with the suspected task that
	// this cycle placed on the host.
	room int
	// recentStart is set if a task was assigned within ProbationTime.
	recentStart bool
	// workAtRisk is the work, in millicores times seconds, that is lost if the host's
	// executor crashes.
	workAtRisk float64
}

func suspected(task *tracker.Task) bool { return task.Job().Crashes() > 0 && task.Crashes() > 0 }

// addAssigned adds a task that was assigned in an earlier cycle.
func (p *probation) addAssigned(task *tracker.Task, from time.Duration) {
	if task.AssignedAt() >= from {
		p.recentStart = true
		if suspected(task) {
			p.by = task.SuspectName()
		}
		return
	}
	age := min(from-task.AssignedAt(), maxWorkAge)
	p.workAtRisk += float64(task.Step().GetResources().GetMillicores()) * age.Seconds()
}

// addPlanned adds a task that this cycle places on the host.
func (p *probation) addPlanned(task *tracker.Task) {
	p.planned = true
	if suspected(task) {
		p.by = task.SuspectName()
	}
}

// excludes reports whether the task may not start on the host now: the host has a
// suspected task in probation, or the task is suspected and others start with it.
func (p *probation) excludes(task *tracker.Task) bool {
	if p.by == "" && task.Job().Crashes() == 0 {
		return false
	}
	return p.separates(task)
}

// separates is excludes for the case that a suspected task is involved. It is a
// function of its own so that excludes, which most calls leave at once, is inlined.
func (p *probation) separates(task *tracker.Task) bool {
	if p.by != "" && !task.Step().GetGang() {
		return p.room == 0 || !mayShareProbation(task)
	}
	if p.by != "" {
		return p.by != task.SuspectName()
	}
	return p.planned && suspected(task)
}

// mayShareProbation reports whether the task may start together with other suspected
// ones. A task under which a second executor has crashed starts alone, so that the
// crashes that may fail its job can't be those of another task.
func mayShareProbation(task *tracker.Task) bool { return task.Crashes() == 1 }

// suspectPenalty is subtracted from the score of a host for a suspected task. It
// prefers hosts on which the fewest others would be lost or suspected with it.
func (h *Host) suspectPenalty(task *tracker.Task) float64 {
	if !suspected(task) {
		return 0
	}
	capacity := h.capacityMillicores() * maxWorkAge.Seconds()
	penalty := weightWorkAtRisk * h.probation.workAtRisk / capacity
	if h.probation.recentStart {
		penalty += penaltyRecentStart
	}
	if task.CrashedOn(h.Name) {
		penalty += penaltyCrashedOn
	}
	return penalty
}

// planSuspected places the suspected tasks before all others but the urgent long-running
// ones: a host that gets another task first is closed to them in this cycle, and on busy
// hosts they would wait without end.
func (p *Planner) planSuspected(groups []*tracker.Group, hosts []*Host) []Assignment {
	var plan []Assignment
	shared := sharedProbations(groups, hosts)
	for _, group := range groups {
		if group.Job().Crashes() == 0 {
			continue
		}
		if group.Step().GetGang() {
			if suspected(group.First()) {
				plan = append(plan, p.planGang(group, hosts)...)
			}
			continue
		}
		for task := range group.EachKnownPending() {
			if suspected(task) {
				plan = append(plan, p.planSuspectedTask(group, task, hosts, shared)...)
			}
		}
	}
	return plan
}

// groupsBeforeSuspected returns which groups are placed before the suspected tasks: the
// long-running steps of the most urgent priority. Probations, one after another, would keep
// them from the only hosts with capacity for them. There are none without suspected tasks.
func groupsBeforeSuspected(groups []*tracker.Group) func(*tracker.Group) bool {
	if !slices.ContainsFunc(groups, func(group *tracker.Group) bool { return group.Job().Crashes() > 0 }) {
		return func(*tracker.Group) bool { return false }
	}
	urgent := groups[0].Job().Spec().GetPriority()
	return func(group *tracker.Group) bool {
		return group.Step().GetLongRunning() && group.Job().Spec().GetPriority() == urgent
	}
}

// planSuspectedTask places one task on a host that goes into probation, or on one
// that went into probation in this cycle. shared is the number of tasks that start
// together on a host.
func (p *Planner) planSuspectedTask(group *tracker.Group, task *tracker.Task, hosts []*Host, shared int) []Assignment {
	candidates := hosts
	if !mayEnterProbation(group, task, hosts) {
		candidates = slices.DeleteFunc(slices.Clone(hosts), func(host *Host) bool { return host.probation.room == 0 })
	}
	plan := p.planTasks(group, slices.Values([]*tracker.Task{task}), candidates)
	for _, assignment := range plan {
		probation := &assignment.Host.probation
		switch {
		case probation.room > 0:
			probation.room--
		case mayShareProbation(task):
			probation.room = shared - 1
		}
	}
	return plan
}

// sharedProbations returns how many of the waiting suspected tasks start together on
// a host so that all of them start within maxRounds.
func sharedProbations(groups []*tracker.Group, hosts []*Host) int {
	waiting, places := 0, 1
	for _, group := range groups {
		if group.Job().Crashes() == 0 || group.Step().GetGang() {
			continue
		}
		places = max(places, probationLimit(group, hosts))
		for task := range group.EachKnownPending() {
			if suspected(task) && mayShareProbation(task) {
				waiting++
			}
		}
	}
	perRound := places * maxRounds
	return max(1, (waiting+perRound-1)/perRound)
}

// mayEnterProbation reports whether the task needs no probation or another host of
// its service may go into probation. Gangs, which need several hosts at once, may
// take any number.
func mayEnterProbation(group *tracker.Group, task *tracker.Task, hosts []*Host) bool {
	if !suspected(task) || group.Step().GetGang() {
		return true
	}
	used := 0
	for _, host := range hosts {
		if servesGroup(host, group) && host.probation.by != "" {
			used++
		}
	}
	return used < probationLimit(group, hosts)
}

// probationLimit returns how many hosts of the group's service may be in probation.
func probationLimit(group *tracker.Group, hosts []*Host) int {
	usable := 0
	for _, host := range hosts {
		if servesGroup(host, group) {
			usable++
		}
	}
	return max(1, int(probationShare*float64(usable)))
}

func servesGroup(host *Host, group *tracker.Group) bool {
	return host.Usable && host.Service == group.Job().Service()
}

// unsuspectedTasks iterates over the waiting tasks of the group that are not suspected.
func unsuspectedTasks(group *tracker.Group) iter.Seq[*tracker.Task] {
	if group.Job().Crashes() == 0 {
		return group.EachPending()
	}
	return func(yield func(*tracker.Task) bool) {
		for task := range group.EachPending() {
			if !suspected(task) && !yield(task) {
				return
			}
		}
	}
}

// InProbation reports whether a suspected task has just started on the host.
func (h *Host) InProbation() bool { return h.probation.by != "" }
