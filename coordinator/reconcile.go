package coordinator

import (
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
)

// takeReplacedOrphans removes and returns the orphans on the session's host, which
// the session's executor has replaced.
func (c *Coordinator) takeReplacedOrphans(view *sessionView) []lostExecutor {
	var lost []lostExecutor
	for key, orphan := range c.orphans {
		if orphan.host == view.host {
			lost = append(lost, lostExecutor{
				key:        key,
				host:       orphan.host,
				cause:      tracer.LossReplaced,
				replacedBy: view.session.id,
			})
			delete(c.orphans, key)
		}
	}
	return lost
}

// reconcile adopts runs that are not assigned to the executor, and orders again what was
// ordered for those that are. Starts of runs that the list doesn't show follow once it is
// known that they are still permitted; see repeatStarts.
func (c *Coordinator) reconcile(view *sessionView) {
	for _, run := range view.running {
		t := c.task(run.GetTask())
		if t != nil && mayAdopt(t, run.GetRun(), view.key) {
			c.adopt(view, t)
		}
		if t == nil || !t.Assigned() || t.Run() != run.GetRun() || t.Executor() != view.key {
			continue
		}
		// The executor has outlived a lost connection that an earlier process of the
		// agent reported.
		t.WithdrawExposure(run.GetRun())
	}
	c.eachAssigned(view.key, func(t *tracker.Task) {
		switch {
		case t.Job().Over():
			t.MarkStopping()
			view.addStopOrder(t.ID().String(), t.Run(), tracer.StopOrdered{
				Reason: tracer.StopJobOver,
			})
		case t.Stopping():
			// The agent may have lost the order with its last session.
			view.addStopOrder(t.ID().String(), t.Run(), tracer.StopOrdered{
				Reason: tracer.StopRepeated,
			})
		case view.lists(t):
			// The run is in progress: the agent starts nothing but learns its step from
			// the order.
			c.repeatStartOrder(view, t)
		}
	})
}

// mayAdopt reports whether a run that is in progress on an executor is the latest
// one of its task although the task is not assigned to that executor: it waits for
// a host, or is assigned to another incarnation with the same id. The start took
// effect late, or in the incarnation that replaced the one it was sent to.
func mayAdopt(t *tracker.Task, run int32, executor tracker.ExecutorKey) bool {
	if t.Run() != run || t.Job().Over() || t.Executor() == executor {
		return false
	}
	return t.Pending() || (t.Assigned() && t.Executor().ID == executor.ID)
}

// notAssigned returns the event for the stop of a run that is not assigned, with the
// latest run of its task. The task is nil if the job is not open.
func notAssigned(t *tracker.Task) tracer.StopOrdered {
	event := tracer.StopOrdered{Reason: tracer.StopNotAssigned}
	if t == nil {
		return event
	}
	event.Latest = t.Run()
	event.LatestExecutor = t.Executor().ID
	event.LatestBorn = t.Executor().BornUnixMs
	switch {
	case t.Assigned():
		event.LatestState = "assigned"
	case t.Done():
		event.LatestState = "done"
	default:
		event.LatestState = "pending"
	}
	return event
}

// adopt assigns the task's latest run to the executor on which it is in progress.
// Otherwise the next run would start beside it.
func (c *Coordinator) adopt(view *sessionView, t *tracker.Task) {
	from := t.Executor()
	t.Adopt(view.key, view.host)
	tracer.Write(&tracer.RunAdopted{
		Job:      t.ID().Job,
		Task:     t.ID().String(),
		Run:      t.Run(),
		Host:     view.host,
		Executor: view.key.ID,
		Born:     view.key.BornUnixMs,
		Session:  view.session.id,
		From:     from.ID,
		FromBorn: from.BornUnixMs,
	})
}
