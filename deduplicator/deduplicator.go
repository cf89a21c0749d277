// Package deduplicator decides on each agent whether a request with an
// idempotency key may run. The agent is primary or secondary of the key's
// shard.
//
// It owns the history of the agent's shards, which is their keys and results.
// A shard's history is complete if it has every key that may have run within
// the key lifetime. Run handles transfers, ShardsReady records and expiry, and
// waits for a tick or a new assignment. It starts one goroutine that sends
// results to the secondaries. Results wait in a channel of resultQueueSize.
// When the channel is full, a result is not sent and the secondary keeps
// answering unknown for the key.
//
// A history stays complete across a change of epoch only if the assignment
// names the replaced epoch (Assignment.Previous) and this agent's last known
// epoch is that one. Sync may skip assignments, and other agents may have run
// keys in a skipped epoch.
//
// Known limitation: if the primary and the secondary are both declared lost,
// they keep accepting keys until they learn of it or until their configuration
// is older than the currency limit.
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
	// DefaultMaxBytes is a quarter of an agent's memory target of 256 MB.
	DefaultMaxBytes = 64 << 20
	// MaxResultBytes is the largest encoded response kept for a key, in bytes.
	MaxResultBytes = 64 << 10
	// keyOverheadBytes estimates the map slot, the structures and the hash.
	keyOverheadBytes = 320
	resultQueueSize  = 4096
	// formerPrimaryMargin is added to the key lifetime because a former primary
	// may run a request after the epoch changed, until its currency limit passes.
	formerPrimaryMargin = 30 * time.Second
)

// ReasonResultNotRetained is the reason in the response to a repeated request
// whose key ran, but whose result was too large to keep.
const ReasonResultNotRetained damaskspread.Reason = "result_not_retained"

// Peers sends messages to the deduplicators of other agents. Implementations are
// safe for concurrent use.
type Peers interface {
	Replicate(ctx context.Context, address string, request *wire.ReplicateRequest) (*wire.ReplicateResponse, error)
}

// Assignment describes a shard of which this agent is primary or secondary.
type Assignment struct {
	State *wire.ShardState
	// Previous is the epoch that State.Epoch replaced; nil if not known.
	Previous         *wire.Position
	PrimaryAddress   string
	SecondaryAddress string
}

// Deduplicator prevents requests with an idempotency key from running twice. It
// is safe for concurrent use. Set the exported fields before the first use.
type Deduplicator struct {
	Clock    damaskspread.Clock
	Currency damaskspread.Currency
	Peers    Peers
	Appender damaskspread.Appender
	// KeyLifetime is how long a key and its result are kept.
	KeyLifetime time.Duration
	// MaxBytes bounds the memory of keys and results; DefaultMaxBytes if 0.
	MaxBytes int64

	mu               sync.Mutex
	self             *wire.HostRef
	shards           map[shardID]*shard
	usedBytes        int64
	wake             chan struct{} // wakes Run
	results          chan result
	lastRecordNumber uint64 // last number used in the id of an appended record
	lastProposal     uint64 // number of the last proposal to a secondary
}

type shardID struct {
	service string
	shard   int32
}

// role is this agent's part in a shard.
type role int

const (
	roleNone role = iota
	// rolePrimary decides whether a key may run, and runs its request.
	rolePrimary
	// roleSecondary holds copies of the primary's keys and results.
	roleSecondary
)

type shard struct {
	id       shardID
	state    *wire.ShardState
	peer     string // address of the agent in the other role
	role     role
	complete bool // the history is complete, see the package comment
	// When this agent became primary without the complete history.
	incompleteSince time.Time
	// This incarnation of the agent lost its role or was secondary before.
	hadOtherRole bool
	// The current secondary received this agent's history in this epoch.
	transferred bool
	// This agent received the complete history in this epoch, and its
	// ShardsReady record is not appended yet.
	readyPending bool
	keys         map[string]*keyState
	// Keys that the primary must not run in this epoch, with the time at which
	// they were blocked. Set on the secondary.
	blocked map[string]time.Time
}

// phase says how far the request of a key has come.
type phase int

const (
	// phaseReserved: a reservation is open and the request has not run.
	phaseReserved phase = iota
	// phaseCommitted: the request may run or may have run on this agent.
	phaseCommitted
	// phaseRemote: the primary replicated the key here and may have run it.
	phaseRemote
	// phaseDone: the response is stored.
	phaseDone
)

