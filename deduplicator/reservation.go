package deduplicator

import (
	"context"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// KeyReservation reserves a new key for one request. Its holder calls Commit before
// it runs the request, and ends the reservation with exactly one of Refuse and
// Finish.
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
func (r *KeyReservation) Commit(ctx context.Context) *damaskspread.RefusalError {
	for retries := 0; ; {
		address, request, refusal := r.propose()
		if refusal != nil || request == nil {
			return refusal
		}
		response, err := r.deduplicator.replicate(ctx, address, request)
		switch {
		case err != nil:
			return damaskspread.NotRun(damaskspread.ReasonConnectionLost, "the secondary of the key's shard could not be reached")
		case response.GetAccepted():
			if r.commitInEpoch(request.GetEpoch()) {
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
		case <-r.deduplicator.Clock.After(epochRetryDelay):
		}
	}
}

// propose returns the secondary's address and the message that proposes the key.
// If the shard has no secondary, it commits the key and returns a nil message.
func (r *KeyReservation) propose() (string, *wire.ReplicateRequest, *damaskspread.RefusalError) {
	d := r.deduplicator
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.shard.role != rolePrimary || r.shard.keys[r.keyState.key] != r.keyState {
		return "", nil, damaskspread.NotRun(damaskspread.ReasonStaleEpoch, "this agent is no longer the primary of the key's shard")
	}
	// This agent may have lost its role and become primary again since Begin,
	// without the keys that ran meanwhile.
	if !r.shard.complete && !r.call.FirstAttempt {
		return "", nil, damaskspread.Unknown(damaskspread.ReasonHistoryLost, "this agent no longer has the complete history of the key's shard")
	}
	d.lastProposal++
	request := d.newMessage(r.shard, &wire.KeyEntry{
		Key:      r.keyState.key,
		BodyHash: r.keyState.requestHash,
		Proposal: d.lastProposal,
	})
	if request == nil {
		r.keyState.phase = phaseCommitted
	}
	r.proposal, r.proposedTo = request, r.shard.peer
	return r.shard.peer, request, nil
}

// commitInEpoch commits the key if the epoch in which the secondary accepted it
// is still the current one, and reports whether it did.
func (r *KeyReservation) commitInEpoch(epoch *wire.Position) bool {
	r.deduplicator.mu.Lock()
	defer r.deduplicator.mu.Unlock()
	if r.shard.role != rolePrimary || !damaskspread.SamePosition(r.shard.state.GetEpoch(), epoch) ||
		r.shard.keys[r.keyState.key] != r.keyState {
		return false
	}
	r.keyState.phase = phaseCommitted
	return true
}

// Refuse ends the reservation of a request that did not run and will not run. It
// releases the key here and at the secondary to which it was proposed: that agent
// may be primary by now, and another attempt there would wait for this one. The
// returned refusal has outcome unknown if an earlier attempt with the key may have
// run.
func (r *KeyReservation) Refuse(ctx context.Context, refusal *damaskspread.RefusalError) *damaskspread.RefusalError {
	r.deduplicator.mu.Lock()
	r.deduplicator.remove(r.shard, r.keyState)
	r.deduplicator.mu.Unlock()
	r.withdraw(ctx)
	return r.deduplicator.downgradeNotRun(ctx, r.call, refusal)
}

// withdraw tells the secondary that the proposed request did not run. If that
// fails, the secondary keeps answering unknown for the key.
func (r *KeyReservation) withdraw(ctx context.Context) {
	if r.proposal == nil {
		return
	}
	message := proto.CloneOf(r.proposal)
	for _, item := range message.GetEntries() {
		item.Withdrawn = true
	}
	// The caller of the request may have gone, but others may send its key.
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout(ctx))
	defer cancel()
	if _, err := r.deduplicator.Peers.Replicate(limited, r.proposedTo, message); err != nil {
		log.Warn().Str("service", r.call.Service).Int32("shard", r.call.Shard).Str("secondary", r.proposedTo).Err(err).
			Msg("proposed key not withdrawn: its outcome stays unknown at the secondary")
	}
}

// Finish ends the reservation of a request that ran or may have run. It stores the
// response and queues it for the secondary.
func (r *KeyReservation) Finish(response *wire.ExecuteResponse) {
	d := r.deduplicator
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.shard.keys[r.keyState.key] != r.keyState {
		return
	}
	d.finish(r.keyState, response, d.Clock.Now())
	select {
	case d.results <- result{id: r.shard.id, key: r.keyState.key}:
	default:
	}
}
