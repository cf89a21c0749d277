package deduplicator

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

const (
	// A refusal waits for proof that the key has not run: for half of the time
	// that the caller has left, between these limits. A round trip between zones
	// takes 3 ms, but a busy agent may respond much later, and an outcome that is
	// unknown keeps the caller from sending the request elsewhere.
	minConfirmTimeout = 100 * time.Millisecond
	maxConfirmTimeout = time.Second
	// A secondary may learn of a new epoch one Sync later than the primary. The
	// retries take about that long.
	maxEpochTries   = 5
	epochRetryDelay = 20 * time.Millisecond
	// Interval at which the currency age is polled.
	agePollInterval = 10 * time.Millisecond
)

// Request identifies a request with an idempotency key. FirstAttempt means that
// the caller has not sent the key before.
type Request struct {
	Service      string
	Shard        int32
	Epoch        *wire.Position
	Key          string
	BodyHash     []byte
	FirstAttempt bool
}

// Begin returns a reservation for a new key, the stored response of an earlier
// attempt with the key, or a refusal. If another attempt with the key is in
// progress, it waits for its end until ctx ends.
func (d *Deduplicator) Begin(ctx context.Context, call Request) (*KeyReservation, *wire.ExecuteResponse, *damaskspread.RefusalError) {
	arrival := d.Clock.Now()
	for {
		reservation, stored, refusal, wait := d.lookupOrReserve(call)
		switch {
		case refusal != nil && refusal.Reason == reasonUnknownToSecondary:
			return nil, nil, d.blockKey(ctx, call, arrival)
		case wait == nil:
			if refusal != nil {
				refusal = d.downgradeNotRun(ctx, call, refusal)
			}
			return reservation, stored, refusal
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, nil, damaskspread.Unknown(damaskspread.ReasonInProgress, "an earlier attempt with this idempotency key is still in progress")
		}
	}
}

// reasonUnknownToSecondary is internal to Begin: this agent is a secondary with
// the complete history and doesn't have the key.
const reasonUnknownToSecondary damaskspread.Reason = "ask_secondary"

// lookupOrReserve returns a reservation for a new key, a stored response, a
// refusal, or a channel that is closed when the attempt in progress ends.
func (d *Deduplicator) lookupOrReserve(call Request) (*KeyReservation, *wire.ExecuteResponse, *damaskspread.RefusalError, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.initialize()
	sh := d.shards[call.id()]
	if sh == nil {
		return nil, nil, damaskspread.NotRun(damaskspread.ReasonStaleEpoch, "this agent is neither primary nor secondary of the key's shard"), nil
	}
	if e := sh.keys[call.Key]; e != nil {
		stored, refusal, wait := e.responseTo(call)
		return nil, stored, refusal, wait
	}
	if sh.role == roleNone || !damaskspread.SamePosition(sh.state.GetEpoch(), call.Epoch) {
		return nil, nil, damaskspread.NotRun(damaskspread.ReasonStaleEpoch, "the request's epoch is not the epoch that this agent has for the shard"), nil
	}
	now := d.Clock.Now()
	if !sh.updateComplete(now, d.KeyLifetime) && (!call.FirstAttempt || sh.role == roleSecondary) {
		return nil, nil, damaskspread.Unknown(damaskspread.ReasonHistoryLost, "this agent does not have the complete history of the key's shard"), nil
	}
	if sh.role == roleSecondary {
		return nil, nil, damaskspread.NotRun(reasonUnknownToSecondary, "the secondary does not have the key"), nil
	}
	e := &keyState{
		key:          call.Key,
		requestHash:  call.BodyHash,
		phase:        phaseReserved,
		lifetimeFrom: now,
		settled:      make(chan struct{}),
	}
	if !d.add(sh, e) {
		return nil, nil, damaskspread.NotRun(damaskspread.ReasonOverloaded, "the memory limit for idempotency keys is reached"), nil
	}
	return &KeyReservation{
		deduplicator: d,
		shard:        sh,
		keyState:     e,
		call:         call,
	}, nil, nil, nil
}

func (c Request) id() shardID {
	return shardID{
		service: c.Service,
		shard:   c.Shard,
	}
}

// responseTo returns the stored response, a refusal, or a channel that is closed
// when the attempt in progress ends.
func (e *keyState) responseTo(call Request) (*wire.ExecuteResponse, *damaskspread.RefusalError, <-chan struct{}) {
	if !e.matches(call.BodyHash) {
		return nil, damaskspread.NotRun(damaskspread.ReasonKeyReused, "the idempotency key was already used for a different request"), nil
	}
	if e.phase != phaseDone {
		return nil, nil, e.settled
	}
	stored := proto.CloneOf(e.response)
	stored.Replayed = true
	return stored, nil, nil
}

