package submitter

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/tracer"
)

const (
	// maxPendingCancellations bounds the memory of an outage, to about 2 MB.
	maxPendingCancellations = 4096
	// cancelLookupTimeout bounds the read before a cancellation is appended, so that one
	// is recorded also while only reads get no response.
	cancelLookupTimeout = 500 * time.Millisecond
)

var errManyCancellations = errors.New("too many cancellations wait for the log")

// canceler appends cancellations, one record an id at a time. A cancellation stays pending
// when its callers have given up, whatever its age: an id names one job, whose
// cancellation is final, and a job that its caller no longer wants could run for good.
type canceler struct {
	appender *batchAppender
	clock    damaskspread.Clock

	mu sync.Mutex
	// pending has the cancellations that are not yet in the log, by job id.
	pending map[string]*cancellation
}

type cancellation struct {
	record *queuedRecord
	since  time.Time
	// kept is set once a caller has given up.
	kept bool
}

// cancel returns nil once the cancellation of an id is in the log. If ctx ends first, the
// outcome of the RefusalError is unknown and the cancellation stays pending.
func (c *canceler) cancel(ctx context.Context, id string) error {
	pending := c.add(id)
	if pending == nil {
		return logUnavailable(errManyCancellations)
	}
	select {
	case <-pending.record.done:
	case <-ctx.Done():
		c.keep(id, pending)
	}
	select {
	case <-pending.record.done:
		_, err := pending.record.result()
		return err
	default:
		return damaskspread.Unknown(damaskspread.ReasonAppendUnknown, "cancellation not yet recorded: %v", context.Cause(ctx))
	}
}

// add returns the pending cancellation of an id, or nil if there are too many.
func (c *canceler) add(id string) *cancellation {
	c.mu.Lock()
	defer c.mu.Unlock()
	if pending := c.pending[id]; pending != nil {
		return pending
	}
	if len(c.pending) >= maxPendingCancellations {
		return nil
	}
	added := &cancellation{
		record: &queuedRecord{
			record: indexer.CancelRecord(id),
			done:   make(chan struct{}),
			urgent: true,
		},
		since: c.clock.Now(),
	}
	added.record.onDone = func() { c.remove(id, added) }
	c.pending[id] = added
	c.appender.addQueued(added.record)
	return added
}

// keep notes that a caller has given up.
func (c *canceler) keep(id string, pending *cancellation) {
	c.mu.Lock()
	first := !pending.kept
	pending.kept = true
	c.mu.Unlock()
	if first {
		tracer.Write(&tracer.CancelPending{
			Job: id,
		})
	}
}

// remove drops a cancellation that the log has accepted or rejected.
func (c *canceler) remove(id string, done *cancellation) {
	c.mu.Lock()
	delete(c.pending, id)
	kept := done.kept
	c.mu.Unlock()
	offset, err := done.record.result()
	if err != nil {
		log.Error().Str("job", id).Err(err).Msg("cancellation not recorded")
		return
	}
	tracer.Write(&tracer.JobCanceled{
		Job:    id,
		Offset: offset,
		Append: tracer.Milliseconds(c.clock.Since(done.since)),
		GaveUp: kept,
	})
}

func (c *canceler) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}
