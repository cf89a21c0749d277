package deduplicator_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/deduplicator"
	"damaskspread.example/damaskspread/wire"
)

// pair is a set of agents that reach each other directly.
type pair struct {
	clock  *clockwork.FakeClock
	agents map[string]*deduplicator.Deduplicator
	age    time.Duration
	during func() // runs while a message is under way
	ready  int
}

func (p *pair) Age() time.Duration { return p.age }

func (p *pair) AppendRecords(context.Context, []*wire.Record) (int64, error) {
	p.ready++
	return 0, nil
}

func (p *pair) Replicate(_ context.Context, address string, request *wire.ReplicateRequest) (*wire.ReplicateResponse, error) {
	answer := p.agents[address].Accept(request)
	if during := p.during; during != nil {
		p.during = nil
		during()
	}
	return answer, nil
}

func newPair(names ...string) *pair {
	p := &pair{
		clock:  clockwork.NewFakeClock(),
		agents: map[string]*deduplicator.Deduplicator{},
	}
	for _, name := range names {
		p.agents[name] = &deduplicator.Deduplicator{
			Clock:       p.clock,
			Currency:    p,
			Peers:       p,
			Appender:    p,
			KeyLifetime: time.Minute,
			MaxBytes:    1 << 20,
		}
	}
	return p
}

func ref(name string) *wire.HostRef {
	return &wire.HostRef{Host: name, Incarnation: "1"}
}

func at(epoch int64) *wire.Position { return &wire.Position{Offset: epoch} }

// assign tells some agents that a shard moved from one epoch to another.
func (p *pair) assign(previous, epoch int64, primary, secondary string, founded bool, told ...string) {
	for _, name := range told {
		var mine []deduplicator.Assignment
		if name == primary || name == secondary {
			mine = append(mine, deduplicator.Assignment{
				State: &wire.ShardState{
					Service: service, Primary: ref(primary), Secondary: ref(secondary), Epoch: at(epoch), Founded: founded,
				},
				Previous: at(previous), PrimaryAddress: primary, SecondaryAddress: secondary,
			})
		}
		p.agents[name].Assign(ref(name), mine)
	}
}

func call(epoch int64, key string) deduplicator.Call {
	return deduplicator.Call{Service: service, Epoch: at(epoch), Key: key, BodyHash: []byte("h")}
}

func expired() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func (p *pair) synchronize(t *testing.T, names ...string) {
	t.Helper()
	for _, name := range names {
		assert.NilError(t, p.agents[name].Synchronize(context.Background()))
	}
}

// run reports whether the key ran, or the refusal.
func (p *pair) run(name string, c deduplicator.Call, size int) (bool, *damaskspread.RefusalError) {
	ticket, known, refusal := p.agents[name].Begin(expired(), c)
	if ticket == nil {
		return known != nil, refusal
	}
	if refusal := ticket.Commit(context.Background()); refusal != nil {
		return false, ticket.Refuse(expired(), refusal)
	}
	ticket.Finish(&wire.ExecuteResponse{Outcome: wire.Outcome_OUTCOME_RAN, Body: make([]byte, size)})
	return true, nil
}

func mustOutcome(t *testing.T, refusal *damaskspread.RefusalError, outcome wire.Outcome, reason damaskspread.Reason) {
	t.Helper()
	assert.Assert(t, refusal != nil)
	assert.Equal(t, refusal.Outcome, outcome, refusal.Error())
	assert.Equal(t, refusal.Reason, reason, refusal.Error())
}

const (
	unknown = wire.Outcome_OUTCOME_UNKNOWN
	notRun  = wire.Outcome_OUTCOME_NOT_RUN
)

