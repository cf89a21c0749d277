package coordinator

import (
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// repeatAfter is the age of an assignment that the agent doesn't list, after
// which its start is sent again.
const repeatAfter = 3 * time.Second

func (c *Coordinator) applyReports(r *round) {
	for _, view := range r.views {
		delete(c.orphans, view.key)
		for _, end := range view.ends {
			c.applyEnd(view, end)
		}
		for _, refusal := range view.refusals {
			c.applyRefusal(view, refusal)
		}
		if view.measured && !view.opening {
			c.repeatStarts(view, r.now)
		}
		if view.opening {
			r.lost = append(r.lost, c.replaced(view)...)
			c.reconcile(view)
		}
	}
}

func (c *Coordinator) applyEnd(view *sessionView, end *wire.RunEnd) {
	t := c.task(end.GetTask())
	if t == nil {
		return
	}
	first := t.Failures() == 0
	if !t.End(end) {
		return
	}
	c.judge(view.key, end.GetCause(), first)
	tracer.Write(&tracer.RunEnded{
		Job:      t.ID().Job,
		Task:     end.GetTask(),
		Run:      end.GetRun(),
		Host:     view.host,
		Cause:    end.GetCause().String(),
		Failures: t.Failures(),
	})
}

func (c *Coordinator) task(name string) *tracker.Task {
	id, err := tracker.ParseTaskID(name)
	if err != nil {
		log.Warn().Err(err).Msg("report of an unknown task ignored")
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
	c.advices.forgetRefused(t, refusal.GetReason())
	c.judgeRefusal(view.key, refusal.GetReason())
	tracer.Write(&tracer.StartRefused{
		Job:    t.ID().Job,
		Task:   refusal.GetTask(),
		Run:    refusal.GetRun(),
		Host:   view.host,
		Reason: refusal.GetReason(),
	})
}

// replaced returns the incarnations that a session's executor replaced on its
// host; an earlier leader may have assigned tasks to them.
func (c *Coordinator) replaced(view *sessionView) []tracker.ExecutorKey {
	var keys []tracker.ExecutorKey
	for key, orphan := range c.orphans {
		if orphan.host == view.host {
			keys = append(keys, key)
			delete(c.orphans, key)
		}
	}
	return keys
}

// reconcile compares what runs on an executor with what was assigned to it.
func (c *Coordinator) reconcile(view *sessionView) {
	for _, run := range view.running {
		t := c.task(run.GetTask())
		if t == nil || !t.Assigned() || t.Run() != run.GetRun() || t.Executor() != view.key {
			view.stop(run.GetTask(), run.GetRun(), tracer.StopOrdered{
				Reason: tracer.StopUnknown,
			})
		}
	}
	c.eachAssigned(view.key, func(t *tracker.Task) {
		switch {
		case t.Job().Over():
			t.Stop()
			view.stop(t.ID().String(), t.Run(), tracer.StopOrdered{
				Reason: tracer.StopJobOver,
			})
		default:
			// The agent skips runs that are in progress, but learns their step.
			c.start(view, t)
		}
	})
}

// repeatStarts sends starts again whose runs the agent doesn't list. The agent
// skips runs that are in progress or have ended.
func (c *Coordinator) repeatStarts(view *sessionView, now time.Duration) {
	listed := map[string]int32{}
	for _, run := range view.running {
		listed[run.GetTask()] = run.GetRun()
	}
	c.eachAssigned(view.key, func(t *tracker.Task) {
		name := t.ID().String()
		if t.Stopping() || listed[name] == t.Run() || !t.Overdue(now, repeatAfter) {
			return
		}
		tracer.Write(&tracer.StartRepeated{
			Job:  t.ID().Job,
			Task: name,
			Run:  t.Run(),
			Host: view.host,
		})
		c.start(view, t)
	})
}

func (c *Coordinator) eachAssigned(key tracker.ExecutorKey, visit func(*tracker.Task)) {
	for _, job := range c.jobs {
		job.EachTask(func(t *tracker.Task) {
			if t.Assigned() && t.Executor() == key {
				visit(t)
			}
		})
	}
}

// applyLosses releases the tasks of executors that certainly run nothing.
func (c *Coordinator) applyLosses(r *round) {
	for key, orphan := range c.orphans {
		if r.now > orphan.deadline {
			delete(c.orphans, key)
			r.lost = append(r.lost, key)
		}
	}
	for _, key := range r.lost {
		released := 0
		c.eachAssigned(key, func(t *tracker.Task) {
			tracer.Write(&tracer.RunLost{
				Job:      t.ID().Job,
				Task:     t.ID().String(),
				Run:      t.Run(),
				Executor: key.ID,
			})
			t.Release()
			released++
		})
		log.Info().Str("executor", key.ID).Int64("born", key.BornUnixMs).Int("tasks", released).Msg("executor lost")
	}
}
