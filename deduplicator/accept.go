package deduplicator

import (
	"time"

	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// Accept stores what the primary sends. It implements the receiving side of
// AgentService.Replicate.
func (d *Deduplicator) Accept(request *wire.ReplicateRequest) *wire.ReplicateResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.start()
	sh := d.shards[shardID{
		service: request.GetService(),
		shard:   request.GetShard(),
	}]
	if sh == nil {
		return refuse(damaskspread.ReasonStaleEpoch)
	}
	now := d.Clock.Now()
	if sh.role != roleSecondary || !damaskspread.SamePosition(sh.state.GetEpoch(), request.GetEpoch()) ||
		!proto.Equal(sh.state.GetPrimary(), request.GetFrom()) {
		d.learn(sh, request.GetEntries(), now)
		return refuse(damaskspread.ReasonStaleEpoch)
	}
	for _, item := range request.GetEntries() {
		if reason := d.acceptEntry(sh, item, request.GetEpoch(), now); reason != "" {
			return refuse(reason)
		}
	}
	if request.GetCompletesTransfer() {
		sh.complete = true
		sh.announce = true
		d.notify()
	}
	return &wire.ReplicateResponse{
		Accepted: true,
	}
}

func refuse(reason damaskspread.Reason) *wire.ReplicateResponse {
	return &wire.ReplicateResponse{
		Reason: string(reason),
	}
}

// learn takes results of keys that are known to have been accepted in an
// earlier epoch: a result stays true whoever is primary now.
func (d *Deduplicator) learn(sh *shard, items []*wire.KeyEntry, now time.Time) {
	for _, item := range items {
		if e := sh.entries[item.GetKey()]; e != nil && e.phase == phaseRemote && item.GetDone() && e.matches(item.GetBodyHash()) {
			d.finish(e, item.GetResponse(), now)
		}
	}
}

func (d *Deduplicator) acceptEntry(sh *shard, item *wire.KeyEntry, epoch *wire.Position, now time.Time) damaskspread.Reason {
	if _, ok := sh.blocked[item.GetKey()]; ok {
		return damaskspread.ReasonConflict
	}
	e := sh.entries[item.GetKey()]
	if e != nil && e.phase != phaseReserved {
		switch {
		case !e.matches(item.GetBodyHash()):
			return damaskspread.ReasonKeyReused
		case item.GetDone() && e.phase == phaseRemote:
			d.finish(e, item.GetResponse(), now)
		case isProposal(item) && (e.phase != phaseRemote || !damaskspread.SamePosition(e.epoch, epoch)):
			// The primary takes for new what may have run. Only the repeated
			// proposal of a try that did not run is accepted.
			return damaskspread.ReasonInProgress
		}
		return ""
	}
	// A key that is only reserved here has not run and can't be committed any
	// more: this agent is not the primary.
	fresh := &entry{
		key:     item.GetKey(),
		hash:    item.GetBodyHash(),
		phase:   phaseRemote,
		epoch:   epoch,
		since:   now.Add(-time.Duration(item.GetAgeMs()) * time.Millisecond),
		changed: make(chan struct{}),
	}
	if !d.add(sh, fresh) {
		return damaskspread.ReasonOverloaded
	}
	if item.GetDone() {
		d.finish(fresh, item.GetResponse(), fresh.since)
	}
	return ""
}

// isProposal tells a key that the primary wants to run from one that it
// reports: reported keys have a response, if only an unknown one.
func isProposal(item *wire.KeyEntry) bool { return !item.GetDone() && item.GetResponse() == nil }
