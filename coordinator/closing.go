package coordinator

import (
	"slices"
	"time"

	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// publishStatuses passes changed job states to the status writer.
func (c *Coordinator) publishStatuses() {
	for id, job := range c.jobs {
		state := job.State()
		if c.publishedStates[id] == state || state == wire.JobState_JOB_STATE_QUEUED {
			continue
		}
		c.publishedStates[id] = state
		c.statuses.addStatus(id, state)
		tracer.Write(&tracer.JobState{
			Job:   id,
			State: state.String(),
		})
	}
}

// closeJobs drops jobs whose final status is recorded in the log, and removes
// their records from the log once StatusRetention has passed.
func (c *Coordinator) closeJobs(changedJobs map[string]bool, now time.Duration) {
	for id := range changedJobs {
		entry, known := c.Index.Lookup(id)
		job := c.jobs[id]
		if !known || job == nil || !indexer.Final(entry.RecordedState()) {
			continue
		}
		c.closing = append(c.closing, id)
	}
	c.closing = slices.DeleteFunc(c.closing, func(id string) bool { return c.closeJob(id, now) })
	for id, since := range c.closed {
		if now-since > c.StatusRetention {
			delete(c.closed, id)
			c.statuses.add(c.Index.RemovalRecords(id)...)
		}
	}
}

// closeJob drops a job unless one of its runs is still assigned, and reports
// whether the job is dropped.
func (c *Coordinator) closeJob(id string, now time.Duration) bool {
	job := c.jobs[id]
	if job == nil {
		return true
	}
	if job.AssignedTasks() > 0 {
		return false
	}
	c.forgetSteps(append(job.TakeDoneGroups(), job.GroupNames()...))
	c.runTimes.forget(job)
	delete(c.jobs, id)
	delete(c.publishedStates, id)
	c.closed[id] = now
	delete(c.suspended, id)
	c.holds.forget(id)
	for _, part := range job.StoredParts() {
		c.tombstones = append(c.tombstones, &wire.KeyedRecord{Key: tracker.PartKey(id, part)})
	}
	return true
}

// forgetDoneSteps frees what is remembered of the steps that are done.
func (c *Coordinator) forgetDoneSteps() {
	var groups []string
	for _, job := range c.jobs {
		groups = append(groups, job.TakeDoneGroups()...)
	}
	c.forgetSteps(groups)
}

// forgetSteps frees what the sessions and the cache of advice remember of the groups with
// the given names.
func (c *Coordinator) forgetSteps(groups []string) {
	if len(groups) == 0 {
		return
	}
	c.gauges.advisedSteps.Store(int64(c.adviceCache.forget(groups)))
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, group := range groups {
		for _, s := range c.sessions {
			delete(s.sentSteps, group)
		}
	}
}
