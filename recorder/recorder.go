// Package recorder appends records to the state stream in batches.
//
// A Recorder owns the queue of requests that wait for a batch. Run starts one
// goroutine that forms batches and one short goroutine per append in flight.
// The queue holds up to QueueCapacity requests; a full queue refuses with
// not_run. An append whose response was lost is looked up among the applied
// records; if it is not found in time, its outcome is unknown, because the log
// may still take the entry later.
package recorder

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/follower"
	"damaskspread.example/damaskspread/queuer"
	"damaskspread.example/damaskspread/wire"
)

const (
	// DefaultInterval is how long the first record of a batch waits for others.
	DefaultInterval = 10 * time.Millisecond
	// DefaultMaxRecords bounds a batch to a few hundred kilobytes.
	DefaultMaxRecords = 1000
	// DefaultAppendsPerSecond leaves room for ten entry processes within the
	// several hundred appends per second of the log.
	DefaultAppendsPerSecond = 40
	// DefaultAppendTimeout bounds one append call.
	DefaultAppendTimeout = 2 * time.Second
	// DefaultResolveTimeout bounds the search for records of a lost response.
	DefaultResolveTimeout = 2 * time.Second
	// DefaultQueueCapacity is 10 s of the peak of 370 task starts a second.
	DefaultQueueCapacity = 4096

	// appendsInFlight lets batches continue while one append is slow or its
	// response is being searched for.
	appendsInFlight = 16
	// overloadedRetry is the time in which a full queue drains noticeably.
	overloadedRetry = 500 * time.Millisecond
)

// Recorder implements damaskspread.Appender. Set the exported fields before
// Run.
type Recorder struct {
	Log     damaskspread.LogClient
	Clock   damaskspread.Clock
	Region  string
	Applied *follower.Follower

	Interval         time.Duration
	MaxRecords       int
	AppendsPerSecond int
	AppendTimeout    time.Duration
	ResolveTimeout   time.Duration
	QueueCapacity    int

	setup    sync.Once
	queue    *queuer.Ring[*request]
	inFlight chan struct{}
	next     time.Time
}

// Phases of a request. Only a queued request can be abandoned with the
// certainty that its records are not appended.
const (
	queued int32 = iota
	taken
	abandoned
)

type request struct {
	records []*wire.Record
	phase   atomic.Int32
	done    chan result
}

type result struct {
	offset int64
	err    error
}

func (r *Recorder) prepare() {
	r.setup.Do(func() {
		damaskspread.SetDefault(&r.Interval, DefaultInterval)
		damaskspread.SetDefault(&r.MaxRecords, DefaultMaxRecords)
		damaskspread.SetDefault(&r.AppendsPerSecond, DefaultAppendsPerSecond)
		damaskspread.SetDefault(&r.AppendTimeout, DefaultAppendTimeout)
		damaskspread.SetDefault(&r.ResolveTimeout, DefaultResolveTimeout)
		damaskspread.SetDefault(&r.QueueCapacity, DefaultQueueCapacity)
		// The last request taken into a batch may double it.
		r.MaxRecords = min(r.MaxRecords, damaskspread.MaxBatchRecords/2)
		r.queue = queuer.New[*request]("recorder", r.QueueCapacity)
		r.inFlight = make(chan struct{}, appendsInFlight)
	})
}

// Run forms batches until the tomb dies. Requests that are still queued then
// did not run.
func (r *Recorder) Run(t *tomb.Tomb) error {
	r.prepare()
	ctx := t.Context(context.Background())
	for {
		first, err := r.queue.Get(ctx)
		if err != nil {
			break
		}
		if !r.await(ctx) {
			r.refuse(first)
			break
		}
		batch := r.collect(first)
		if len(batch) == 0 {
			<-r.inFlight
			continue
		}
		r.next = r.Clock.Now().Add(time.Second / time.Duration(r.AppendsPerSecond))
		t.Go(func() error {
			defer func() { <-r.inFlight }()
			r.commit(ctx, batch)
			return nil
		})
	}
	r.queue.Close()
	for _, waiting := range r.queue.Drain() {
		r.refuse(waiting)
	}
	return nil
}

// await waits for the commit interval, the append budget and a free place
// among the appends in flight.
func (r *Recorder) await(ctx context.Context) bool {
	wait := max(r.Interval, r.Clock.Until(r.next))
	select {
	case <-r.Clock.After(wait):
	case <-ctx.Done():
		return false
	}
	select {
	case r.inFlight <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// collect takes requests up to MaxRecords. All records of a request are in one
// batch.
func (r *Recorder) collect(first *request) []*request {
	var batch []*request
	count := 0
	for next, ok := first, true; ok; next, ok = r.queue.TryGet() {
		if next.phase.CompareAndSwap(queued, taken) {
			batch = append(batch, next)
			count += len(next.records)
		}
		if count >= r.MaxRecords {
			break
		}
	}
	return batch
}

func (r *Recorder) refuse(waiting *request) {
	if waiting.phase.CompareAndSwap(queued, taken) {
		waiting.done <- result{
			err: damaskspread.NotRun(damaskspread.ReasonLeaving, "the process is stopping"),
		}
	}
}

// AppendRecords appends the records in one batch and returns its offset. It
// sets the id and the time of records that have none. Errors are
// RefusalErrors: not_run when the records certainly have no effect, unknown
// when they may have one.
func (r *Recorder) AppendRecords(ctx context.Context, records []*wire.Record) (int64, error) {
	r.prepare()
	if len(records) == 0 || len(records) > r.MaxRecords {
		return 0, damaskspread.NotRun(damaskspread.ReasonInvalid, "%d records; a call takes 1 to %d", len(records), r.MaxRecords)
	}
	for _, record := range records {
		r.complete(record)
	}
	waiting := &request{
		records: records,
		done:    make(chan result, 1),
	}
	if !r.queue.TryPut(waiting) {
		refusal := damaskspread.NotRun(damaskspread.ReasonOverloaded, "%d appends are waiting", r.queue.Len())
		refusal.RetryAfter = overloadedRetry
		return 0, refusal
	}
	select {
	case got := <-waiting.done:
		return got.offset, got.err
	case <-ctx.Done():
	}
	if waiting.phase.CompareAndSwap(queued, abandoned) {
		return 0, damaskspread.NotRun(damaskspread.ReasonDeadline, "the deadline passed before the append")
	}
	select {
	case got := <-waiting.done:
		return got.offset, got.err
	default:
		return 0, damaskspread.Unknown(damaskspread.ReasonAppendUnknown, "the deadline passed during the append")
	}
}

func (r *Recorder) complete(record *wire.Record) {
	if record.GetId() == "" {
		record.Id = NewID()
	}
	if record.GetRecordedUnixMs() == 0 {
		record.RecordedUnixMs = r.Clock.Now().UnixMilli()
	}
}

// NewID returns a random record id.
func NewID() string {
	var id [16]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
