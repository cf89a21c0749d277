package admitter_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/admitter"
	"damaskspread.example/damaskspread/deduplicator"
	"damaskspread.example/damaskspread/forwarder"
	"damaskspread.example/damaskspread/limiter"
	"damaskspread.example/damaskspread/wire"
)

// testAgent is an agent whose endpoint blocks requests until proceed is closed.
// It is also the admitter's Feed.
type testAgent struct {
	*admitter.Admitter
	age        atomic.Int64
	zoneOut    atomic.Bool
	leaving    atomic.Bool
	staleLimit time.Duration
	executed   atomic.Int32
	failing    atomic.Bool
	started    chan struct{}
	proceed    chan struct{}
	clock      *clockwork.FakeClock
}

func (b *testAgent) Age() time.Duration        { return time.Duration(b.age.Load()) }
func (b *testAgent) ZoneInService(string) bool { return !b.zoneOut.Load() }
func (b *testAgent) Leaving() bool             { return b.leaving.Load() }
func (b *testAgent) Policy() admitter.Policy   { return admitter.Policy{StaleLimit: b.staleLimit} }

func newTestAgent(t *testing.T) *testAgent {
	t.Helper()
	b := &testAgent{
		started: make(chan struct{}, 10),
		proceed: make(chan struct{}),
		clock:   clockwork.NewFakeClock(),
	}
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			if b.failing.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			return
		}
		b.executed.Add(1)
		b.started <- struct{}{}
		<-b.proceed
		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(endpoint.Close)
	b.Admitter = &admitter.Admitter{
		Limiter:       &limiter.Limiter{Clock: b.clock, Slots: 1, MaxQueued: 4},
		Keys:          &deduplicator.Deduplicator{Clock: b.clock, Currency: b, KeyLifetime: time.Hour},
		Forwarder:     &forwarder.Forwarder{Clock: b.clock, Address: endpoint.Listener.Addr().String(), MaxConnections: 8},
		Feed:          b,
		Clock:         b.clock,
		Service:       "s",
		Zone:          "z",
		CurrencyLimit: 3 * time.Second,
		HealthPath:    "/healthz",
	}
	// The shard has no secondary.
	self := &wire.HostRef{Host: "a"}
	b.Keys.Assign(self, []deduplicator.Assignment{{State: &wire.ShardState{
		Service: "s", Primary: self, Epoch: &wire.Position{Offset: 1}, Founded: true,
	}}})
	return b
}

func (b *testAgent) execute(t *testing.T, key string) *wire.ExecuteResponse {
	t.Helper()
	response, err := b.Execute(context.Background(), connect.NewRequest(&wire.ExecuteRequest{
		RequestId:      "id-" + key,
		Service:        "s",
		Method:         http.MethodPost,
		Path:           "/p",
		TimeoutUs:      time.Minute.Microseconds(),
		IdempotencyKey: key,
		ShardEpoch:     &wire.Position{Offset: 1},
	}))
	assert.NilError(t, err)
	assert.Equal(t, response.Msg.GetRequestId(), "id-"+key)
	assert.Assert(t, response.Msg.GetLoad() != nil)
	return response.Msg
}

// receiveReasons waits for responses and returns their reasons by outcome.
func receiveReasons(responses <-chan *wire.ExecuteResponse, count int) map[wire.Outcome]string {
	reasons := map[wire.Outcome]string{}
	for range count {
		response := <-responses
		reasons[response.GetOutcome()] = response.GetReason()
	}
	return reasons
}

// Guards against starting a queued request after the zone went out of service,
// the host began to leave, or the configuration became stale.
func TestChecksAgainBeforeRunning(t *testing.T) {
	for reason, change := range map[damaskspread.Reason]func(b *testAgent){
		damaskspread.ReasonZoneOut:            func(b *testAgent) { b.zoneOut.Store(true) },
		damaskspread.ReasonLeaving:            func(b *testAgent) { b.leaving.Store(true) },
		damaskspread.ReasonStaleConfiguration: func(b *testAgent) { b.age.Store(int64(time.Minute)) },
	} {
		t.Run(string(reason), func(t *testing.T) {
			b := newTestAgent(t)
			responses := make(chan *wire.ExecuteResponse, 2)
			go func() { responses <- b.execute(t, "") }()
			<-b.started
			go func() { responses <- b.execute(t, "") }()
			for b.Load().GetQueued() == 0 {
				time.Sleep(time.Millisecond)
			}
			change(b)
			close(b.proceed)
			assert.DeepEqual(t, receiveReasons(responses, 2), map[wire.Outcome]string{
				wire.Outcome_OUTCOME_RAN:     "",
				wire.Outcome_OUTCOME_NOT_RUN: string(reason),
			})
			assert.Equal(t, b.executed.Load(), int32(1))
			response := b.execute(t, "")
			assert.Equal(t, response.GetReason(), string(reason))
		})
	}
}

// Guards against a permission that runs out while an admitted request waits for a
// connection to the endpoint, as in an agent that was paused there.
func TestChecksAgainBeforeSending(t *testing.T) {
	b := newTestAgent(t)
	b.Limiter.Slots = 2
	b.Forwarder.MaxConnections = 1
	responses := make(chan *wire.ExecuteResponse, 2)
	go func() { responses <- b.execute(t, "") }()
	<-b.started
	go func() { responses <- b.execute(t, "") }()
	for b.Load().GetRunning() < 2 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond) // the second request waits for the connection
	b.age.Store(int64(time.Minute))
	close(b.proceed)
	assert.DeepEqual(t, receiveReasons(responses, 2), map[wire.Outcome]string{
		wire.Outcome_OUTCOME_RAN:     "",
		wire.Outcome_OUTCOME_NOT_RUN: string(damaskspread.ReasonStaleConfiguration),
	})
	assert.Equal(t, b.executed.Load(), int32(1))
}

