package coordinator

import (
	"slices"
	"time"

	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

func (c *Coordinator) publishStatuses() {
	for id, job := range c.jobs {
		state := job.State()
		if c.published[id] == state || state == wire.JobState_JOB_STATE_QUEUED {
			continue
		}
		c.published[id] = state
		c.statuses.status(id, state)
		tracer.Write(&tracer.JobState{
			Job:   id,
			State: state.String(),
		})
	}
}

// closeJobs forgets jobs that are over, once their status is in the log, and
// removes them after the time for which callers may ask for them.
func (c *Coordinator) closeJobs(changed []string, now time.Duration) {
	for _, id := range changed {
		entry, known := c.Index.Lookup(id)
		job := c.jobs[id]
		if !known || job == nil || !indexer.Final(entry.Recorded()) {
			continue
		}
		c.closing = append(c.closing, id)
	}
	c.closing = slices.DeleteFunc(c.closing, func(id string) bool { return c.closeJob(id, now) })
	for id, since := range c.closed {
		if now-since > c.StatusFor {
			delete(c.closed, id)
			c.statuses.add(indexer.RemovalRecords(id)...)
		}
	}
}

// closeJob reports whether the job is closed; runs that still stop keep it.
func (c *Coordinator) closeJob(id string, now time.Duration) bool {
	job := c.jobs[id]
	if job == nil {
		return true
	}
	busy := false
	job.EachTask(func(t *tracker.Task) { busy = busy || t.Assigned() })
	if busy {
		return false
	}
	delete(c.jobs, id)
	delete(c.published, id)
	c.closed[id] = now
	c.removed = append(c.removed, &wire.KeyedRecord{Key: id})
	return true
}
