// Package tailer reads one topic of a keyed log continuously and passes the
// records to a callback. Package follower does the same for the state stream,
// whose records have no keys.
//
// A Tailer first reads the newest record of each key and then each later record
// in order. It owns the next offset and an upper bound on the age of the records
// passed on. Run is its only goroutine; it waits for the log, for the pause
// between reads, and for Refresh.
package tailer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"
	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// Bounds of the pause after a failed read, which doubles with each failure in a row.
const (
	retryMin = 50 * time.Millisecond
	retryMax = 400 * time.Millisecond
)

// minOutage is the shortest outage of the log that LastOutage reports. Shorter ones end
// before callers give up.
const minOutage = time.Second

// Outage is a time without a successful read in which reads failed.
type Outage struct {
	Length time.Duration
	// EndedAt is when the first read succeeded again, by the Tailer's clock Elapsed.
	EndedAt time.Duration
}

// Tailer follows a topic. Set the exported fields before Run. Age, LastOutage, Next
// and Refresh may be called concurrently.
type Tailer struct {
	Log     damaskspread.KeyedLog
	Topic   string
	Clock   damaskspread.Clock
	Elapsed damaskspread.ElapsedClock
	// ReadWait is how long a read at the end of the topic waits for the next
	// record.
	ReadWait time.Duration
	// WaitLimit returns an upper bound of ReadWait for the next read, 0 if there is none;
	// nil means none. The age of an idle topic grows to twice the time of a read.
	WaitLimit func() time.Duration
	// Pause returns the time between two reads; nil means none. A longer pause
	// needs fewer reads but delays records.
	Pause func() time.Duration
	// Apply receives records in order. With reset, it receives the newest record
	// of every key; a key without a record no longer exists. It is called from
	// Run.
	Apply func(records []*wire.KeyedRecord, reset bool)

	mu   sync.Mutex
	next int64
	// ready means that the newest record of each key was read, and that no
	// record expired unread since.
	ready   bool
	failing bool
	// currentAsOf is when the last read that reached the end of the topic began.
	currentAsOf time.Duration
	// reachedAt is when the last read succeeded or, before that, when Run began.
	reachedAt time.Duration
	// lastOutage is the zero value before the first one.
	lastOutage Outage
	// wakeups ends a sleep of Run.
	wakeups chan struct{}
	// cancelRead cancels a read that waits for new records; nil if there is none
	// or Refresh has canceled it.
	cancelRead context.CancelFunc
	// readProgress is that of the read that cancelRead cancels.
	readProgress *damaskspread.Progress
	waiters      []chan struct{}
	// advanced is closed when the next offset changes; nil if nobody waits for it.
	advanced chan struct{}
}

// Run follows the topic until the tomb dies.
func (t *Tailer) Run(tb *tomb.Tomb) error {
	t.mu.Lock()
	t.wakeups = make(chan struct{}, 1)
	t.reachedAt = t.Elapsed.Elapsed()
	t.mu.Unlock()
	ctx := tb.Context(context.Background())
	delay := retryMin
	for tb.Alive() {
		err := t.readOnce(ctx)
		if err == nil {
			delay = retryMin
			t.pause(tb)
			continue
		}
		t.noteFailure(err)
		// The jitter keeps processes from retrying at the same time.
		t.sleep(tb, delay/2+time.Duration(rand.Int64N(int64(delay))))
		delay = min(2*delay, retryMax)
	}
	return nil
}

// Age is an upper bound on the time since all records of the topic were passed to
// Apply. It is MaxAge until the newest record of each key has been read, and again
// after records expired unread.
func (t *Tailer) Age() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ready {
		return damaskspread.MaxAge
	}
	return t.Elapsed.Elapsed() - t.currentAsOf
}

// LastOutage returns the last outage of at least a second that has ended, and false
// before the first one. A process that was stopped for that long takes it for an outage
// if its read failed.
func (t *Tailer) LastOutage() (Outage, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastOutage, t.lastOutage.Length > 0
}

// Next is the offset after the last record passed to Apply.
func (t *Tailer) Next() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next
}

// WaitFor waits until the record at an offset was passed to Apply. It reads nothing
// in addition to Run. The error is that of ctx.
func (t *Tailer) WaitFor(ctx context.Context, offset int64) error {
	for {
		t.mu.Lock()
		if t.ready && t.next > offset {
			t.mu.Unlock()
			return nil
		}
		if t.advanced == nil {
			t.advanced = make(chan struct{})
		}
		advanced := t.advanced
		t.mu.Unlock()
		select {
		case <-advanced:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Refresh waits until a read that began after the call has reached the end of the
// topic. It cancels a read that waits for new records. The error is that of ctx.
func (t *Tailer) Refresh(ctx context.Context) error {
	called := t.Elapsed.Elapsed()
	for {
		t.mu.Lock()
		if t.ready && t.currentAsOf >= called {
			t.mu.Unlock()
			return nil
		}
		waiter := make(chan struct{})
		t.waiters = append(t.waiters, waiter)
		if t.cancelRead != nil && !t.readProgress.Begun() {
			// This read began before the call and may wait long. One that receives
			// records already is not repeated.
			t.cancelRead()
			t.cancelRead = nil
		}
		select {
		case t.wakeups <- struct{}{}:
		default:
		}
		t.mu.Unlock()
		select {
		case <-waiter:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (t *Tailer) noteFailure(err error) {
	t.mu.Lock()
	first := !t.failing
	t.failing = true
	next := t.next
	t.mu.Unlock()
	if first {
		log.Warn().Str("topic", t.Topic).Int64("next", next).Err(err).Msg("log unreachable")
	}
}

// pause waits between two reads, unless a Refresh is waiting.
func (t *Tailer) pause(tb *tomb.Tomb) {
	t.mu.Lock()
	hasWaiters := len(t.waiters) > 0
	t.mu.Unlock()
	if t.Pause == nil || hasWaiters {
		return
	}
	if pause := t.Pause(); pause > 0 {
		t.sleep(tb, pause)
	}
}

// sleep waits for a duration, the next Refresh, or the end of the tomb.
func (t *Tailer) sleep(tb *tomb.Tomb, duration time.Duration) {
	timer := t.Clock.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-t.wakeups:
	case <-tb.Dying():
	}
}
