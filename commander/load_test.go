package commander_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/commander"
	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

// loadServer is a job-entry process with a fixed response.
type loadServer struct {
	wireconnect.UnimplementedCoordinatorServiceHandler
	response *wire.GetLoadResponse
}

func (s *loadServer) GetLoad(context.Context, *connect.Request[wire.GetLoadRequest]) (*connect.Response[wire.GetLoadResponse], error) {
	return connect.NewResponse(s.response), nil
}

func newLoadServer(t *testing.T, response *wire.GetLoadResponse) *cli {
	t.Helper()
	_, handler := wireconnect.NewCoordinatorServiceHandler(&loadServer{response: response})
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return &cli{t: t, address: strings.TrimPrefix(server.URL, "http://")}
}

// Guards against a command that works only with the address of the leader, that mixes
// the kinds of tasks, or that prints an empty table for a process without an estimate.
func TestLoad(t *testing.T) {
	leader := newLoadServer(t, &wire.GetLoadResponse{
		Estimate: &wire.LoadEstimate{Epoch: 5, AgeMs: 120, Queues: []*wire.QueueLoad{
			{Queue: "renders", Priority: 1, Service: "s", WaitingCoreS: 40, RateCores: 7.5, CapacityCores: 8, OldestWaitMs: 2500},
			{Queue: "scans", Priority: 2, Service: "s", RunningBestEffortCores: 3, IdleMillicores: 1500},
		}},
	})
	follower := newLoadServer(t, &wire.GetLoadResponse{Leader: &wire.Leadership{Address: leader.address, Epoch: 5}})
	unaware := newLoadServer(t, &wire.GetLoadResponse{})

	code, out, errs := follower.run("load")
	assert.Equal(t, code, commander.ExitOK, errs)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	assert.Equal(t, len(lines), 3, out)
	assert.DeepEqual(t, strings.Fields(lines[1]), strings.Fields("renders 1 s reserving 40.0 0.0 0.0 7.5 8.0 0.0 2.5s"))
	assert.DeepEqual(t, strings.Fields(lines[2]), strings.Fields("scans 2 s best-effort 0.0 0.0 3.0 0.0 0.0 1.5 0s"))

	code, out, errs = unaware.run("load", "--output", "json", "--entry", follower.address)
	assert.Equal(t, code, commander.ExitOK, errs)
	var output struct {
		Entry  string `json:"entry"`
		Epoch  int64  `json:"epoch"`
		Queues []struct {
			Reserving struct {
				RateCores float64 `json:"rate_cores"`
			} `json:"reserving"`
		} `json:"queues"`
	}
	assert.NilError(t, json.Unmarshal([]byte(out), &output))
	assert.Equal(t, output.Entry, leader.address)
	assert.Equal(t, output.Epoch, int64(5))
	assert.Equal(t, output.Queues[0].Reserving.RateCores, 7.5)

	code, _, errs = unaware.run("load")
	assert.Equal(t, code, commander.ExitFailure)
	assert.Assert(t, strings.Contains(errs, "has no load estimate"), errs)
}
