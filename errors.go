package damaskspread

import (
	"errors"
	"fmt"
	"time"

	"damaskspread.example/damaskspread/wire"
)

// Reason is a stable snake_case code for why a request or change was refused.
type Reason string

// Reasons in responses to callers, agents and operators.
const (
	ReasonBadRequest         Reason = "bad_request"
	ReasonUnknownService     Reason = "unknown_service"
	ReasonNoEndpoint         Reason = "no_endpoint"
	ReasonOverloaded         Reason = "overloaded"
	ReasonDeadline           Reason = "deadline_exceeded"
	ReasonCanceled           Reason = "canceled"
	ReasonStaleConfiguration Reason = "stale_configuration"
	ReasonZoneOut            Reason = "zone_out_of_service"
	ReasonLeaving            Reason = "leaving"
	ReasonKeyReused          Reason = "key_reused"
	ReasonInProgress         Reason = "in_progress"
	ReasonHistoryLost        Reason = "history_lost"
	ReasonStaleEpoch         Reason = "stale_epoch"
	ReasonEndpointFailed     Reason = "endpoint_failed"
	ReasonTruncatedAnswer    Reason = "truncated_answer"
	ReasonConnectionLost     Reason = "connection_lost"
	ReasonTooLarge           Reason = "too_large"
	ReasonQuota              Reason = "quota_exceeded"
	ReasonUnplaceable        Reason = "unplaceable"
	ReasonLogUnavailable     Reason = "log_unavailable"
	ReasonAppendUnknown      Reason = "append_unknown"
	ReasonConflict           Reason = "conflict"
	ReasonNotOwner           Reason = "not_owner"
	ReasonInvalid            Reason = "invalid"
	ReasonNotFound           Reason = "not_found"
	// ReasonNoQueue means that no job queue is configured for the HTTP host and
	// path of the request.
	ReasonNoQueue Reason = "no_queue"
)

// RefusalError means that a request or change has no result. Outcome says
// whether it may have run. RetryAfter is the suggested wait before a retry, or
// zero.
type RefusalError struct {
	Outcome    wire.Outcome
	Reason     Reason
	Message    string
	RetryAfter time.Duration
}

func (e *RefusalError) Error() string {
	return fmt.Sprintf("%s: %s (%s)", OutcomeName(e.Outcome), e.Message, e.Reason)
}

// NotRun returns the refusal of a request that has not run and will not run.
func NotRun(reason Reason, format string, args ...any) *RefusalError {
	return &RefusalError{
		Outcome: wire.Outcome_OUTCOME_NOT_RUN,
		Reason:  reason,
		Message: fmt.Sprintf(format, args...),
	}
}

// Unknown returns the refusal of a request that may have run or may still run.
func Unknown(reason Reason, format string, args ...any) *RefusalError {
	return &RefusalError{
		Outcome: wire.Outcome_OUTCOME_UNKNOWN,
		Reason:  reason,
		Message: fmt.Sprintf(format, args...),
	}
}

// OutcomeName returns the name of an outcome in HTTP responses and log lines.
func OutcomeName(outcome wire.Outcome) string {
	switch outcome {
	case wire.Outcome_OUTCOME_NOT_RUN:
		return "not_run"
	case wire.Outcome_OUTCOME_RAN:
		return "ran"
	default:
		return "unknown"
	}
}

// LogUnavailableError means that a call of the log failed. An append with this
// error certainly had no effect.
type LogUnavailableError struct {
	Cause error
}

func (e *LogUnavailableError) Error() string { return fmt.Sprintf("log unavailable: %v", e.Cause) }

func (e *LogUnavailableError) Unwrap() error { return e.Cause }

// AppendRejectedError means that the log rejects an append because of its records, such
// as one that is too large. It had no effect, and a repetition is rejected as well.
type AppendRejectedError struct {
	Cause error
}

func (e *AppendRejectedError) Error() string { return fmt.Sprintf("append rejected: %v", e.Cause) }

func (e *AppendRejectedError) Unwrap() error { return e.Cause }

// AppendUnknownError means that an append may have taken effect.
type AppendUnknownError struct {
	Cause error
}

func (e *AppendUnknownError) Error() string {
	return fmt.Sprintf("append may have taken effect: %v", e.Cause)
}

func (e *AppendUnknownError) Unwrap() error { return e.Cause }

// RetentionPassedError means that the entry at the requested offset has expired
// from the log.
type RetentionPassedError struct {
	// From is the requested offset.
	From int64
	// First is the oldest offset that the log retains, Next the offset of its
	// next entry.
	First int64
	Next  int64
}

func (e *RetentionPassedError) Error() string {
	return fmt.Sprintf("offset %d has expired; the log retains offsets %d to %d", e.From, e.First, e.Next-1)
}

// WorkerRefusedError means that an order to a worker certainly had no effect:
// the worker refused it or was not reached.
type WorkerRefusedError struct {
	Detail string
}

func (e *WorkerRefusedError) Error() string { return "order to the worker had no effect: " + e.Detail }

// ConflictError means that a publication of a section was refused, because the
// section has changed since the version that the publication is based on.
// Current is the position of the current version and Actor who published it.
type ConflictError struct {
	Section string
	Current *wire.Position
	Actor   string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("section [%s] was changed by %s at offset %d; publish again from that version",
		e.Section, e.Actor, e.Current.GetOffset())
}

// MergeAppendErrors combines the errors of two tries of one append; b is of the
// later try. It returns a if a means that the append may have taken effect, or if b
// is nil, and b otherwise.
func MergeAppendErrors(a, b error) error {
	var unknown *AppendUnknownError
	if errors.As(a, &unknown) || b == nil {
		return a
	}
	return b
}
