// Package submitter accepts, cancels and looks up jobs for callers.
//
// A job is accepted once its record is in the log, and not before. The record
// is keyed by the caller's id, so a repeated submission has no second effect.
// Run has one goroutine, which appends the records of concurrent calls
// together; the calls wait for it on their own goroutines.
package submitter

import (
	"context"
	"time"

	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/tailer"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/wire"
)

const (
	// retryAfter is the pause asked of callers while the log is away.
	retryAfter = 2 * time.Second
	maxSteps   = 64
	// maxTasks keeps the stored progress of a job within one record.
	maxTasks = 4000
)

// Submitter implements damaskspread.JobService. Its fields are set before use.
type Submitter struct {
	Log   damaskspread.KeyedLog
	Index *indexer.Index
	Tail  *tailer.Tailer
	Clock damaskspread.Clock
	// VisibleWithin is how soon after its acceptance each entry must know a
	// job.
	VisibleWithin time.Duration

	commits committer
}

// Init prepares the submitter for calls before Run.
func (s *Submitter) Init() {
	s.commits.log = s.Log
	s.commits.clock = s.Clock
	s.commits.wake = make(chan struct{}, 1)
}

// Run appends the records of calls until the tomb dies.
func (s *Submitter) Run(tb *tomb.Tomb) error { return s.commits.run(tb) }

// Submit implements damaskspread.JobService.
func (s *Submitter) Submit(ctx context.Context, queue *wire.Queue, job *wire.Job) error {
	if err := check(job); err != nil {
		return err
	}
	if _, known := s.Index.Lookup(job.GetId()); known {
		tracer.Write(&tracer.JobRepeated{
			Job: job.GetId(),
		})
		return nil
	}
	s.applyPolicy(queue, job)
	record, err := indexer.JobRecord(job)
	if err != nil {
		return damaskspread.NotRun(damaskspread.ReasonBadRequest, "%v", err)
	}
	started := s.Clock.Now()
	offset, err := s.append(ctx, record)
	if err != nil {
		return err
	}
	tracer.Write(&tracer.JobAccepted{
		Job:    job.GetId(),
		Queue:  queue.GetName(),
		Offset: offset,
		Steps:  len(job.GetSteps()),
		Append: tracer.Milliseconds(s.Clock.Since(started)),
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
	job.AcceptedUnixMs = s.Clock.Now().UnixMilli()
}

func check(job *wire.Job) error {
	steps := job.GetSteps()
	if len(steps) == 0 || len(steps) > maxSteps {
		return badJob("a job needs 1 to %d steps, found %d", maxSteps, len(steps))
	}
	tasks := 0
	for i, step := range steps {
		if step.GetCount() <= 0 {
			return badJob("step %d has no tasks", i)
		}
		tasks += int(step.GetCount())
		for _, earlier := range step.GetAfter() {
			if earlier < 0 || int(earlier) >= i {
				return badJob("step %d follows step %d, which is not an earlier one", i, earlier)
			}
		}
	}
	if tasks > maxTasks {
		return badJob("%d tasks, allowed are %d", tasks, maxTasks)
	}
	return nil
}

func badJob(format string, args ...any) error {
	return damaskspread.NotRun(damaskspread.ReasonBadRequest, format, args...)
}

// append waits until the log has an idempotent record. Only if no try may have
// taken effect is the outcome of a failure not_run.
func (s *Submitter) append(ctx context.Context, record *wire.KeyedRecord) (int64, error) {
	entry := s.commits.add(record)
	select {
	case <-entry.done:
		return entry.offset, nil
	case <-ctx.Done():
	}
	uncertain, cause := s.commits.abandon(entry)
	select {
	case <-entry.done:
		return entry.offset, nil
	default:
		return 0, appendRefusal(uncertain, cause)
	}
}

func appendRefusal(uncertain bool, cause error) error {
	if cause == nil {
		cause = context.DeadlineExceeded
	}
	if uncertain {
		return damaskspread.Unknown(damaskspread.ReasonAppendUnknown, "%v", cause)
	}
	refusal := damaskspread.NotRun(damaskspread.ReasonLogUnavailable, "%v", cause)
	refusal.RetryAfter = retryAfter
	return refusal
}

// Status implements damaskspread.JobService.
func (s *Submitter) Status(ctx context.Context, _ *wire.Queue, id string) (wire.JobState, error) {
	entry, err := s.find(ctx, id)
	if err != nil {
		return wire.JobState_JOB_STATE_UNSPECIFIED, err
	}
	return entry.State(), nil
}

// Cancel implements damaskspread.JobService.
func (s *Submitter) Cancel(ctx context.Context, _ *wire.Queue, id string) error {
	entry, err := s.find(ctx, id)
	if err != nil {
		return err
	}
	if entry.Canceled() || indexer.Final(entry.Recorded()) {
		return nil
	}
	offset, err := s.append(ctx, indexer.CancelRecord(id))
	if err != nil {
		return err
	}
	tracer.Write(&tracer.JobCanceled{
		Job:    id,
		Offset: offset,
	})
	return nil
}

// Pending implements damaskspread.JobService.
func (s *Submitter) Pending(_ context.Context, queue *wire.Queue) (int, error) {
	if age := s.Tail.Age(); age > s.VisibleWithin {
		return 0, damaskspread.NotRun(damaskspread.ReasonLogUnavailable, "the list of jobs is %s", damaskspread.AgeText(age))
	}
	return s.Index.Pending(queue.GetName()), nil
}

// find looks a job up. A job is unknown only to a view that was read after the
// request arrived.
func (s *Submitter) find(ctx context.Context, id string) (indexer.Entry, error) {
	if entry, known := s.Index.Lookup(id); known {
		return entry, nil
	}
	if err := s.Tail.Refresh(ctx); err != nil {
		return indexer.Entry{}, damaskspread.NotRun(damaskspread.ReasonLogUnavailable,
			"job %s is not known and the log gives no answer", id)
	}
	entry, known := s.Index.Lookup(id)
	if !known {
		return indexer.Entry{}, damaskspread.NotRun(damaskspread.ReasonNotFound, "no job %s", id)
	}
	return entry, nil
}