type keyState struct {
	key          string
	requestHash  []byte // of the request's method, path and body
	phase        phase
	lifetimeFrom time.Time // when the key was reserved or, once done, when the request ended
	response     *wire.ExecuteResponse
	settled      chan struct{} // closed when the key is done or removed
	memoryBytes  int64
	// For phaseRemote: the epoch in which the primary replicated the key here, and
	// the number of its latest proposal.
	epoch    *wire.Position
	proposal uint64
}

// initialize creates the maps and channels on first use. The caller holds d.mu.
func (d *Deduplicator) initialize() {
	if d.shards != nil {
		return
	}
	d.shards = map[shardID]*shard{}
	d.wake = make(chan struct{}, 1)
	d.results = make(chan result, resultQueueSize)
	if d.MaxBytes == 0 {
		d.MaxBytes = DefaultMaxBytes
	}
}

// Assign sets the roles of this agent, whose current incarnation is self. The
// agent loses its role in shards that are not in assignments.
func (d *Deduplicator) Assign(self *wire.HostRef, assignments []Assignment) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.initialize()
	if !proto.Equal(self, d.self) {
		for _, sh := range d.shards {
			d.endRole(sh)
			sh.hadOtherRole = false // roles of earlier incarnations don't count
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
		d.assignShard(d.shard(id), a)
	}
	for id, sh := range d.shards {
		if !assigned[id] && sh.role != roleNone {
			d.endRole(sh)
		}
	}
	d.wakeRun()
}

// shard returns the shard with an id. It creates the shard if needed.
func (d *Deduplicator) shard(id shardID) *shard {
	sh := d.shards[id]
	if sh == nil {
		sh = &shard{
			id:   id,
			keys: map[string]*keyState{},
		}
		d.shards[id] = sh
	}
	return sh
}

// endRole removes this agent's role in a shard. The keys stay until they
// expire, because their requests may have run.
func (d *Deduplicator) endRole(sh *shard) {
	d.unblockAll(sh)
	sh.role = roleNone
	sh.state = nil
	sh.complete = false
	sh.hadOtherRole = true
}

func (d *Deduplicator) unblockAll(sh *shard) {
	for key := range sh.blocked {
		d.usedBytes -= blockedKeyBytes(key)
	}
	sh.blocked = nil
}

func blockedKeyBytes(key string) int64 { return int64(len(key)) + keyOverheadBytes }

func (d *Deduplicator) assignShard(sh *shard, a Assignment) {
	newRole := roleNone
	switch {
	case proto.Equal(a.State.GetPrimary(), d.self):
		newRole = rolePrimary
		sh.peer = a.SecondaryAddress
	case proto.Equal(a.State.GetSecondary(), d.self):
		newRole = roleSecondary
		sh.peer = a.PrimaryAddress
	}
	if newRole == roleNone {
		d.endRole(sh)
		return
	}
	if sh.state != nil && damaskspread.SamePosition(sh.state.GetEpoch(), a.State.GetEpoch()) {
		sh.state = a.State
		return
	}
	consecutive := sh.state != nil && a.Previous != nil && damaskspread.SamePosition(a.Previous, sh.state.GetEpoch())
	oldRole, wasComplete := sh.role, sh.complete
	sh.complete = wasComplete && consecutive && (oldRole != roleSecondary || newRole != roleSecondary)
	if newRole == rolePrimary && a.State.GetFounded() && !sh.hadOtherRole {
		sh.complete = true
	}
	if newRole == rolePrimary && !sh.complete && (oldRole != rolePrimary || wasComplete || !consecutive) {
		sh.incompleteSince = d.Clock.Now()
	}
	sh.hadOtherRole = sh.hadOtherRole || newRole != rolePrimary
	sh.role = newRole
	sh.state = a.State
	d.unblockAll(sh)
	sh.transferred = false
	sh.readyPending = false
}

// updateComplete marks the history of a primary as complete once all keys that
// it missed have expired. It reports whether the history is complete.
func (sh *shard) updateComplete(now time.Time, lifetime time.Duration) bool {
	if !sh.complete && sh.role == rolePrimary && now.Sub(sh.incompleteSince) > lifetime+formerPrimaryMargin {
		sh.complete = true
		sh.transferred = false
	}
	return sh.complete
}

func (d *Deduplicator) wakeRun() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}
