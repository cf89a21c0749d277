package poller_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/poller"
	"damaskspread.example/damaskspread/wire"
)

var errUnreachable = errors.New("connection refused")

// fakeElapsed is an ElapsedClock that a test sets.
type fakeElapsed struct {
	mu  sync.Mutex
	now time.Duration
}

func (f *fakeElapsed) Elapsed() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fakeElapsed) advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now += d
}

// testEntry runs a poller whose ticks, leader and responses the test decides.
type testEntry struct {
	t       *testing.T
	poller  *poller.Poller
	clock   *clockwork.FakeClock
	elapsed *fakeElapsed

	mu     sync.Mutex
	leader *wire.Leadership
	epoch  int64
	own    *wire.LoadEstimate
	// responses has the answer of each address; others are unreachable.
	responses map[string]func(context.Context) (*wire.GetLoadResponse, error)
	// called receives the address of each call before it returns.
	called chan string
}

func newTestEntry(t *testing.T) *testEntry {
	e := &testEntry{
		t:         t,
		clock:     clockwork.NewFakeClock(),
		elapsed:   &fakeElapsed{now: time.Hour},
		responses: map[string]func(context.Context) (*wire.GetLoadResponse, error){},
		called:    make(chan string, 10),
	}
	e.poller = &poller.Poller{
		Leader:  func() *wire.Leadership { return locked(e, &e.leader) },
		Epoch:   func() int64 { return locked(e, &e.epoch) },
		Own:     func() *wire.LoadEstimate { return locked(e, &e.own) },
		GetLoad: e.getLoad,
		Clock:   e.clock,
		Elapsed: e.elapsed,
	}
	tb := &tomb.Tomb{}
	tb.Go(func() error { return e.poller.Run(tb) })
	t.Cleanup(func() {
		tb.Kill(nil)
		assert.NilError(t, tb.Wait())
	})
	assert.NilError(t, e.clock.BlockUntilContext(t.Context(), 1))
	return e
}

func locked[T any](e *testEntry, field *T) T {
	e.mu.Lock()
	defer e.mu.Unlock()
	return *field
}

func (e *testEntry) getLoad(ctx context.Context, address string) (*wire.GetLoadResponse, error) {
	e.mu.Lock()
	respond := e.responses[address]
	e.mu.Unlock()
	e.called <- address
	if respond == nil {
		return nil, errUnreachable
	}
	return respond(ctx)
}

func (e *testEntry) setLeader(address string, epoch int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leader = &wire.Leadership{Process: address, Address: address, Epoch: epoch}
}

// setLead makes this process the leader of an epoch, or none if it is 0.
func (e *testEntry) setLead(epoch int64, own *wire.LoadEstimate) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.epoch, e.own = epoch, own
}

func (e *testEntry) respond(address string, response *wire.GetLoadResponse) {
	e.respondWith(address, func(context.Context) (*wire.GetLoadResponse, error) { return response, nil })
}

func (e *testEntry) respondWith(address string, respond func(context.Context) (*wire.GetLoadResponse, error)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.responses[address] = respond
}

// poll triggers a poll and returns the address that was called.
func (e *testEntry) poll() string {
	e.t.Helper()
	e.clock.Advance(500 * time.Millisecond)
	select {
	case address := <-e.called:
		return address
	case <-time.After(10 * time.Second):
		e.t.Fatal("no call")
		return ""
	}
}

// waitEpoch waits until the estimate is that of the epoch, 0 for none.
func (e *testEntry) waitEpoch(epoch int64) {
	e.t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for {
		estimate, _ := e.poller.Load()
		if estimate.GetEpoch() == epoch {
			return
		}
		if time.Now().After(deadline) {
			e.t.Fatalf("estimate of epoch %d instead of %d", estimate.GetEpoch(), epoch)
		}
		time.Sleep(time.Millisecond)
	}
}

func (e *testEntry) waitFailed(calls int64) {
	e.t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for e.poller.FailedCalls() < calls {
		assert.Assert(e.t, time.Now().Before(deadline), "%d failed calls instead of %d", e.poller.FailedCalls(), calls)
		time.Sleep(time.Millisecond)
	}
}

func estimateOf(epoch, ageMs int64) *wire.GetLoadResponse {
	return &wire.GetLoadResponse{
		Estimate: &wire.LoadEstimate{Epoch: epoch, AgeMs: ageMs, Queues: []*wire.QueueLoad{{Queue: "q"}}},
	}
}