// Guards against a second run after a promotion, with the whole history known,
// and against an agent that claims it after assignments it never saw.
func TestPromotion(t *testing.T) {
	for _, skipped := range []bool{false, true} {
		p := newPair("a", "b", "c")
		p.assign(0, 1, "a", "b", true, "a", "b")
		p.synchronize(t, "a", "b")
		assert.Equal(t, p.ready, 1)
		ran, _ := p.run("a", call(1, "old"), 0)
		assert.Assert(t, ran)
		if skipped {
			p.assign(1, 2, "a", "c", true, "a", "c")
			ran, _ = p.run("a", call(2, "unseen"), 0)
			assert.Assert(t, ran)
			p.assign(2, 3, "b", "c", false, "b", "c")
		} else {
			p.assign(1, 3, "b", "c", false, "b", "c")
		}
		_, refusal := p.run("b", call(3, "old"), 0)
		mustOutcome(t, refusal, unknown, damaskspread.ReasonInProgress)
		ran, refusal = p.run("b", call(3, "unseen"), 0)
		if skipped {
			mustOutcome(t, refusal, unknown, damaskspread.ReasonHistoryLost)
			first := call(3, "new")
			first.FirstAttempt = true
			ran, _ = p.run("b", first, 0)
			assert.Assert(t, ran)
			p.clock.Advance(3 * time.Minute)
			ran, _ = p.run("b", call(3, "after the lifetime"), 0)
		}
		assert.Assert(t, ran)
	}
}

// Guards against a former primary that runs a key after the promotion.
func TestFormerPrimary(t *testing.T) {
	p := newPair("a", "b", "c")
	p.assign(0, 1, "a", "b", true, "a", "b")
	p.assign(1, 2, "b", "c", false, "b", "c")
	go func() { // the pauses between the tries
		for range 4 {
			_ = p.clock.BlockUntilContext(context.Background(), 1)
			p.clock.Advance(time.Second)
		}
	}()
	p.age = time.Hour // no proof that a is still primary
	ran, refusal := p.run("a", call(1, "k"), 0)
	assert.Assert(t, !ran)
	mustOutcome(t, refusal, unknown, damaskspread.ReasonStaleEpoch)
}

// Guards against a primary that runs a key for which the secondary said
// not_run, and against that answer without proof of the epoch.
func TestSecondaryBlocks(t *testing.T) {
	p := newPair("a", "b")
	p.assign(0, 1, "a", "b", true, "a", "b")
	_, refusal := p.run("b", call(1, "k"), 0)
	mustOutcome(t, refusal, unknown, damaskspread.ReasonHistoryLost)
	p.synchronize(t, "a")
	p.age = time.Second
	_, refusal = p.run("b", call(1, "k"), 0)
	mustOutcome(t, refusal, unknown, damaskspread.ReasonStaleConfiguration)
	p.age = 0
	_, refusal = p.run("b", call(1, "k"), 0)
	mustOutcome(t, refusal, notRun, damaskspread.ReasonNoEndpoint)
	ran, refusal := p.run("a", call(1, "k"), 0)
	assert.Assert(t, !ran)
	mustOutcome(t, refusal, notRun, damaskspread.ReasonConflict)
	ran, _ = p.run("a", call(1, "other"), 0)
	assert.Assert(t, ran)
}

// Guards against a key that a new secondary never learns of because the shard
// moved while the former secondary accepted it.
func TestEpochMovesDuringCommit(t *testing.T) {
	p := newPair("a", "b", "c")
	p.assign(0, 1, "a", "b", true, "a", "b")
	p.during = func() {
		p.assign(1, 2, "a", "c", true, "a", "c")
		p.synchronize(t, "a")
	}
	ran, _ := p.run("a", call(1, "k"), 0)
	assert.Assert(t, ran)
	_, refusal := p.run("c", call(2, "k"), 0)
	mustOutcome(t, refusal, unknown, damaskspread.ReasonInProgress)
}

// Guards against a result for another body, a result that is too large, memory
// without bound, and a key that is forgotten when the memory is full.
func TestResultsAndMemory(t *testing.T) {
	p := newPair("a", "b")
	p.assign(0, 1, "a", "b", true, "a", "b")
	reused := call(1, "k")
	ran, _ := p.run("a", reused, 10)
	assert.Assert(t, ran)
	reused.BodyHash = []byte("other")
	_, refusal := p.run("a", reused, 0)
	mustOutcome(t, refusal, notRun, damaskspread.ReasonKeyReused)
	_, _ = p.run("a", call(1, "large"), deduplicator.MaxResult+1)
	_, known, _ := p.agents["a"].Begin(expired(), call(1, "large"))
	assert.Equal(t, known.GetReason(), string(deduplicator.ReasonResultNotRetained))
	assert.Assert(t, known.GetReplayed())
	last := 0
	for refusal = nil; refusal == nil; last++ {
		_, refusal = p.run("a", call(1, fmt.Sprintf("fill-%d", last)), 1000)
	}
	mustOutcome(t, refusal, notRun, damaskspread.ReasonOverloaded)
	assert.Assert(t, last > 500, "%d", last)
	ticket, known, _ := p.agents["a"].Begin(expired(), call(1, "k"))
	assert.Assert(t, ticket == nil && len(known.GetBody()) == 10)
}

