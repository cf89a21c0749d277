package coordinator

import (
	"context"

	"connectrpc.com/connect"

	"damaskspread.example/damaskspread/appraiser"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// GetLoad implements wireconnect.CoordinatorServiceHandler.
func (c *Coordinator) GetLoad(context.Context, *connect.Request[wire.GetLoadRequest]) (*connect.Response[wire.GetLoadResponse], error) {
	response := &wire.GetLoadResponse{
		Estimate: c.LoadEstimate(),
	}
	if response.GetEstimate() == nil {
		response.Leader = c.Elector.Leader()
	}
	return connect.NewResponse(response), nil
}

// LoadEstimate returns the latest estimate with its age, nil if this process does not
// lead or computes none.
func (c *Coordinator) LoadEstimate() *wire.LoadEstimate {
	c.mu.Lock()
	epoch, leading := c.epoch, c.leading
	c.mu.Unlock()
	if c.Appraiser == nil || !leading {
		return nil
	}
	return c.Appraiser.Estimate(epoch, c.Elapsed.Elapsed())
}

// appraiseLoad computes the load estimate if it is due. Without hosts, because the
// cycle's inputs are too old to plan, the last estimate stays and ages.
func (c *Coordinator) appraiseLoad(cycle *cycleState) {
	if c.Appraiser == nil || cycle.hosts == nil || !c.Appraiser.Due(cycle.now) {
		return
	}
	c.Appraiser.Update(appraiser.State{
		Jobs:         c.jobs,
		Hosts:        cycle.hosts,
		WaitingSince: c.waiting.since,
		Now:          cycle.now,
		NowUnixMs:    c.Clock.Now().UnixMilli(),
	})
}

// recordDoneWork passes work that is done to the load estimate.
func (c *Coordinator) recordDoneWork(t *tracker.Task) {
	if c.Appraiser != nil && t.Done() {
		c.Appraiser.RecordDone(t, c.Elapsed.Elapsed())
	}
}
