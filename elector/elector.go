// Package elector elects the scheduling leader among the entry processes through
// conditional appends to the leader topic of the log.
//
// A process becomes leader by appending a claim on the condition that the topic
// has not grown since the process last read it. It stays leader until another
// process appends a claim, and renews its leadership with appends under the same
// condition. The epoch of a claim is its offset plus 1; it fences the appends and
// orders of earlier leaders. A leader that renews its leadership and makes no progress
// otherwise says so in its renewals, and any process that can append takes over.
//
// An Elector owns the newest known leader and the state of this process's
// leadership. Run starts no goroutine; it waits for a ticker and for appends. A
// tailer passes the records of the topic to Apply.
package elector

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/tailer"
	"damaskspread.example/damaskspread/wire"
)

// Topic holds the claims, renewals and resignations of leaders.
const Topic = "leader"

const (
	leaderKey     = "leader"
	renewInterval = 200 * time.Millisecond
	// takeoverTimeout is the time without a record of the leader after which
	// another process claims the leadership.
	takeoverTimeout = 900 * time.Millisecond
	// maxTakeoverJitter bounds the random delay that keeps candidates from
	// claiming at the same time.
	maxTakeoverJitter = 300 * time.Millisecond
	// vacantDelayDivisor shortens the delays before a claim while no process
	// leads.
	vacantDelayDivisor = 6
	// maxTopicAge is the age of the replayed topic above which a candidate doesn't
	// claim: perhaps the leader still renews and only the log can't be read.
	maxTopicAge = 1500 * time.Millisecond
	// maxReadGap is the time between the starts of two successful reads above which
	// the log could not be read in between.
	maxReadGap    = 1500 * time.Millisecond
	tickInterval  = 25 * time.Millisecond
	appendTimeout = 900 * time.Millisecond
	// ConfirmationTimeout is how long a successful renewal confirms the leadership.
	// Agents of a leader that is unconfirmed for longer look for another one.
	ConfirmationTimeout = 1200 * time.Millisecond
)

// Elector takes part in the election for this process. The exported fields are set
// before Run. The exported methods are safe for concurrent use.
type Elector struct {
	Log  damaskspread.KeyedLog
	Tail *tailer.Tailer
	// Clock drives the ticker of Run; Elapsed measures the timeouts.
	Clock   damaskspread.Clock
	Elapsed damaskspread.ElapsedClock
	// Process is the name of this process; it stays the same across restarts.
	Process string
	// Address is where agents reach this process if it leads.
	Address string
	// ClaimDelay is added to the time before a claim. Processes with more
	// processors get a shorter one, so that they claim first.
	ClaimDelay time.Duration
	// OnLeadershipWon is called with the new epoch when this process becomes
	// leader, OnLeadershipLost when another process does or this one resigns.
	OnLeadershipWon  func(epoch int64)
	OnLeadershipLost func()
	// WaitingSince returns since when this process, which leads, makes no progress, and
	// false if it does. Probe appends to the topics that a leader needs; it fails if
	// this process can't. Without them no leader is replaced because it is stalled.
	WaitingSince func() (since time.Duration, waits bool)
	Probe        func(ctx context.Context) error

	mu          sync.Mutex
	leader      *wire.Leadership
	topicEnd    int64         // offset after the last known record of the topic
	lastHeardAt time.Duration // last sign of the leader
	readAsOf    time.Duration // start of the last read that reached the end of the topic
	epoch       int64         // 0 unless this process leads
	confirmedAt time.Duration // start of the last successful claim or renewal
	nextRenewal time.Duration
	jitter      time.Duration
	resigned    bool
	term        term
	probe       probe
	// hearings are the latest records of the topic, by their offsets.
	hearings []hearing
}

// Apply applies records of the leader topic in order. It calls OnLeadershipLost if
// one ends the leadership of this process. It ignores the reset flag, because the
// topic has one key only.
func (e *Elector) Apply(records []*wire.KeyedRecord, _ bool) {
	for _, record := range records {
		e.applyRecord(record)
	}
}

// BadRecordError is the error for a record of the leader topic that no leader has written.
type BadRecordError struct {
	Detail string
}

func (e *BadRecordError) Error() string { return "malformed leader record: " + e.Detail }

// Decode returns the claim, renewal or resignation of a record of the leader topic. The
// error is a *BadRecordError.
func Decode(record *wire.KeyedRecord) (*wire.Leadership, error) {
	if record.GetKey() != leaderKey {
		return nil, &BadRecordError{Detail: fmt.Sprintf("unknown key %q", record.GetKey())}
	}
	leadership := &wire.Leadership{}
	if err := proto.Unmarshal(record.GetValue(), leadership); err != nil {
		return nil, &BadRecordError{Detail: err.Error()}
	}
	// The epoch is the offset of the claim plus one.
	if leadership.GetEpoch() < 0 || leadership.GetEpoch() > record.GetOffset()+1 {
		return nil, &BadRecordError{Detail: fmt.Sprintf("epoch %d in the record at offset %d", leadership.GetEpoch(), record.GetOffset())}
	}
	return leadership, nil
}

