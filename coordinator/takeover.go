package coordinator

import (
	"cmp"
	"context"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/assessor"
	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// takeOver fences the earlier leader, then restores the jobs from the progress
// that it stored.
func (c *Coordinator) takeOver(ctx context.Context, epoch int64) error {
	started := c.Elapsed.Elapsed()
	c.progress = c.newWriter(progressTopic, epoch, &c.progressWait)
	statuses := c.newWriter(indexer.Topic, epoch, &c.statusWait)
	for _, w := range []*writer{c.progress, statuses} {
		if err := w.fence(ctx); err != nil {
			return err
		}
	}
	c.statuses = newStatusWriter(statuses)
	c.adviceCache = newAdviceCache(c)
	c.Planner.Ticket = c.adviceCache.ticket
	c.runTimes.reset()
	c.mu.Lock()
	c.storedSessions = map[string]*wire.ExecutorSession{}
	c.mu.Unlock()
	c.holds = newHolds()
	stored, err := c.loadProgress(ctx)
	if err != nil {
		return err
	}
	if err := c.JobsTail.Refresh(ctx); err != nil {
		return err
	}
	c.restore(epoch, stored)
	if c.expectsAgents() {
		c.agentCalls.record(c.Elapsed.Elapsed())
	}
	if c.Appraiser != nil {
		c.Appraiser.Begin(epoch, c.Elapsed.Elapsed())
	}
	c.mu.Lock()
	c.leading = c.epoch == epoch
	c.sessions = map[string]*session{}
	c.histories = map[string]*hostHistory{}
	c.arrivals.absences = nil
	c.issuedTokens = 0
	c.mu.Unlock()
	log.Info().Int64("epoch", epoch).Int("jobs", len(c.jobs)).Int("executors", len(c.orphans)).
		Dur("took", c.Elapsed.Elapsed()-started).Msg("leader takeover completed")
	return nil
}

func (c *Coordinator) newWriter(topic string, epoch int64, wait *logWait) *writer {
	return &writer{
		log:     c.Log,
		clock:   c.Clock,
		elapsed: c.Elapsed,
		topic:   topic,
		epoch:   epoch,
		wait:    wait,

		maxBytes: cmp.Or(c.MaxAppendBytes, damaskspread.MaxAppendBytes),
	}
}

// restore rebuilds the jobs. Executors with assigned tasks become orphans until
// their agents open a session. The deadline of an orphan is the end of the last
// lease that an earlier leader may have granted it.
func (c *Coordinator) restore(epoch int64, stored map[string]storedJob) {
	c.jobs = map[string]*tracker.Job{}
	c.appliedConfig = nil
	c.assignments = &tracker.Assignments{}
	c.closed = map[string]time.Duration{}
	c.orphans = map[tracker.ExecutorKey]orphan{}
	c.failures = assessor.Failures{}
	c.suspicions = map[tracker.ExecutorKey]*suspicion{}
	c.crashes = map[string]*assessor.Crashes{}
	c.waiting = waitReports{}
	c.firstCosts = map[string]*tracer.WaitCost{}
	c.latencies = map[tracker.ExecutorKey]*hostLatency{}
	c.suspended = map[string]bool{}
	c.unassigned = nil
	c.unlisted = map[unassignedRun]bool{}
	c.copies = map[unassignedRun]*copiedRun{}
	c.runProgress = map[listedRun]*runProgress{}
	c.closing = nil
	c.tombstones = nil
	c.publishedStates = map[string]wire.JobState{}
	c.Index.Each(func(entry indexer.JobEntry) { c.restoreJob(epoch, entry, stored) })
	c.holds.removeUnused()
	for _, job := range c.jobs {
		job.EachTask(func(t *tracker.Task) {
			if t.Assigned() {
				c.addOrphan(epoch, t.Host(), t.Executor())
			}
			c.restoreUnassigned(epoch, t)
		})
	}
}

// addOrphan adds the executor of a run that an earlier leader started.
func (c *Coordinator) addOrphan(epoch int64, host string, key tracker.ExecutorKey) {
	if _, known := c.orphans[key]; known {
		return
	}
	c.orphans[key] = orphan{
		host:     host,
		deadline: c.earlierLeaseEnd(epoch, c.storedSession(host, key)),
		storedAt: c.Elapsed.Elapsed(),
	}
}

// restoreJob rebuilds one job. A finished job without stored progress is closed.
func (c *Coordinator) restoreJob(epoch int64, entry indexer.JobEntry, stored map[string]storedJob) {
	id := entry.Job().GetId()
	parts := stored[id]
	delete(stored, id)
	if len(parts) == 0 && indexer.Final(entry.RecordedState()) {
		c.closed[id] = c.Elapsed.Elapsed()
		return
	}
	job, complete := parts.restore(entry.Job())
	c.holdUndecoded(epoch, id, complete)
	if indexer.Final(entry.RecordedState()) {
		c.closing = append(c.closing, id)
		job.SetFinal(entry.RecordedState())
	}
	if entry.Canceled() {
		job.Cancel()
	}
	if entry.RecordedState() == wire.JobState_JOB_STATE_RUNNING {
		job.MarkStarted()
	}
	c.assignments.Add(job)
	c.jobs[id] = job
	c.publishedStates[id] = entry.RecordedState()
}
