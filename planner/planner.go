// Package planner decides which tasks start where.
//
// It is a function of the waiting tasks and the hosts, without network, clock
// or state of its own: the caller rebuilds the hosts for each round.
package planner

import (
	"slices"

	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// Assignment is a task with the host that is to run it.
type Assignment struct {
	Task  *tracker.Task
	Host  *Host
	Run   int32
	Group string
}

// Planner holds the settings of the decisions.
type Planner struct {
	// Weight is the effect of a disturbing image on a serving one; nil knows
	// none.
	Weight func(disturbing, serving string) float64
	// Ticket is an executor's ticket for a step whose queue needs advice.
	Ticket func(step, executor string) (string, bool)
}

// Plan assigns what can start now. Groups are in the order of Order.
func (p *Planner) Plan(groups []*tracker.Group, hosts []*Host) []Assignment {
	var plan []Assignment
	for _, group := range groups {
		if group.Step().GetGang() {
			plan = append(plan, p.planGang(group, hosts)...)
			continue
		}
		plan = append(plan, p.planTasks(group, hosts)...)
	}
	return plan
}

func (p *Planner) planTasks(group *tracker.Group, hosts []*Host) []Assignment {
	var plan []Assignment
	name := group.Name()
	rack := ""
	for _, task := range group.Tasks() {
		host := p.choose(group, task, name, hosts, rack)
		if host == nil {
			p.keepRoom(group, task, hosts)
			continue
		}
		host.Occupy(name, group.Step())
		if group.Step().GetSameRack() {
			rack = host.Rack()
		}
		plan = append(plan, Assignment{
			Task:  task,
			Host:  host,
			Run:   task.Run() + 1,
			Group: name,
		})
	}
	return plan
}

// planGang assigns all members or none.
func (p *Planner) planGang(group *tracker.Group, hosts []*Host) []Assignment {
	if len(group.Tasks()) < len(group.All()) {
		return nil
	}
	trial := cloneHosts(hosts)
	plan := p.planTasks(group, trial)
	if len(plan) < len(group.All()) {
		return nil
	}
	run := group.NextRun()
	for i := range plan {
		host := hosts[slices.Index(trial, plan[i].Host)]
		host.Occupy(plan[i].Group, group.Step())
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

func (p *Planner) choose(group *tracker.Group, task *tracker.Task, name string, hosts []*Host, rack string) *Host {
	step := group.Step()
	var best *Host
	var bestScore float64
	for _, host := range hosts {
		if p.obstacle(host, group, task) != NoObstacle {
			continue
		}
		score := p.score(host, step, task, name)
		if rack != "" && host.Rack() != rack {
			score -= scoreOtherRack
		}
		if best == nil || score > bestScore {
			best = host
			bestScore = score
		}
	}
	return best
}

// advised reports whether the host has a ticket, if the step needs one.
func (p *Planner) advised(host *Host, group *tracker.Group) bool {
	if !group.Job().Spec().GetNeedsAdvice() {
		return true
	}
	if p.Ticket == nil {
		return false
	}
	_, granted := p.Ticket(group.Name(), host.Key.ID)
	return granted
}

// leastSpeed is the predicted share of its processors below which a filling
// task rather waits.
const leastSpeed = 0.5

// Weights of a placement score; the idle share of a host is between 0 and 1.
const (
	scoreOtherRack = 4.0
	scoreFar       = 1.0
	scoreFailedOn  = 8.0
	scoreSuspect   = 16.0
	scoreSpeed     = 3.0
	scoreSameImage = 0.5
	// scoreCrowded spreads the tasks of a step.
	scoreCrowded = 0.02
)

func (p *Planner) score(host *Host, step *wire.JobStep, task *tracker.Task, name string) float64 {
	score := 0.0
	switch {
	case step.GetFillsIdle():
		score = host.idleShare() + scoreSpeed*p.speed(host, step)
	case step.GetTargetLatencyMs() > 0:
		// Serving tasks share few hosts, so that the others can be filled without
		// disturbing any.
		score = host.reservedShare() + scoreSameImage*affinity(host, step.GetImage()) - p.disturbance(host, step.GetImage())
	default:
		score = host.idleShare()
	}
	score -= scoreCrowded * float64(host.tasksByStep[name])
	if !host.near(step) {
		score -= scoreFar
	}
	if task.FailedOn(host.Key.ID) {
		score -= scoreFailedOn
	}
	if host.Suspect {
		score -= scoreSuspect
	}
	return score
}
