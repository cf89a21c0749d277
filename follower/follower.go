// Package follower reads the state stream, replays it and knows how current
// the replayed state is.
//
// A Follower owns the replayed state, the recent batches that it relays to
// other entry processes, and the ids of recently applied records. Run starts
// three goroutines: one reads the log, one asks other entry processes while
// the log does not prove currency, and one watches and writes snapshots. Each
// subscription holds up to subscriptionCapacity batches of changes; a full one
// is emptied and tells its reader to reload the whole state.
package follower

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

const (
	// DefaultReadWait bounds a read without news. A read proves currency as of
	// its begin, so the age of an idle process reaches twice this value.
	DefaultReadWait = 300 * time.Millisecond
	// DefaultCallTimeout is what a call may take beyond its wait.
	DefaultCallTimeout = 2 * time.Second
	// DefaultRelayAfter leaves two idle reads (0.6 s) and some delay before
	// other entry processes are asked, and stays well below currency_limit.
	DefaultRelayAfter = time.Second
	// DefaultSnapshotEvery is the number of batches between snapshots.
	DefaultSnapshotEvery = 5000
	// DefaultSnapshotDelay spreads the entry processes, so that usually one of
	// them writes a snapshot and the others see it in time.
	DefaultSnapshotDelay = 10 * time.Second
	// DefaultRetention is used when the settings don't state the log's period.
	DefaultRetention = time.Hour

	readLimit = 512
	retryMin  = 50 * time.Millisecond
	retryMax  = time.Second
)

// Follower maintains the replayed state. Set the exported fields before Run.
type Follower struct {
	Log    damaskspread.LogClient
	Clock  damaskspread.Clock
	Region string
	// Peers returns the addresses of other entry processes; nil means none.
	Peers func() []string
	// HTTP reaches other entry processes.
	HTTP *http.Client
	// Random spreads delays; nil uses a random seed, which is logged.
	Random *rand.Rand

	ReadWait      time.Duration
	CallTimeout   time.Duration
	RelayAfter    time.Duration
	SnapshotEvery int64
	SnapshotDelay time.Duration
	Retention     time.Duration

	setup sync.Once
	// applying serializes changes of the state. A snapshot holds it together
	// with the read lock, so no writer waits for the read lock meanwhile and
	// other readers are not blocked behind such a writer.
	applying sync.Mutex
	mu       sync.RWMutex
	state    *replayer.State
	recent   recentBatches
	ids      recentIDs
	applied  chan struct{}

	started atomic.Bool
	loaded  chan struct{}

	proof       sync.Mutex
	proven      bool
	currentAsOf time.Time
	lost        *damaskspread.HistoryLostError

	subscribers   sync.Mutex
	subscriptions map[*Subscription]struct{}

	randomMu  sync.Mutex
	begun     time.Time
	firstKept atomic.Int64
}

func (f *Follower) prepare() {
	f.setup.Do(func() {
		f.state = replayer.New()
		f.applied = make(chan struct{})
		f.loaded = make(chan struct{})
		f.subscriptions = map[*Subscription]struct{}{}
		f.ids = newRecentIDs(recentIDCount)
		damaskspread.SetDefault(&f.ReadWait, DefaultReadWait)
		damaskspread.SetDefault(&f.CallTimeout, DefaultCallTimeout)
		damaskspread.SetDefault(&f.RelayAfter, DefaultRelayAfter)
		damaskspread.SetDefault(&f.SnapshotEvery, DefaultSnapshotEvery)
		damaskspread.SetDefault(&f.SnapshotDelay, DefaultSnapshotDelay)
		damaskspread.SetDefault(&f.Retention, DefaultRetention)
		if f.HTTP == nil {
			f.HTTP = http.DefaultClient
		}
		if f.Random == nil {
			seed := rand.Uint64()
			f.Random = rand.New(rand.NewPCG(seed, seed))
			log.Info().Uint64("seed", seed).Msg("follower random seed")
		}
	})
}

func (f *Follower) stream() string { return "state." + f.Region }

// Run reads until the tomb dies.
func (f *Follower) Run(t *tomb.Tomb) error {
	f.prepare()
	f.begun = f.Clock.Now()
	ctx := t.Context(context.Background())
	t.Go(func() error { return f.runRelay(ctx) })
	t.Go(func() error { return f.runSnapshots(ctx) })
	return f.runLog(ctx)
}

