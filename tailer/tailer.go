// Package tailer follows one topic of a keyed log.
//
// A Tailer first reads the newest record of each key and then each later
// record in order. It knows an upper bound on the age of what it has
// delivered. Run is its only goroutine; it waits for the log.
package tailer

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"
	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

const (
	// callSlack is what a read may take on top of its wait.
	callSlack  = 900 * time.Millisecond
	retryBase  = 50 * time.Millisecond
	retryLimit = 400 * time.Millisecond
)

// Tailer follows a topic. Its fields are set before Run.
type Tailer struct {
	Log     damaskspread.KeyedLog
	Topic   string
	Clock   damaskspread.Clock
	Elapsed damaskspread.ElapsedClock
	// Wait is how long a read at the head waits for the next record.
	Wait time.Duration
	// Pause returns the time between two reads; it trades delay for calls.
	Pause func() time.Duration
	// Apply receives records in order. With reset it receives the newest
	// record of every key, and keys that are missing no longer exist.
	Apply func(records []*wire.KeyedRecord, reset bool)

	mu        sync.Mutex
	next      int64
	ready     bool
	lost      bool
	freshAt   time.Duration
	refreshes chan struct{}
	// interrupt ends a read that waits for news.
	interrupt context.CancelFunc
	waiters   []chan struct{}
}

// Run follows the topic until the tomb dies.
func (t *Tailer) Run(tb *tomb.Tomb) error {
	t.mu.Lock()
	t.refreshes = make(chan struct{}, 1)
	t.mu.Unlock()
	ctx := tb.Context(context.Background())
	delay := retryBase
	for tb.Alive() {
		err := t.step(ctx)
		if err == nil {
			delay = retryBase
			t.pause(tb)
			continue
		}
		t.noteLost(err)
		// Jitter keeps the processes from returning to the log together.
		t.sleep(tb, delay/2+time.Duration(rand.Int64N(int64(delay))))
		delay = min(2*delay, retryLimit)
	}
	return nil
}

// Age is an upper bound on the age of what was delivered.
func (t *Tailer) Age() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ready {
		return damaskspread.MaxAge
	}
	return t.Elapsed.Elapsed() - t.freshAt
}

// Next is the offset after the last delivered record.
func (t *Tailer) Next() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next
}

// Refresh waits until a read that began after the call has reached the head.
func (t *Tailer) Refresh(ctx context.Context) error {
	asked := t.Elapsed.Elapsed()
	for {
		t.mu.Lock()
		if t.ready && t.freshAt >= asked {
			t.mu.Unlock()
			return nil
		}
		waiter := make(chan struct{})
		t.waiters = append(t.waiters, waiter)
		if t.interrupt != nil {
			// A read that waits for news would answer too late.
			t.interrupt()
			t.interrupt = nil
		}
		select {
		case t.refreshes <- struct{}{}:
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

func (t *Tailer) step(ctx context.Context) error {
	started := t.Elapsed.Elapsed()
	t.mu.Lock()
	ready, next, hurried := t.ready, t.next, len(t.waiters) > 0
	t.mu.Unlock()
	if !ready {
		return t.load(ctx, started)
	}
	wait := t.Wait
	if hurried {
		wait = 0
	}
	call, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	t.mu.Lock()
	if wait > 0 && len(t.waiters) == 0 {
		t.interrupt = cancel
	}
	t.mu.Unlock()
	page, err := t.Log.Read(call, t.Topic, next, wait)
	t.mu.Lock()
	interrupted := err != nil && wait > 0 && t.interrupt == nil
	t.interrupt = nil
	t.mu.Unlock()
	if interrupted && ctx.Err() == nil && errors.Is(call.Err(), context.Canceled) {
		return nil
	}
	var passed *damaskspread.RetentionPassedError
	if errors.As(err, &passed) {
		log.Info().Str("topic", t.Topic).Int64("next", next).Int64("first", passed.First).
			Msg("records expired before they were read; reading the newest of each key")
		t.mu.Lock()
		t.ready = false
		t.mu.Unlock()
		return t.load(ctx, started)
	}
	if err != nil {
		return err
	}
	t.deliver(page, next, started)
	return nil
}

func (t *Tailer) deliver(page *wire.KeyedPage, next int64, started time.Duration) {
	records := page.GetRecords()
	if len(records) > 0 {
		next = records[len(records)-1].GetOffset() + 1
		t.Apply(records, false)
	}
	t.advance(next, next >= page.GetEnd(), started)
}

// load reads the newest record of each key. Pages are not a snapshot, so
// records from the end of the first page on are read again; the newest wins.
func (t *Tailer) load(ctx context.Context, started time.Duration) error {
	var records []*wire.KeyedRecord
	end := int64(-1)
	after := ""
	for {
		page, err := t.page(ctx, after)
		if err != nil {
			return err
		}
		if end < 0 {
			end = page.GetEnd()
		}
		records = append(records, page.GetRecords()...)
		if !page.GetMore() || len(page.GetRecords()) == 0 {
			break
		}
		after = records[len(records)-1].GetKey()
	}
	t.Apply(records, true)
	t.mu.Lock()
	t.ready = true
	t.mu.Unlock()
	t.advance(end, true, started)
	return nil
}

func (t *Tailer) page(ctx context.Context, after string) (*wire.KeyedPage, error) {
	call, cancel := context.WithTimeout(ctx, callSlack)
	defer cancel()
	return t.Log.Newest(call, t.Topic, after)
}

func (t *Tailer) advance(next int64, head bool, started time.Duration) {
	t.mu.Lock()
	t.next = next
	regained := t.lost
	t.lost = false
	var waiters []chan struct{}
	if head {
		t.freshAt = started
		waiters, t.waiters = t.waiters, nil
	}
	t.mu.Unlock()
	for _, waiter := range waiters {
		close(waiter)
	}
	if regained {
		log.Info().Str("topic", t.Topic).Int64("next", next).Msg("log regained")
	}
}

func (t *Tailer) noteLost(err error) {
	t.mu.Lock()
	first := !t.lost
	t.lost = true
	next := t.next
	t.mu.Unlock()
	if first {
		log.Warn().Str("topic", t.Topic).Int64("next", next).Err(err).Msg("log lost")
	}
}

func (t *Tailer) pause(tb *tomb.Tomb) {
	t.mu.Lock()
	hurried := len(t.waiters) > 0
	t.mu.Unlock()
	if t.Pause == nil || hurried {
		return
	}
	if pause := t.Pause(); pause > 0 {
		t.sleep(tb, pause)
	}
}

func (t *Tailer) sleep(tb *tomb.Tomb, duration time.Duration) {
	timer := t.Clock.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-t.refreshes:
	case <-tb.Dying():
	}
}
