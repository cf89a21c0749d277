package coordinator

import (
	"maps"
	"slices"

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
	for {
		select {
		case err := <-appended:
			if signaled {
				// The inputs are left to the next cycle.
				c.signal()
			}
			return err
		case <-c.wake:
			signaled = true
			c.applyCancellations(cycle)
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