// blockKey refuses a key that a secondary with the complete history doesn't
// have, and blocks the key for the primary. It first confirms that this agent was
// still secondary after the request arrived, because a replaced secondary may not
// know what ran.
func (d *Deduplicator) blockKey(ctx context.Context, call Request, arrival time.Time) *damaskspread.RefusalError {
	if !d.waitUntilCurrent(ctx, arrival) {
		return damaskspread.Unknown(damaskspread.ReasonStaleConfiguration, "the secondary could not confirm before the deadline that its role is current")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	sh := d.shards[call.id()]
	if sh.role != roleSecondary || !damaskspread.SamePosition(sh.state.GetEpoch(), call.Epoch) || !sh.complete {
		return damaskspread.Unknown(damaskspread.ReasonStaleEpoch, "the shard's epoch changed after the request was sent")
	}
	if sh.keys[call.Key] != nil {
		return damaskspread.Unknown(damaskspread.ReasonInProgress, "the primary accepted the key meanwhile")
	}
	if _, ok := sh.blocked[call.Key]; !ok {
		cost := blockedKeyBytes(call.Key)
		if d.usedBytes+cost > d.MaxBytes {
			return damaskspread.Unknown(damaskspread.ReasonOverloaded, "the memory limit for idempotency keys is reached and the key can't be blocked")
		}
		if sh.blocked == nil {
			sh.blocked = map[string]time.Time{}
		}
		sh.blocked[call.Key] = d.Clock.Now()
		d.usedBytes += cost
	}
	return damaskspread.NotRun(damaskspread.ReasonNoEndpoint, "the request did not run, and its idempotency key is blocked at the secondary")
}

// waitUntilCurrent waits until this process has certainly seen the log as of a
// time. It returns false if ctx ends first.
func (d *Deduplicator) waitUntilCurrent(ctx context.Context, at time.Time) bool {
	for d.Currency.Age() > d.Clock.Since(at) {
		select {
		case <-ctx.Done():
			return false
		case <-d.Clock.After(agePollInterval):
		}
	}
	return true
}

// downgradeNotRun changes the outcome of a refusal from not_run to unknown if
// an earlier attempt with the key may have run. None has run if the caller sends
// the key for the first time, or if this primary has the complete history
// without the key and no other agent has become primary. The latter is proven by
// a secondary in the same epoch or a current configuration.
func (d *Deduplicator) downgradeNotRun(ctx context.Context, call Request, refusal *damaskspread.RefusalError) *damaskspread.RefusalError {
	if refusal.Outcome != wire.Outcome_OUTCOME_NOT_RUN || refusal.Reason == damaskspread.ReasonKeyReused ||
		call.FirstAttempt || d.confirmNotRun(ctx, call) {
		return refusal
	}
	downgraded := *refusal
	downgraded.Outcome = wire.Outcome_OUTCOME_UNKNOWN
	return &downgraded
}

func (d *Deduplicator) confirmNotRun(ctx context.Context, call Request) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout(ctx))
	defer cancel()
	since := d.Clock.Now()
	address, request, ok := d.epochCheck(call)
	if !ok {
		return false
	}
	if request != nil {
		response, err := d.Peers.Replicate(ctx, address, request)
		if err == nil && response.GetAccepted() {
			return d.provesNotRun(call)
		}
	}
	return d.waitUntilCurrent(ctx, since) && d.provesNotRun(call)
}

func confirmTimeout(ctx context.Context) time.Duration {
	deadline, limited := ctx.Deadline()
	if !limited {
		return maxConfirmTimeout
	}
	return min(max(time.Until(deadline)/2, minConfirmTimeout), maxConfirmTimeout)
}

// provesNotRun reports whether this agent is the primary in the call's epoch, has
// the complete history and doesn't have the key.
func (d *Deduplicator) provesNotRun(call Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	sh := d.shards[call.id()]
	return sh != nil && sh.role == rolePrimary && sh.complete &&
		damaskspread.SamePosition(sh.state.GetEpoch(), call.Epoch) && sh.keys[call.Key] == nil
}

// epochCheck returns the secondary's address and a message that the secondary
// accepts only in the same epoch. The message is nil for a shard without a
// secondary. The last result is false if this agent is not the primary.
func (d *Deduplicator) epochCheck(call Request) (string, *wire.ReplicateRequest, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sh := d.shards[call.id()]
	if sh == nil || sh.role != rolePrimary {
		return "", nil, false
	}
	return sh.peer, d.newMessage(sh), true
}

// newMessage returns a message to the secondary, nil if the shard has none.
func (d *Deduplicator) newMessage(sh *shard, entries ...*wire.KeyEntry) *wire.ReplicateRequest {
	if sh.state.GetSecondary() == nil {
		return nil
	}
	return &wire.ReplicateRequest{
		Service: sh.id.service,
		Shard:   sh.id.shard,
		Epoch:   sh.state.GetEpoch(),
		From:    proto.CloneOf(d.self),
		Entries: entries,
	}
}
