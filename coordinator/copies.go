package coordinator

import (
	"time"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// copyInterval is the shortest time between two searches for stragglers. Agents list
// their runs at most each 500 ms.
const copyInterval = 200 * time.Millisecond

// copiedRun is a run of unassigned that goes on beside its speculative copy, to which the
// task is assigned. Once one of both is done, or the job is over, it is stopped.
type copiedRun struct {
	step  *wire.JobStep
	group string
	// stopOrdered is set if its stop was ordered in the present session of its executor.
	stopOrdered bool
	// copyEnded is set once the copy has ended without success.
	copyEnded bool
}

// runProgress is the progress that lists have shown of a run, from the first to the latest.
type runProgress struct {
	firstPercent, lastPercent int32
	firstAt, lastAt           time.Duration
}

// observeProgress notes the progress of the listed runs of steps that allow copies. Lists
// may overtake each other, so one with less progress is an older one.
func (c *Coordinator) observeProgress(cycle *cycleState) {
	if !c.SpeculativeCopies {
		return
	}
	for _, view := range cycle.views {
		if !view.runsUpdated {
			continue
		}
		for _, run := range view.running {
			t := c.task(run.GetTask())
			if t == nil || !tracker.AllowsCopies(t.Step()) {
				continue
			}
			key := newListedRun(run.GetTask(), run.GetRun())
			known := c.runProgress[key]
			if known == nil {
				known = &runProgress{
					firstPercent: run.GetPercent(),
					firstAt:      cycle.now,
				}
				c.runProgress[key] = known
			}
			if run.GetPercent() >= known.lastPercent {
				known.lastPercent = run.GetPercent()
				known.lastAt = cycle.now
			}
		}
	}
}

// addCopiedRuns adds the copied runs of a host, which holds their tasks no more.
func (c *Coordinator) addCopiedRuns(host *planner.Host) {
	for run, copied := range c.copies {
		if run.executor == host.Key {
			host.AddOlderRun(copied.group, copied.step)
		}
	}
}

// reviewCopies stops the copied runs that may not go on. Their stops are ordered once a
// session, because an agent repeats a stop until its executor has accepted it.
func (c *Coordinator) reviewCopies(cycle *cycleState) {
	for run, copied := range c.copies {
		t := c.task(run.task)
		if t != nil && t.AllowsOlderRun(run.run, run.executor) {
			traceEndedCopy(t, copied)
			continue
		}
		view := cycle.byKey[run.executor]
		if copied.stopOrdered || view == nil {
			continue
		}
		copied.stopOrdered = true
		event := notAssigned(t)
		if t != nil && t.Done() {
			event.Reason = tracer.StopCopyDone
		}
		view.addStopOrder(run.task, run.run, event)
	}
}

// keepCopied drops the unassigned runs of an executor that the list of its opening shows,
// except copied ones that may go on. Their starts are ordered again: the agent starts
// nothing but learns their step from the order.
func (c *Coordinator) keepCopied(view *sessionView) {
	c.forgetUnassigned(func(run unassignedRun) bool {
		if run.executor != view.key || c.unlisted[run] {
			return false
		}
		t := c.task(run.task)
		if t == nil || !t.AllowsOlderRun(run.run, run.executor) {
			return true
		}
		c.addStartOrder(view, t)
		order := view.starts[len(view.starts)-1]
		order.Run = run.run
		order.Repeated = true
		order.Percent = 0
		return false
	})
}

// endCopy writes to the trace which of a copied run and its copy has completed the task.
func (c *Coordinator) endCopy(t *tracker.Task, end *wire.RunEnd) {
	if !t.Done() || t.CopyRun() == 0 {
		return
	}
	for run, copied := range c.copies {
		switch {
		case run.task != t.ID().String():
		case end.GetRun() == t.CopyRun():
			tracer.Write(&tracer.CopyDone{
				Job:  t.ID().Job,
				Task: run.task,
				Run:  t.CopyRun(),
			})
		case !copied.copyEnded:
			copied.copyEnded = true
			traceLostCopy(t, tracer.CopyOlderRunDone)
		}
	}
}

// traceEndedCopy writes to the trace, once, that the copy has ended without success while
// the copied run goes on.
func traceEndedCopy(t *tracker.Task, copied *copiedRun) {
	if copied.copyEnded || t.Assigned() {
		return
	}
	copied.copyEnded = true
	traceLostCopy(t, tracer.CopyEnded)
}

func traceLostCopy(t *tracker.Task, cause tracer.CopyLossCause) {
	tracer.Write(&tracer.CopyLost{
		Job:   t.ID().Job,
		Task:  t.ID().String(),
		Run:   t.CopyRun(),
		Cause: cause,
	})
}

// planCopies copies stragglers where room is idle, and stops copies where first runs wait
// for room.
func (c *Coordinator) planCopies(cycle *cycleState, epoch int64) {
	if !c.SpeculativeCopies || cycle.hosts == nil || cycle.now-c.copiesPlannedAt < copyInterval {
		return
	}
	c.copiesPlannedAt = cycle.now
	rooms := c.copyRooms(cycle)
	tasks, candidates := c.copyCandidates(cycle)
	for _, choice := range planner.ChooseCopies(candidates, rooms) {
		t := tasks[choice.Index]
		if host := c.Planner.CopyHost(t, cycle.hosts); host != nil {
			c.copyTask(cycle.byKey[host.Key], host, t, epoch, &tracer.TaskCopied{
				Percent:   candidates[choice.Index].Percent,
				Elapsed:   tracer.Milliseconds(candidates[choice.Index].Elapsed),
				Remaining: tracer.Milliseconds(choice.Remaining),
				NewRun:    tracer.Milliseconds(choice.NewRun),
			})
		}
	}
	c.yieldCopies(cycle)
}

// copyRooms returns the room for copies by service.
func (c *Coordinator) copyRooms(cycle *cycleState) map[string]*planner.CopyRoom {
	rooms := map[string]*planner.CopyRoom{}
	for _, host := range cycle.hosts {
		if rooms[host.Service] == nil {
			rooms[host.Service] = &planner.CopyRoom{}
		}
		rooms[host.Service].AddHost(host)
	}
	for _, group := range cycle.groups {
		room := rooms[group.Job().Service()]
		if room != nil && group.Pending() > 0 && !group.Step().GetFillsIdle() {
			room.Waiting = true
		}
	}
	for run, copied := range c.copies {
		t := c.task(run.task)
		if t == nil || !t.Assigned() {
			continue
		}
		if room := rooms[t.Job().Service()]; room != nil {
			room.AddCopy(copied.step)
		}
	}
	return rooms
}

// copyCandidates returns the listed runs of steps that allow copies, and their tasks. The
// age of runs that an earlier leader has assigned is unknown, and the progress of those on
// an executor that doesn't respond, so they are left out. What was observed of all other
// runs is forgotten.
func (c *Coordinator) copyCandidates(cycle *cycleState) ([]*tracker.Task, []planner.CopyCandidate) {
	var tasks []*tracker.Task
	var candidates []planner.CopyCandidate
	kept := map[listedRun]*runProgress{}
	for _, view := range cycle.views {
		if !view.reachable {
			continue
		}
		for _, t := range c.assignments.On(view.key) {
			if !tracker.AllowsCopies(t.Step()) || t.AssignedAt() == 0 || c.isHeld(t.ID().Job, cycle.now) {
				continue
			}
			key := newListedRun(t.ID().String(), t.Run())
			progress := c.runProgress[key]
			if progress == nil || !view.listsRun(key) {
				continue
			}
			kept[key] = progress
			tasks = append(tasks, t)
			candidates = append(candidates, newCopyCandidate(t, progress, cycle.now))
		}
	}
	c.runProgress = kept
	return tasks, candidates
}

func newCopyCandidate(t *tracker.Task, progress *runProgress, now time.Duration) planner.CopyCandidate {
	group := t.Group()
	return planner.CopyCandidate{
		Group:      group.Name(),
		Service:    t.Job().Service(),
		Request:    t.Step().GetResources(),
		Elapsed:    now - t.AssignedAt(),
		Percent:    progress.lastPercent,
		Progressed: progress.lastPercent - progress.firstPercent,
		ReportAge:  now - progress.lastAt,
		Observed:   progress.lastAt - progress.firstAt,
		Expected:   time.Duration(t.Job().TaskMs(group.StepIndex())) * time.Millisecond,
		Waiting:    group.Pending(),
		Done:       group.Done(),
		Eligible:   t.MayBeCopied(),
	}
}

// copyTask orders the copy of a task. The caller sets what event says of the decision.
func (c *Coordinator) copyTask(view *sessionView, host *planner.Host, t *tracker.Task, epoch int64, event *tracer.TaskCopied) {
	older := t.Copy(view.key, view.host, c.Elapsed.Elapsed())
	c.addUnassigned(t, older)
	host.PlaceCopy(t)
	c.addStartOrder(view, t)
	inputs := c.inputs(epoch)
	traceAssigned(view, t, &inputs)
	event.Job = t.ID().Job
	event.Task = t.ID().String()
	event.Run = t.Run()
	event.Host = view.host
	event.OlderRun = older.Run
	event.OlderHost = older.Host
	tracer.Write(event)
}

// yieldCopies stops the copies whose room a waiting first run could use. The copied runs
// go on.
func (c *Coordinator) yieldCopies(cycle *cycleState) {
	for run, copied := range c.copies {
		t := c.task(run.task)
		if t == nil || !t.Assigned() || t.Stopping() || copied.copyEnded {
			continue
		}
		view := cycle.byKey[t.Executor()]
		if view == nil || view.candidate == nil {
			continue
		}
		if group := c.waitsForRoomOf(cycle, view.candidate); group != nil {
			t.MarkStopping()
			view.addStopOrder(run.task, t.Run(), tracer.StopOrdered{
				Reason: tracer.StopCopyYields,
				For:    group.Name(),
			})
		}
	}
}

// waitsForRoomOf returns a step with a task that waits and that the host could run, nil if
// there is none.
func (c *Coordinator) waitsForRoomOf(cycle *cycleState, host *planner.Host) *tracker.Group {
	for _, group := range cycle.groups {
		if group.Pending() > 0 && !group.Step().GetFillsIdle() && c.Planner.MayTakeRoomOf(host, group) {
			return group
		}
	}
	return nil
}
