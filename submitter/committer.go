package submitter

import (
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
	// appendTimeout bounds one append; a slow log is waited for.
	appendTimeout = 2 * time.Second
	// hedgeAfter is the silence after which an append is sent a second time on
	// another connection. The records are idempotent.
	hedgeAfter = 350 * time.Millisecond
	maxHedges  = 3
	retryPause = 60 * time.Millisecond
	retryLimit = 500 * time.Millisecond
	// maxBatch bounds the records of one append.
	maxBatch = 200
)

// commit is one record on its way into the log.
type commit struct {
	record *wire.KeyedRecord
	done   chan struct{}
	// offset and err are set before done is closed.
	offset int64
	// uncertain is set while an append of the record may have taken effect,
	// unknown once that stays open for good.
	uncertain bool
	unknown   bool
	err       error
}

// committer appends the records of concurrent calls together, one append at a
// time, and repeats them until the log has them.
type committer struct {
	log   damaskspread.KeyedLog
	clock damaskspread.Clock

	mu      sync.Mutex
	pending []*commit
	wake    chan struct{}
}

// add queues a record.
func (c *committer) add(record *wire.KeyedRecord) *commit {
	entry := &commit{
		record: record,
		done:   make(chan struct{}),
	}
	c.mu.Lock()
	c.pending = append(c.pending, entry)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return entry
}

// abandon takes a record back whose caller waits no longer. It reports whether
// the record may be in the log.
func (c *committer) abandon(entry *commit) (uncertain bool, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, candidate := range c.pending {
		if candidate == entry {
			c.pending = append(c.pending[:i:i], c.pending[i+1:]...)
			break
		}
	}
	return entry.uncertain, entry.err
}

func (c *committer) take() []*commit {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := c.pending[:min(len(c.pending), maxBatch)]
	for _, entry := range batch {
		// From here on the record may reach the log.
		entry.uncertain = true
	}
	return append([]*commit(nil), batch...)
}

// run appends until the tomb dies.
func (c *committer) run(tb *tomb.Tomb) error {
	ctx := tb.Context(context.Background())
	pause := retryPause
	for tb.Alive() {
		batch := c.take()
		if len(batch) == 0 {
			select {
			case <-c.wake:
			case <-tb.Dying():
			}
			continue
		}
		result, certain, err := c.hedged(ctx, batch)
		c.settle(batch, result, certain, err)
		if err == nil {
			pause = retryPause
			continue
		}
		damaskspread.Pause(ctx, c.clock, pause)
		pause = min(2*pause, retryLimit)
	}
	return nil
}

// settle resolves the calls of a batch, or leaves them for the next append.
func (c *committer) settle(batch []*commit, result *wire.AppendResult, certain bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	settled := map[*commit]bool{}
	for i, entry := range batch {
		entry.err = err
		if err == nil {
			entry.offset = result.GetOffset() + int64(i)
			settled[entry] = true
			close(entry.done)
			continue
		}
		entry.unknown = entry.unknown || !certain
		entry.uncertain = entry.unknown
	}
	if len(settled) == 0 {
		return
	}
	var left []*commit
	for _, entry := range c.pending {
		if !settled[entry] {
			left = append(left, entry)
		}
	}
	c.pending = left
}

type appendAnswer struct {
	result *wire.AppendResult
	err    error
}

// hedged appends a batch and sends it again while there is no answer. It
// reports whether a failure certainly had no effect.
func (c *committer) hedged(ctx context.Context, batch []*commit) (result *wire.AppendResult, certain bool, err error) {
	limited, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	records := make([]*wire.KeyedRecord, len(batch))
	for i, entry := range batch {
		records[i] = entry.record
	}
	answers := make(chan appendAnswer, maxHedges)
	send := func() {
		result, err := c.log.Append(limited, indexer.Topic, records, nil)
		answers <- appendAnswer{result: result, err: err}
	}
	sent, failed := 1, 0
	certain = true
	go send()
	for {
		timer := c.clock.NewTimer(hedgeAfter)
		select {
		case answer := <-answers:
			timer.Stop()
			if answer.err == nil {
				return answer.result, true, nil
			}
			failed++
			var unknown *damaskspread.AppendUnknownError
			certain = certain && !errors.As(answer.err, &unknown)
			err = damaskspread.LessCertain(err, answer.err)
			if failed == sent {
				return nil, certain, err
			}
		case <-timer.Chan():
			if sent < maxHedges {
				sent++
				go send()
			}
		}
	}
}
