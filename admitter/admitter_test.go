package admitter_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
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

// bench is an agent with an endpoint that holds requests until told.
type bench struct {
	*admitter.Admitter
	age      atomic.Int64
	out      atomic.Bool
	leaving  atomic.Bool
	stale    time.Duration
	executed atomic.Int32
	failing  atomic.Bool
	started  chan struct{}
	proceed  chan struct{}
	clock    *clockwork.FakeClock
}

func (b *bench) Age() time.Duration        { return time.Duration(b.age.Load()) }
func (b *bench) ZoneInService(string) bool { return !b.out.Load() }
func (b *bench) Leaving() bool             { return b.leaving.Load() }
func (b *bench) Policy() admitter.Policy   { return admitter.Policy{StaleLimit: b.stale} }

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{
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
		Limiter:       &limiter.Limiter{Clock: b.clock, Slots: 1, Queue: 4},
		Keys:          &deduplicator.Deduplicator{Clock: b.clock, Currency: b, KeyLifetime: time.Hour},
		Forwarder:     &forwarder.Forwarder{Clock: b.clock, Address: endpoint.Listener.Addr().String(), Connections: 8},
		Feed:          b,
		Clock:         b.clock,
		Service:       "s",
		Zone:          "z",
		CurrencyLimit: 3 * time.Second,
		HealthPath:    "/healthz",
	}
	// A shard without a secondary: the agent is alone.
	self := &wire.HostRef{Host: "a"}
	b.Keys.Assign(self, []deduplicator.Assignment{{State: &wire.ShardState{
		Service: "s", Primary: self, Epoch: &wire.Position{Offset: 1}, Founded: true,
	}}})
	return b
}

func (b *bench) execute(t *testing.T, key string) *wire.ExecuteResponse {
	t.Helper()
	answer, err := b.Execute(context.Background(), connect.NewRequest(&wire.ExecuteRequest{
		RequestId:      "id-" + key,
		Service:        "s",
		Method:         http.MethodPost,
		Path:           "/p",
		TimeoutUs:      time.Minute.Microseconds(),
		IdempotencyKey: key,
		ShardEpoch:     &wire.Position{Offset: 1},
	}))
	assert.NilError(t, err)
	assert.Equal(t, answer.Msg.GetRequestId(), "id-"+key)
	assert.Assert(t, answer.Msg.GetLoad() != nil)
	return answer.Msg
}

// Guards against starting a request that waited in the queue while the zone
// went out of service, the host left, or the configuration became stale.
func TestChecksAgainBeforeRunning(t *testing.T) {
	for reason, change := range map[damaskspread.Reason]func(b *bench){
		damaskspread.ReasonZoneOut:            func(b *bench) { b.out.Store(true) },
		damaskspread.ReasonLeaving:            func(b *bench) { b.leaving.Store(true) },
		damaskspread.ReasonStaleConfiguration: func(b *bench) { b.age.Store(int64(time.Minute)) },
	} {
		t.Run(string(reason), func(t *testing.T) {
			b := newBench(t)
			answers := make(chan *wire.ExecuteResponse, 2)
			go func() { answers <- b.execute(t, "") }()
			<-b.started
			go func() { answers <- b.execute(t, "") }()
			for b.Load().GetQueued() == 0 {
				time.Sleep(time.Millisecond)
			}
			change(b)
			close(b.proceed)
			got := map[wire.Outcome]string{}
			for range 2 {
				answer := <-answers
				got[answer.GetOutcome()] = answer.GetReason()
			}
			assert.DeepEqual(t, got, map[wire.Outcome]string{
				wire.Outcome_OUTCOME_RAN:     "",
				wire.Outcome_OUTCOME_NOT_RUN: string(reason),
			})
			assert.Equal(t, b.executed.Load(), int32(1))
			answer := b.execute(t, "")
			assert.Equal(t, answer.GetReason(), string(reason))
		})
	}
}

type peersFunc func()

func (f peersFunc) Replicate(context.Context, string, *wire.ReplicateRequest) (*wire.ReplicateResponse, error) {
	f()
	return &wire.ReplicateResponse{Accepted: true}, nil
}

// Guards against a key that stays at the secondary for ever because the leave
// began while the key was replicated, and against new work long after it.
func TestLeaveDuringCommit(t *testing.T) {
	for pause, want := range map[time.Duration]wire.Outcome{
		0:               wire.Outcome_OUTCOME_RAN,
		2 * time.Second: wire.Outcome_OUTCOME_NOT_RUN,
	} {
		b := newBench(t)
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

// Guards against a stored result that is withheld by an agent that may not
// start anything, and against a stale answer without its age.
func TestKnownResultWhileStale(t *testing.T) {
	b := newBench(t)
	close(b.proceed)
	assert.Equal(t, b.execute(t, "k").GetOutcome(), wire.Outcome_OUTCOME_RAN)
	b.age.Store(int64(time.Minute))
	known := b.execute(t, "k")
	assert.Assert(t, known.GetReplayed())
	assert.Equal(t, string(known.GetBody()), "done")
	b.stale = time.Hour
	answer := b.execute(t, "")
	assert.Equal(t, answer.GetOutcome(), wire.Outcome_OUTCOME_RAN)
	found := false
	for _, header := range answer.GetHeaders() {
		found = found || header.GetName() == admitter.ConfigAgeHeader
	}
	assert.Assert(t, found)
	assert.Equal(t, b.executed.Load(), int32(2))
}

// Guards against a leave that interrupts a request or lets new ones in, and
// against one that another machine can announce.
func TestLeaveAndDrain(t *testing.T) {
	b := newBench(t)
	told := 0
	b.OnLeave = func(context.Context) error {
		told++
		return nil
	}
	answers := make(chan *wire.ExecuteResponse, 1)
	go func() { answers <- b.execute(t, "") }()
	<-b.started
	remote := httptest.NewRequest(http.MethodPost, "/leave", nil) // from 192.0.2.1
	w := httptest.NewRecorder()
	b.LocalHandler().ServeHTTP(w, remote)
	assert.Equal(t, w.Code, http.StatusForbidden)
	local := httptest.NewServer(b.LocalHandler())
	defer local.Close()
	response, err := http.Post(local.URL+"/leave", "", nil)
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusAccepted)
	assert.Equal(t, told, 1)
	assert.Equal(t, b.execute(t, "").GetReason(), string(damaskspread.ReasonLeaving))
	drained := make(chan error, 1)
	go func() { drained <- b.Drain(context.Background()) }()
	close(b.proceed)
	assert.NilError(t, <-drained)
	assert.Equal(t, (<-answers).GetOutcome(), wire.Outcome_OUTCOME_RAN)
}

// Guards against requests for an endpoint that fails its probes, and against
// one that never gets any again.
func TestHealth(t *testing.T) {
	b := newBench(t)
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
		answer := b.execute(t, "")
		assert.Equal(t, answer.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN, failing)
	}
}
