package planner

import (
	"iter"
	"slices"

	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// StepPreview is where the tasks of one step would start.
type StepPreview struct {
	Group *tracker.Group
	// Tried is the number of tasks that Preview tried to place; 0 if it left out the
	// step.
	Tried int
	// Starts has the number of tasks that would start, by host.
	Starts map[string]int
	// Obstacles counts the hosts before a task of the step is placed, Remaining after
	// all starts; Remaining is nil if all tasks start. See Planner.Obstacles.
	Obstacles, Remaining map[Obstacle]int
	// First is the number of waiting groups of the service that go before the step, of
	// Waiting ones.
	First, Waiting int
}

// Preview returns where the tasks of a job of which no task has started would start,
// for the ready steps of its first occurrence, in their order. waiting are the groups
// with tasks that Plan has placed on none of the hosts, hosts are those that it has
// changed. The job is placed as in a plan after that one: groups that go first were
// tried already, and the others don't count. Preview changes nothing. It tries so many
// steps, and tasks of each, that the job takes about maxChecks checks of a task on a
// host, at least one task of one step.
func (p *Planner) Preview(job *tracker.Job, waiting []*tracker.Group, hosts []*Host, nowUnixMs int64, maxChecks int) []StepPreview {
	ready := slices.DeleteFunc(job.Ready(nowUnixMs), func(group *tracker.Group) bool { return group.Occurrence() > 0 })
	ordered := slices.Clone(ready)
	for _, group := range waiting {
		if group.Job().Service() == job.Service() {
			ordered = append(ordered, group)
		}
	}
	p.Order(ordered, nowUnixMs)
	budget := newPreviewBudget(maxChecks, len(hosts), len(ready))
	trial := cloneHosts(hosts)
	first := map[*tracker.Group]bool{}
	var previews []StepPreview
	for _, group := range ordered {
		if group.Job() != job {
			first[group] = true
			continue
		}
		preview := StepPreview{
			Group: group,
		}
		if budget.take(group.Step()) || len(previews) == 0 {
			setReservations(trial, hosts, first, job)
			preview = p.previewStep(group, trial, budget.tasksPerStep)
		}
		preview.First = len(first)
		preview.Waiting = len(ordered) - len(ready)
		previews = append(previews, preview)
	}
	return previews
}

// What a preview of a step costs for each host apart from placing tasks, in checks of a
// task on a host: its obstacles are checked twice, and for a gang the host is copied.
const (
	checksPerStep = 3
	checksPerGang = 16
)

// previewBudget limits the steps of a preview and the tasks that are tried of each.
type previewBudget struct {
	// checksPerHost is the number of checks on each host that are left for steps.
	checksPerHost int
	tasksPerStep  int
}

// newPreviewBudget divides maxChecks, the checks of a task on a host, evenly among the
// steps that it suffices for.
func newPreviewBudget(maxChecks, hosts, steps int) previewBudget {
	checksPerHost := maxChecks / max(1, hosts)
	affordableSteps := min(steps, checksPerHost/checksPerStep)
	return previewBudget{
		checksPerHost: checksPerHost,
		tasksPerStep:  max(1, checksPerHost/max(1, affordableSteps)),
	}
}

// take takes the checks of a step from the budget and reports whether it suffices.
func (b *previewBudget) take(step *wire.JobStep) bool {
	checks := checksPerStep
	if step.GetGang() {
		checks = checksPerGang
	}
	b.checksPerHost -= checks
	return b.checksPerHost >= 0
}

// previewStep places the tasks of the group on the hosts.
func (p *Planner) previewStep(group *tracker.Group, hosts []*Host, maxTasks int) StepPreview {
	first := group.First()
	tried := min(group.Pending(), maxTasks)
	preview := StepPreview{
		Group:     group,
		Tried:     tried,
		Starts:    map[string]int{},
		Obstacles: p.Obstacles(group, first, hosts),
	}
	var plan []Assignment
	switch {
	case !group.Step().GetGang():
		plan = p.planTasks(group, firstOf(group.EachPending(), tried), hosts)
	case tried == group.Pending():
		plan = p.planGang(group, hosts)
	}
	for _, assignment := range plan {
		preview.Starts[assignment.Host.Name]++
	}
	if len(plan) < group.Pending() {
		preview.Remaining = p.Obstacles(group, first, hosts)
	}
	return preview
}

// firstOf iterates over the first count tasks, and asks for no further one.
func firstOf(tasks iter.Seq[*tracker.Task], count int) iter.Seq[*tracker.Task] {
	return func(yield func(*tracker.Task) bool) {
		left := count
		for task := range tasks {
			left--
			if !yield(task) || left <= 0 {
				return
			}
		}
	}
}

// setReservations gives the copies of the hosts the reservations for the large tasks of
// the groups in first. Those of the other groups are left out, because the next plan
// makes them only after the job is placed. Those of the job itself stay.
func setReservations(copies, hosts []*Host, first map[*tracker.Group]bool, job *tracker.Job) {
	for i, host := range hosts {
		if !host.reserved || copies[i].reservedFor.Job() == job {
			continue
		}
		copies[i].reserved = first[host.reservedFor]
		copies[i].reservedMemory = copies[i].reserved && host.reservedMemory
	}
}
