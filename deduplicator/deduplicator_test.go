package deduplicator_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/deduplicator"
	"damaskspread.example/damaskspread/wire"
)

const (
	unknown = wire.Outcome_OUTCOME_UNKNOWN
	notRun  = wire.Outcome_OUTCOME_NOT_RUN
)

// Guards against a key that runs again after the secondary was promoted to
// primary, both with the complete history and with a skipped epoch, after which
// the agent must not treat its history as complete.
func TestPromotion(t *testing.T) {
	for _, skipped := range []bool{false, true} {
		cluster := newFakeCluster("a", "b", "c")
		cluster.assign(0, 1, "a", "b", true, "a", "b")
		cluster.synchronize(t, "a", "b")
		assert.Equal(t, cluster.readyAppends, 1)
		ran, _ := cluster.run("a", call(1, "old"), 0)
		assert.Assert(t, ran)
		if skipped {
			cluster.assign(1, 2, "a", "c", true, "a", "c")
			ran, _ = cluster.run("a", call(2, "unseen"), 0)
			assert.Assert(t, ran)
			cluster.assign(2, 3, "b", "c", false, "b", "c")
		} else {
			cluster.assign(1, 3, "b", "c", false, "b", "c")
		}
		_, refusal := cluster.run("b", call(3, "old"), 0)
		assertRefusal(t, refusal, unknown, damaskspread.ReasonInProgress)
		ran, refusal = cluster.run("b", call(3, "unseen"), 0)
		if skipped {
			assertRefusal(t, refusal, unknown, damaskspread.ReasonHistoryLost)
			first := call(3, "new")
			first.FirstAttempt = true
			ran, _ = cluster.run("b", first, 0)
			assert.Assert(t, ran)
			cluster.clock.Advance(3 * time.Minute)
			ran, _ = cluster.run("b", call(3, "after the lifetime"), 0)
		}
		assert.Assert(t, ran)
	}
}

// Guards against a former primary that has not learned of the new epoch and runs
// a key after the secondary was promoted.
func TestFormerPrimary(t *testing.T) {
	cluster := newFakeCluster("a", "b", "c")
	cluster.assign(0, 1, "a", "b", true, "a", "b")
	cluster.assign(1, 2, "b", "c", false, "b", "c")
	go func() { // ends the pauses between retries
		for range 4 {
			_ = cluster.clock.BlockUntilContext(context.Background(), 1)
			cluster.clock.Advance(time.Second)
		}
	}()
	cluster.currencyAge = time.Hour // a can't prove that it is still primary
	ran, refusal := cluster.run("a", call(1, "k"), 0)
	assert.Assert(t, !ran)
	assertRefusal(t, refusal, unknown, damaskspread.ReasonStaleEpoch)
}

// Guards against a primary that runs a key for which the secondary answered
// not_run, and against a secondary that answers not_run without proof that its
// epoch is current.
func TestSecondaryBlocks(t *testing.T) {
	cluster := newFakeCluster("a", "b")
	cluster.assign(0, 1, "a", "b", true, "a", "b")
	_, refusal := cluster.run("b", call(1, "k"), 0)
	assertRefusal(t, refusal, unknown, damaskspread.ReasonHistoryLost)
	cluster.synchronize(t, "a")
	cluster.currencyAge = time.Second
	_, refusal = cluster.run("b", call(1, "k"), 0)
	assertRefusal(t, refusal, unknown, damaskspread.ReasonStaleConfiguration)
	cluster.currencyAge = 0
	_, refusal = cluster.run("b", call(1, "k"), 0)
	assertRefusal(t, refusal, notRun, damaskspread.ReasonNoEndpoint)
	ran, refusal := cluster.run("a", call(1, "k"), 0)
	assert.Assert(t, !ran)
	assertRefusal(t, refusal, notRun, damaskspread.ReasonConflict)
	ran, _ = cluster.run("a", call(1, "other"), 0)
	assert.Assert(t, ran)
}

// Guards against an attempt that waits until its deadline for one that did not run:
// the secondary accepted a key and became primary before the former primary could
// run the request.
func TestProposedKeyIsWithdrawn(t *testing.T) {
	cluster := newFakeCluster("a", "b", "c")
	cluster.assign(0, 1, "a", "b", true, "a", "b")
	cluster.synchronize(t, "a", "b")
	cluster.afterDelivery = func() {
		cluster.assign(1, 2, "b", "c", false, "a", "b", "c")
	}
	first := call(1, "k")
	first.FirstAttempt = true
	ran, refusal := cluster.run("a", first, 0)
	assert.Assert(t, !ran)
	assertRefusal(t, refusal, notRun, damaskspread.ReasonStaleEpoch)
	first.Epoch = epochAt(2)
	ran, refusal = cluster.run("b", first, 0)
	assert.Assert(t, ran, "%v", refusal)
}

