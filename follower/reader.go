package follower

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

func (f *Follower) runLog(ctx context.Context) error {
	delay := retryMin
	for ctx.Err() == nil {
		if err := f.readOnce(ctx); err != nil && ctx.Err() == nil {
			log.Debug().Err(err).Msg("log read failed")
			delay = f.pause(ctx, delay)
			continue
		}
		delay = retryMin
	}
	return nil
}

func (f *Follower) readOnce(ctx context.Context) error {
	if !f.started.Load() {
		if err := f.startFromLog(ctx); err != nil {
			return err
		}
	}
	from := f.Offset() + 1
	begin := f.Clock.Now()
	response, err := f.read(ctx, f.stream(), from, readLimit, f.ReadWait)
	var passed *damaskspread.RetentionPassedError
	if errors.As(err, &passed) {
		return f.retentionPassed(ctx, begin, passed)
	}
	if err != nil {
		return err
	}
	return f.accept(ctx, begin, from, response)
}

// accept applies a response. Only a read that ends at the head proves
// currency, and only as of its begin.
func (f *Follower) accept(ctx context.Context, begin time.Time, from int64, response *wire.ReadEntriesResponse) error {
	f.firstKept.Store(response.GetFirstOffset())
	if response.GetFirstOffset() > from {
		return f.retentionPassed(ctx, begin, passedAt(from, response))
	}
	next, gap := f.apply(response.GetEntries())
	if gap {
		return f.retentionPassed(ctx, begin, passedAt(next, response))
	}
	if response.GetNextOffset() < from {
		return &damaskspread.LogUnavailableError{
			Cause: fmt.Errorf("the log ends at %d, before the applied offset %d", response.GetNextOffset(), from-1),
		}
	}
	if next >= response.GetNextOffset() {
		f.prove(begin)
	}
	f.clearLost()
	return nil
}

func passedAt(from int64, response *wire.ReadEntriesResponse) *damaskspread.RetentionPassedError {
	return &damaskspread.RetentionPassedError{
		From:  from,
		First: response.GetFirstOffset(),
		Next:  response.GetNextOffset(),
	}
}

// read bounds a log call by its wait and the call timeout.
func (f *Follower) read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*wire.ReadEntriesResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+f.CallTimeout)
	defer cancel()
	return f.Log.Read(ctx, stream, from, limit, wait)
}

func (f *Follower) startFromLog(ctx context.Context) error {
	newest, err := f.readSnapshots(ctx)
	if err != nil {
		return err
	}
	if newest != nil {
		f.install(newest)
	}
	f.markStarted()
	return nil
}

func (f *Follower) markStarted() {
	if f.started.CompareAndSwap(false, true) {
		close(f.loaded)
	}
}

// retentionPassed handles a position that the log no longer keeps. If the next
// offset is the position, nothing was missed. Otherwise a snapshot that
// reaches the oldest kept record closes the gap.
func (f *Follower) retentionPassed(ctx context.Context, begin time.Time, passed *damaskspread.RetentionPassedError) error {
	f.firstKept.Store(passed.First)
	position := f.Offset() + 1
	if passed.Next == position {
		f.prove(begin)
		f.clearLost()
		return passed
	}
	if newest, err := f.readSnapshots(ctx); err == nil && newest != nil && newest.GetOffset() >= passed.First-1 {
		f.install(newest)
		return nil
	}
	for _, peer := range f.peers() {
		if err := f.fetchSnapshot(ctx, peer, passed.First-1); err == nil {
			return nil
		}
	}
	if f.Offset()+1 < passed.First {
		f.reportLost(passed)
	}
	return passed
}
