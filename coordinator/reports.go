package coordinator

import (
	"slices"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// noRoomBackoff is how long a host gets no tasks after its agent refused one for
// lack of capacity. The agent may count runs that the leader does not know, such as
// those that it stops at the beginning of a session.
const noRoomBackoff = 500 * time.Millisecond

// applyReports applies the run ends, refusals and lists of running tasks that the
// agents reported.
func (c *Coordinator) applyReports(cycle *cycleState) {
	for _, view := range cycle.views {
		delete(c.orphans, view.key)
		for _, end := range view.ends {
			c.applyEnd(cycle, view, end)
			c.endUnassigned(view, end)
		}
		for _, exposure := range view.exposures {
			c.applyExposure(cycle, view, exposure)
		}
		for _, refusal := range view.refusals {
			c.applyRefusal(cycle, view, refusal)
		}
		if view.runsUpdated && view.reachable {
			c.clearOutlived(view, cycle.now)
		}
		if view.runsUpdated {
			c.markStarted(view)
		}
		if view.opening {
			cycle.lostExecutors = append(cycle.lostExecutors, c.takeReplacedOrphans(view)...)
			c.reconcile(view)
		}
		if view.runsUpdated {
			c.stopUnassigned(view)
		}
	}
}

func (c *Coordinator) applyEnd(cycle *cycleState, view *sessionView, end *wire.RunEnd) {
	t := c.task(end.GetTask())
	if t == nil {
		return
	}
	firstFailure := t.Failures() == 0
	resumed := t.Checkpoint() != ""
	gang := assignedGang(t)
	latest, executor := t.Run(), t.Executor()
	counted := t.CrashEvidence().Counted
	if !t.End(end, view.key.ID) {
		traceIgnoredEnd(view, t, end)
		return
	}
	traceGangReleases(gang, t)
	isLatest := end.GetRun() == latest
	if superseding := cycle.byKey[executor]; superseding != nil && t.Done() && !isLatest {
		superseding.addStopOrder(end.GetTask(), latest, notAssigned(t))
	}
	if t.CrashEvidence().Counted > counted {
		recordCrash(t, end.GetRun(), view.host, false)
	}
	c.endCopy(t, end)
	c.recordDoneWork(t)
	c.recordEnd(view.key, t, end.GetCause(), firstFailure, cycle.now)
	if isLatest && !resumed && !view.endsPast {
		c.runTimes.observe(t, c.Elapsed.Elapsed())
	}
	tracer.Write(&tracer.RunEnded{
		Job:      t.ID().Job,
		Task:     end.GetTask(),
		Run:      end.GetRun(),
		Host:     view.host,
		Cause:    end.GetCause().String(),
		Failures: t.Failures(),
		Executor: view.key.ID,
		Born:     view.key.BornUnixMs,
		Session:  view.session.id,
	})
}

// markStarted marks the jobs of which the list shows the first run.
func (c *Coordinator) markStarted(view *sessionView) {
	for _, t := range c.assignments.On(view.key) {
		if !t.Job().Started() && view.lists(t) {
			t.Job().MarkStarted()
		}
	}
}

// task returns the task with this name, or nil if the name is invalid or the job
// is not open.
func (c *Coordinator) task(name string) *tracker.Task {
	id, err := tracker.ParseTaskID(name)
	if err != nil {
		log.Warn().Err(err).Msg("task report ignored: invalid task name")
		return nil
	}
	job := c.jobs[id.Job]
	if job == nil {
		return nil
	}
	return job.Task(id)
}

func (c *Coordinator) applyRefusal(cycle *cycleState, view *sessionView, refusal *wire.StartRefusal) {
	t := c.task(refusal.GetTask())
	if t == nil || !t.Assigned() || t.Run() != refusal.GetRun() || t.Executor() != view.key {
		return
	}
	t.Release()
	switch refusal.GetReason() {
	case string(damaskspread.RefusedUnknownStep):
		c.forgetSentStep(view.session, t.GroupName())
	case string(damaskspread.RefusedNoRoom), string(damaskspread.RefusedUnanswered):
		c.backOffNoRoom(view)
	}
	c.adviceCache.dropRefusedTickets(t, refusal.GetReason())
	c.recordRefusal(view.key, refusal.GetReason(), cycle.now)
	tracer.Write(&tracer.StartRefused{
		Job:      t.ID().Job,
		Task:     refusal.GetTask(),
		Run:      refusal.GetRun(),
		Host:     view.host,
		Reason:   refusal.GetReason(),
		Executor: view.key.ID,
		Born:     view.key.BornUnixMs,
		Session:  view.session.id,
	})
}

// backOffNoRoom keeps tasks from the host for noRoomBackoff, in which others get them.
func (c *Coordinator) backOffNoRoom(view *sessionView) {
	c.mu.Lock()
	defer c.mu.Unlock()
	view.session.noRoomUntil = c.Elapsed.Elapsed() + noRoomBackoff
	view.usable = false
}

// forgetSentStep makes the next order for the step carry its specification again.
func (c *Coordinator) forgetSentStep(s *session, group string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(s.sentSteps, group)
}

func (c *Coordinator) eachAssigned(key tracker.ExecutorKey, visit func(*tracker.Task)) {
	// visit may release the task, which changes the original.
	for _, t := range slices.Clone(c.assignments.On(key)) {
		visit(t)
	}
}
