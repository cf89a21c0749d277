// Package elector chooses the scheduling leader among the entry processes.
//
// A process leads after a conditional append of its claim to the leader topic.
// It keeps leading while its renewals, each conditional on the end of the
// topic, succeed. Another claim ends the leadership of the one before. The
// offset of a claim gives its epoch, which fences the appends and orders of
// earlier leaders.
//
// An Elector owns what is known of the leader. Run starts no goroutine besides
// its own; it waits for the clock and for news of the tailer.
package elector

import (
	"context"
	"errors"
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

// Topic holds the claims and renewals of the leader.
const Topic = "leader"

const (
	leaderKey = "leader"
	// renewInterval is the time between two renewals.
	renewInterval = 200 * time.Millisecond
	// takeoverAfter is the silence after which another process claims.
	takeoverAfter = 900 * time.Millisecond
	// takeoverSpread keeps the candidates from claiming together.
	takeoverSpread = 300 * time.Millisecond
	// vacantShare shortens the delays while nobody leads.
	vacantShare = 6
	// maxViewAge is the age above which a candidate can't tell silence of the
	// leader from silence of the log.
	maxViewAge    = 1500 * time.Millisecond
	tick          = 25 * time.Millisecond
	appendTimeout = 900 * time.Millisecond
	// GrantFor is how long after its last renewal a leader extends leases. A
	// successor waits as long before it takes an unreachable host for lost.
	GrantFor = 5 * time.Second
	// ConfirmedFor is how long after its last renewal a leader is taken for
	// certain; later agents look for another one.
	ConfirmedFor = 1200 * time.Millisecond
)

// Elector takes part in the election. Its fields are set before Run.
type Elector struct {
	Log     damaskspread.KeyedLog
	Tail    *tailer.Tailer
	Clock   damaskspread.Clock
	Elapsed damaskspread.ElapsedClock
	Process string
	Address string
	// Delay is added to the silence before a claim; hosts with more processor
	// time claim first.
	Delay time.Duration
	// Won is called with the new epoch, Lost when another process leads.
	Won  func(epoch int64)
	Lost func()

	mu          sync.Mutex
	leader      *wire.Leadership
	end         int64
	heardAt     time.Duration
	epoch       int64
	confirmedAt time.Duration
	nextRenewal time.Duration
	spread      time.Duration
	resigned    bool
}

// Apply takes records of the leader topic.
func (e *Elector) Apply(records []*wire.KeyedRecord, _ bool) {
	for _, record := range records {
		e.applyRecord(record)
	}
}

func (e *Elector) applyRecord(record *wire.KeyedRecord) {
	claim := &wire.Leadership{}
	if record.GetKey() != leaderKey {
		return
	}
	if err := proto.Unmarshal(record.GetValue(), claim); err != nil {
		log.Error().Int64("offset", record.GetOffset()).Err(err).Msg("leader record ignored: it cannot be decoded")
		return
	}
	e.mu.Lock()
	if record.GetOffset() < e.end && e.leader != nil {
		e.mu.Unlock()
		return
	}
	previous := e.leader
	e.leader = claim
	e.end = record.GetOffset() + 1
	e.heardAt = e.Elapsed.Elapsed()
	deposed := e.epoch != 0 && claim.GetEpoch() > e.epoch
	if deposed {
		e.epoch = 0
	}
	e.mu.Unlock()
	if previous.GetEpoch() != claim.GetEpoch() {
		log.Info().Str("leader", claim.GetProcess()).Int64("epoch", claim.GetEpoch()).Msg("leader changed")
	}
	if deposed {
		e.Lost()
	}
}

// Leader is the newest known leader; nil before the first.
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

// UnconfirmedFor is the time since this process was certainly the leader.
func (e *Elector) UnconfirmedFor() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Elapsed.Elapsed() - e.confirmedAt
}

// Run takes part until the tomb dies.
func (e *Elector) Run(tb *tomb.Tomb) error {
	ctx := tb.Context(context.Background())
	ticker := e.Clock.NewTicker(tick)
	defer ticker.Stop()
	e.drawSpread()
	for {
		select {
		case <-tb.Dying():
			return nil
		case <-ticker.Chan():
		}
		e.act(ctx)
	}
}

