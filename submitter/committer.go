package submitter

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/wire"
)

const (
	// appendTimeout is the timeout of one append and its repetitions. It is long
	// enough for a slow log.
	appendTimeout = 2 * time.Second
	// hedgeDelay is the time without a response after which an append is sent
	// again on another connection. A repeated record has no effect.
	hedgeDelay = 350 * time.Millisecond
	// maxSends limits how often one append is sent, the first send included.
	maxSends      = 3
	minRetryDelay = 60 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// maxBatchRecords limits the records of one append.
	maxBatchRecords = 200
)

// batchAppender appends the records of concurrent calls in batches, one append
// at a time, and repeats an append until it succeeds.
type batchAppender struct {
	log   damaskspread.KeyedLog
	clock damaskspread.Clock

	mu sync.Mutex
	// pending holds the records that are not yet known to be in the log, the
	// oldest first, including those of an append in flight.
	pending []*queuedRecord
	wake    chan struct{}
	// batchLimit is the largest number of records in the next append, urgentLimit in one of
	// urgent records. They are lower than maxBatchRecords while a record that the log rejects
	// is searched for, and after an append without a response.
	batchLimit, urgentLimit int
	// urgentSettled is set if the latest append settled urgent records.
	urgentSettled bool
	// failingSince is when the first append after the last success began; zero if it
	// has not failed.
	failingSince time.Time
	failure      error
}

// unavailable returns the error of the latest append if appends have failed for longer
// than the given time and one is being repeated now; otherwise nil. Without a record
// to repeat, the next one has to find out whether the log is available again.
func (c *batchAppender) unavailable(after time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failingSince.IsZero() || len(c.pending) == 0 || c.clock.Since(c.failingSince) <= after {
		return nil
	}
	return c.failure
}

// add queues a record for the next append.
func (c *batchAppender) add(record *wire.KeyedRecord) *queuedRecord {
	queued := &queuedRecord{
		record: record,
		done:   make(chan struct{}),
	}
	c.addQueued(queued)
	return queued
}

func (c *batchAppender) addQueued(queued *queuedRecord) {
	c.mu.Lock()
	c.pending = append(c.pending, queued)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// abandon removes a record whose caller no longer waits. It reports whether the
// record may be in the log, and the error of the last append.
func (c *batchAppender) abandon(queued *queuedRecord) (maybeAppended bool, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, candidate := range c.pending {
		if candidate == queued {
			c.pending = append(c.pending[:i:i], c.pending[i+1:]...)
			break
		}
	}
	return queued.maybeAppended, queued.err
}

// nextBatch returns the oldest pending records, urgent ones alone: a batch of large jobs may
// not get through a slow link before its append times out, again and again. They stay pending
// until the append succeeds. After a batch of urgent records the others have a turn, so that
// frequent cancellations don't keep them back.
func (c *batchAppender) nextBatch() []*queuedRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	candidates, limit := c.pendingOf(true), c.urgentLimit
	if others := c.pendingOf(false); len(candidates) == 0 || c.urgentSettled && len(others) > 0 {
		candidates, limit = others, c.batchLimit
	}
	count := damaskspread.CountWithin(min(len(candidates), cmp.Or(limit, maxBatchRecords)), damaskspread.MaxAppendBytes,
		func(i int) int { return damaskspread.RecordBytes(candidates[i].record) })
	batch := candidates[:count]
	for _, queued := range batch {
		// The record may reach the log from now on.
		queued.maybeAppended = true
	}
	return batch
}

// pendingOf returns a copy of the oldest records that are urgent, or of the oldest that are
// not. The lock is held.
func (c *batchAppender) pendingOf(urgent bool) []*queuedRecord {
	var oldest []*queuedRecord
	for _, queued := range c.pending {
		if queued.urgent == urgent && len(oldest) < maxBatchRecords {
			oldest = append(oldest, queued)
		}
	}
	return oldest
}

