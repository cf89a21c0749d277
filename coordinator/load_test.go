package coordinator_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/coordinator"
	"damaskspread.example/damaskspread/elector"
	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

// load returns the load of the queue previews that an entry process responds with, nil
// if the queue is not in the estimate, and the response.
func load(t *testing.T, e *entry) (*wire.QueueLoad, *wire.GetLoadResponse) {
	t.Helper()
	client := wireconnect.NewCoordinatorServiceClient(http.DefaultClient, e.server.URL)
	response, err := client.GetLoad(t.Context(), connect.NewRequest(&wire.GetLoadRequest{}))
	assert.NilError(t, err)
	for _, queue := range response.Msg.GetEstimate().GetQueues() {
		if queue.GetQueue() == "previews" {
			return queue, response.Msg
		}
	}
	return nil, response.Msg
}

// Guards against a leader whose estimate lacks the waiting work, the rate at which work
// ends or the capacity, against entries that respond with an estimate of their own, and
// against a new leader without an estimate.
func TestLeaderServesLoad(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 2, 1, fixedRunTime(300*time.Millisecond))
	job := &wire.Job{Id: jobID, Steps: steps(400)}
	job.Steps[0].EstimateMs = 300
	leader := f.leader()
	f.submit(leader, job)

	// 16 tasks of half a processor run at a time.
	f.waitFor("waiting work and a rate", func() bool {
		queue, _ := load(t, leader)
		return queue.GetWaitingCoreS() > 20 && queue.GetRateCores() > 0.5 && queue.GetOldestWaitMs() > 500
	})
	queue, response := load(t, leader)
	assert.Equal(t, response.GetEstimate().GetEpoch(), leader.elector.Epoch())
	assert.Equal(t, queue.GetCapacityCores(), 8.0)
	assert.Assert(t, queue.GetRateCores() <= 8, "%v", queue)
	for _, other := range f.entries {
		if other != leader {
			_, response = load(t, other)
			assert.Assert(t, response.GetEstimate() == nil)
			assert.Equal(t, response.GetLeader().GetAddress(), leader.elector.Address)
		}
	}

	f.killEntry(leader)
	next := f.leader()
	f.waitFor("estimate of the next leader", func() bool {
		queue, response = load(t, next)
		return queue != nil && queue.GetWaitingCoreS()+queue.GetRunningCoreS() > 0
	})
	assert.Equal(t, response.GetEstimate().GetEpoch(), next.elector.Epoch())
	f.waitSucceeded(next, jobID)
	f.waitFor("end of the work", func() bool {
		queue, _ = load(t, next)
		return queue.GetWaitingCoreS()+queue.GetRunningCoreS() == 0 && queue.GetRateCores() > 0
	})
}

// Guards against a failure of calls to a process that computes no estimates, as with
// the default settings.
func TestNoLoadWithoutAppraiser(t *testing.T) {
	t.Parallel()
	c := &coordinator.Coordinator{Elector: &elector.Elector{}}
	c.Init()
	response, err := c.GetLoad(context.Background(), connect.NewRequest(&wire.GetLoadRequest{}))
	assert.NilError(t, err)
	assert.Assert(t, response.Msg.GetEstimate() == nil)
	assert.Assert(t, c.LoadEstimate() == nil)
}
