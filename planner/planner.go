// Package planner places the waiting tasks of jobs on executors: it orders them,
// chooses a host for each, and chooses tasks to preempt. Package coordinator
// calls it once in each scheduling cycle and carries out the result. Packages
// scheduler and placer place the tasks that are submitted singly, not as part of
// a job.
//
// A plan depends only on the waiting tasks, the hosts and the fields of
// Planner. The package has no network, no clock, no goroutines and no state
// between cycles; the caller builds the hosts anew for each cycle, and keeps a
// LatencyHistory of each.
//
// A serving task has a target latency. A best-effort task runs on processors
// that other tasks request but don't use. A long-running task has no end of its
// own.
package planner

import (
	"iter"
	"slices"
	"time"

	"damaskspread.example/damaskspread/assessor"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// Assignment places a task on a host. Run is the number of the run to start, and
// Group is the name of the task's group.
type Assignment struct {
	Task  *tracker.Task
	Host  *Host
	Run   int32
	Group string
	// Percent is the pace with which the run begins; 0 if it is not limited.
	Percent int32
	// Forced means that only the bound of the wait let the task start. Waited is the
	// wait of its step and Speed the predicted share of its requested processors;
	// both are set if Percent is.
	Forced bool
	Waited time.Duration
	Speed  float64
}

// Planner holds the inputs of a plan that don't change with each cycle. It may
// be used concurrently if its functions may, but not on the same hosts.
type Planner struct {
	// Weight returns the interference weight of a pair of images: what one host's
	// worth of processors, used by the interfering image, adds to the logarithm of
	// the serving image's latency. With nil, plans ignore interference.
	Weight func(interfering, serving string) float64
	// Ticket returns an executor's permission to run a step, and whether there is
	// one. With nil, jobs that need admission advice are never placed.
	Ticket func(step, executor string) (string, bool)
	// CostOrder makes Order sort by the cost of waiting instead of deadlines.
	CostOrder bool
	// LostWork makes ChooseVictims choose the victims that lose least.
	LostWork bool
	// BestEffortWait is the wait after which the start of a best-effort task that
	// fits by capacity is forced, see WaitBound; 0 leaves the wait unbounded.
	BestEffortWait time.Duration
	// Doubtful reports whether the tasks of the group fail on most hosts. They probe
	// suspect hosts only where no others do. With nil, no groups are doubtful.
	Doubtful func(*tracker.Group) bool
	// BestEffortSpeed is the share of its requested processors that a best-effort task
	// must be predicted to get, otherwise it waits; 0 means defaultBestEffortSpeed.
	// With a low share many tasks start beside each other and all of them are slow,
	// with a high one those that wait start later but end soon.
	BestEffortSpeed float64
	// ClearHosts is the share of a service's hosts that serving tasks leave clear while
	// they fit on the others, for best-effort tasks that interfere with most of them; 0
	// keeps none clear.
	ClearHosts float64
}

// Plan assigns the tasks that can start now and adds them to their hosts. The
// groups have to be sorted by Order.
func (p *Planner) Plan(groups []*tracker.Group, hosts []*Host) []Assignment {
	var plan []Assignment
	p.shareWeights(hosts)
	setServingLayout(groups, hosts)
	p.keepClear(hosts)
	p.setBusy(hosts)
	early := groupsBeforeSuspected(groups)
	doubtful := p.doubtfulGroups(groups, hosts)
	hostsFor := hostsByDoubt(doubtful, hosts)
	plan = append(plan, p.planUnsuspected(groups, hostsFor, early)...)
	plan = append(plan, p.planSuspected(groups, hosts)...)
	plan = append(plan, p.planUnsuspected(groups, hostsFor, func(group *tracker.Group) bool { return !early(group) })...)
	plan = append(plan, p.planDoubtfulProbes(groups, hosts, doubtful, plan)...)
	return append(plan, p.planForced(groups, hosts, plan)...)
}

// planUnsuspected assigns the waiting tasks that are not suspected, of the groups that
// include returns true for.
func (p *Planner) planUnsuspected(groups []*tracker.Group, hostsFor func(*tracker.Group) []*Host, include func(*tracker.Group) bool) []Assignment {
	var plan []Assignment
	for _, group := range groups {
		switch {
		case !include(group):
		case !group.Step().GetGang():
			plan = append(plan, p.planTasks(group, unsuspectedTasks(group), hostsFor(group))...)
		case !suspected(group.First()):
			plan = append(plan, p.planGang(group, hostsFor(group))...)
		}
	}
	return plan
}

// planTasks assigns waiting tasks of the group.
func (p *Planner) planTasks(group *tracker.Group, tasks iter.Seq[*tracker.Task], hosts []*Host) []Assignment {
	var plan []Assignment
	groupName := group.Name()
	rack := ""
	fits := true
	for task := range tasks {
		var host *Host
		if fits {
			host = p.chooseHost(group, task, groupName, hosts, rack)
			if host == nil {
				host = p.chooseSuspect(group, task, hosts)
			}
		}
		if host == nil {
			// The other tasks of the step have the same needs. Only a task that
			// failed before has fewer hosts than they.
			fits = fits && task.Failures() > 0
			if !p.reserveForLarge(group, task, hosts) && !fits {
				break
			}
			continue
		}
		assignment := Assignment{
			Task:  task,
			Host:  host,
			Run:   task.Run() + 1,
			Group: groupName,
		}
		p.limitStart(&assignment, group)
		host.place(task, groupName)
		if group.Step().GetSameRack() {
			rack = host.Rack()
		}
		plan = append(plan, assignment)
	}
	return plan
}

// planGang assigns all tasks of a gang or none. It places them on copies of the
// hosts first.
func (p *Planner) planGang(group *tracker.Group, hosts []*Host) []Assignment {
	if group.Pending() < group.Size() {
		return nil
	}
	trial := cloneHosts(hosts)
	plan := p.planTasks(group, group.EachPending(), trial)
	if len(plan) < group.Size() {
		return nil
	}
	run := group.NextRun()
	for i := range plan {
		host := hosts[slices.Index(trial, plan[i].Host)]
		host.place(plan[i].Task, plan[i].Group)
		plan[i].Host = host
		plan[i].Run = run
	}
	return plan
}

func cloneHosts(hosts []*Host) []*Host {
	clones := make([]*Host, len(hosts))
	for i, host := range hosts {
		clones[i] = host.clone()
	}
	return clones
}

func (p *Planner) chooseHost(group *tracker.Group, task *tracker.Task, groupName string, hosts []*Host, rack string) *Host {
	step := group.Step()
	var best *Host
	var bestScore float64
	for _, host := range hosts {
		if p.obstacle(host, group, task) != NoObstacle {
			continue
		}
		score := p.score(host, step, task, groupName)
		if rack != "" && host.Rack() != rack {
			score -= penaltyOtherRack
		}
		if best == nil || score > bestScore {
			best = host
			bestScore = score
		}
	}
	return best
}

// chooseSuspect returns the suspect host with the largest idle share that admits the
// long-running task and on which it hasn't failed, nil if there is none. One job whose
// tasks all fail makes each host suspect, again with each probe, so that a long-running
// task would wait until that job is over. Its own failure on a host costs it no attempt.
func (p *Planner) chooseSuspect(group *tracker.Group, task *tracker.Task, hosts []*Host) *Host {
	if !group.Step().GetLongRunning() {
		return nil
	}
	var best *Host
	for _, host := range hosts {
		if !host.Suspect || !host.AdmitsLasting || task.FailedOn(host.Key.ID) ||
			p.taskObstacle(host, group, task) != NoObstacle || p.roomObstacle(host, group) != NoObstacle {
			continue
		}
		if best == nil || host.idleShare() > best.idleShare() {
			best = host
		}
	}
	return best
}

// ticketSuffices reports whether the host has a ticket for the step or the job
// needs none.
func (p *Planner) ticketSuffices(host *Host, group *tracker.Group) bool {
	if !group.Job().NeedsAdvice() {
		return true
	}
	if p.Ticket == nil {
		return false
	}
	_, granted := p.Ticket(group.Name(), host.Key.ID)
	return granted
}

// Weights and penalties of the placement score, relative to the idle share of a
// host, which is at most 1.
const (
	// penaltyOtherRack applies outside the rack of the step's earlier tasks, if the
	// step asks for one rack.
	penaltyOtherRack           = 4.0
	penaltyOutsideAffinityRack = 1.0
	penaltyFailedOn            = 8.0
	penaltySuspect             = 16.0
	weightSpeed                = 3.0
	// weightFailures makes even a failure that is mostly explained outweigh the idle share.
	weightFailures = 4.0
	// penaltySameGroup applies to each task of the group that is already on the
	// host, so that the tasks of a group spread over hosts.
	penaltySameGroup = 0.02
)

func (p *Planner) score(host *Host, step *wire.JobStep, task *tracker.Task, groupName string) float64 {
	score := 0.0
	switch {
	case step.GetFillsIdle():
		score = host.idleShare() + weightSpeed*p.speed(host, step) + p.harmlessScore(host, step)
	case step.GetTargetLatencyMs() > 0:
		score = host.requestedShare() + host.servingImageScore(step.GetImage()) - p.interference(host, step.GetImage())
	default:
		score = host.idleShare()
	}
	score -= host.suspectPenalty(task)
	score -= penaltySameGroup * float64(host.tasksByGroup[groupName])
	if !host.inAffinityRack(step) {
		score -= penaltyOutsideAffinityRack
	}
	if task.FailedOn(host.Key.ID) {
		score -= penaltyFailedOn
	}
	// Long-running and best-effort tasks are placed by how they disturb each other, which a
	// single failure must not outweigh.
	if !step.GetLongRunning() && !step.GetFillsIdle() {
		score -= weightFailures * min(host.FailureEvidence, assessor.SuspectEvidence)
	}
	if host.Suspect {
		score -= penaltySuspect
	}
	return score
}