// run appends pending records until the tomb dies.
func (c *batchAppender) run(tb *tomb.Tomb) error {
	ctx := tb.Context(context.Background())
	delay := minRetryDelay
	for tb.Alive() {
		batch := c.nextBatch()
		if len(batch) == 0 {
			select {
			case <-c.wake:
			case <-tb.Dying():
			}
			continue
		}
		began := c.clock.Now()
		result, outcomeCertain, err := c.appendHedged(ctx, batch)
		c.recordHealth(began, err)
		c.complete(batch, result, outcomeCertain, err)
		if err == nil || isRejection(err) {
			delay = minRetryDelay
			continue
		}
		damaskspread.Pause(ctx, c.clock, delay)
		delay = min(2*delay, maxRetryDelay)
	}
	return nil
}

// isRejection reports whether the log has answered an append and takes none of its records.
func isRejection(err error) bool {
	var rejected *damaskspread.AppendRejectedError
	return errors.As(err, &rejected)
}

// recordHealth records since when appends have failed. A log that rejects records is
// available.
func (c *batchAppender) recordHealth(began time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failure = err
	switch {
	case err == nil || isRejection(err):
		c.failingSince = time.Time{}
	case c.failingSince.IsZero():
		c.failingSince = began
	}
}

// complete ends the calls of an appended batch, and that of a record which the log
// rejects alone. A larger batch that is rejected is divided, so that one bad record doesn't
// keep back the others. After another failed append the records stay pending and are
// appended again, after one without a response in parts: all of them may take the link longer
// than an append may last.
func (c *batchAppender) complete(batch []*queuedRecord, result *wire.AppendResult, outcomeCertain bool, err error) {
	for queued := range c.settle(batch, result, outcomeCertain, err) {
		if queued.onDone != nil {
			queued.onDone()
		}
	}
}

// settle returns the records that are no longer pending.
func (c *batchAppender) settle(batch []*queuedRecord, result *wire.AppendResult, outcomeCertain bool, err error) map[*queuedRecord]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	settled := map[*queuedRecord]bool{}
	limit := &c.batchLimit
	if batch[0].urgent {
		limit = &c.urgentLimit
	}
	*limit = 0
	rejected := isRejection(err)
	if rejected || !outcomeCertain {
		*limit = max(1, len(batch)/2)
	}
	for i, queued := range batch {
		queued.err = err
		if err == nil {
			queued.offset = result.GetOffset() + int64(i)
			settled[queued] = true
			close(queued.done)
			continue
		}
		queued.outcomeUnknown = queued.outcomeUnknown || !outcomeCertain
		queued.maybeAppended = queued.outcomeUnknown
		if rejected && len(batch) == 1 {
			queued.rejected = true
			settled[queued] = true
			close(queued.done)
		}
	}
	c.urgentSettled = len(settled) > 0 && batch[0].urgent
	if len(settled) == 0 {
		return nil
	}
	var remaining []*queuedRecord
	for _, queued := range c.pending {
		if !settled[queued] {
			remaining = append(remaining, queued)
		}
	}
	c.pending = remaining
	return settled
}

type appendResponse struct {
	result *wire.AppendResult
	err    error
}

// appendHedged appends a batch and sends it again after each hedgeDelay without a
// response, up to maxSends times. outcomeCertain is false if the append failed but
// the records may be in the log.
func (c *batchAppender) appendHedged(ctx context.Context, batch []*queuedRecord) (result *wire.AppendResult, outcomeCertain bool, err error) {
	appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	records := make([]*wire.KeyedRecord, len(batch))
	for i, queued := range batch {
		records[i] = queued.record
	}
	responses := make(chan appendResponse, maxSends)
	send := func() {
		result, err := c.log.Append(appendCtx, indexer.Topic, records, nil)
		responses <- appendResponse{result: result, err: err}
	}
	sent, failed := 1, 0
	outcomeCertain = true
	go send()
	for {
		timer := c.clock.NewTimer(hedgeDelay)
		select {
		case response := <-responses:
			timer.Stop()
			if response.err == nil {
				return response.result, true, nil
			}
			failed++
			var unknown *damaskspread.AppendUnknownError
			outcomeCertain = outcomeCertain && !errors.As(response.err, &unknown)
			err = damaskspread.MergeAppendErrors(err, response.err)
			if failed == sent {
				return nil, outcomeCertain, err
			}
		case <-timer.Chan():
			if sent < maxSends {
				sent++
				go send()
			}
		}
	}
}
