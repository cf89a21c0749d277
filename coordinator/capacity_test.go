package coordinator_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

const (
	// shrunkMillicores has room for five tasks, a third of the default.
	shrunkMillicores = 2500
	// reuseBound is the time within which room that has grown is used again.
	reuseBound = 3 * time.Second
	// pastGrace is a time after which only the shrunk capacity counts.
	pastGrace = emulator.CapacityGrace + 100*time.Millisecond
)

// Guards against starts over a capacity that has shrunk while its executor runs,
// against room that is not used again once it has grown, and against jobs that are
// lost meanwhile.
func TestCapacityShrinksAndGrows(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 3, 3, fixedRunTime(300*time.Millisecond))
	for _, h := range f.hosts {
		h.executor.StopTime = 200 * time.Millisecond
	}
	var ids []string
	for i := range 16 {
		ids = append(ids, fmt.Sprintf("%016x", i+1))
		f.submit(f.leader(), &wire.Job{Id: ids[i], Steps: steps(150)})
	}
	full := defaultMillicores / taskMillicores * 3 / 4
	usesRoomAgain := func(h *host) {
		f.setMillicores(h, defaultMillicores)
		started := time.Now()
		f.waitFor("use of the room", func() bool { return h.executor.Running() >= full })
		assert.Assert(t, time.Since(started) < reuseBound, "%s after %s", h.name, time.Since(started))
	}

	f.waitFor("load", func() bool { return f.hosts[0].executor.Running() >= full })
	f.setMillicores(f.hosts[0], shrunkMillicores)
	f.setMillicores(f.hosts[1], shrunkMillicores)
	f.killEntry(f.leader())
	f.leader()
	time.Sleep(pastGrace)
	f.killAgent(f.hosts[1])
	f.startAgent(f.hosts[1])
	usesRoomAgain(f.hosts[0])
	f.setMillicores(f.hosts[2], shrunkMillicores)
	time.Sleep(time.Second)
	usesRoomAgain(f.hosts[1])
	f.setMillicores(f.hosts[0], shrunkMillicores)
	time.Sleep(pastGrace)
	usesRoomAgain(f.hosts[2])
	usesRoomAgain(f.hosts[0])
	for _, id := range ids {
		f.waitSucceeded(f.leader(), id)
	}
	f.assertWithinCapacity()
	f.assertNoDuplicateRuns()
}

// Guards against a new leader that repeats the starts of the leader before, which
// the agent never received, on an executor that has shrunk since.
func TestShrunkWhileAgentIsAway(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 2, 1, fixedRunTime(2*time.Second))
	host, leader := f.hosts[0], f.leader()
	f.submit(leader, &wire.Job{Id: jobID, Steps: steps(1)})
	f.waitSucceeded(leader, jobID)
	f.killAgent(host)
	const waiting = "00000000000000a2"
	f.submit(leader, &wire.Job{Id: waiting, Steps: steps(16)})
	f.waitFor("assignment", func() bool { return f.assignedTasks(waiting) > 0 })
	f.setMillicores(host, shrunkMillicores)
	f.killEntry(leader)
	time.Sleep(pastGrace)
	f.startAgent(host)
	f.waitFor("start", func() bool { return host.executor.Running() > 0 })
	f.setMillicores(host, defaultMillicores)
	f.waitSucceeded(f.leader(), waiting)
	f.assertWithinCapacity()
	f.assertNoDuplicateRuns()
}

// Guards against starts by the capacity of the incarnation before, when an executor
// restarts under its id with less and has not announced itself yet.
func TestExecutorRestartsSmaller(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 0, fixedRunTime(200*time.Millisecond))
	f.announceInterval = 1500 * time.Millisecond
	host := f.newHost("host-0")
	f.hosts = append(f.hosts, host)
	f.startAgent(host)
	f.submit(f.leader(), &wire.Job{Id: jobID, Steps: steps(120)})
	f.waitFor("load", func() bool { return host.executor.Running() == defaultMillicores/taskMillicores })
	f.bootWith(host, capacityOf(shrunkMillicores))
	f.waitSucceeded(f.leader(), jobID)
	f.assertWithinCapacity()
}

// fakeAgent exchanges reports with the leader for one executor, and starts nothing.
type fakeAgent struct {
	t       *testing.T
	client  wireconnect.CoordinatorServiceClient
	session *wire.ExchangeRequest
}

// newFakeAgent opens a session whose executor announces a capacity.
func newFakeAgent(t *testing.T, leader *entry, millicores int64) *fakeAgent {
	a := &fakeAgent{
		t:      t,
		client: wireconnect.NewCoordinatorServiceClient(http.DefaultClient, leader.server.URL),
	}
	a.session = &wire.ExchangeRequest{Host: "host-0", Zone: "zone", Session: "s", HasRunning: true, ExecutorReachable: true}
	a.session.Epoch = a.report(1, millicores).GetEpoch()
	a.session.Opening = true
	a.report(1, millicores)
	a.session.Opening = false
	return a
}

// report sends a request with an announcement of the executor and returns the
// response.
func (a *fakeAgent) report(sequence, millicores int64, refusals ...*wire.StartRefusal) *wire.ExchangeResponse {
	a.t.Helper()
	a.session.Refusals = refusals
	a.session.Executor = &wire.ExecutorInfo{Id: "i", BornUnixMs: 1, Service: service, Zone: "zone", Capacity: capacityOf(millicores), Sequence: sequence}
	response, err := a.client.Exchange(a.t.Context(), connect.NewRequest(a.session))
	assert.NilError(a.t, err)
	return response.Msg
}

// awaitStarts polls until the leader has sent orders, and returns their tasks.
func (a *fakeAgent) awaitStarts(sequence, millicores int64) []string {
	a.t.Helper()
	var tasks []string
	a.session.WaitMs = recoveryBound.Milliseconds()
	for deadline := time.Now().Add(recoveryBound); len(tasks) == 0 && time.Now().Before(deadline); {
		// A poll ends also with the first lease.
		for _, order := range a.report(sequence, millicores).GetOrders() {
			tasks = append(tasks, order.GetStart().GetTask())
			a.session.OrdersReceived = order.GetNumber()
		}
	}
	a.session.WaitMs = 0
	return tasks
}

// Guards against a larger, older capacity that replaces a newer one because a
// request was overtaken on its way.
func TestOvertakenAnnouncement(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 0, nil)
	leader := f.leader()
	a := newFakeAgent(t, leader, defaultMillicores)
	a.report(3, 2*taskMillicores)
	a.report(2, defaultMillicores)
	f.submit(leader, &wire.Job{Id: jobID, Steps: steps(4)})
	assert.Equal(t, len(a.awaitStarts(2, defaultMillicores)), 2)
}

// Guards against a task that the leader assigns again and again to a host whose
// agent counts more runs than the leader knows.
func TestNoRoomBackoff(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 0, nil)
	leader := f.leader()
	a := newFakeAgent(t, leader, defaultMillicores)
	f.submit(leader, &wire.Job{Id: jobID, Steps: steps(1)})
	task := a.awaitStarts(1, defaultMillicores)[0]
	refusal := &wire.StartRefusal{Task: task, Run: 1, Reason: string(damaskspread.RefusedNoRoom)}
	a.report(1, defaultMillicores, refusal)
	started := time.Now()
	assert.DeepEqual(t, a.awaitStarts(1, defaultMillicores), []string{task})
	pause := time.Since(started)
	assert.Assert(t, pause > 400*time.Millisecond && pause < reuseBound, "%s", pause)
}
