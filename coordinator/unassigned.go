package coordinator

import (
	"slices"

	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// unassignedRun is a run in progress whose task is not assigned to its executor: its
// start took effect after the task was released. It is stopped, and the task gets no
// further run until it has ended.
type unassignedRun struct {
	task     string
	run      int32
	executor tracker.ExecutorKey
}

// stopUnassigned stops the runs of a new list that are not assigned to the executor,
// and forgets those that it no longer shows. A new session orders the stops again,
// because the agent may have lost them with the last one.
func (c *Coordinator) stopUnassigned(view *sessionView) {
	known := c.unassigned
	c.forgetUnassignedOn(view.key)
	for _, run := range view.running {
		listed := unassignedRun{
			task:     run.GetTask(),
			run:      run.GetRun(),
			executor: view.key,
		}
		t := c.task(listed.task)
		if t != nil && t.Assigned() && t.Run() == listed.run && t.Executor() == view.key {
			continue
		}
		c.unassigned = append(c.unassigned, listed)
		if view.opening || !slices.Contains(known, listed) {
			view.addStopOrder(listed.task, listed.run, notAssigned(t))
		}
	}
}

// forgetUnassignedOn drops the unassigned runs of an executor.
func (c *Coordinator) forgetUnassignedOn(executor tracker.ExecutorKey) {
	c.unassigned = slices.DeleteFunc(slices.Clone(c.unassigned), func(run unassignedRun) bool { return run.executor == executor })
}

// endUnassigned drops an unassigned run that has ended.
func (c *Coordinator) endUnassigned(view *sessionView, end *wire.RunEnd) {
	ended := unassignedRun{
		task:     end.GetTask(),
		run:      end.GetRun(),
		executor: view.key,
	}
	c.unassigned = slices.DeleteFunc(c.unassigned, func(run unassignedRun) bool { return run == ended })
}

// withoutUnassigned returns the groups without the tasks that have an unassigned run.
// A gang waits as a whole, because its members start together.
func (c *Coordinator) withoutUnassigned(groups []*tracker.Group) []*tracker.Group {
	if len(c.unassigned) == 0 {
		return groups
	}
	held := map[string]bool{}
	for _, run := range c.unassigned {
		held[run.task] = true
	}
	var rest []*tracker.Group
	for _, group := range groups {
		if group = group.Without(held); group != nil {
			rest = append(rest, group)
		}
	}
	return rest
}