// Guards against an age that leaves out the time of the call, the age in the response
// or the time since, so that old estimates look current.
func TestAgeCountsFromTheRequest(t *testing.T) {
	e := newTestEntry(t)
	estimate, age := e.poller.Load()
	assert.Assert(t, estimate == nil)
	assert.Equal(t, age, damaskspread.MaxAge)
	e.setLeader("a", 5)
	e.respondWith("a", func(context.Context) (*wire.GetLoadResponse, error) {
		e.elapsed.advance(300 * time.Millisecond)
		return estimateOf(5, 200), nil
	})
	assert.Equal(t, e.poll(), "a")
	e.waitEpoch(5)
	e.elapsed.advance(4 * time.Second)
	_, age = e.poller.Load()
	assert.Equal(t, age, 4500*time.Millisecond)
	assert.Equal(t, e.poller.AgeSeconds(), 4.5)
}

// Guards against a malformed age that makes an estimate look current.
func TestMalformedAge(t *testing.T) {
	e := newTestEntry(t)
	e.setLeader("a", 5)
	for i, ms := range []int64{-1, 1 << 62} {
		e.respond("a", estimateOf(5+int64(i), ms))
		e.poll()
		e.waitEpoch(5 + int64(i))
		_, age := e.poller.Load()
		assert.Equal(t, age, damaskspread.MaxAge)
	}
}

// Guards against decisions by the estimate of an earlier leader, whether the log or
// another process shows that there is a later one.
func TestLeaderReplaced(t *testing.T) {
	e := newTestEntry(t)
	e.setLeader("a", 5)
	e.respond("a", estimateOf(5, 0))
	e.poll()
	e.waitEpoch(5)

	e.setLeader("b", 8)
	e.waitEpoch(0)
	e.respond("b", estimateOf(5, 0))
	assert.Equal(t, e.poll(), "b")
	e.waitFailed(1)
	e.waitEpoch(0)
	e.respond("b", estimateOf(8, 0))
	e.poll()
	e.waitEpoch(8)

	e.respond("b", &wire.GetLoadResponse{Leader: &wire.Leadership{Address: "c", Epoch: 11}})
	e.respond("c", estimateOf(11, 0))
	assert.Equal(t, e.poll(), "b")
	e.waitFailed(2)
	e.waitEpoch(0)
	assert.Equal(t, e.poll(), "c")
	e.waitEpoch(11)
}

// Guards against a referral to an earlier leader that two processes send each other.
func TestEarlierReferralIsIgnored(t *testing.T) {
	e := newTestEntry(t)
	e.setLeader("a", 5)
	e.respond("a", &wire.GetLoadResponse{Leader: &wire.Leadership{Address: "z", Epoch: 4}})
	assert.Equal(t, e.poll(), "a")
	e.waitFailed(1)
	assert.Equal(t, e.poll(), "a")
}

// Guards against a leader that hangs or is gone and blocks the poller, and against an
// estimate that a failed call drops or makes younger.
func TestLeaderHangsOrIsGone(t *testing.T) {
	e := newTestEntry(t)
	e.setLeader("a", 5)
	e.respond("a", estimateOf(5, 0))
	e.poll()
	e.waitEpoch(5)
	e.respondWith("a", func(ctx context.Context) (*wire.GetLoadResponse, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	e.elapsed.advance(time.Second)
	e.poll()
	e.waitFailed(1)
	e.respondWith("a", nil)
	e.elapsed.advance(3 * time.Second)
	e.poll()
	e.waitFailed(2)
	estimate, age := e.poller.Load()
	assert.Equal(t, estimate.GetEpoch(), int64(5))
	assert.Equal(t, age, 4*time.Second)
	e.respond("a", estimateOf(5, 0))
	e.poll()
	e.waitFailed(2)
	for age > time.Second {
		_, age = e.poller.Load()
	}
}

// Guards against a leader that calls itself, and against its own earlier estimate, or
// that of the leader before, after it has lost the leadership.
func TestOwnEstimate(t *testing.T) {
	e := newTestEntry(t)
	e.setLeader("a", 5)
	e.respond("a", estimateOf(5, 0))
	e.poll()
	e.waitEpoch(5)
	e.setLeader("self", 9)
	e.setLead(9, nil)
	e.waitEpoch(0)
	e.setLead(9, estimateOf(9, 70).GetEstimate())
	e.waitEpoch(9)
	_, age := e.poller.Load()
	assert.Equal(t, age, 70*time.Millisecond)
	e.clock.Advance(500 * time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, len(e.called), 0)
	e.setLead(0, nil)
	e.waitEpoch(0)
}
