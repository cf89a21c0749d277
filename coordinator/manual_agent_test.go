package coordinator_test

import (
	"context"
	"net/http"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

// manualAgent sends the requests of an agent one by one.
type manualAgent struct {
	t      *testing.T
	client wireconnect.CoordinatorServiceClient
	host   string
	epoch  int64
}

func newManualAgent(t *testing.T, leader *entry, host string) *manualAgent {
	return &manualAgent{
		t:      t,
		client: wireconnect.NewCoordinatorServiceClient(http.DefaultClient, leader.server.URL),
		host:   host,
		epoch:  leader.elector.Epoch(),
	}
}

func executorInfo(id string, born int64) *wire.ExecutorInfo {
	return &wire.ExecutorInfo{
		Id:         id,
		BornUnixMs: born,
		Service:    service,
		Zone:       "zone",
		Capacity:   &wire.Resources{Millicores: 8000, MemoryBytes: 64 << 30},
	}
}

func (a *manualAgent) request(session string, info *wire.ExecutorInfo) *wire.ExchangeRequest {
	return &wire.ExchangeRequest{
		Host:              a.host,
		Zone:              "zone",
		Session:           session,
		Epoch:             a.epoch,
		Executor:          info,
		ExecutorReachable: true,
	}
}

// opening is the request that opens a session with the runs that are in progress.
func (a *manualAgent) opening(session string, info *wire.ExecutorInfo, running ...*wire.TaskRun) *wire.ExchangeRequest {
	request := a.request(session, info)
	request.Opening = true
	request.HasRunning = true
	request.Running = running
	return request
}

// open opens a session once the leader has taken over. Before, the process names the
// leader that it knows and drops the request.
func (a *manualAgent) open(f *testFleet, session string, info *wire.ExecutorInfo, running ...*wire.TaskRun) {
	f.waitFor("takeover", func() bool {
		response := a.send(a.opening(session, info, running...))
		return response.GetLeader() == nil && !response.GetReopen()
	})
}

func (a *manualAgent) send(request *wire.ExchangeRequest) *wire.ExchangeResponse {
	a.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), recoveryBound)
	defer cancel()
	response, err := a.client.Exchange(ctx, connect.NewRequest(request))
	assert.NilError(a.t, err)
	return response.Msg
}

// pollOrders polls for at most a second and returns all orders of the session.
func (a *manualAgent) pollOrders(session string, info *wire.ExecutorInfo) []*wire.Order {
	a.t.Helper()
	request := a.request(session, info)
	request.WaitMs = 1000
	return a.send(request).GetOrders()
}
