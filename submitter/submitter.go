// Package submitter accepts, cancels and looks up jobs for callers, and appends
// their records to the keyed log in batches. (Package recorder appends to the
// state stream.)
//
// A job is accepted once its record is in the log. The key of the record is the
// caller's job id, so a repeated submission has no further effect.
//
// With admission, a job that would end too late is refused: the refusal is recorded
// before the caller is told, and a job is accepted only once the index shows that no
// other entry has refused it. docs/design/scarce_capacity.md has the records.
//
// A Submitter owns the records that are not yet in the log: those of calls, and
// cancellations also after their callers have given up. Run is one goroutine;
// it waits for records and for the log. While refusals are recorded there is one
// goroutine more; it ends by itself. Calls wait in the goroutines of their
// callers.
package submitter

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/screener"
	"damaskspread.example/damaskspread/tailer"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const (
	// retryAfter is when callers are told to retry while the log is unavailable.
	retryAfter = 2 * time.Second
	// ReturnTime is how long after the log is available again the callers that were told
	// retryAfter have returned: they still have to connect, and the leader has to read
	// their jobs.
	ReturnTime = retryAfter + time.Second
)

// Submitter implements damaskspread.JobService. Set its fields and call Init
// before any other method; the methods are then safe for concurrent use.
type Submitter struct {
	Log   damaskspread.KeyedLog
	Index *indexer.Index
	Tail  *tailer.Tailer
	Clock damaskspread.Clock
	// VisibleWithin is how long after its acceptance a job may be missing at
	// other entry processes. QueuedCount refuses if its list of jobs is older.
	VisibleWithin time.Duration
	// Screener decides which jobs are refused; nil disables admission. Load has the
	// estimates that it needs. Random returns a number from 0 up to but not including 1;
	// it spreads the appends of entries that refuse jobs at the same time.
	Screener *screener.Screener
	Load     damaskspread.LoadView
	Random   func() float64

	appender        batchAppender
	canceler        canceler
	refuser         refusalAppender
	estimateMissing atomic.Bool
}

// Init makes the submitter ready for calls. Calls before Run wait for Run.
func (s *Submitter) Init() {
	s.appender.log = s.Log
	s.appender.clock = s.Clock
	s.appender.wake = make(chan struct{}, 1)
	s.canceler.appender = &s.appender
	s.canceler.clock = s.Clock
	s.canceler.pending = map[string]*cancellation{}
	s.refuser.log = s.Log
	s.refuser.index = s.Index
	s.refuser.tail = s.Tail
	s.refuser.clock = s.Clock
	s.refuser.random = s.Random
}

// Run appends the records of calls until the tomb dies.
func (s *Submitter) Run(tb *tomb.Tomb) error { return s.appender.run(tb) }

// Submit returns nil once the job is in the log, or if it was accepted before.
// It sets the queue and the queue's policy in job. Errors are RefusalErrors.
func (s *Submitter) Submit(ctx context.Context, queue *wire.Queue, job *wire.Job) error {
	if err := tracker.Validate(job); err != nil {
		return damaskspread.NotRun(damaskspread.ReasonBadRequest, "%v", err)
	}
	if _, known := s.Index.Lookup(job.GetId()); known {
		writeRepeated(job)
		return nil
	}
	s.applyPolicy(queue, job)
	if size := proto.Size(job); size > damaskspread.MaxRecordBytes {
		return damaskspread.NotRun(damaskspread.ReasonTooLarge, "job has %d bytes, allowed are at most %d", size, damaskspread.MaxRecordBytes)
	}
	// The record names the refusal that this attempt overrides. It must not name one
	// that is recorded later, because its caller may then be told of that one alone.
	record, err := s.Index.AcceptanceRecord(job)
	if err != nil {
		return damaskspread.NotRun(damaskspread.ReasonBadRequest, "%v", err)
	}
	if s.Screener != nil {
		if err := s.screen(ctx, job); errors.Is(err, errAcceptedBefore) {
			writeRepeated(job)
			return nil
		} else if err != nil {
			return err
		}
	}
	return s.accept(ctx, job, record)
}

func writeRepeated(job *wire.Job) {
	tracer.Write(&tracer.JobRepeated{
		Job: job.GetId(),
	})
}

// accept returns nil once the job is in the log and in effect.
func (s *Submitter) accept(ctx context.Context, job *wire.Job, record *wire.KeyedRecord) error {
	started := s.Clock.Now()
	offset, err := s.append(ctx, record)
	if err != nil {
		return err
	}
	appended := s.Clock.Since(started)
	var confirmed time.Duration
	if s.mayBeRefused(job) {
		if err := s.confirm(ctx, job, offset); err != nil {
			return err
		}
		confirmed = s.Clock.Since(started) - appended
	}
	tracer.Write(&tracer.JobAccepted{
		Job:     job.GetId(),
		Queue:   job.GetQueue(),
		Offset:  offset,
		Steps:   len(job.GetSteps()),
		Append:  tracer.Milliseconds(appended),
		Confirm: tracer.Milliseconds(confirmed),
	})
	return nil
}

