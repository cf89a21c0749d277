// Package follower replays the state stream, the log of record batches of a
// region, into a replayer.State and bounds the age of that state. (Package
// tailer follows one topic of the keyed log and keeps no state.)
//
// A Follower owns the replayed state, the recent batches that it serves to
// other entry processes, and the ids of recently applied records. It runs three
// goroutines: Run itself waits for log reads, one fetches batches from other
// entry processes while log reads do not keep the age below PeerFetchAfter, and one
// waits for entries of the snapshot stream and writes snapshots. Each
// subscription holds up to subscriptionCapacity batches of changes; when it is
// full, its changes are dropped and its reader is told to reload the state.
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
	// DefaultReadWait is how long a log read waits for the next entry. A read
	// shows that the state is current as of the start of the read, so the age
	// reaches twice this value while no entries are appended.
	DefaultReadWait = 300 * time.Millisecond
	// DefaultCallTimeout is how long a call may take beyond the time that it
	// waits for entries.
	DefaultCallTimeout = 2 * time.Second
	// DefaultPeerFetchAfter is the age from which batches are fetched from other
	// entry processes. It allows two log reads without entries (0.6 s) plus
	// some delay, and stays well below currency_limit.
	DefaultPeerFetchAfter = time.Second
	// DefaultSnapshotEvery is the number of batches between snapshots.
	DefaultSnapshotEvery = 5000
	// DefaultSnapshotDelay is the upper bound of a random delay before a due
	// snapshot is written, so that usually one entry process writes it and the
	// others see it before their own delay ends.
	DefaultSnapshotDelay = 10 * time.Second
	// DefaultRetention is the assumed retention period of the log if the
	// settings do not give one.
	DefaultRetention = time.Hour

	maxBatchesPerRead = 512
	retryMin          = 50 * time.Millisecond
	retryMax          = time.Second
)

