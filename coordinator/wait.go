package coordinator

import (
	"time"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
)

// hostLatency has the reports on the serving tasks of one executor.
type hostLatency struct {
	history    planner.LatencyHistory
	reportedAt time.Duration
}

// boundsWait reports whether the wait of best-effort tasks is bounded.
func (c *Coordinator) boundsWait() bool { return c.Planner.BestEffortWait > 0 }

// countWaits counts the waits of the best-effort steps among the groups.
func (c *Coordinator) countWaits(groups []*tracker.Group, now time.Duration) {
	if !c.boundsWait() {
		return
	}
	unixMs := c.Clock.Now().UnixMilli()
	for _, group := range groups {
		if group.Step().GetFillsIdle() {
			group.CountWait(unixMs, now, c.Planner.BestEffortWait)
		}
	}
}

// observeLatencies adds the new reports to the histories of their executors and drops
// the histories of executors without a session.
func (c *Coordinator) observeLatencies(cycle *cycleState) {
	if !c.boundsWait() {
		return
	}
	for key := range c.latencies {
		if cycle.byKey[key] == nil {
			delete(c.latencies, key)
		}
	}
	for _, view := range cycle.views {
		if !view.runsUpdated {
			continue
		}
		latency := c.latencies[view.key]
		if latency == nil {
			latency = &hostLatency{}
			c.latencies[view.key] = latency
		}
		latency.history.Observe(c.latencyRatio(view), view.running)
		latency.reportedAt = cycle.now
	}
}

// latencyRatio returns the largest ratio of latency to target latency among the
// reported serving tasks; 0 without any.
func (c *Coordinator) latencyRatio(view *sessionView) float64 {
	highest := 0.0
	for _, run := range view.running {
		t := c.task(run.GetTask())
		if t == nil || t.Step().GetTargetLatencyMs() <= 0 {
			continue
		}
		ratio := float64(run.GetUsage()) / float64(t.Step().GetTargetLatencyMs())
		if run.GetUsage() <= 0 {
			ratio = planner.UnmeasuredRatio
		}
		highest = max(highest, ratio)
	}
	return highest
}

// setLatency sets what the latency of the host's serving tasks decides: by the latest
// report, or by the latest reports together if the wait of best-effort tasks is
// bounded.
func (c *Coordinator) setLatency(host *planner.Host, view *sessionView) {
	if !c.boundsWait() {
		host.NearTarget = c.nearTarget(view)
		return
	}
	latency := c.latencies[view.key]
	if latency == nil {
		host.ForcedUnmeasured = true
		return
	}
	ratio := latency.history.Ratio()
	host.NearTarget = ratio > nearTargetShare
	host.Margin = 1 - ratio
	host.ForcedUnmeasured = !latency.history.Measured()
}

// recordLimitedStart keeps the pace of an assignment that begins at a limited one and
// writes it to the trace. The task has been assigned.
func (c *Coordinator) recordLimitedStart(assignment *planner.Assignment, view *sessionView, now time.Duration) {
	if assignment.Percent == 0 {
		return
	}
	assignment.Task.SetStartPercent(assignment.Percent)
	event := &tracer.StartLimited{
		Job:     assignment.Task.ID().Job,
		Task:    assignment.Task.ID().String(),
		Run:     assignment.Run,
		Host:    view.host,
		Forced:  assignment.Forced,
		Waited:  tracer.Milliseconds(assignment.Waited),
		Bound:   tracer.Milliseconds(c.Planner.WaitBound(assignment.Host)),
		Margin:  assignment.Host.Margin,
		Speed:   assignment.Speed,
		Percent: int(assignment.Percent),
	}
	if latency := c.latencies[view.key]; latency != nil {
		event.LatencyAge = tracer.Milliseconds(now - latency.reportedAt)
		if assignment.Forced {
			latency.history.Force(assignment.Task)
		}
	}
	tracer.Write(event)
}

// repeatedPercent returns the pace for a repeated order. The pace of a run that an
// earlier leader ordered is not stored; a best-effort run may have been forced, so it
// begins at the lowest pace.
func (c *Coordinator) repeatedPercent(t *tracker.Task) int32 {
	if c.boundsWait() && t.Step().GetFillsIdle() && t.AssignedAt() == 0 {
		return planner.LowestPercent
	}
	return t.StartPercent()
}