// Guards against a retry that is refused although the first attempt ends
// within its deadline, and against one that is stuck after a refused attempt.
func TestWaitForRunningAttempt(t *testing.T) {
	for _, refused := range []bool{false, true} {
		p := newPair("a", "b")
		p.assign(0, 1, "a", "b", true, "a", "b")
		ticket, _, _ := p.agents["a"].Begin(context.Background(), call(1, "k"))
		type result struct {
			ticket *deduplicator.Ticket
			known  *wire.ExecuteResponse
		}
		results := make(chan result)
		go func() {
			again, known, _ := p.agents["a"].Begin(context.Background(), call(1, "k"))
			results <- result{again, known}
		}()
		if refused {
			_ = ticket.Refuse(context.Background(), damaskspread.NotRun(damaskspread.ReasonOverloaded, "shed"))
		} else {
			assert.Assert(t, ticket.Commit(context.Background()) == nil)
			ticket.Finish(&wire.ExecuteResponse{Outcome: wire.Outcome_OUTCOME_RAN})
		}
		got := <-results
		assert.Equal(t, got.ticket != nil, refused)
		assert.Equal(t, got.known != nil, !refused)
	}
}

func BenchmarkKey(b *testing.B) {
	p := newPair("a", "b")
	p.agents["a"].MaxBytes, p.agents["b"].MaxBytes = 1<<32, 1<<32
	p.assign(0, 1, "a", "b", true, "a", "b")
	b.Run("new", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			_, _ = p.run("a", call(1, fmt.Sprintf("%d/%d", b.N, i)), 0)
		}
	})
	_, _ = p.run("a", call(1, "known"), 1000)
	b.Run("known", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = p.run("a", call(1, "known"), 0)
		}
	})
}

// Guards against a late message of an earlier epoch, and against a transfer by
// a primary without the whole history, that make a secondary believe it knows
// every key.
func TestIncompleteTransfers(t *testing.T) {
	p := newPair("a", "b")
	p.assign(0, 1, "a", "b", true, "a", "b")
	p.assign(2, 3, "a", "b", false, "a", "b") // epoch 2 was skipped
	answer := p.agents["b"].Accept(&wire.ReplicateRequest{
		Service: service, Epoch: at(1), From: ref("a"), CompletesTransfer: true,
	})
	assert.Equal(t, answer.GetReason(), string(damaskspread.ReasonStaleEpoch))
	_, refusal := p.run("b", call(3, "k"), 0)
	mustOutcome(t, refusal, unknown, damaskspread.ReasonHistoryLost)
	p.synchronize(t, "a", "b")
	_, refusal = p.run("b", call(3, "k"), 0)
	mustOutcome(t, refusal, unknown, damaskspread.ReasonHistoryLost)
	assert.Equal(t, p.ready, 0)
}

// Guards against a key that is forgotten before its lifetime passed, or never.
func TestKeyLifetime(t *testing.T) {
	p := newPair("a", "b")
	p.assign(0, 1, "a", "b", true, "a", "b")
	ran, _ := p.run("a", call(1, "k"), 10)
	assert.Assert(t, ran)
	end := p.clock.Now().Add(time.Minute)
	var running tomb.Tomb
	running.Go(func() error { return p.agents["a"].Run(&running) })
	defer func() {
		running.Kill(nil)
		assert.NilError(t, running.Wait())
	}()
	for limit := time.Now().Add(30 * time.Second); ; {
		assert.NilError(t, p.clock.BlockUntilContext(context.Background(), 1))
		now := p.clock.Now()
		ticket, known, _ := p.agents["a"].Begin(expired(), call(1, "k"))
		if ticket != nil {
			assert.Assert(t, p.clock.Now().After(end))
			return
		}
		assert.Assert(t, known != nil)
		assert.Assert(t, time.Now().Before(limit), "still known at %v", now)
		p.clock.Advance(200 * time.Millisecond)
	}
}