func (e *Elector) act(ctx context.Context) {
	now := e.Elapsed.Elapsed()
	e.mu.Lock()
	leading := e.epoch != 0
	renew := leading && now >= e.nextRenewal
	claim := !leading && !e.resigned && e.silent(now)
	end := e.end
	e.mu.Unlock()
	switch {
	case renew:
		e.renew(ctx)
	case claim:
		e.claim(ctx, max(end, e.Tail.Next()))
	}
}

// silent reports whether the leader is gone, as far as a current view tells.
func (e *Elector) silent(now time.Duration) bool {
	if e.Tail.Age() > maxViewAge {
		// Silence that the process could not observe doesn't count.
		e.heardAt = now
		return false
	}
	// A leader of this process's name is an earlier start of it, which is over.
	if e.leader == nil || e.leader.GetResigned() || e.leader.GetProcess() == e.Process {
		return now-e.heardAt >= (e.Delay+e.spread)/vacantShare
	}
	return now-e.heardAt >= takeoverAfter+e.Delay+e.spread
}

func (e *Elector) claim(ctx context.Context, end int64) {
	claim := &wire.Leadership{
		Process: e.Process,
		Address: e.Address,
		Epoch:   end + 1,
	}
	started := e.Elapsed.Elapsed()
	result, err := e.append(ctx, claim, end)
	e.drawSpread()
	if err != nil {
		log.Info().Int64("epoch", claim.GetEpoch()).Err(err).Msg("claim of leadership failed")
		return
	}
	e.mu.Lock()
	if e.end > result.GetEnd() {
		e.mu.Unlock()
		return
	}
	e.leader = claim
	e.epoch = claim.GetEpoch()
	e.end = result.GetEnd()
	e.heardAt = started
	e.confirmedAt = started
	e.nextRenewal = started + renewInterval
	e.mu.Unlock()
	log.Info().Int64("epoch", claim.GetEpoch()).Int64("offset", result.GetOffset()).Msg("leadership won")
	e.Won(claim.GetEpoch())
}

// renew extends the leadership. If its condition fails, the tailer's records
// tell whether an earlier renewal arrived late or another process leads.
func (e *Elector) renew(ctx context.Context) {
	e.mu.Lock()
	renewal := &wire.Leadership{
		Process: e.Process,
		Address: e.Address,
		Epoch:   e.epoch,
	}
	end := e.end
	e.mu.Unlock()
	started := e.Elapsed.Elapsed()
	result, err := e.append(ctx, renewal, end)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextRenewal = started + renewInterval
	if err != nil {
		var moved *damaskspread.ConditionFailedError
		if !errors.As(err, &moved) {
			log.Debug().Int64("epoch", renewal.GetEpoch()).Err(err).Msg("renewal of leadership failed")
		}
		return
	}
	e.end = max(e.end, result.GetEnd())
	e.confirmedAt = started
	e.heardAt = started
}

func (e *Elector) append(ctx context.Context, claim *wire.Leadership, end int64) (*wire.AppendResult, error) {
	value, err := proto.Marshal(claim)
	if err != nil {
		return nil, err
	}
	call, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	record := &wire.KeyedRecord{
		Key:   leaderKey,
		Value: value,
	}
	return e.Log.Append(call, Topic, []*wire.KeyedRecord{record}, &wire.AppendCondition{End: &end})
}

func (e *Elector) drawSpread() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.spread = time.Duration(rand.Int64N(int64(takeoverSpread)))
}

// Resign gives the leadership up, so that another process claims at once.
func (e *Elector) Resign(ctx context.Context) {
	e.mu.Lock()
	epoch, end := e.epoch, e.end
	e.epoch = 0
	e.resigned = true
	e.mu.Unlock()
	if epoch == 0 {
		return
	}
	e.Lost()
	resignation := &wire.Leadership{
		Process:  e.Process,
		Address:  e.Address,
		Epoch:    epoch,
		Resigned: true,
	}
	_, err := e.append(ctx, resignation, end)
	var moved *damaskspread.ConditionFailedError
	if errors.As(err, &moved) {
		// A renewal was under way; its record is the new end.
		_, err = e.append(ctx, resignation, moved.End)
	}
	log.Info().Int64("epoch", epoch).Err(err).Msg("leadership resigned")
}