// Follower maintains the replayed state. Set the exported fields before the
// first call; its methods are then safe for concurrent use.
type Follower struct {
	Log    damaskspread.LogClient
	Clock  damaskspread.Clock
	Region string
	// Peers returns the addresses of other entry processes; nil means none.
	Peers func() []string
	// HTTP is the client for requests to other entry processes; nil means
	// http.DefaultClient.
	HTTP *http.Client
	// Random is the source of jitter; nil uses a random seed, which is logged.
	Random *rand.Rand

	// Zero selects the default constant of the same name.
	ReadWait       time.Duration
	CallTimeout    time.Duration
	PeerFetchAfter time.Duration
	SnapshotEvery  int64
	SnapshotDelay  time.Duration
	Retention      time.Duration

	setup sync.Once
	// applyMu serializes changes of the state. Snapshot holds applyMu as well
	// as the read lock of mu: otherwise a writer that waits for mu would block
	// other readers until the copy is complete.
	applyMu sync.Mutex
	mu      sync.RWMutex
	state   *replayer.State
	recent  recentBatches
	ids     recentIDs
	// applied is closed and replaced whenever the state changes.
	applied chan struct{}

	// isLoaded is set and loaded is closed once the newest snapshot, if any, is
	// installed; until then no batches are applied.
	isLoaded atomic.Bool
	loaded   chan struct{}

	// currencyMu guards the next three fields.
	currencyMu sync.Mutex
	// ageKnown is set once the state has covered the whole log.
	ageKnown bool
	// currentAsOf is the latest time as of which the state covers the whole log.
	currentAsOf time.Time
	historyLost *damaskspread.HistoryLostError

	subscriptionsMu sync.Mutex
	subscriptions   map[*Subscription]struct{}

	randomMu  sync.Mutex
	startedAt time.Time
	// firstRetained is the oldest offset that the state stream still holds.
	firstRetained atomic.Int64
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
		damaskspread.SetDefault(&f.PeerFetchAfter, DefaultPeerFetchAfter)
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

// Run follows the log, fetches from other entry processes and writes snapshots
// until the tomb dies.
func (f *Follower) Run(t *tomb.Tomb) error {
	f.prepare()
	f.startedAt = f.Clock.Now()
	ctx := t.Context(context.Background())
	t.Go(func() error { return f.runPeerFetch(ctx) })
	t.Go(func() error { return f.runSnapshotWriter(ctx) })
	return f.runLogReader(ctx)
}

// View calls read with the state under the read lock. Messages obtained from
// the state must not be used after read returns, except records, sections,
// shards and host specifications, which are never modified.
func (f *Follower) View(read func(*replayer.State)) {
	f.prepare()
	f.mu.RLock()
	defer f.mu.RUnlock()
	read(f.state)
}

// Offset returns the offset of the last applied batch, -1 before the first.
func (f *Follower) Offset() int64 {
	f.prepare()
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.state.Offset()
}

// Age implements damaskspread.Currency: an upper bound on the age of the state.
func (f *Follower) Age() time.Duration {
	f.currencyMu.Lock()
	defer f.currencyMu.Unlock()
	if !f.ageKnown {
		return damaskspread.MaxAge
	}
	return max(f.Clock.Since(f.currentAsOf), 0)
}

// Ready reports whether the state has covered the whole log at least once.
func (f *Follower) Ready() bool {
	f.currencyMu.Lock()
	defer f.currencyMu.Unlock()
	return f.ageKnown
}

// Err returns a HistoryLostError while expired records are missing from the
// state, otherwise nil.
func (f *Follower) Err() error {
	f.currencyMu.Lock()
	defer f.currencyMu.Unlock()
	if f.historyLost == nil {
		return nil
	}
	return f.historyLost
}

// markCurrent records that the state covers the whole log as of a time. It
// ignores times before the latest one.
func (f *Follower) markCurrent(asOf time.Time) {
	f.currencyMu.Lock()
	defer f.currencyMu.Unlock()
	if !f.ageKnown || asOf.After(f.currentAsOf) {
		f.currentAsOf = asOf
	}
	f.ageKnown = true
}

func (f *Follower) clearHistoryLost() {
	f.currencyMu.Lock()
	defer f.currencyMu.Unlock()
	f.historyLost = nil
}

func (f *Follower) setHistoryLost(gap *damaskspread.RetentionPassedError) {
	historyLost := &damaskspread.HistoryLostError{
		From:  gap.From,
		First: gap.First,
		Next:  gap.Next,
	}
	f.currencyMu.Lock()
	known := f.historyLost != nil
	f.historyLost = historyLost
	f.currencyMu.Unlock()
	if !known {
		log.Error().Err(historyLost).Str("reason", string(damaskspread.ReasonHistoryLost)).Msg("state history incomplete")
	}
}

// Wait returns nil once the batch at the offset is applied, or an error when
// ctx ends.
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
			return fmt.Errorf("wait for batch %d ended at applied offset %d: %w", offset, current, ctx.Err())
		}
	}
}

// FindRecord returns the batch offset of a record among the last recentIDCount
// applied ones. It reports false if the id is not among them.
func (f *Follower) FindRecord(id string) (int64, bool) {
	f.prepare()
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.ids.find(id)
}

// Batches returns applied batches from an offset on, at most maxBatchesPerRead,
// and the offset after the last applied batch, which may be beyond the returned
// ones. ok is false if the batch at from is no longer in memory.
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

// Snapshot returns a copy of the state. While it copies, readers of the state
// continue and new batches wait.
func (f *Follower) Snapshot() *wire.Snapshot {
	f.prepare()
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.state.Snapshot()
}

// jitter returns a random duration from 0 to d.
func (f *Follower) jitter(d time.Duration) time.Duration {
	f.randomMu.Lock()
	defer f.randomMu.Unlock()
	return time.Duration(f.Random.Float64() * float64(d))
}

// pause waits a random time between half the delay and the delay, which is
// first limited to retryMin..retryMax. It returns twice the limited delay.
func (f *Follower) pause(ctx context.Context, delay time.Duration) time.Duration {
	delay = min(max(delay, retryMin), retryMax)
	select {
	case <-f.Clock.After(delay/2 + f.jitter(delay/2)):
	case <-ctx.Done():
	}
	return delay * 2
}
