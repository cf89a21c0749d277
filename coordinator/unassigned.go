package coordinator

import (
	"maps"
	"slices"

	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// unassignedRun is a run in progress whose task is not assigned to its executor: its
// start took effect after the task was released, or it was copied; see copiedRun. It is
// stopped unless it was copied, and the task gets no further run until it has ended.
type unassignedRun struct {
	task     string
	run      int32
	executor tracker.ExecutorKey
}

// stopUnassigned stops the runs of a new list that are not assigned to the executor. The
// list of an opening replaces what is known of the executor, and the stops are ordered
// again, because the agent may have lost them with the last session. If the agent does not
// know all ends by then, a run that the list lacks may have ended, and its end is yet to
// come, so it stays until the agent does. A later list may be older than the one before it,
// so further runs that it lacks stay until their ends are reported.
func (c *Coordinator) stopUnassigned(view *sessionView) {
	if view.opening {
		c.keepUnlisted(view)
		c.keepCopied(view)
	}
	if !view.endsMissing {
		c.forgetUnlisted(view)
	}
	for _, run := range view.running {
		listed := unassignedRun{
			task:     run.GetTask(),
			run:      run.GetRun(),
			executor: view.key,
		}
		t := c.task(listed.task)
		assigned := t != nil && t.Assigned() && t.Run() == listed.run && t.Executor() == view.key
		if assigned || slices.Contains(c.unassigned, listed) {
			continue
		}
		c.unassigned = append(c.unassigned, listed)
		if t != nil {
			t.AddOlderRun(tracker.OlderRun{
				Run:      listed.run,
				Executor: view.key,
				Host:     view.host,
			})
		}
		view.addStopOrder(listed.task, listed.run, notAssigned(t))
	}
}

// keepUnlisted marks the unassigned runs of an executor that the list of its opening lacks.
func (c *Coordinator) keepUnlisted(view *sessionView) {
	for _, run := range c.unassigned {
		switch {
		case run.executor != view.key:
		case view.listsRun(newListedRun(run.task, run.run)):
			delete(c.unlisted, run)
		default:
			c.unlisted[run] = true
		}
	}
}

// forgetUnlisted drops the runs that keepUnlisted has marked, since the agent knows all ends
// of the executor. The session began after their starts, so none of its lists is too old to
// show them.
func (c *Coordinator) forgetUnlisted(view *sessionView) {
	if len(c.unlisted) == 0 {
		return
	}
	c.forgetUnassigned(func(run unassignedRun) bool {
		return run.executor == view.key && c.unlisted[run] && !view.listsRun(newListedRun(run.task, run.run))
	})
	maps.DeleteFunc(c.unlisted, func(run unassignedRun, _ bool) bool { return run.executor == view.key })
}

// forgetUnassignedOn drops the unassigned runs of an executor.
func (c *Coordinator) forgetUnassignedOn(executor tracker.ExecutorKey) {
	c.forgetUnassigned(func(run unassignedRun) bool { return run.executor == executor })
}

// endUnassigned drops an unassigned run that has ended.
func (c *Coordinator) endUnassigned(view *sessionView, end *wire.RunEnd) {
	ended := unassignedRun{
		task:     end.GetTask(),
		run:      end.GetRun(),
		executor: view.key,
	}
	c.forgetUnassigned(func(run unassignedRun) bool { return run == ended })
}

// forgetUnassigned drops the unassigned runs for which over returns true.
func (c *Coordinator) forgetUnassigned(over func(unassignedRun) bool) {
	c.unassigned = slices.DeleteFunc(c.unassigned, func(run unassignedRun) bool {
		if !over(run) {
			return false
		}
		delete(c.copies, run)
		delete(c.unlisted, run)
		if t := c.task(run.task); t != nil {
			t.RemoveOlderRun(run.run, run.executor)
		}
		return true
	})
}

// restoreUnassigned takes over the unassigned runs of a task that an earlier leader has
// stored. Their executors are orphans like those of assigned tasks.
func (c *Coordinator) restoreUnassigned(epoch int64, t *tracker.Task) {
	for _, older := range t.OlderRuns() {
		c.addUnassigned(t, older)
		c.addOrphan(epoch, older.Host, older.Executor)
	}
}

// addUnassigned adds an older run of a task.
func (c *Coordinator) addUnassigned(t *tracker.Task, older tracker.OlderRun) {
	run := unassignedRun{
		task:     t.ID().String(),
		run:      older.Run,
		executor: older.Executor,
	}
	c.unassigned = append(c.unassigned, run)
	if older.Copied {
		c.copies[run] = &copiedRun{
			step:      t.Step(),
			group:     t.GroupName(),
			copyEnded: !t.Assigned(),
		}
	}
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
