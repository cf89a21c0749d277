package coordinator_test

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/connector"
	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

// scriptedAgent sends exchange requests for one host and keeps the orders that it gets.
type scriptedAgent struct {
	t      *testing.T
	client wireconnect.CoordinatorServiceClient
	epoch  int64

	session  string
	executor *wire.ExecutorInfo
	received int64
	// opened are the orders that came with the response to the opening request.
	opened []*wire.Order
}

func newScriptedAgent(f *testFleet, leader *entry) *scriptedAgent {
	return &scriptedAgent{
		t:      f.t,
		client: wireconnect.NewCoordinatorServiceClient(connector.NewHTTPClient(), leader.server.URL),
		epoch:  leader.elector.Epoch(),
	}
}

// open opens a session for an incarnation of the executor on which runs are in
// progress.
func (a *scriptedAgent) open(session string, born int64, running ...*wire.TaskRun) {
	a.session = session
	a.received = 0
	a.executor = &wire.ExecutorInfo{
		Id:         "executor",
		BornUnixMs: born,
		Service:    service,
		Zone:       "zone",
		Capacity:   &wire.Resources{Millicores: 8000, MemoryBytes: 64 << 30},
	}
	a.opened = a.exchange(&wire.ExchangeRequest{
		Opening:    true,
		HasRunning: true,
		Running:    running,
	})
}

// orders returns the orders of the session that arrive within a time.
func (a *scriptedAgent) orders(within time.Duration) []*wire.Order {
	orders := a.opened
	a.opened = nil
	for deadline := time.Now().Add(within); time.Now().Before(deadline); {
		orders = append(orders, a.exchange(&wire.ExchangeRequest{WaitMs: 100})...)
	}
	return orders
}

func (a *scriptedAgent) exchange(request *wire.ExchangeRequest) []*wire.Order {
	request.Host = "host-0"
	request.Zone = "zone"
	request.Session = a.session
	request.Epoch = a.epoch
	request.Executor = a.executor
	request.ExecutorReachable = true
	request.OrdersReceived = a.received
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	response, err := a.client.Exchange(ctx, connect.NewRequest(request))
	assert.NilError(a.t, err)
	assert.Assert(a.t, !response.Msg.GetReopen(), "the session is not open")
	orders := response.Msg.GetOrders()
	if len(orders) > 0 {
		a.received = orders[len(orders)-1].GetNumber()
	}
	return orders
}

// runsIn returns the numbers of the runs that the orders start and stop.
func runsIn(orders []*wire.Order) (started, stopped []int32) {
	for _, order := range orders {
		if start := order.GetStart(); start != nil {
			started = append(started, start.GetRun())
		}
		if stop := order.GetStop(); stop != nil {
			stopped = append(stopped, stop.GetRun())
		}
	}
	return started, stopped
}

// Guards against two runs of one task after an executor restarted under its id: a
// start that took effect in the new incarnation is in progress there, so the leader
// must not start the next run beside it.
func TestRunOfARestartedExecutorIsAdopted(t *testing.T) {
	f := newTestFleet(t, 1, 0, fixedRunTime(time.Minute))
	leader := f.leader()
	agent := newScriptedAgent(f, leader)
	f.submit(leader, &wire.Job{Id: jobID, Steps: steps(1)})
	agent.open("a.1", 1)
	started, _ := runsIn(agent.orders(500 * time.Millisecond))
	assert.DeepEqual(t, started, []int32{1})

	agent.open("a.2", 2, &wire.TaskRun{Task: jobID + ".0.0.0", Run: 1})
	started, stopped := runsIn(agent.orders(500 * time.Millisecond))
	// The order for the run in progress tells the agent its step.
	assert.DeepEqual(t, started, []int32{1})
	assert.DeepEqual(t, stopped, []int32(nil))
}

// Guards against two runs of one task after an agent has restarted: the start call of
// its predecessor may still be executed, so the agent must know that the order isn't
// the first one of its run.
func TestOrderOfTheNextSessionIsMarkedAsRepeated(t *testing.T) {
	f := newTestFleet(t, 1, 0, fixedRunTime(time.Minute))
	leader := f.leader()
	agent := newScriptedAgent(f, leader)
	f.submit(leader, &wire.Job{Id: jobID, Steps: steps(1)})
	for _, c := range []struct {
		session  string
		repeated bool
	}{
		{session: "a.1", repeated: false},
		{session: "b.1", repeated: true},
	} {
		agent.open(c.session, 1)
		orders := agent.orders(500 * time.Millisecond)
		assert.Equal(t, len(orders), 1)
		assert.Equal(t, orders[0].GetStart().GetRun(), int32(1))
		assert.Equal(t, orders[0].GetStart().GetRepeated(), c.repeated)
	}
}
