// Package recorder appends records to the state stream and combines the records
// of concurrent calls into batches. (Package submitter does the same for the
// keyed log of jobs.)
//
// A Recorder owns the queue of requests that wait for a batch. Run forms the
// batches; it waits for requests and for the next append to be allowed, and
// starts one goroutine per append, which waits for the log. The queue holds up
// to QueueCapacity requests; when it is full, requests are refused as not_run.
// If the response of an append is lost, its records are searched among the
// applied records. If they are not found in time, the outcome is unknown,
// because the log may still append the entry later.
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
	// DefaultInterval is how long the first request of a batch waits for others.
	DefaultInterval = 10 * time.Millisecond
	// DefaultMaxRecords limits a batch to a few hundred kilobytes.
	DefaultMaxRecords = 1000
	// DefaultAppendsPerSecond allows ten entry processes to share a log that
	// takes several hundred appends per second.
	DefaultAppendsPerSecond = 40
	// DefaultAppendTimeout is the timeout of one append.
	DefaultAppendTimeout = 2 * time.Second
	// DefaultResolveTimeout is how long the records of an append whose response
	// was lost are searched among the applied records.
	DefaultResolveTimeout = 2 * time.Second
	// DefaultQueueCapacity is more than 10 s of the peak load of 370 task starts
	// per second.
	DefaultQueueCapacity = 4096

	// maxAppendsInFlight allows further appends while one is slow or the outcome
	// of one is being resolved.
	maxAppendsInFlight = 16
	// overloadedRetryAfter is long enough for a full queue to shrink noticeably.
	overloadedRetryAfter = 500 * time.Millisecond
)

// Recorder implements damaskspread.Appender. Set the exported fields before the
// first call; its methods are then safe for concurrent use.
type Recorder struct {
	Log    damaskspread.LogClient
	Clock  damaskspread.Clock
	Region string
	// Follower is searched for records whose append response was lost. If it is
	// nil, the outcome of such an append is unknown at once.
	Follower *follower.Follower

	// Zero selects the default constant of the same name.
	Interval         time.Duration
	MaxRecords       int
	AppendsPerSecond int
	AppendTimeout    time.Duration
	ResolveTimeout   time.Duration
	QueueCapacity    int

	setup sync.Once
	queue *queuer.Ring[*request]
	// inFlight holds one item for each append in flight.
	inFlight chan struct{}
	// nextAppend is the earliest time of the next append, by AppendsPerSecond.
	nextAppend time.Time
}

// Phases of a request. A request that is abandoned while queued did not run; the
// records of a batched one may be appended.
const (
	queued int32 = iota
	batched
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
		// A batch may hold up to 2*MaxRecords-1 records, since its last request
		// is added as a whole.
		r.MaxRecords = min(r.MaxRecords, damaskspread.MaxBatchRecords/2)
		r.queue = queuer.New[*request]("recorder", r.QueueCapacity)
		r.inFlight = make(chan struct{}, maxAppendsInFlight)
	})
}

// Run forms and appends batches until the tomb dies. It then refuses the requests
// that are still queued as not_run.
func (r *Recorder) Run(t *tomb.Tomb) error {
	r.prepare()
	ctx := t.Context(context.Background())
	for {
		first, err := r.queue.Get(ctx)
		if err != nil {
			break
		}
		if !r.waitForAppend(ctx) {
			r.refuse(first)
			break
		}
		batch := r.collectBatch(first)
		if len(batch) == 0 {
			<-r.inFlight
			continue
		}
		r.nextAppend = r.Clock.Now().Add(time.Second / time.Duration(r.AppendsPerSecond))
		t.Go(func() error {
			defer func() { <-r.inFlight }()
			r.commit(ctx, batch)
			return nil
		})
	}
	r.queue.Close()
	for _, req := range r.queue.Drain() {
		r.refuse(req)
	}
	return nil
}

// waitForAppend waits until Interval is over, AppendsPerSecond allows an append
// and fewer than maxAppendsInFlight are in flight. It reports false if ctx ends
// first.
func (r *Recorder) waitForAppend(ctx context.Context) bool {
	wait := max(r.Interval, r.Clock.Until(r.nextAppend))
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

// collectBatch removes requests from the queue until the batch has MaxRecords
// records, and skips abandoned ones. All records of a request are in one batch.
func (r *Recorder) collectBatch(first *request) []*request {
	var batch []*request
	count := 0
	for next, ok := first, true; ok; next, ok = r.queue.TryGet() {
		if next.phase.CompareAndSwap(queued, batched) {
			batch = append(batch, next)
			count += len(next.records)
		}
		if count >= r.MaxRecords {
			break
		}
	}
	return batch
}

func (r *Recorder) refuse(req *request) {
	if req.phase.CompareAndSwap(queued, batched) {
		req.done <- result{
			err: damaskspread.NotRun(damaskspread.ReasonLeaving, "the process is stopping"),
		}
	}
}

// AppendRecords appends the records in one batch and returns its offset. It
// sets the id and the time of records that have none. Errors are RefusalErrors
// with the outcome not_run if the records are certainly not appended, and
// unknown if they may be.
func (r *Recorder) AppendRecords(ctx context.Context, records []*wire.Record) (int64, error) {
	r.prepare()
	if len(records) == 0 || len(records) > r.MaxRecords {
		return 0, damaskspread.NotRun(damaskspread.ReasonInvalid, "got %d records, expected 1 to %d", len(records), r.MaxRecords)
	}
	for _, record := range records {
		r.setIDAndTime(record)
	}
	req := &request{
		records: records,
		done:    make(chan result, 1),
	}
	if !r.queue.TryPut(req) {
		refusal := damaskspread.NotRun(damaskspread.ReasonOverloaded, "append queue full: %d requests are waiting", r.queue.Len())
		refusal.RetryAfter = overloadedRetryAfter
		return 0, refusal
	}
	select {
	case res := <-req.done:
		return res.offset, res.err
	case <-ctx.Done():
	}
	if req.phase.CompareAndSwap(queued, abandoned) {
		return 0, damaskspread.NotRun(damaskspread.ReasonDeadline, "the deadline passed before the append")
	}
	select {
	case res := <-req.done:
		return res.offset, res.err
	default:
		return 0, damaskspread.Unknown(damaskspread.ReasonAppendUnknown, "the deadline passed during the append")
	}
}

func (r *Recorder) setIDAndTime(record *wire.Record) {
	if record.GetId() == "" {
		record.Id = NewID()
	}
	if record.GetRecordedUnixMs() == 0 {
		record.RecordedUnixMs = r.Clock.Now().UnixMilli()
	}
}

// NewID returns a random record id of 32 hexadecimal digits.
func NewID() string {
	var id [16]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
