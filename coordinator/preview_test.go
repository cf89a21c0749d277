package coordinator_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/coordinator"
	"damaskspread.example/damaskspread/elector"
	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

func previewJob(t *testing.T, e *entry, queue string, steps []*wire.JobStep) (*wire.PreviewJobResponse, error) {
	t.Helper()
	client := wireconnect.NewCoordinatorServiceClient(http.DefaultClient, e.server.URL)
	response, err := client.PreviewJob(t.Context(), connect.NewRequest(&wire.PreviewJobRequest{
		Job: &wire.Job{Queue: queue, Steps: steps},
	}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// Guards against a preview that isn't that of the leader, that lacks the tasks which run
// or wait, or that starts, stores or keeps something.
func TestPreviewJob(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 2, 1, fixedRunTime(-1))
	leader := f.leader()
	// 16 tasks of half a processor run at a time.
	f.submit(leader, &wire.Job{Id: jobID, Steps: steps(12)})
	f.waitFor("12 starts", func() bool { return f.countEvents(wire.EndCause_END_CAUSE_UNSPECIFIED) == 12 })

	for range 2 {
		response, err := previewJob(t, leader, "previews", steps(6, 1))
		assert.NilError(t, err)
		preview := response.GetPreview()
		assert.Equal(t, preview.GetEpoch(), leader.elector.Epoch())
		assert.Equal(t, preview.GetService(), service)
		assert.Assert(t, preview.GetAdmission() == nil)
		assert.Equal(t, len(preview.GetSteps()), 2)
		first := preview.GetSteps()[0]
		assert.Equal(t, first.GetTasksTried(), int32(6))
		assert.Equal(t, first.GetStarts(), int32(4))
		assert.Equal(t, first.GetHosts()[0].GetHost(), "host-0")
		assert.DeepEqual(t, first.GetObstacles(), map[string]int32{"none": 1})
		assert.DeepEqual(t, first.GetRemainingObstacles(), map[string]int32{"processors": 1})
		assert.Assert(t, preview.GetSteps()[1].GetNotReady())
	}
	assert.Equal(t, leader.coordinator.OpenJobs(), int64(1))
	assert.Equal(t, leader.coordinator.WaitingSteps(), int64(0))

	f.submit(leader, &wire.Job{Id: "517f50f645ca478e", Steps: steps(5)})
	f.waitFor("a step that waits", func() bool { return leader.coordinator.WaitingSteps() == 1 })
	response, err := previewJob(t, leader, "previews", steps(6))
	assert.NilError(t, err)
	step := response.GetPreview().GetSteps()[0]
	assert.Equal(t, step.GetStarts(), int32(0))
	assert.Equal(t, step.GetStepsFirst(), int32(1))
	assert.Equal(t, step.GetStepsWaiting(), int32(1))
	f.mu.Lock()
	assert.Equal(t, len(f.events), 16)
	f.mu.Unlock()

	for _, other := range f.entries {
		if other != leader {
			response, err = previewJob(t, other, "previews", steps(1))
			assert.NilError(t, err)
			assert.Assert(t, response.GetPreview() == nil)
			assert.Equal(t, response.GetLeader().GetAddress(), leader.elector.Address)
		}
	}
	_, err = previewJob(t, leader, "unknown", steps(1))
	assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
	_, err = previewJob(t, leader, "previews", nil)
	assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
}

// Guards against callers of previews that take the leader's time from the scheduling:
// jobs start as before, and of the calls, some are refused at once.
func TestManyPreviews(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 1, fixedRunTime(10*time.Millisecond))
	leader := f.leader()
	var calls sync.WaitGroup
	var mu sync.Mutex
	codes := map[connect.Code]int{}
	answered := 0
	for range 60 {
		calls.Go(func() {
			_, err := previewJob(t, leader, "previews", steps(3000))
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				answered++
				return
			}
			codes[connect.CodeOf(err)]++
		})
	}
	f.submit(leader, &wire.Job{Id: jobID, Steps: steps(40)})
	f.waitSucceeded(leader, jobID)
	calls.Wait()
	assert.Assert(t, answered > 0)
	assert.Assert(t, codes[connect.CodeResourceExhausted] > 0, "%v", codes)
}

// Guards against a call to a process that doesn't lead that waits or fails.
func TestPreviewWithoutLeader(t *testing.T) {
	t.Parallel()
	c := &coordinator.Coordinator{Elector: &elector.Elector{}}
	c.Init()
	response, err := c.PreviewJob(t.Context(), connect.NewRequest(&wire.PreviewJobRequest{}))
	assert.NilError(t, err)
	assert.Assert(t, response.Msg.GetPreview() == nil)
}
