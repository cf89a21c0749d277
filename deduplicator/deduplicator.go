// Package deduplicator decides at the agents whether a request with an
// idempotency key may run, as primary or secondary of the key's shard.
//
// It owns the keys and results of the shards of this agent and its knowledge
// per shard of whether that history is complete. Run starts one goroutine for
// transfers, ShardsReady records and expiry, and one that sends results to the
// secondaries. Results wait in a channel of resultQueue; when it is full, a
// result is not sent and the secondary keeps answering unknown for the key.
//
// The history is carried over a change of epoch only if the assignment names
// the epoch that it replaced (Assignment.Previous) and that is the one this
// agent saw. Sync may skip assignments, and in a skipped one other agents may
// have run keys that this agent doesn't know.
//
// Open question: a primary and a secondary that were both removed from the log
// (declared lost) while their configuration is still within the currency limit
// accept keys until they learn of it.
package deduplicator

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

const (
	// DefaultMaxBytes is a quarter of an agent's memory goal of 256 MB.
	DefaultMaxBytes = 64 << 20
	// MaxResult is the largest result kept for a key.
	MaxResult = 64 << 10
	// entryOverhead covers the map slot, the structures and the hash.
	entryOverhead = 320
	resultQueue   = 4096
	// lateMargin covers a former primary that runs a request it accepted
	// within its currency limit after the shard moved.
	lateMargin = 30 * time.Second
)

// ReasonResultNotRetained marks an answer to a repeated request that ran, but
// whose result was too large to keep.
const ReasonResultNotRetained damaskspread.Reason = "result_not_retained"

// Peers sends to the deduplicator of another agent.
type Peers interface {
	Replicate(ctx context.Context, address string, request *wire.ReplicateRequest) (*wire.ReplicateResponse, error)
}

// Assignment is a shard in which this agent has a role.
type Assignment struct {
	State *wire.ShardState
	// Previous is the epoch that State.Epoch replaced; nil if not known.
	Previous         *wire.Position
	PrimaryAddress   string
	SecondaryAddress string
}

// Deduplicator is safe for concurrent use. The exported fields are set before
// the first use.
type Deduplicator struct {
	Clock       damaskspread.Clock
	Currency    damaskspread.Currency
	Peers       Peers
	Appender    damaskspread.Appender
	KeyLifetime time.Duration
	// MaxBytes bounds the memory of keys and results; DefaultMaxBytes if 0.
	MaxBytes int64

	mu      sync.Mutex
	self    *wire.HostRef
	shards  map[shardID]*shard
	bytes   int64
	wake    chan struct{}
	results chan result
	records uint64 // numbers the ids of appended records
}

type shardID struct {
	service string
	shard   int32
}

type role int

const (
	roleNone role = iota
	rolePrimary
	roleSecondary
)

type shard struct {
	id       shardID
	state    *wire.ShardState
	peer     string // address of the other agent
	role     role
	complete bool
	// Since when this agent is primary without the whole history.
	incompleteSince time.Time
	// The agent had another role than primary under this incarnation.
	wasOther bool
	// The current secondary has received the history of this epoch.
	transferred bool
	// The transfer of this epoch ended with completes_transfer.
	announce bool
	entries  map[string]*entry
	// Keys that the primary may not run in this epoch, and since when.
	blocked map[string]time.Time
}

type phase int

const (
	// phaseReserved: this agent decides whether the key runs; nothing ran.
	phaseReserved phase = iota
	// phaseCommitted: the key may run here.
	phaseCommitted
	// phaseRemote: the key may have run at the other agent.
	phaseRemote
	phaseDone
)

type entry struct {
	key      string
	hash     []byte
	phase    phase
	since    time.Time
	response *wire.ExecuteResponse
	changed  chan struct{} // closed when the phase becomes final or the key is released
	cost     int64
	// Epoch in which the primary proposed or transferred a remote key.
	epoch *wire.Position
}

func (d *Deduplicator) start() {
	if d.shards != nil {
		return
	}
	d.shards = map[shardID]*shard{}
	d.wake = make(chan struct{}, 1)
	d.results = make(chan result, resultQueue)
	if d.MaxBytes == 0 {
		d.MaxBytes = DefaultMaxBytes
	}
}

// Assign sets the roles of this agent. The list is complete: shards that are
// not in it belong to other agents.
func (d *Deduplicator) Assign(self *wire.HostRef, assignments []Assignment) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.start()
	if !proto.Equal(self, d.self) {
		for _, sh := range d.shards {
			d.drop(sh)
			sh.wasOther = false
		}
		d.self = proto.CloneOf(self)
	}
	assigned := make(map[shardID]bool, len(assignments))
	for _, a := range assignments {
		id := shardID{
			service: a.State.GetService(),
			shard:   a.State.GetShard(),
		}
		assigned[id] = true
		d.assign(d.shard(id), a)
	}
	for id, sh := range d.shards {
		if !assigned[id] && sh.role != roleNone {
			d.drop(sh)
		}
	}
	d.notify()
}

func (d *Deduplicator) shard(id shardID) *shard {
	sh := d.shards[id]
	if sh == nil {
		sh = &shard{
			id:      id,
			entries: map[string]*entry{},
		}
		d.shards[id] = sh
	}
	return sh
}

// drop ends the role. The keys stay until they expire: they may have run.
func (d *Deduplicator) drop(sh *shard) {
	d.unblock(sh)
	sh.role = roleNone
	sh.state = nil
	sh.complete = false
	sh.wasOther = true
}

func (d *Deduplicator) unblock(sh *shard) {
	for key := range sh.blocked {
		d.bytes -= blockedCost(key)
	}
	sh.blocked = nil
}

func blockedCost(key string) int64 { return int64(len(key)) + entryOverhead }

func (d *Deduplicator) assign(sh *shard, a Assignment) {
	next := roleNone
	switch {
	case proto.Equal(a.State.GetPrimary(), d.self):
		next = rolePrimary
		sh.peer = a.SecondaryAddress
	case proto.Equal(a.State.GetSecondary(), d.self):
		next = roleSecondary
		sh.peer = a.PrimaryAddress
	}
	if next == roleNone {
		d.drop(sh)
		return
	}
	if sh.state != nil && damaskspread.SamePosition(sh.state.GetEpoch(), a.State.GetEpoch()) {
		sh.state = a.State
		return
	}
	follows := sh.state != nil && a.Previous != nil && damaskspread.SamePosition(a.Previous, sh.state.GetEpoch())
	before, wasComplete := sh.role, sh.complete
	sh.complete = wasComplete && follows && (before != roleSecondary || next != roleSecondary)
	if next == rolePrimary && a.State.GetFounded() && !sh.wasOther {
		sh.complete = true
	}
	if next == rolePrimary && !sh.complete && (before != rolePrimary || wasComplete || !follows) {
		sh.incompleteSince = d.Clock.Now()
	}
	sh.wasOther = sh.wasOther || next != rolePrimary
	sh.role = next
	sh.state = a.State
	d.unblock(sh)
	sh.transferred = false
	sh.announce = false
}

// whole reports whether every key that may have run within its lifetime is
// known here.
func (sh *shard) whole(now time.Time, lifetime time.Duration) bool {
	if !sh.complete && sh.role == rolePrimary && now.Sub(sh.incompleteSince) > lifetime+lateMargin {
		sh.complete = true
		sh.transferred = false
	}
	return sh.complete
}

func (d *Deduplicator) notify() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}
