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

func (f *Follower) runLogReader(ctx context.Context) error {
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
	if !f.isLoaded.Load() {
		if err := f.startFromLog(ctx); err != nil {
			return err
		}
	}
	from := f.Offset() + 1
	readStart := f.Clock.Now()
	response, err := f.read(ctx, f.stream(), from, maxBatchesPerRead, f.ReadWait)
	var passed *damaskspread.RetentionPassedError
	if errors.As(err, &passed) {
		return f.handleRetentionPassed(ctx, readStart, passed)
	}
	if err != nil {
		return err
	}
	return f.applyResponse(ctx, readStart, from, response)
}

// applyResponse applies the entries of a log read. The state becomes current
// only if the read reached the end of the log, and only as of readStart, because
// entries may have been appended since.
func (f *Follower) applyResponse(ctx context.Context, readStart time.Time, from int64, response *wire.ReadEntriesResponse) error {
	f.firstRetained.Store(response.GetFirstOffset())
	if response.GetFirstOffset() > from {
		return f.handleRetentionPassed(ctx, readStart, retentionPassedError(from, response))
	}
	next, gap := f.apply(response.GetEntries())
	if gap {
		return f.handleRetentionPassed(ctx, readStart, retentionPassedError(next, response))
	}
	if response.GetNextOffset() < from {
		return &damaskspread.LogUnavailableError{
			Cause: fmt.Errorf("log ends before offset %d, but offset %d is already applied", response.GetNextOffset(), from-1),
		}
	}
	if next >= response.GetNextOffset() {
		f.markCurrent(readStart)
	}
	f.clearHistoryLost()
	return nil
}

func retentionPassedError(from int64, response *wire.ReadEntriesResponse) *damaskspread.RetentionPassedError {
	return &damaskspread.RetentionPassedError{
		From:  from,
		First: response.GetFirstOffset(),
		Next:  response.GetNextOffset(),
	}
}

// read reads log entries with a timeout of wait plus CallTimeout.
func (f *Follower) read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*wire.ReadEntriesResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+f.CallTimeout)
	defer cancel()
	return f.Log.Read(ctx, stream, from, limit, wait)
}

func (f *Follower) startFromLog(ctx context.Context) error {
	newest, err := f.readNewestSnapshot(ctx)
	if err != nil {
		return err
	}
	if newest != nil {
		f.install(newest)
	}
	f.markLoaded()
	return nil
}

func (f *Follower) markLoaded() {
	if f.isLoaded.CompareAndSwap(false, true) {
		close(f.loaded)
	}
}

// handleRetentionPassed handles a read of an offset that the log no longer
// retains. If that offset is also the log's next one, no entry was missed.
// Otherwise it looks for a snapshot that covers all expired entries, in the
// snapshot stream and then at other entry processes.
func (f *Follower) handleRetentionPassed(ctx context.Context, readStart time.Time, passed *damaskspread.RetentionPassedError) error {
	f.firstRetained.Store(passed.First)
	next := f.Offset() + 1
	if passed.Next == next {
		f.markCurrent(readStart)
		f.clearHistoryLost()
		return passed
	}
	if newest, err := f.readNewestSnapshot(ctx); err == nil && newest != nil && newest.GetOffset() >= passed.First-1 {
		f.install(newest)
		return nil
	}
	for _, peer := range f.peers() {
		if err := f.fetchSnapshot(ctx, peer, passed.First-1); err == nil {
			return nil
		}
	}
	if f.Offset()+1 < passed.First {
		f.setHistoryLost(passed)
	}
	return passed
}
