package deduplicator

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

const (
	// confirmTimeout bounds what a refusal waits to learn whether not_run is
	// true of the key; a round trip between zones takes 3 ms.
	confirmTimeout = 100 * time.Millisecond
	// A secondary learns of a new epoch one Sync later than the primary at
	// times; these tries bridge about as long.
	epochTries = 5
	epochPause = 20 * time.Millisecond
	agePause   = 10 * time.Millisecond
)

// Call is a request with an idempotency key.
type Call struct {
	Service      string
	Shard        int32
	Epoch        *wire.Position
	Key          string
	BodyHash     []byte
	FirstAttempt bool
}

// Ticket is the right to decide whether a key runs. It ends with exactly one
// of Refuse and Finish.
type Ticket struct {
	keys  *Deduplicator
	shard *shard
	entry *entry
	call  Call
}

// Begin returns what is known of the key, or a ticket for a new key. It waits
// for a running attempt until ctx ends.
func (d *Deduplicator) Begin(ctx context.Context, call Call) (*Ticket, *wire.ExecuteResponse, *damaskspread.RefusalError) {
	arrival := d.Clock.Now()
	for {
		ticket, known, refusal, wait := d.look(call)
		switch {
		case refusal != nil && refusal.Reason == reasonAskSecondary:
			return nil, nil, d.block(ctx, call, arrival)
		case wait == nil:
			if refusal != nil {
				refusal = d.qualify(ctx, call, refusal)
			}
			return ticket, known, refusal
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, nil, damaskspread.Unknown(damaskspread.ReasonInProgress, "an earlier attempt with this key has not ended")
		}
	}
}

// reasonAskSecondary is internal to Begin: the key is unknown to a secondary
// with the whole history.
const reasonAskSecondary damaskspread.Reason = "ask_secondary"

func (d *Deduplicator) look(call Call) (*Ticket, *wire.ExecuteResponse, *damaskspread.RefusalError, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.start()
	sh := d.shards[call.id()]
	if sh == nil {
		return nil, nil, damaskspread.NotRun(damaskspread.ReasonStaleEpoch, "this agent has no role for the key"), nil
	}
	if e := sh.entries[call.Key]; e != nil {
		known, refusal, wait := e.answer(call)
		return nil, known, refusal, wait
	}
	if sh.role == roleNone || !damaskspread.SamePosition(sh.state.GetEpoch(), call.Epoch) {
		return nil, nil, damaskspread.NotRun(damaskspread.ReasonStaleEpoch, "the shard's epoch differs from the request's"), nil
	}
	now := d.Clock.Now()
	if !sh.whole(now, d.KeyLifetime) && (!call.FirstAttempt || sh.role == roleSecondary) {
		return nil, nil, damaskspread.Unknown(damaskspread.ReasonHistoryLost, "this agent doesn't hold the whole history of the key's shard"), nil
	}
	if sh.role == roleSecondary {
		return nil, nil, damaskspread.NotRun(reasonAskSecondary, "the key is new"), nil
	}
	e := &entry{
		key:     call.Key,
		hash:    call.BodyHash,
		phase:   phaseReserved,
		since:   now,
		changed: make(chan struct{}),
	}
	if !d.add(sh, e) {
		return nil, nil, damaskspread.NotRun(damaskspread.ReasonOverloaded, "no memory is left for idempotency keys"), nil
	}
	return &Ticket{
		keys:  d,
		shard: sh,
		entry: e,
		call:  call,
	}, nil, nil, nil
}

func (c Call) id() shardID {
	return shardID{
		service: c.Service,
		shard:   c.Shard,
	}
}

func (e *entry) answer(call Call) (*wire.ExecuteResponse, *damaskspread.RefusalError, <-chan struct{}) {
	if !e.matches(call.BodyHash) {
		return nil, damaskspread.NotRun(damaskspread.ReasonKeyReused, "the idempotency key was used with another body"), nil
	}
	if e.phase != phaseDone {
		return nil, nil, e.changed
	}
	known := proto.CloneOf(e.response)
	known.Replayed = true
	return known, nil, nil
}

// block is the answer of a secondary with the whole history for a key it
// doesn't know. not_run needs proof that the epoch was still current after the
// request arrived: a secondary that was replaced without noticing doesn't know
// what the primary ran since.
func (d *Deduplicator) block(ctx context.Context, call Call, arrival time.Time) *damaskspread.RefusalError {
	if !d.current(ctx, arrival) {
		return damaskspread.Unknown(damaskspread.ReasonStaleConfiguration, "the secondary could not confirm its role in time")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	sh := d.shards[call.id()]
	if sh.role != roleSecondary || !damaskspread.SamePosition(sh.state.GetEpoch(), call.Epoch) || !sh.complete {
		return damaskspread.Unknown(damaskspread.ReasonStaleEpoch, "the shard moved since the request was sent")
	}
	if sh.entries[call.Key] != nil {
		return damaskspread.Unknown(damaskspread.ReasonInProgress, "the primary has just accepted the key")
	}
	if _, ok := sh.blocked[call.Key]; !ok {
		cost := blockedCost(call.Key)
		if d.bytes+cost > d.MaxBytes {
			return damaskspread.Unknown(damaskspread.ReasonOverloaded, "no memory is left to block the key")
		}
		if sh.blocked == nil {
			sh.blocked = map[string]time.Time{}
		}
		sh.blocked[call.Key] = d.Clock.Now()
		d.bytes += cost
	}
	return damaskspread.NotRun(damaskspread.ReasonNoEndpoint, "the key has not run, and its primary can't run it any more")
}

// current waits until the process has certainly seen the log as of a time.
func (d *Deduplicator) current(ctx context.Context, at time.Time) bool {
	for d.Currency.Age() > d.Clock.Since(at) {
		select {
		case <-ctx.Done():
			return false
		case <-d.Clock.After(agePause):
		}
	}
	return true
}

// qualify turns a not_run that may be untrue of the key into unknown. It is
// true if the caller never sent the key before, or if this primary holds the
// whole history and the secondary is still in the same epoch, so that no other
// agent became primary.
func (d *Deduplicator) qualify(ctx context.Context, call Call, refusal *damaskspread.RefusalError) *damaskspread.RefusalError {
	if refusal.Outcome != wire.Outcome_OUTCOME_NOT_RUN || refusal.Reason == damaskspread.ReasonKeyReused ||
		call.FirstAttempt || d.confirm(ctx, call) {
		return refusal
	}
	doubtful := *refusal
	doubtful.Outcome = wire.Outcome_OUTCOME_UNKNOWN
	return &doubtful
}

func (d *Deduplicator) confirm(ctx context.Context, call Call) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	since := d.Clock.Now()
	address, request, ok := d.prepare(call)
	if !ok {
		return false
	}
	if request != nil {
		answer, err := d.Peers.Replicate(ctx, address, request)
		if err == nil && answer.GetAccepted() {
			return d.holds(call)
		}
	}
	return d.current(ctx, since) && d.holds(call)
}

