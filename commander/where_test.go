package commander_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/commander"
	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

// previewServer is a job-entry process with a fixed response.
type previewServer struct {
	wireconnect.UnimplementedCoordinatorServiceHandler
	response *wire.PreviewJobResponse
	job      *wire.Job
}

func (s *previewServer) PreviewJob(_ context.Context, request *connect.Request[wire.PreviewJobRequest]) (*connect.Response[wire.PreviewJobResponse], error) {
	s.job = request.Msg.GetJob()
	if s.response == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("no such queue"))
	}
	return connect.NewResponse(s.response), nil
}

func newPreviewServer(t *testing.T, service *previewServer) *cli {
	t.Helper()
	_, handler := wireconnect.NewCoordinatorServiceHandler(service)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return &cli{t: t, address: strings.TrimPrefix(server.URL, "http://")}
}

func writeJob(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "job.json")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

const whereJob = `{"queue": "renders", "steps": [{"count": 6, "resources": {"millicores": 500}}, {"count": 1, "after": [0]}]}`

// Guards against a command that works only with the address of the leader, that loses
// the job on the way, or that doesn't tell accepted from "admission off".
func TestWhere(t *testing.T) {
	service := &previewServer{
		response: &wire.PreviewJobResponse{Preview: &wire.JobPreview{
			Epoch: 5, Queue: "renders", Priority: 1, Service: "s", CostOrder: true, Hosts: 3,
			Steps: []*wire.StepPreview{
				{
					Tasks: 6, TasksTried: 6, Starts: 3, Hosts: []*wire.HostStarts{{Host: "a", Tasks: 2}, {Host: "b", Tasks: 1}},
					Obstacles: map[string]int32{"none": 2, "memory": 1}, RemainingObstacles: map[string]int32{"processors": 2, "memory": 1},
					StepsFirst: 1, StepsWaiting: 4, CostClass: "on_time", CostAmount: -2.5, SlackMs: 1500,
				},
				{Step: 1, Tasks: 1, NotReady: true},
			},
		}},
	}
	leader := newPreviewServer(t, service)
	follower := newPreviewServer(t, &previewServer{response: &wire.PreviewJobResponse{Leader: &wire.Leadership{Address: leader.address}}})
	path := writeJob(t, whereJob)

	code, out, errs := follower.run("where", path)
	assert.Equal(t, code, commander.ExitOK, errs)
	assert.Equal(t, service.job.GetQueue(), "renders")
	assert.Equal(t, service.job.GetSteps()[0].GetResources().GetMillicores(), int64(500))
	lines := strings.Split(strings.TrimSpace(out), "\n")
	assert.Equal(t, len(lines), 5, out)
	assert.DeepEqual(t, strings.Fields(lines[1]),
		strings.Fields("0 6 6 3 1 of 4 on_time -2.5 1.5s 2 a, 1 b 1 memory, 2 none 1 memory, 2 processors"))
	assert.DeepEqual(t, strings.Fields(lines[2]), strings.Fields("1 1 0 0 - not ready - - - - -"))
	assert.Equal(t, lines[3], "queue renders: service s, priority 1, order by cost, 3 hosts, leader "+leader.address)
	assert.Equal(t, lines[4], "admission off")

	service.response.Preview.Admission = &wire.AdmissionPreview{Refused: true, Reason: "too_late", WaitMs: 9000, PathMs: 1000, LimitMs: 6000, RetryAfterMs: 4000}
	code, out, errs = leader.run("where", path, "--output", "json")
	assert.Equal(t, code, commander.ExitOK, errs)
	var output struct {
		Entry     string `json:"entry"`
		Admission struct {
			Refused      bool  `json:"refused"`
			RetryAfterMs int64 `json:"retry_after_ms"`
		} `json:"admission"`
		Steps []struct {
			Starts             int              `json:"starts"`
			RemainingObstacles map[string]int32 `json:"remaining_obstacles"`
		} `json:"steps"`
	}
	assert.NilError(t, json.Unmarshal([]byte(out), &output))
	assert.Equal(t, output.Entry, leader.address)
	assert.Assert(t, output.Admission.Refused)
	assert.Equal(t, output.Admission.RetryAfterMs, int64(4000))
	assert.Equal(t, output.Steps[0].Starts, 3)
	assert.Equal(t, output.Steps[0].RemainingObstacles["processors"], int32(2))
}

// Guards against a misspelled field, a process without a leader or a refused job that
// looks like a job which starts nowhere.
func TestWhereFails(t *testing.T) {
	unaware := newPreviewServer(t, &previewServer{response: &wire.PreviewJobResponse{}})
	code, _, errs := unaware.run("where", writeJob(t, whereJob))
	assert.Equal(t, code, commander.ExitFailure)
	assert.Assert(t, strings.Contains(errs, "knows no leader"), errs)
	code, _, errs = unaware.run("where", writeJob(t, `{"stpes": []}`))
	assert.Equal(t, code, commander.ExitFailure)
	assert.Assert(t, strings.Contains(errs, "is not a job"), errs)
	code, _, errs = newPreviewServer(t, &previewServer{}).run("where", writeJob(t, whereJob))
	assert.Equal(t, code, commander.ExitFailure)
	assert.Assert(t, strings.Contains(errs, "no such queue"), errs)
	code, _, _ = unaware.run("where")
	assert.Equal(t, code, commander.ExitUsage)
}
