package deduplicator

import (
	"context"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// KeyReservation reserves a new key for one request. Its holder calls Commit before
// it runs the request, and ends the ticket with exactly one of Refuse and Finish.
type KeyReservation struct {
	deduplicator *Deduplicator
	shard        *shard
	keyState     *keyState
	call         Request
	// proposal is the latest message that proposed the key to the secondary at
	// proposedTo, or nil.
	proposal   *wire.ReplicateRequest
	proposedTo string
}

// Commit stores the key at the secondary. The request may run only after Commit
// returned nil.
func (t *KeyReservation) Commit(ctx context.Context) *damaskspread.RefusalError {
	for retries := 0; ; {
		address, request, refusal := t.propose()
		if refusal != nil || request == nil {
			return refusal
		}
		response, err := t.deduplicator.replicate(ctx, address, request)
		switch {
		case err != nil:
			return damaskspread.NotRun(damaskspread.ReasonConnectionLost, "the secondary of the key's shard could not be reached")
		case response.GetAccepted():
			if t.commitInEpoch(request.GetEpoch()) {
				return nil
			}
			continue
		case response.GetReason() == string(damaskspread.ReasonInProgress):
			return damaskspread.Unknown(damaskspread.ReasonInProgress, "the secondary already has the key from an earlier attempt")
		case response.GetReason() != string(damaskspread.ReasonStaleEpoch):
			return damaskspread.NotRun(damaskspread.Reason(response.GetReason()), "the secondary refused the key")
		}
		if retries++; retries == maxEpochTries {
			return damaskspread.NotRun(damaskspread.ReasonStaleEpoch, "primary and secondary of the shard have different epochs")
		}
		select {
		case <-ctx.Done():
			return damaskspread.NotRun(damaskspread.ReasonDeadline, "the deadline passed before the secondary accepted the key")
		case <-t.deduplicator.Clock.After(epochRetryDelay):
		}
	}
}

// propose returns the secondary's address and the message that proposes the key.
// If the shard has no secondary, it commits the key and returns a nil message.
func (t *KeyReservation) propose() (string, *wire.ReplicateRequest, *damaskspread.RefusalError) {
	d := t.deduplicator
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.shard.role != rolePrimary || t.shard.keys[t.keyState.key] != t.keyState {
		return "", nil, damaskspread.NotRun(damaskspread.ReasonStaleEpoch, "this agent is no longer the primary of the key's shard")
	}
	// This agent may have lost its role and become primary again since Begin,
	// without the keys that ran meanwhile.
	if !t.shard.complete && !t.call.FirstAttempt {
		return "", nil, damaskspread.Unknown(damaskspread.ReasonHistoryLost, "this agent no longer has the complete history of the key's shard")
	}
	d.lastProposal++
	request := d.newMessage(t.shard, &wire.KeyEntry{
		Key:      t.keyState.key,
		BodyHash: t.keyState.requestHash,
		Proposal: d.lastProposal,
	})
	if request == nil {
		t.keyState.phase = phaseCommitted
	}
	t.proposal, t.proposedTo = request, t.shard.peer
	return t.shard.peer, request, nil
}

// commitInEpoch commits the key if the epoch in which the secondary accepted it
// is still the current one, and reports whether it did.
func (t *KeyReservation) commitInEpoch(epoch *wire.Position) bool {
	t.deduplicator.mu.Lock()
	defer t.deduplicator.mu.Unlock()
	if t.shard.role != rolePrimary || !damaskspread.SamePosition(t.shard.state.GetEpoch(), epoch) ||
		t.shard.keys[t.keyState.key] != t.keyState {
		return false
	}
	t.keyState.phase = phaseCommitted
	return true
}

// Refuse ends the ticket of a request that did not run and will not run. It
// releases the key here and at the secondary to which it was proposed: that agent
// may be primary by now, and another attempt there would wait for this one. The
// returned refusal has outcome unknown if an earlier attempt with the key may have
// run.
func (t *KeyReservation) Refuse(ctx context.Context, refusal *damaskspread.RefusalError) *damaskspread.RefusalError {
	t.deduplicator.mu.Lock()
	t.deduplicator.remove(t.shard, t.keyState)
	t.deduplicator.mu.Unlock()
	t.withdraw(ctx)
	return t.deduplicator.downgradeNotRun(ctx, t.call, refusal)
}

// withdraw tells the secondary that the proposed request did not run. If that
// fails, the secondary keeps answering unknown for the key.
func (t *KeyReservation) withdraw(ctx context.Context) {
	if t.proposal == nil {
		return
	}
	message := proto.CloneOf(t.proposal)
	for _, item := range message.GetEntries() {
		item.Withdrawn = true
	}
	// The caller of the request may have gone, but others may send its key.
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout(ctx))
	defer cancel()
	if _, err := t.deduplicator.Peers.Replicate(limited, t.proposedTo, message); err != nil {
		log.Warn().Str("service", t.call.Service).Int32("shard", t.call.Shard).Str("secondary", t.proposedTo).Err(err).
			Msg("proposed key not withdrawn: its outcome stays unknown at the secondary")
	}
}

// Finish ends the ticket of a request that ran or may have run. It stores the
// response and queues it for the secondary.
func (t *KeyReservation) Finish(response *wire.ExecuteResponse) {
	d := t.deduplicator
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.shard.keys[t.keyState.key] != t.keyState {
		return
	}
	d.finish(t.keyState, response, d.Clock.Now())
	select {
	case d.results <- result{id: t.shard.id, key: t.keyState.key}:
	default:
	}
}
