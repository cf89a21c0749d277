package coordinator

import (
	"slices"
	"time"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
)

// startRepeatInterval is the time after which a start is sent again if the agent
// does not list its run as running.
const startRepeatInterval = 3 * time.Second

// listedRun is a run in a list. A list may show several runs of one task.
type listedRun struct {
	task string
	run  int32
}

// lists reports whether the latest list of runs shows the latest run of a task.
func (v *sessionView) lists(t *tracker.Task) bool {
	return v.listsRun(newListedRun(t.ID().String(), t.Run()))
}

func (v *sessionView) listsRun(run listedRun) bool {
	if v.listed == nil {
		v.listed = make(map[listedRun]bool, len(v.running))
		for _, run := range v.running {
			v.listed[newListedRun(run.GetTask(), run.GetRun())] = true
		}
	}
	return v.listed[run]
}

func newListedRun(task string, run int32) listedRun {
	return listedRun{
		task: task,
		run:  run,
	}
}

// repeatStarts orders again the starts of assigned runs that are not listed: those of a
// session that was opened since, and those that were ordered too long ago. The agent
// ignores starts of runs that are in progress or have ended. The decision to start may be
// that of an earlier leader, so a start is repeated only if a plan could make it now, on
// inputs as new as those of a plan; otherwise the run is stopped, so that it can't start
// late, and its task is released once the agent reports that it isn't there. A gang is
// started as a whole or not.
func (c *Coordinator) repeatStarts(cycle *cycleState) {
	zonesOut := c.Operations.ZonesOut()
	gangsOut := map[string]planner.Obstacle{}
	var due []*repeatedStart
	for _, view := range cycle.views {
		for _, start := range c.dueStarts(view, cycle.now) {
			start.obstacle = c.startObstacle(start, zonesOut)
			if start.obstacle != planner.NoObstacle && start.task.Step().GetGang() {
				gangsOut[start.task.GroupName()] = start.obstacle
			}
			due = append(due, start)
		}
		view.startsRepeated = !view.endsMissing
	}
	for _, start := range due {
		if obstacle := gangsOut[start.task.GroupName()]; obstacle != planner.NoObstacle {
			start.obstacle = obstacle
		}
		c.repeatStart(start)
	}
}

// repeatedStart is the start of an assigned run that is to be ordered again.
type repeatedStart struct {
	view *sessionView
	task *tracker.Task
	// obstacle is set if the task may not start on the host any more.
	obstacle planner.Obstacle
	// opening is set if the session has not had the order.
	opening bool
}

// dueStarts returns the starts that are due on an executor. None is due while it does not
// respond, or while its agent does not know all ends: most of the runs that are not listed
// have ended then.
func (c *Coordinator) dueStarts(view *sessionView, now time.Duration) []*repeatedStart {
	if !view.startsDue && !view.runsUpdated || !view.reachable || view.endsMissing {
		return nil
	}
	var due []*repeatedStart
	c.eachAssigned(view.key, func(t *tracker.Task) {
		if t.Stopping() || t.Job().Over() || view.lists(t) || !view.startsDue && !t.Overdue(now, startRepeatInterval) {
			return
		}
		due = append(due, &repeatedStart{
			view:    view,
			task:    t,
			opening: view.startsDue,
		})
	})
	return due
}

// startObstacle returns what keeps the task from starting on its host now, other than
// obstacles that will pass.
func (c *Coordinator) startObstacle(start *repeatedStart, zonesOut map[string]bool) planner.Obstacle {
	host := start.view.candidate
	if gangEnded(start.task) {
		return planner.ObstacleGangEnded
	}
	if zonesOut[host.Zone] || start.view.info.GetDraining() {
		return planner.ObstacleUnusable
	}
	return c.Planner.PermissionObstacle(host, start.task.Group())
}

// gangEnded reports whether a member of the task's gang is not in the same run any more: the
// gang starts anew as a whole.
func gangEnded(t *tracker.Task) bool {
	return slices.ContainsFunc(t.Members(), func(member *tracker.Task) bool {
		return !member.Assigned() || member.Run() != t.Run()
	})
}

// repeatStart orders the start again, or the stop of the run if there is an obstacle.
func (c *Coordinator) repeatStart(start *repeatedStart) {
	t, view := start.task, start.view
	if start.obstacle != planner.NoObstacle {
		t.MarkStopping()
		view.addStopOrder(t.ID().String(), t.Run(), tracer.StopOrdered{
			Reason:   tracer.StopNotPermitted,
			Obstacle: string(start.obstacle),
		})
		return
	}
	if !start.opening {
		tracer.Write(&tracer.StartRepeated{
			Job:  t.ID().Job,
			Task: t.ID().String(),
			Run:  t.Run(),
			Host: view.host,
		})
		// The agent may have dropped the step, and would refuse a run that may be
		// starting.
		c.forgetSentStep(view.session, t.GroupName())
	}
	c.repeatStartOrder(view, t)
}
