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

// startRepeatInterval is the time after which a start is sent again if the agent
// does not list its run as running.
const startRepeatInterval = 3 * time.Second

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
			c.applyEnd(view, end)
		}
		for _, exposure := range view.exposures {
			c.applyExposure(view, exposure)
		}
		for _, refusal := range view.refusals {
			c.applyRefusal(view, refusal)
		}
		if view.runsUpdated && !view.opening {
			c.repeatStarts(view, cycle.now)
		}
		if view.opening {
			cycle.lostExecutors = append(cycle.lostExecutors, c.takeReplacedOrphans(view)...)
			c.reconcile(view)
		}
	}
}

func (c *Coordinator) applyEnd(view *sessionView, end *wire.RunEnd) {
	t := c.task(end.GetTask())
	if t == nil {
		return
	}
	firstFailure := t.Failures() == 0
	if !t.End(end, view.key.ID) {
		return
	}
	c.recordEnd(view.key, end.GetCause(), firstFailure)
	tracer.Write(&tracer.RunEnded{
		Job:      t.ID().Job,
		Task:     end.GetTask(),
		Run:      end.GetRun(),
		Host:     view.host,
		Cause:    end.GetCause().String(),
		Failures: t.Failures(),
	})
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

func (c *Coordinator) applyRefusal(view *sessionView, refusal *wire.StartRefusal) {
	t := c.task(refusal.GetTask())
	if t == nil || !t.Assigned() || t.Run() != refusal.GetRun() || t.Executor() != view.key {
		return
	}
	t.Release()
	switch refusal.GetReason() {
	case string(damaskspread.RefusedUnknownStep):
		c.forgetSentStep(view.session, t.GroupName())
	case string(damaskspread.RefusedNoRoom):
		c.backOffNoRoom(view)
	}
	c.adviceCache.dropRefusedTickets(t, refusal.GetReason())
	c.recordRefusal(view.key, refusal.GetReason())
	tracer.Write(&tracer.StartRefused{
		Job:    t.ID().Job,
		Task:   refusal.GetTask(),
		Run:    refusal.GetRun(),
		Host:   view.host,
		Reason: refusal.GetReason(),
	})
}

// backOffNoRoom keeps tasks from the host for noRoomBackoff.
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

// takeReplacedOrphans removes and returns the orphans on the session's host, which
// the session's executor has replaced.
func (c *Coordinator) takeReplacedOrphans(view *sessionView) []tracker.ExecutorKey {
	var keys []tracker.ExecutorKey
	for key, orphan := range c.orphans {
		if orphan.host == view.host {
			keys = append(keys, key)
			delete(c.orphans, key)
		}
	}
	return keys
}

// reconcile adopts or stops runs that are not assigned to the executor, and sends
// starts for those that are.
func (c *Coordinator) reconcile(view *sessionView) {
	for _, run := range view.running {
		t := c.task(run.GetTask())
		if t != nil && mayAdopt(t, run.GetRun(), view.key) {
			c.adopt(view, t)
		}
		if t == nil || !t.Assigned() || t.Run() != run.GetRun() || t.Executor() != view.key {
			view.addStopOrder(run.GetTask(), run.GetRun(), tracer.StopOrdered{
				Reason: tracer.StopNotAssigned,
			})
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
		default:
			// For a run that is in progress, the agent starts nothing but learns its
			// step from the order.
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

// adopt assigns the task's latest run to the executor on which it is in progress.
// Otherwise the next run would start beside it.
func (c *Coordinator) adopt(view *sessionView, t *tracker.Task) {
	t.Adopt(view.key, view.host)
	tracer.Write(&tracer.RunAdopted{
		Job:      t.ID().Job,
		Task:     t.ID().String(),
		Run:      t.Run(),
		Host:     view.host,
		Executor: view.key.ID,
	})
}

// repeatStarts resends the start of each assigned run that the agent does not list
// as running. The agent ignores starts of runs that are in progress or have ended.
func (c *Coordinator) repeatStarts(view *sessionView, now time.Duration) {
	listed := map[string]int32{}
	for _, run := range view.running {
		listed[run.GetTask()] = run.GetRun()
	}
	c.eachAssigned(view.key, func(t *tracker.Task) {
		name := t.ID().String()
		if t.Stopping() || listed[name] == t.Run() || !t.Overdue(now, startRepeatInterval) {
			return
		}
		tracer.Write(&tracer.StartRepeated{
			Job:  t.ID().Job,
			Task: name,
			Run:  t.Run(),
			Host: view.host,
		})
		// The agent may have dropped the step, and would refuse a run that may be
		// starting.
		c.forgetSentStep(view.session, t.GroupName())
		c.repeatStartOrder(view, t)
	})
}

func (c *Coordinator) eachAssigned(key tracker.ExecutorKey, visit func(*tracker.Task)) {
	// visit may release the task, which changes the original.
	for _, t := range slices.Clone(c.assignments.On(key)) {
		visit(t)
	}
}

// releaseLostTasks releases the tasks of lost executors: those that have left or
// were replaced, and those, orphans included, whose lease has expired.
func (c *Coordinator) releaseLostTasks(cycle *cycleState) {
	for key, orphan := range c.orphans {
		if cycle.now > orphan.deadline {
			delete(c.orphans, key)
			cycle.lostExecutors = append(cycle.lostExecutors, key)
		}
	}
	for _, key := range cycle.lostExecutors {
		if cycle.byKey[key] != nil {
			// The executor has opened a session meanwhile: its runs are in progress.
			continue
		}
		released := 0
		c.eachAssigned(key, func(t *tracker.Task) {
			tracer.Write(&tracer.RunLost{
				Job:      t.ID().Job,
				Task:     t.ID().String(),
				Run:      t.Run(),
				Executor: key.ID,
			})
			run, host := t.Run(), t.Host()
			if t.Lose() {
				recordCrash(t, run, host)
			}
			released++
		})
		log.Info().Str("executor", key.ID).Int64("born", key.BornUnixMs).Int("tasks", released).Msg("executor lost; its tasks were released")
	}
}
