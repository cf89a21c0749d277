package coordinator

import (
	"maps"
	"slices"
	"time"

	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// whileAppending calls appendRecords, and meanwhile stops the runs of jobs that callers
// cancel. Unlike the other orders of a cycle, these stops follow from the log and not from a
// decision that a later leader has to know of, so they don't wait for a slow append.
func (c *Coordinator) whileAppending(cycle *cycleState, appendRecords func() error) error {
	c.publishCancellations(cycle)
	appended := make(chan error, 1)
	go func() { appended <- appendRecords() }()
	signaled := false
	wake := c.wake
	var pauseEnd <-chan time.Time
	for {
		select {
		case err := <-appended:
			if signaled {
				// The inputs are left to the next cycle.
				c.signal()
			}
			return err
		case <-wake:
			signaled = true
			c.applyCancellations(cycle)
			c.stopInNewSessions(cycle)
			wake, pauseEnd = nil, c.Clock.After(c.pauseAfterCycle())
		case <-pauseEnd:
			wake, pauseEnd = c.wake, nil
		}
	}
}

// applyCancellations cancels the jobs that callers have canceled since the cycle began, and
// stops their runs.
func (c *Coordinator) applyCancellations(cycle *cycleState) {
	c.mu.Lock()
	changed := slices.Collect(maps.Keys(c.arrivals.changedJobs))
	c.mu.Unlock()
	canceled := false
	for _, id := range changed {
		if job := c.jobs[id]; job != nil && c.Index.Canceled(id) {
			job.Cancel()
			c.stopJob(cycle, job)
			canceled = true
		}
	}
	if canceled {
		c.reviewCopies(cycle)
		c.publishCancellations(cycle)
	}
}

// earlyStop is the stop of a run that a session lists which was opened during an append.
type earlyStop struct {
	session *session
	run     listedRun
}

// stopInNewSessions stops the runs of canceled jobs that agents list in sessions which were
// opened since the cycle began.
func (c *Coordinator) stopInNewSessions(cycle *cycleState) {
	for _, view := range c.newSessions(cycle) {
		for _, run := range view.running {
			stop := earlyStop{
				session: view.session,
				run:     newListedRun(run.GetTask(), run.GetRun()),
			}
			if cycle.stoppedEarly[stop] || !c.isCanceled(run.GetTask()) {
				continue
			}
			cycle.stoppedEarly[stop] = true
			view.addStopOrder(run.GetTask(), run.GetRun(), tracer.StopOrdered{
				Reason: tracer.StopJobOver,
			})
		}
		if len(view.stops) > 0 {
			c.publishStops(view, view.stops)
		}
	}
}

// newSessions returns the sessions with runs that were opened since the cycle began.
func (c *Coordinator) newSessions(cycle *cycleState) []*sessionView {
	c.mu.Lock()
	defer c.mu.Unlock()
	var views []*sessionView
	for _, s := range c.sessions {
		view := cycle.byKey[s.key]
		if !s.opening || len(s.running) == 0 || view != nil && view.session == s {
			continue
		}
		views = append(views, &sessionView{
			session: s,
			host:    s.host,
			key:     s.key,
			running: s.running,
		})
	}
	return views
}

// publishCancellations publishes the cycle's stop orders for the runs of canceled jobs, and
// drops its start orders for them.
func (c *Coordinator) publishCancellations(cycle *cycleState) {
	for _, view := range cycle.views {
		view.starts = slices.DeleteFunc(view.starts, func(order *wire.StartOrder) bool { return c.isCanceled(order.GetTask()) })
		var stops []*wire.StopOrder
		view.stops = slices.DeleteFunc(view.stops, func(order *wire.StopOrder) bool {
			canceled := c.isCanceled(order.GetTask())
			if canceled {
				stops = append(stops, order)
			}
			return canceled
		})
		if len(stops) > 0 {
			c.publishStops(view, stops)
		}
	}
}

// isCanceled reports whether the job of a task was canceled by its caller.
func (c *Coordinator) isCanceled(task string) bool { return c.Index.Canceled(tracker.JobOf(task)) }

// publishStops adds stop orders to the session of a view, unless it has ended.
func (c *Coordinator) publishStops(view *sessionView, stops []*wire.StopOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessions[view.host] != view.session {
		return
	}
	now := c.Elapsed.Elapsed()
	for _, order := range stops {
		view.session.addStop(order, now)
	}
	view.session.notify()
}