func (s *Submitter) applyPolicy(queue *wire.Queue, job *wire.Job) {
	job.Queue = queue.GetName()
	job.Service = queue.GetService()
	job.Priority = queue.GetPriority()
	job.MaxAttempts = queue.GetMaxAttempts()
	job.Stretch = queue.GetStretch()
	job.ObjectiveMs = queue.GetObjectiveMs()
	job.NeedsAdvice = queue.GetAdvice() != nil
	job.ConfigVersion = queue.GetConfigVersion()
	job.AcceptedUnixMs = s.Clock.Now().UnixMilli()
}

// append returns the offset of the record once it is in the log. A record that the log
// rejects is refused with ReasonTooLarge. If ctx ends first, the outcome of the refusal is
// not_run if no append can have taken effect, otherwise unknown.
func (s *Submitter) append(ctx context.Context, record *wire.KeyedRecord) (int64, error) {
	if err := ctx.Err(); err != nil {
		return 0, logUnavailable(err)
	}
	queued := s.appender.add(record)
	select {
	case <-queued.done:
		return queued.result()
	case <-ctx.Done():
	}
	maybeAppended, cause := s.appender.abandon(queued)
	select {
	case <-queued.done:
		return queued.result()
	default:
		return 0, appendRefusal(maybeAppended, cause)
	}
}

func appendRefusal(maybeAppended bool, cause error) error {
	if cause == nil {
		cause = context.DeadlineExceeded
	}
	if maybeAppended {
		return damaskspread.Unknown(damaskspread.ReasonAppendUnknown, "%v", cause)
	}
	return logUnavailable(cause)
}

func logUnavailable(cause error) error {
	refusal := damaskspread.NotRun(damaskspread.ReasonLogUnavailable, "%v", cause)
	refusal.RetryAfter = retryAfter
	return refusal
}

// Status returns the state of a job, or a RefusalError with ReasonNotFound if
// there is no such job.
func (s *Submitter) Status(ctx context.Context, _ *wire.Queue, id string) (wire.JobState, error) {
	entry, err := s.lookup(ctx, id)
	if err != nil {
		return wire.JobState_JOB_STATE_UNSPECIFIED, err
	}
	return entry.State(), nil
}

// Cancel returns nil once the cancellation is in the log, or if the job is already
// canceled or finished. If there is no such job, it returns a RefusalError with
// ReasonNotFound once the cancellation is in the log: a submission that its caller has
// given up may still be on its way to an entry or to the log. If ctx ends first, the
// outcome is unknown, and the cancellation is recorded once the log responds.
func (s *Submitter) Cancel(ctx context.Context, _ *wire.Queue, id string) error {
	lookupCtx, cancel := context.WithTimeout(ctx, cancelLookupTimeout)
	entry, err := s.lookup(lookupCtx, id)
	cancel()
	var notFound error
	if isNotFound(err) {
		notFound = err
	}
	if s.Index.Canceled(id) || indexer.Final(entry.RecordedState()) {
		return notFound
	}
	if err := s.canceler.cancel(ctx, id); err != nil {
		return err
	}
	return notFound
}

// CancelLater implements damaskspread.JobService.
func (s *Submitter) CancelLater(id string) error {
	pending := s.canceler.add(id)
	if pending == nil {
		return logUnavailable(errManyCancellations)
	}
	s.canceler.keep(id, pending)
	return nil
}

// PendingCancellations returns the number of cancellations that are not yet in the log,
// those included whose callers have given up.
func (s *Submitter) PendingCancellations() int { return s.canceler.count() }

func isNotFound(err error) bool {
	var refusal *damaskspread.RefusalError
	return errors.As(err, &refusal) && refusal.Reason == damaskspread.ReasonNotFound
}

// QueuedCount returns the number of jobs of the queue of which no task has started,
// or a RefusalError if the list of jobs is older than VisibleWithin.
func (s *Submitter) QueuedCount(_ context.Context, queue *wire.Queue) (int, error) {
	if age := s.Tail.Age(); age > s.VisibleWithin {
		return 0, damaskspread.NotRun(damaskspread.ReasonLogUnavailable, "the list of jobs is %s", damaskspread.AgeText(age))
	}
	return s.Index.QueuedCount(queue.GetName()), nil
}

// lookup returns a job of the index. If the job is missing, lookup first updates
// the index from the log, because another entry process may have accepted the job
// before this call.
func (s *Submitter) lookup(ctx context.Context, id string) (indexer.JobEntry, error) {
	if entry, known := s.Index.Lookup(id); known {
		return entry, nil
	}
	if err := s.Tail.Refresh(ctx); err != nil {
		return indexer.JobEntry{}, damaskspread.NotRun(damaskspread.ReasonLogUnavailable,
			"cannot look up job %s: the log did not respond", id)
	}
	entry, known := s.Index.Lookup(id)
	if !known {
		return indexer.JobEntry{}, damaskspread.NotRun(damaskspread.ReasonNotFound, "job %s not found", id)
	}
	return entry, nil
}
