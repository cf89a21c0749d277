package submitter

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/tailer"
	"damaskspread.example/damaskspread/wire"
)

const (
	// refusalTimeout bounds the attempts to record one batch of refusals. A refusal
	// is only worth something if it is early.
	refusalTimeout = time.Second
	// minRefusalPause is the mean pause after the first append that another one has
	// overtaken, about the time of an append. Each further one doubles it, up to
	// maxRefusalPause.
	minRefusalPause = 5 * time.Millisecond
	maxRefusalPause = 80 * time.Millisecond
)

// refusalOutcome says what became of a refusal.
type refusalOutcome int

const (
	// notRecorded: the refusal may be in the log or not.
	notRecorded refusalOutcome = iota
	// recorded: the refusal is in the log, and no job of its id is in effect.
	recorded
	// acceptedBefore: a job of the id is in effect.
	acceptedBefore
)

// queuedRefusal is a refusal that waits to be recorded. The results are valid once
// done is closed.
type queuedRefusal struct {
	id      string
	record  *wire.KeyedRecord
	done    chan struct{}
	outcome refusalOutcome
	offset  int64
}

// refusalAppender records the refusals of concurrent calls in batches, one at a
// time. An append takes effect only where the topic ends as the index has read it, so
// a refusal in the log proves that no job of its id was in effect before.
type refusalAppender struct {
	log   damaskspread.KeyedLog
	index *indexer.Index
	tail  *tailer.Tailer
	clock damaskspread.Clock
	// random returns a number from 0 up to but not including 1.
	random func() float64

	mu      sync.Mutex
	pending []*queuedRefusal
	running bool
	// end is the end of the topic after the latest own append, which the index
	// may not have read yet. It holds only refusals between.
	end int64
}

// refuse records a refusal. If ctx ends first, the outcome is notRecorded and the
// error is that of ctx.
func (r *refusalAppender) refuse(ctx context.Context, id string, record *wire.KeyedRecord) (*queuedRefusal, error) {
	queued := &queuedRefusal{
		id:     id,
		record: record,
		done:   make(chan struct{}),
	}
	r.mu.Lock()
	r.pending = append(r.pending, queued)
	if !r.running {
		r.running = true
		go r.run()
	}
	r.mu.Unlock()
	select {
	case <-queued.done:
		return queued, nil
	case <-ctx.Done():
		return &queuedRefusal{id: id, outcome: notRecorded}, ctx.Err()
	}
}

// run records pending refusals until none is left. Each batch is bounded in time.
func (r *refusalAppender) run() {
	for {
		batch := r.extend(nil)
		if len(batch) == 0 {
			return
		}
		batch = r.record(batch)
		for _, queued := range batch {
			close(queued.done)
		}
	}
}

// extend adds pending refusals to a batch, as many as an append takes. If the batch is
// empty then, none is pending and run ends.
func (r *refusalAppender) extend(batch []*queuedRefusal) []*queuedRefusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := slices.Concat(batch, r.pending)
	count := damaskspread.CountWithin(min(len(all), maxBatchRecords), damaskspread.MaxAppendBytes,
		func(i int) int { return damaskspread.RecordBytes(all[i].record) })
	r.pending = all[count:]
	r.running = count > 0
	return all[:count:count]
}

// record sets the outcomes of a batch and returns it with the refusals that joined it.
// An append that another one has overtaken is repeated after a read. Before, a random
// pause lets one of the entries that compete go first; meanwhile further refusals join.
func (r *refusalAppender) record(batch []*queuedRefusal) []*queuedRefusal {
	ctx, cancel := context.WithTimeout(context.Background(), refusalTimeout)
	defer cancel()
	pause := minRefusalPause
	for r.appendOnce(ctx, batch) {
		damaskspread.Pause(ctx, r.clock, time.Duration(2*r.random()*float64(pause)))
		pause = min(2*pause, maxRefusalPause)
		if r.tail.Refresh(ctx) != nil {
			break
		}
		batch = r.extend(batch)
	}
	return batch
}

// appendOnce appends the refusals of a batch and sets their outcomes. It reports whether
// another append has moved the end of the topic, so that this one had no effect.
func (r *refusalAppender) appendOnce(ctx context.Context, batch []*queuedRefusal) (overtaken bool) {
	// The position is taken before the index is looked up, which may be ahead of it.
	end := max(r.tail.Next(), r.end)
	refused, records := r.stillRefused(batch)
	if len(records) == 0 {
		return false
	}
	result, err := r.log.Append(ctx, indexer.Topic, records, &wire.AppendCondition{End: &end})
	var moved *damaskspread.ConditionFailedError
	if errors.As(err, &moved) {
		return true
	}
	if err != nil {
		return false
	}
	r.end = result.GetOffset() + int64(len(records))
	for i, queued := range refused {
		queued.outcome = recorded
		queued.offset = result.GetOffset() + int64(i)
	}
	return false
}

// stillRefused returns the refusals of a batch without those of accepted jobs.
func (r *refusalAppender) stillRefused(batch []*queuedRefusal) ([]*queuedRefusal, []*wire.KeyedRecord) {
	var refused []*queuedRefusal
	var records []*wire.KeyedRecord
	for _, queued := range batch {
		if _, known := r.index.Lookup(queued.id); known {
			queued.outcome = acceptedBefore
			continue
		}
		refused = append(refused, queued)
		records = append(records, queued.record)
	}
	return refused, records
}