func (e *Elector) applyRecord(record *wire.KeyedRecord) {
	leadership, err := Decode(record)
	e.mu.Lock()
	known := record.GetOffset() < e.topicEnd && e.leader != nil
	// Appends are conditional on the end of the topic, whatever its last record holds.
	e.topicEnd = max(e.topicEnd, record.GetOffset()+1)
	if err != nil {
		e.mu.Unlock()
		log.Error().Int64("offset", record.GetOffset()).Err(err).Msg("leader record ignored")
		return
	}
	e.hear(hearing{
		offset: record.GetOffset(),
		epoch:  leadership.GetEpoch(),
		at:     e.Elapsed.Elapsed(),

		storesSessions: leadership.GetStoresSessions(),
	})
	if known {
		// Such as an own append.
		e.mu.Unlock()
		return
	}
	previous := e.leader
	e.leader = leadership
	e.lastHeardAt = e.Elapsed.Elapsed()
	lost := e.epoch != 0 && leadership.GetEpoch() > e.epoch
	if lost {
		e.epoch = 0
	}
	e.mu.Unlock()
	if previous.GetEpoch() != leadership.GetEpoch() {
		log.Info().Str("leader", leadership.GetProcess()).Int64("epoch", leadership.GetEpoch()).Msg("leader changed")
	}
	if lost {
		e.OnLeadershipLost()
	}
}

// Leader is the newest known leader, nil before the first one. It may have
// resigned.
func (e *Elector) Leader() *wire.Leadership {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader
}

// Epoch is the epoch of this process while it leads, else 0.
func (e *Elector) Epoch() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.epoch
}

// ConfirmationAge is the time since the start of the last successful claim or
// renewal. It is valid while this process leads.
func (e *Elector) ConfirmationAge() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Elapsed.Elapsed() - e.confirmedAt
}

// Run claims and renews the leadership until the tomb dies.
func (e *Elector) Run(tb *tomb.Tomb) error {
	ctx := tb.Context(context.Background())
	ticker := e.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	e.drawJitter()
	for {
		select {
		case <-tb.Dying():
			return nil
		case <-ticker.Chan():
		}
		e.claimOrRenew(ctx)
	}
}

// claimOrRenew renews the leadership of this process, or claims it if the leader
// has resigned or is silent for too long.
func (e *Elector) claimOrRenew(ctx context.Context) {
	now := e.Elapsed.Elapsed()
	e.mu.Lock()
	e.observeReads(now)
	leads := e.epoch != 0
	renew := leads && now >= e.nextRenewal
	claim := !leads && !e.resigned && e.claimDue(now)
	probe := !leads && !e.resigned && e.probeDue(now)
	topicEnd := e.topicEnd
	e.mu.Unlock()
	switch {
	case renew:
		e.renew(ctx)
	case claim:
		e.claim(ctx, max(topicEnd, e.Tail.Next()))
	case probe:
		e.probeLog(ctx)
	}
}

// observeReads restarts the time without a record of the leader after the log could not be
// read: the leader could not renew either, and may do so next. Reads that succeed and only
// take long don't restart it. The caller holds the mutex.
func (e *Elector) observeReads(now time.Duration) {
	age := e.Tail.Age()
	if age == damaskspread.MaxAge {
		e.lastHeardAt = now
		return
	}
	readAsOf := now - age
	if readAsOf-e.readAsOf > maxReadGap {
		e.lastHeardAt = now
	}
	e.readAsOf = readAsOf
}

// claimDue reports whether the leader has resigned, is stalled, or sent no record for so
// long that this process claims the leadership. The caller holds the mutex.
func (e *Elector) claimDue(now time.Duration) bool {
	if e.Tail.Age() > maxTopicAge {
		return false
	}
	// A leader with this process's name is an earlier incarnation, which has
	// ended.
	if e.leader == nil || e.leader.GetResigned() || e.leader.GetProcess() == e.Process {
		return now-e.lastHeardAt >= (e.ClaimDelay+e.jitter)/vacantDelayDivisor
	}
	if e.probed(now) {
		return true
	}
	return now-e.lastHeardAt >= takeoverTimeout+e.ClaimDelay+e.jitter
}

func (e *Elector) drawJitter() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.jitter = time.Duration(rand.Int64N(int64(maxTakeoverJitter)))
}