// holds reports whether this primary knows all keys of the call's epoch and
// not the call's key.
func (d *Deduplicator) holds(call Call) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	sh := d.shards[call.id()]
	return sh != nil && sh.role == rolePrimary && sh.complete &&
		damaskspread.SamePosition(sh.state.GetEpoch(), call.Epoch) && sh.entries[call.Key] == nil
}

// prepare builds the message that asks the secondary whether the epoch is
// still the same. It is nil for a shard without a secondary.
func (d *Deduplicator) prepare(call Call) (string, *wire.ReplicateRequest, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sh := d.shards[call.id()]
	if sh == nil || sh.role != rolePrimary {
		return "", nil, false
	}
	return sh.peer, d.message(sh), true
}

func (d *Deduplicator) message(sh *shard, entries ...*wire.KeyEntry) *wire.ReplicateRequest {
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

// Commit makes the secondary know the key. The request may run only after it
// returned nil.
func (t *Ticket) Commit(ctx context.Context) *damaskspread.RefusalError {
	for try := 0; ; {
		address, request, refusal := t.propose()
		if refusal != nil || request == nil {
			return refusal
		}
		answer, err := t.keys.call(ctx, address, request)
		switch {
		case err != nil:
			return damaskspread.NotRun(damaskspread.ReasonConnectionLost, "the secondary of the key can't be reached")
		case answer.GetAccepted():
			if t.settled(request.GetEpoch()) {
				return nil
			}
			continue
		case answer.GetReason() == string(damaskspread.ReasonInProgress):
			return damaskspread.Unknown(damaskspread.ReasonInProgress, "the secondary knows the key from an earlier attempt")
		case answer.GetReason() != string(damaskspread.ReasonStaleEpoch):
			return damaskspread.NotRun(damaskspread.Reason(answer.GetReason()), "the secondary refused the key")
		}
		if try++; try == epochTries {
			return damaskspread.NotRun(damaskspread.ReasonStaleEpoch, "the two agents of the shard see different epochs")
		}
		select {
		case <-ctx.Done():
			return damaskspread.NotRun(damaskspread.ReasonDeadline, "the deadline passed before the secondary accepted the key")
		case <-t.keys.Clock.After(epochPause):
		}
	}
}

// propose returns the message for the secondary, or no message if the shard
// has none and the key is committed at once.
func (t *Ticket) propose() (string, *wire.ReplicateRequest, *damaskspread.RefusalError) {
	d := t.keys
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.shard.role != rolePrimary || t.shard.entries[t.entry.key] != t.entry {
		return "", nil, damaskspread.NotRun(damaskspread.ReasonStaleEpoch, "this agent is no longer the primary of the key")
	}
	// An agent that became primary again in between may have lost track.
	if !t.shard.complete && !t.call.FirstAttempt {
		return "", nil, damaskspread.Unknown(damaskspread.ReasonHistoryLost, "this agent lost the history of the key's shard")
	}
	request := d.message(t.shard, &wire.KeyEntry{
		Key:      t.entry.key,
		BodyHash: t.entry.hash,
	})
	if request == nil {
		t.entry.phase = phaseCommitted
	}
	return t.shard.peer, request, nil
}

// settled commits the key if the epoch in which the secondary accepted it is
// still the current one.
func (t *Ticket) settled(epoch *wire.Position) bool {
	t.keys.mu.Lock()
	defer t.keys.mu.Unlock()
	if t.shard.role != rolePrimary || !damaskspread.SamePosition(t.shard.state.GetEpoch(), epoch) ||
		t.shard.entries[t.entry.key] != t.entry {
		return false
	}
	t.entry.phase = phaseCommitted
	return true
}

// Refuse ends the ticket of a request that did not run and will not run. The
// returned refusal is true of the key, not only of the request.
func (t *Ticket) Refuse(ctx context.Context, refusal *damaskspread.RefusalError) *damaskspread.RefusalError {
	t.keys.mu.Lock()
	t.keys.remove(t.shard, t.entry)
	t.keys.mu.Unlock()
	return t.keys.qualify(ctx, t.call, refusal)
}

// Finish stores the response of a request that ran or may have run.
func (t *Ticket) Finish(response *wire.ExecuteResponse) {
	d := t.keys
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.shard.entries[t.entry.key] != t.entry {
		return
	}
	d.finish(t.entry, response, d.Clock.Now())
	select {
	case d.results <- result{id: t.shard.id, key: t.entry.key}:
	default:
	}
}
