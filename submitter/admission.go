package submitter

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/screener"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/wire"
)

// unavailableAfter is the time for which appends must have failed without a success
// until the log counts as unavailable. Shorter outages end before callers give up.
const unavailableAfter = time.Second

// errAcceptedBefore is returned by screen for a job that turns out to be accepted.
var errAcceptedBefore = errors.New("the job was accepted before")

// screen returns nil if the job is to be accepted, a RefusalError if it is refused,
// and errAcceptedBefore if it was accepted before.
func (s *Submitter) screen(ctx context.Context, job *wire.Job) error {
	if cause := s.appender.unavailable(unavailableAfter); cause != nil {
		return logUnavailable(cause)
	}
	estimate, age := s.Load.Load()
	decision := s.Screener.Decide(estimate, age, job)
	s.reportEstimate(decision)
	if !decision.Refused() {
		return nil
	}
	return s.refuse(ctx, job, decision)
}

// refuse records a refusal and returns it. It returns nil, so that the job is
// accepted, if the refusal could not be recorded.
func (s *Submitter) refuse(ctx context.Context, job *wire.Job, decision *screener.Decision) error {
	record, err := indexer.RefusalRecord(job.GetId(), &wire.JobRefusal{
		Queue:         job.GetQueue(),
		RefusedUnixMs: s.Clock.Now().UnixMilli(),
		RetryAfterMs:  decision.RetryAfter.Milliseconds(),
	})
	if err != nil {
		log.Error().Str("job", job.GetId()).Err(err).Msg("refusal not recorded: encoding failed; the job is accepted")
		return nil
	}
	started := s.Clock.Now()
	refusal, err := s.refuser.refuse(ctx, job.GetId(), record)
	if err != nil {
		return damaskspread.Unknown(damaskspread.ReasonDeadline, "refusal not recorded: %v", err)
	}
	event := &tracer.JobRefused{
		Job:         job.GetId(),
		Queue:       job.GetQueue(),
		Recorded:    refusal.outcome == recorded,
		Offset:      refusal.offset,
		Wait:        tracer.Milliseconds(decision.Wait),
		Path:        tracer.Milliseconds(decision.Path),
		Limit:       tracer.Milliseconds(decision.Limit),
		RetryAfter:  tracer.Milliseconds(decision.RetryAfter),
		EstimateAge: tracer.Milliseconds(decision.EstimateAge),
		Epoch:       decision.Epoch,
		Append:      tracer.Milliseconds(s.Clock.Since(started)),
	}
	switch refusal.outcome {
	case recorded:
		tracer.Write(event)
		return overloaded(job, decision.RetryAfter)
	case acceptedBefore:
		return errAcceptedBefore
	default:
		tracer.Write(event)
		return nil
	}
}

func overloaded(job *wire.Job, retryAfter time.Duration) error {
	refusal := damaskspread.NotRun(damaskspread.ReasonOverloaded, "queue %s: the job would end too late", job.GetQueue())
	refusal.RetryAfter = retryAfter
	return refusal
}

// confirm returns nil once the index shows that the job whose record is at an offset
// is in effect. Another entry may have refused the same id shortly before; the log
// alone can't tell later which of both responded to the caller, so this entry must
// know it before it responds. It adds no call: it waits for the next read.
func (s *Submitter) confirm(ctx context.Context, job *wire.Job, offset int64) error {
	if err := s.Tail.WaitFor(ctx, offset); err != nil {
		return damaskspread.Unknown(damaskspread.ReasonAppendUnknown, "job stored, but not read back: %v", err)
	}
	if _, known := s.Index.Lookup(job.GetId()); known {
		return nil
	}
	refusal, _ := s.Index.Refusal(job.GetId())
	if refusal == nil {
		// Whatever voided or ended the job was removed with it.
		return damaskspread.Unknown(damaskspread.ReasonAppendUnknown, "job stored, but removed before it was read back")
	}
	return overloaded(job, max(time.Duration(refusal.GetRetryAfterMs())*time.Millisecond, time.Second))
}

// mayBeRefused reports whether a refusal of the job's id may be in the log. Without
// admission, that is so only if another entry refuses jobs.
func (s *Submitter) mayBeRefused(job *wire.Job) bool {
	if s.Screener != nil && s.Screener.MayRefuse(job) {
		return true
	}
	return s.Index.HasRefusals()
}

// reportEstimate logs when decisions begin or cease to lack an estimate.
func (s *Submitter) reportEstimate(decision *screener.Decision) {
	if decision.Reason == screener.ReasonExempt {
		return
	}
	missing := decision.Reason == screener.ReasonNoEstimate
	if s.estimateMissing.Swap(missing) == missing {
		return
	}
	if missing {
		log.Warn().Dur("age", decision.EstimateAge).Msg("no current load estimate; all jobs are admitted")
		return
	}
	log.Info().Int64("epoch", decision.Epoch).Msg("load estimate current again; jobs are screened")
}

// EstimateMissing reports whether the latest decision lacked a load estimate, so that
// the job was admitted without one.
func (s *Submitter) EstimateMissing() bool { return s.estimateMissing.Load() }