// View calls read with the state under the read lock. Messages reached
// through the state must not be used after read returns, except records,
// sections, shards and host specifications, which are never modified.
func (f *Follower) View(read func(*replayer.State)) {
	f.prepare()
	f.mu.RLock()
	defer f.mu.RUnlock()
	read(f.state)
}

// Offset is the offset of the last applied batch, -1 before the first.
func (f *Follower) Offset() int64 {
	f.prepare()
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.state.Offset()
}

// Age implements damaskspread.Currency.
func (f *Follower) Age() time.Duration {
	f.proof.Lock()
	defer f.proof.Unlock()
	if !f.proven {
		return damaskspread.MaxAge
	}
	return max(f.Clock.Since(f.currentAsOf), 0)
}

// Ready reports whether the first replay is complete.
func (f *Follower) Ready() bool {
	f.proof.Lock()
	defer f.proof.Unlock()
	return f.proven
}

// Err returns a HistoryLostError while records are missing, else nil.
func (f *Follower) Err() error {
	f.proof.Lock()
	defer f.proof.Unlock()
	if f.lost == nil {
		return nil
	}
	return f.lost
}

// prove notes that the state covers the whole log as of a time. It ignores
// older proofs than the one it has.
func (f *Follower) prove(asOf time.Time) {
	f.proof.Lock()
	defer f.proof.Unlock()
	if !f.proven || asOf.After(f.currentAsOf) {
		f.currentAsOf = asOf
	}
	f.proven = true
}

func (f *Follower) clearLost() {
	f.proof.Lock()
	defer f.proof.Unlock()
	f.lost = nil
}

func (f *Follower) reportLost(gap *damaskspread.RetentionPassedError) {
	lost := &damaskspread.HistoryLostError{
		From:  gap.From,
		First: gap.First,
		Next:  gap.Next,
	}
	f.proof.Lock()
	known := f.lost != nil
	f.lost = lost
	f.proof.Unlock()
	if !known {
		log.Error().Err(lost).Str("reason", string(damaskspread.ReasonHistoryLost)).Msg("state history is incomplete")
	}
}

// Wait returns once the batch at the offset is applied.
func (f *Follower) Wait(ctx context.Context, offset int64) error {
	f.prepare()
	for {
		f.mu.RLock()
		current, applied := f.state.Offset(), f.applied
		f.mu.RUnlock()
		if current >= offset {
			return nil
		}
		select {
		case <-applied:
		case <-ctx.Done():
			return fmt.Errorf("waiting for offset %d at %d: %w", offset, current, ctx.Err())
		}
	}
}

// FindRecord returns the offset of a recently applied record.
func (f *Follower) FindRecord(id string) (int64, bool) {
	f.prepare()
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.ids.find(id)
}

// Batches returns applied batches from an offset on, at most readLimit, and
// the next offset of the state, which may lie after the last one returned. ok
// is false if the batch at the offset is no longer held.
func (f *Follower) Batches(from int64) (entries []*wire.LogEntry, next int64, ok bool) {
	f.prepare()
	f.mu.RLock()
	defer f.mu.RUnlock()
	next = f.state.Offset() + 1
	if from >= next {
		return nil, next, true
	}
	entries, ok = f.recent.from(from)
	return entries, next, ok
}

// Snapshot returns a copy of the state. Readers continue meanwhile; batches
// wait.
func (f *Follower) Snapshot() *wire.Snapshot {
	f.prepare()
	f.applying.Lock()
	defer f.applying.Unlock()
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.state.Snapshot()
}

// jitter returns a random share of a duration.
func (f *Follower) jitter(d time.Duration) time.Duration {
	f.randomMu.Lock()
	defer f.randomMu.Unlock()
	return time.Duration(f.Random.Float64() * float64(d))
}

// pause waits between half and all of a delay and returns the next delay.
func (f *Follower) pause(ctx context.Context, delay time.Duration) time.Duration {
	delay = min(max(delay, retryMin), retryMax)
	select {
	case <-f.Clock.After(delay/2 + f.jitter(delay/2)):
	case <-ctx.Done():
	}
	return delay * 2
}