type peersFunc func()

func (f peersFunc) Replicate(context.Context, string, *wire.ReplicateRequest) (*wire.ReplicateResponse, error) {
	f()
	return &wire.ReplicateResponse{Accepted: true}, nil
}

// Guards against a key that stays unfinished at the secondary because the leave
// began while the key was replicated, and against starting a request later than
// admittedGrace after its admission.
func TestLeaveDuringCommit(t *testing.T) {
	for pause, want := range map[time.Duration]wire.Outcome{
		0:               wire.Outcome_OUTCOME_RAN,
		2 * time.Second: wire.Outcome_OUTCOME_NOT_RUN,
	} {
		b := newTestAgent(t)
		close(b.proceed)
		b.Keys.Peers = peersFunc(func() {
			b.leaving.Store(true)
			b.clock.Advance(pause)
		})
		self := &wire.HostRef{Host: "a"}
		b.Keys.Assign(self, []deduplicator.Assignment{{State: &wire.ShardState{
			Service: "s", Primary: self, Epoch: &wire.Position{Offset: 1}, Founded: true, Secondary: &wire.HostRef{Host: "b"},
		}, SecondaryAddress: "b"}})
		assert.Equal(t, b.execute(t, "key").GetOutcome(), want, "pause %s", pause)
	}
}

// Guards against an agent that doesn't return a stored result while it may not
// start new requests, and against a response without ConfigAgeHeader although the
// configuration is stale.
func TestStoredResultWhileStale(t *testing.T) {
	b := newTestAgent(t)
	close(b.proceed)
	assert.Equal(t, b.execute(t, "k").GetOutcome(), wire.Outcome_OUTCOME_RAN)
	b.age.Store(int64(time.Minute))
	stored := b.execute(t, "k")
	assert.Assert(t, stored.GetReplayed())
	assert.Equal(t, string(stored.GetBody()), "done")
	b.staleLimit = time.Hour
	response := b.execute(t, "")
	assert.Equal(t, response.GetOutcome(), wire.Outcome_OUTCOME_RAN)
	found := false
	for _, header := range response.GetHeaders() {
		found = found || header.GetName() == admitter.ConfigAgeHeader
	}
	assert.Assert(t, found)
	assert.Equal(t, b.executed.Load(), int32(2))
}

// Guards against a leave that interrupts a request in progress or admits new
// ones, and against a leave that another machine can announce.
func TestLeaveAndDrain(t *testing.T) {
	b := newTestAgent(t)
	announced := 0
	b.OnLeave = func(context.Context) error {
		announced++
		return nil
	}
	responses := make(chan *wire.ExecuteResponse, 1)
	go func() { responses <- b.execute(t, "") }()
	<-b.started
	remote := httptest.NewRequest(http.MethodPost, "/leave", nil) // from 192.0.2.1
	w := httptest.NewRecorder()
	b.LeaveHandler().ServeHTTP(w, remote)
	assert.Equal(t, w.Code, http.StatusForbidden)
	local := httptest.NewServer(b.LeaveHandler())
	defer local.Close()
	leaveResponse, err := http.Post(local.URL+"/leave", "", nil)
	assert.NilError(t, err)
	_ = leaveResponse.Body.Close()
	assert.Equal(t, leaveResponse.StatusCode, http.StatusAccepted)
	assert.Equal(t, announced, 1)
	assert.Equal(t, b.execute(t, "").GetReason(), string(damaskspread.ReasonLeaving))
	drained := make(chan error, 1)
	go func() { drained <- b.Drain(context.Background()) }()
	close(b.proceed)
	assert.NilError(t, <-drained)
	assert.Equal(t, (<-responses).GetOutcome(), wire.Outcome_OUTCOME_RAN)
}

// Guards against a leave that is not recorded and leaves the operator without the
// reason.
func TestLeaveNotRecorded(t *testing.T) {
	b := newTestAgent(t)
	b.OnLeave = func(context.Context) error { return &damaskspread.LogUnavailableError{Cause: context.DeadlineExceeded} }
	local := httptest.NewServer(b.LeaveHandler())
	defer local.Close()
	response, err := http.Post(local.URL+"/leave", "", nil)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(string(body), "log unavailable"), "%s", body)
	assert.Assert(t, b.Admitter.Leaving())
}

// Guards against requests to an endpoint that fails its health checks, and
// against an endpoint that gets none after it has recovered.
func TestHealth(t *testing.T) {
	b := newTestAgent(t)
	close(b.proceed)
	var running tomb.Tomb
	running.Go(func() error { return b.Run(&running) })
	defer func() {
		running.Kill(nil)
		_ = running.Wait()
	}()
	for _, failing := range []bool{true, false} {
		b.failing.Store(failing)
		for b.Healthy() == failing {
			assert.NilError(t, b.clock.BlockUntilContext(context.Background(), 1))
			b.clock.Advance(time.Second)
			time.Sleep(time.Millisecond)
		}
		response := b.execute(t, "")
		assert.Equal(t, response.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN, failing)
	}
}
