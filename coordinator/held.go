package coordinator

import (
	"time"

	"damaskspread.example/damaskspread/tracer"
)

// reportHeld writes to the trace why ready tasks have been left out of the plan for longer
// than waitReportDelay. Tasks that the plan considers are those of reportWaiting.
func (c *Coordinator) reportHeld(cycle *cycleState, epoch int64) {
	c.held.begin(cycle.now)
	report := func(name string, describe func() *tracer.TasksHeld) {
		waited, due := c.held.due(name)
		if !due {
			return
		}
		event := describe()
		event.Waited = tracer.Milliseconds(waited)
		event.Epoch = epoch
		tracer.Write(event)
	}
	c.reportHeldJobs(cycle, report)
	c.reportOlderRuns(report)
	c.reportPaced(cycle, report)
	c.held.end()
}

// reportHeldJobs reports the jobs that readyGroups leaves out. A job that has only tasks in
// progress is included.
func (c *Coordinator) reportHeldJobs(cycle *cycleState, report func(name string, describe func() *tracer.TasksHeld)) {
	for id := range c.holds.byJob {
		until, isHeld := c.holds.holdsJob(id, cycle.now)
		if !isHeld || c.suspended[id] || !c.isOpen(id) {
			continue
		}
		report(id, func() *tracer.TasksHeld {
			return &tracer.TasksHeld{
				Job:    id,
				Reason: tracer.HoldUndecoded,
				Left:   tracer.Milliseconds(until - cycle.now),
			}
		})
	}
	for id := range c.suspended {
		if !c.isOpen(id) {
			continue
		}
		report(id, func() *tracer.TasksHeld {
			return &tracer.TasksHeld{
				Job:    id,
				Reason: tracer.HoldRejected,
			}
		})
	}
}

// reportOlderRuns reports the tasks that readyGroups leaves out because of an older run.
func (c *Coordinator) reportOlderRuns(report func(name string, describe func() *tracer.TasksHeld)) {
	for _, older := range c.unassigned {
		t := c.task(older.task)
		if t == nil || !t.Pending() || t.Job().Over() {
			continue
		}
		report(older.task, func() *tracer.TasksHeld {
			return &tracer.TasksHeld{
				Job:      t.ID().Job,
				Reason:   tracer.HoldOlderRun,
				Task:     older.task,
				Run:      older.run,
				Executor: older.executor.ID,
				Born:     older.executor.BornUnixMs,
			}
		})
	}
}

// isHeld reports whether no further run of a job may start for now.
func (c *Coordinator) isHeld(id string, now time.Duration) bool {
	_, held := c.holds.holdsJob(id, now)
	return held || c.suspended[id]
}

func (c *Coordinator) isOpen(id string) bool {
	job := c.jobs[id]
	return job != nil && !job.Over()
}