// Guards against a withdrawal that arrives late and removes a key that the primary
// has proposed again and runs.
func TestLateWithdrawal(t *testing.T) {
	cluster := newFakeCluster("a", "b")
	cluster.assign(0, 1, "a", "b", true, "a", "b")
	cluster.synchronize(t, "a", "b")
	reservation, _, _ := cluster.agents["a"].Begin(t.Context(), call(1, "k"))
	assert.Assert(t, reservation.Commit(t.Context()) == nil)
	cluster.delay = time.Hour // the withdrawal is held up
	refused, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	refusal := reservation.Refuse(refused, damaskspread.NotRun(damaskspread.ReasonZoneOut, "zone out"))
	cancel()
	assertRefusal(t, refusal, notRun, damaskspread.ReasonZoneOut)
	cluster.delay = 0
	reservation, _, _ = cluster.agents["a"].Begin(t.Context(), call(1, "k"))
	assert.Assert(t, reservation.Commit(t.Context()) == nil)
	late := &wire.ReplicateRequest{
		Service: service, Epoch: epochAt(1), From: hostRef("a"),
		Entries: []*wire.KeyEntry{{Key: "k", BodyHash: []byte("h"), Proposal: 1, Withdrawn: true}},
	}
	assert.Assert(t, cluster.agents["b"].HandleReplicate(late).GetAccepted())
	cluster.assign(1, 2, "b", "a", false, "a", "b")
	_, refusal = cluster.run("b", call(2, "k"), 0)
	assertRefusal(t, refusal, unknown, damaskspread.ReasonInProgress)
}

// Guards against an outcome that is unknown only because a busy secondary took
// longer than usual to confirm it, although the caller has seconds left.
func TestSlowConfirmation(t *testing.T) {
	cluster := newFakeCluster("a", "b")
	cluster.assign(0, 1, "a", "b", true, "a", "b")
	cluster.synchronize(t, "a")
	cluster.currencyAge = time.Hour
	cluster.delay = 300 * time.Millisecond
	for _, test := range []struct {
		left    time.Duration
		outcome wire.Outcome
	}{
		{left: 8 * time.Second, outcome: notRun},
		{left: 200 * time.Millisecond, outcome: unknown},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), test.left)
		reservation, _, _ := cluster.agents["a"].Begin(ctx, call(1, "k"))
		refusal := reservation.Refuse(ctx, damaskspread.NotRun(damaskspread.ReasonOverloaded, "the queue is full"))
		cancel()
		assertRefusal(t, refusal, test.outcome, damaskspread.ReasonOverloaded)
	}
}

// Guards against a key that a new secondary does not have because the epoch
// changed while the former secondary accepted the key.
func TestEpochChangesDuringCommit(t *testing.T) {
	cluster := newFakeCluster("a", "b", "c")
	cluster.assign(0, 1, "a", "b", true, "a", "b")
	cluster.afterDelivery = func() {
		cluster.assign(1, 2, "a", "c", true, "a", "c")
		cluster.synchronize(t, "a")
	}
	ran, _ := cluster.run("a", call(1, "k"), 0)
	assert.Assert(t, ran)
	_, refusal := cluster.run("c", call(2, "k"), 0)
	assertRefusal(t, refusal, unknown, damaskspread.ReasonInProgress)
}

// Guards against a stored result that is returned for another request, a stored
// result over MaxResultBytes, memory use over MaxBytes, and a key that is removed when
// the memory is full.
func TestResultsAndMemory(t *testing.T) {
	cluster := newFakeCluster("a", "b")
	cluster.assign(0, 1, "a", "b", true, "a", "b")
	reused := call(1, "k")
	ran, _ := cluster.run("a", reused, 10)
	assert.Assert(t, ran)
	reused.BodyHash = []byte("other")
	_, refusal := cluster.run("a", reused, 0)
	assertRefusal(t, refusal, notRun, damaskspread.ReasonKeyReused)
	_, _ = cluster.run("a", call(1, "large"), deduplicator.MaxResultBytes+1)
	_, stored, _ := cluster.agents["a"].Begin(canceledContext(), call(1, "large"))
	assert.Equal(t, stored.GetReason(), string(deduplicator.ReasonResultNotRetained))
	assert.Assert(t, stored.GetReplayed())
	fills := 0
	for refusal = nil; refusal == nil; fills++ {
		_, refusal = cluster.run("a", call(1, fmt.Sprintf("fill-%d", fills)), 1000)
	}
	assertRefusal(t, refusal, notRun, damaskspread.ReasonOverloaded)
	assert.Assert(t, fills > 500, "%d", fills)
	reservation, stored, _ := cluster.agents["a"].Begin(canceledContext(), call(1, "k"))
	assert.Assert(t, reservation == nil && len(stored.GetBody()) == 10)
}

