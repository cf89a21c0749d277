package coordinator

import (
	"damaskspread.example/damaskspread/tracer"
)

// reportHeld writes to the trace why ready tasks have been left out of the plan for longer
// than waitReportDelay. Tasks that the plan considers are those of reportWaiting.
func (c *Coordinator) reportHeld(cycle *cycleState, epoch int64) {
	held := map[string]*waitingStep{}
	reports := 0
	for name, event := range c.heldTasks(cycle) {
		since := c.held[name]
		if since == nil {
			since = &waitingStep{since: cycle.now}
		}
		held[name] = since
		if reports == maxWaitReports || cycle.now-since.since < waitReportDelay || cycle.now-since.reportedAt < waitReportInterval {
			continue
		}
		since.reportedAt = cycle.now
		reports++
		event.Waited = tracer.Milliseconds(cycle.now - since.since)
		event.Epoch = epoch
		tracer.Write(event)
	}
	c.held = held
}

// heldTasks returns the jobs and tasks that readyGroups leaves out, by name. A job that
// has only tasks in progress is included.
func (c *Coordinator) heldTasks(cycle *cycleState) map[string]*tracer.TasksHeld {
	held := map[string]*tracer.TasksHeld{}
	for id := range c.holds.byJob {
		if until, isHeld := c.holds.holdsJob(id, cycle.now); isHeld && c.isOpen(id) {
			held[id] = &tracer.TasksHeld{
				Job:    id,
				Reason: tracer.HoldUndecoded,
				Left:   tracer.Milliseconds(until - cycle.now),
			}
		}
	}
	for id := range c.suspended {
		if c.isOpen(id) {
			held[id] = &tracer.TasksHeld{
				Job:    id,
				Reason: tracer.HoldRejected,
			}
		}
	}
	for _, older := range c.unassigned {
		t := c.task(older.task)
		if t == nil || !t.Pending() || t.Job().Over() {
			continue
		}
		held[older.task] = &tracer.TasksHeld{
			Job:      t.ID().Job,
			Reason:   tracer.HoldOlderRun,
			Task:     older.task,
			Run:      older.run,
			Executor: older.executor.ID,
			Born:     older.executor.BornUnixMs,
		}
	}
	return held
}

func (c *Coordinator) isOpen(id string) bool {
	job := c.jobs[id]
	return job != nil && !job.Over()
}
