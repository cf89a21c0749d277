package deduplicator

import (
	"time"

	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// HandleReplicate handles a message of AgentService.Replicate: it stores the keys
// and results that the shard's primary sends. A response that is not accepted
// carries the reason.
func (d *Deduplicator) HandleReplicate(request *wire.ReplicateRequest) *wire.ReplicateResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.initialize()
	sh := d.shards[shardID{
		service: request.GetService(),
		shard:   request.GetShard(),
	}]
	if sh == nil {
		return rejected(damaskspread.ReasonStaleEpoch)
	}
	now := d.Clock.Now()
	request.Entries = d.withdraw(sh, request)
	if sh.role != roleSecondary || !damaskspread.SamePosition(sh.state.GetEpoch(), request.GetEpoch()) ||
		!proto.Equal(sh.state.GetPrimary(), request.GetFrom()) {
		d.storeResults(sh, request.GetEntries(), now)
		return rejected(damaskspread.ReasonStaleEpoch)
	}
	for _, item := range request.GetEntries() {
		if reason := d.acceptEntry(sh, item, request.GetEpoch(), now); reason != "" {
			return rejected(reason)
		}
	}
	if request.GetCompletesTransfer() {
		sh.complete = true
		sh.readyPending = true
		d.wakeRun()
	}
	return &wire.ReplicateResponse{
		Accepted: true,
	}
}

// withdraw removes the keys whose proposals the message withdraws, also those of an
// earlier epoch, and returns the other entries. A key stays if the primary has
// proposed it again since.
func (d *Deduplicator) withdraw(sh *shard, request *wire.ReplicateRequest) []*wire.KeyEntry {
	var others []*wire.KeyEntry
	for _, item := range request.GetEntries() {
		if !item.GetWithdrawn() {
			others = append(others, item)
			continue
		}
		e := sh.keys[item.GetKey()]
		if e != nil && e.phase == phaseRemote && e.proposal == item.GetProposal() && damaskspread.SamePosition(e.epoch, request.GetEpoch()) {
			d.remove(sh, e)
		}
	}
	return others
}

func rejected(reason damaskspread.Reason) *wire.ReplicateResponse {
	return &wire.ReplicateResponse{
		Reason: string(reason),
	}
}

// storeResults stores results for keys that a primary replicated here, also in an
// earlier epoch. A result stays valid when the primary changes.
func (d *Deduplicator) storeResults(sh *shard, items []*wire.KeyEntry, now time.Time) {
	for _, item := range items {
		if e := sh.keys[item.GetKey()]; e != nil && e.phase == phaseRemote && item.GetDone() && e.matches(item.GetBodyHash()) {
			d.finish(e, item.GetResponse(), now)
		}
	}
}

// acceptEntry stores a key that the primary sent, or returns why it refuses the
// key.
func (d *Deduplicator) acceptEntry(sh *shard, item *wire.KeyEntry, epoch *wire.Position, now time.Time) damaskspread.Reason {
	if _, ok := sh.blocked[item.GetKey()]; ok {
		return damaskspread.ReasonConflict
	}
	e := sh.keys[item.GetKey()]
	if e != nil && e.phase != phaseReserved {
		switch {
		case !e.matches(item.GetBodyHash()):
			return damaskspread.ReasonKeyReused
		case item.GetDone() && e.phase == phaseRemote:
			d.finish(e, item.GetResponse(), now)
		case isProposal(item) && (e.phase != phaseRemote || !damaskspread.SamePosition(e.epoch, epoch)):
			// The primary treats the key as new, but it may have run. Within one
			// epoch a proposal may be repeated, because the primary repeats it
			// only if the earlier attempt did not run.
			return damaskspread.ReasonInProgress
		case isProposal(item):
			e.proposal = item.GetProposal()
		}
		return ""
	}
	// A key that is only reserved here has not run, and its reservation can no
	// longer be committed because this agent is not the primary. It is replaced.
	added := &keyState{
		key:          item.GetKey(),
		requestHash:  item.GetBodyHash(),
		phase:        phaseRemote,
		epoch:        epoch,
		proposal:     item.GetProposal(),
		lifetimeFrom: now.Add(-time.Duration(item.GetAgeMs()) * time.Millisecond),
		settled:      make(chan struct{}),
	}
	if !d.add(sh, added) {
		return damaskspread.ReasonOverloaded
	}
	if item.GetDone() {
		d.finish(added, item.GetResponse(), added.lifetimeFrom)
	}
	return ""
}

// isProposal reports whether the primary asks to run the key. Transferred keys
// and results always carry a response, with outcome unknown if there is none.
func isProposal(item *wire.KeyEntry) bool { return !item.GetDone() && item.GetResponse() == nil }