// Guards against a retry that is refused although the first attempt ends before
// the retry's deadline, and against a retry that waits forever after the first
// attempt was refused.
func TestWaitForRunningAttempt(t *testing.T) {
	for _, refused := range []bool{false, true} {
		cluster := newFakeCluster("a", "b")
		cluster.assign(0, 1, "a", "b", true, "a", "b")
		reservation, _, _ := cluster.agents["a"].Begin(context.Background(), call(1, "k"))
		type result struct {
			reservation *deduplicator.KeyReservation
			stored      *wire.ExecuteResponse
		}
		results := make(chan result)
		go func() {
			second, stored, _ := cluster.agents["a"].Begin(context.Background(), call(1, "k"))
			results <- result{second, stored}
		}()
		if refused {
			_ = reservation.Refuse(context.Background(), damaskspread.NotRun(damaskspread.ReasonOverloaded, "shed"))
		} else {
			assert.Assert(t, reservation.Commit(context.Background()) == nil)
			reservation.Finish(&wire.ExecuteResponse{Outcome: wire.Outcome_OUTCOME_RAN})
		}
		got := <-results
		assert.Equal(t, got.reservation != nil, refused)
		assert.Equal(t, got.stored != nil, !refused)
	}
}

func BenchmarkKey(b *testing.B) {
	cluster := newFakeCluster("a", "b")
	cluster.agents["a"].MaxBytes, cluster.agents["b"].MaxBytes = 1<<32, 1<<32
	cluster.assign(0, 1, "a", "b", true, "a", "b")
	b.Run("new", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			_, _ = cluster.run("a", call(1, fmt.Sprintf("%d/%d", b.N, i)), 0)
		}
	})
	_, _ = cluster.run("a", call(1, "known"), 1000)
	b.Run("known", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = cluster.run("a", call(1, "known"), 0)
		}
	})
}

// Guards against a secondary that treats its history as complete after a delayed
// message of an earlier epoch, or after a transfer from a primary whose history
// is incomplete.
func TestIncompleteTransfers(t *testing.T) {
	cluster := newFakeCluster("a", "b")
	cluster.assign(0, 1, "a", "b", true, "a", "b")
	cluster.assign(2, 3, "a", "b", false, "a", "b") // epoch 2 was skipped
	response := cluster.agents["b"].HandleReplicate(&wire.ReplicateRequest{
		Service: service, Epoch: epochAt(1), From: hostRef("a"), CompletesTransfer: true,
	})
	assert.Equal(t, response.GetReason(), string(damaskspread.ReasonStaleEpoch))
	_, refusal := cluster.run("b", call(3, "k"), 0)
	assertRefusal(t, refusal, unknown, damaskspread.ReasonHistoryLost)
	cluster.synchronize(t, "a", "b")
	_, refusal = cluster.run("b", call(3, "k"), 0)
	assertRefusal(t, refusal, unknown, damaskspread.ReasonHistoryLost)
	assert.Equal(t, cluster.readyAppends, 0)
}

// Guards against a key that is removed before its lifetime has passed, or never.
func TestKeyLifetime(t *testing.T) {
	cluster := newFakeCluster("a", "b")
	cluster.assign(0, 1, "a", "b", true, "a", "b")
	ran, _ := cluster.run("a", call(1, "k"), 10)
	assert.Assert(t, ran)
	end := cluster.clock.Now().Add(time.Minute)
	var running tomb.Tomb
	running.Go(func() error { return cluster.agents["a"].Run(&running) })
	defer func() {
		running.Kill(nil)
		assert.NilError(t, running.Wait())
	}()
	for deadline := time.Now().Add(30 * time.Second); ; {
		assert.NilError(t, cluster.clock.BlockUntilContext(context.Background(), 1))
		now := cluster.clock.Now()
		reservation, stored, _ := cluster.agents["a"].Begin(canceledContext(), call(1, "k"))
		if reservation != nil {
			assert.Assert(t, cluster.clock.Now().After(end))
			return
		}
		assert.Assert(t, stored != nil)
		assert.Assert(t, time.Now().Before(deadline), "the key is still stored at %v", now)
		cluster.clock.Advance(200 * time.Millisecond)
	}
}
