package tailer

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// readOnce reads and passes on records once. It returns nil if Refresh canceled
// the read.
func (t *Tailer) readOnce(ctx context.Context) error {
	started := t.Elapsed.Elapsed()
	t.mu.Lock()
	ready, next := t.ready, t.next
	t.mu.Unlock()
	if !ready {
		return t.readNewest(ctx, started)
	}
	page, canceled, err := t.readFrom(ctx, next)
	var expired *damaskspread.RetentionPassedError
	switch {
	case canceled:
		return nil
	case errors.As(err, &expired):
		log.Info().Str("topic", t.Topic).Int64("next", next).Int64("first", expired.First).
			Msg("records expired before they were read; reading the newest record of each key")
		t.mu.Lock()
		t.ready = false
		t.mu.Unlock()
		return t.readNewest(ctx, started)
	case err != nil:
		return err
	}
	t.deliver(page, next, started)
	return nil
}

// readFrom reads the records from an offset on. At the end of the topic it waits for
// readWait, unless a Refresh waits for the read or the last read failed: the first
// response after an outage makes the view current. It reports whether Refresh has canceled
// the read.
func (t *Tailer) readFrom(ctx context.Context, next int64) (page *wire.KeyedPage, canceled bool, err error) {
	wait := t.readWait()
	t.mu.Lock()
	if len(t.waiters) > 0 || t.failing {
		wait = 0
	}
	readCtx, cancel, progress := damaskspread.BeginRead(ctx, wait)
	defer cancel()
	// Set under the lock under which wait was chosen: a Refresh in between would find no
	// read to cancel and wait for this one.
	if wait > 0 {
		t.cancelRead = cancel
		t.readProgress = progress
	}
	t.mu.Unlock()
	page, err = t.Log.Read(readCtx, t.Topic, next, wait)
	t.mu.Lock()
	canceled = err != nil && wait > 0 && t.cancelRead == nil && ctx.Err() == nil && errors.Is(readCtx.Err(), context.Canceled)
	t.cancelRead = nil
	t.mu.Unlock()
	return page, canceled, err
}

// readWait returns ReadWait within WaitLimit.
func (t *Tailer) readWait() time.Duration {
	if t.WaitLimit == nil {
		return t.ReadWait
	}
	if limit := t.WaitLimit(); limit > 0 {
		return min(limit, t.ReadWait)
	}
	return t.ReadWait
}

// deliver passes on the records of a page that was read from the offset next.
func (t *Tailer) deliver(page *wire.KeyedPage, next int64, started time.Duration) {
	records := page.GetRecords()
	if len(records) > 0 {
		next = records[len(records)-1].GetOffset() + 1
		t.Apply(records, false)
	}
	t.advance(next, next >= page.GetEnd(), started)
}

// readNewest reads the newest record of each key. The pages are not one snapshot: of the
// records appended after the first page some may be missing, so that a later page may lack
// a key which belongs to one of an earlier page. What was appended from the first page to
// the last is therefore read before anything is passed on. That repeats some records, in
// order, so the newest record of a key is applied last.
func (t *Tailer) readNewest(ctx context.Context, started time.Duration) error {
	var records []*wire.KeyedRecord
	next, end := int64(-1), int64(0)
	after := ""
	for {
		page, err := t.page(ctx, after)
		if err != nil {
			return err
		}
		if next < 0 {
			next = page.GetEnd()
		}
		end = page.GetEnd()
		records = append(records, page.GetRecords()...)
		if !page.GetMore() || len(page.GetRecords()) == 0 {
			break
		}
		after = records[len(records)-1].GetKey()
	}
	later, err := t.readUpTo(ctx, next, end)
	if err != nil {
		return err
	}
	if len(later) > 0 {
		next = later[len(later)-1].GetOffset() + 1
	}
	t.Apply(append(records, later...), true)
	t.mu.Lock()
	t.ready = true
	t.mu.Unlock()
	t.advance(next, true, started)
	return nil
}

// readUpTo reads the records from an offset on, at least up to an end that the topic has
// reached.
func (t *Tailer) readUpTo(ctx context.Context, next, end int64) ([]*wire.KeyedRecord, error) {
	var records []*wire.KeyedRecord
	for next < end {
		readCtx, cancel, _ := damaskspread.BeginRead(ctx, 0)
		page, err := t.Log.Read(readCtx, t.Topic, next, 0)
		cancel()
		if err != nil {
			return nil, err
		}
		if len(page.GetRecords()) == 0 {
			break
		}
		records = append(records, page.GetRecords()...)
		next = records[len(records)-1].GetOffset() + 1
	}
	return records, nil
}

// page reads one page of newest records, starting after a key.
func (t *Tailer) page(ctx context.Context, after string) (*wire.KeyedPage, error) {
	readCtx, cancel, _ := damaskspread.BeginRead(ctx, 0)
	defer cancel()
	return t.Log.Newest(readCtx, t.Topic, after)
}

// advance sets the next offset. If the read reached the end of the topic, it also
// sets the age and ends the Refresh calls that wait.
func (t *Tailer) advance(next int64, atEnd bool, started time.Duration) {
	t.mu.Lock()
	t.next = next
	recovered := t.failing
	t.failing = false
	now := t.Elapsed.Elapsed()
	if length := now - t.reachedAt; recovered && length >= minOutage {
		t.lastOutage = Outage{
			Length:  length,
			EndedAt: now,
		}
	}
	t.reachedAt = now
	if t.advanced != nil {
		close(t.advanced)
		t.advanced = nil
	}
	var waiters []chan struct{}
	if atEnd {
		t.currentAsOf = started
		waiters, t.waiters = t.waiters, nil
	}
	t.mu.Unlock()
	for _, waiter := range waiters {
		close(waiter)
	}
	if recovered {
		log.Info().Str("topic", t.Topic).Int64("next", next).Msg("log reachable again")
	}
}
