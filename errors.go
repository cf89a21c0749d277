package damaskspread

import (
	"errors"
	"fmt"
	"time"

	"damaskspread.example/damaskspread/wire"
)

// Reason is a stable snake_case code of why work was refused.
type Reason string

// Reasons that callers, agents and operators see.
const (
	ReasonBadRequest         Reason = "bad_request"
	ReasonUnknownService     Reason = "unknown_service"
	ReasonNoEndpoint         Reason = "no_endpoint"
	ReasonOverloaded         Reason = "overloaded"
	ReasonDeadline           Reason = "deadline_exceeded"
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
	// ReasonNoQueue: no queue is configured for the host and path.
	ReasonNoQueue Reason = "no_queue"
)

// RefusalError says why work has no result and whether it may have run.
type RefusalError struct {
	Outcome    wire.Outcome
	Reason     Reason
	Message    string
	RetryAfter time.Duration
}

func (e *RefusalError) Error() string {
	return fmt.Sprintf("%s: %s (%s)", OutcomeName(e.Outcome), e.Message, e.Reason)
}

// NotRun builds the refusal of work that did not run and will not run.
func NotRun(reason Reason, format string, args ...any) *RefusalError {
	return &RefusalError{
		Outcome: wire.Outcome_OUTCOME_NOT_RUN,
		Reason:  reason,
		Message: fmt.Sprintf(format, args...),
	}
}

// Unknown builds the refusal of work that may have run.
func Unknown(reason Reason, format string, args ...any) *RefusalError {
	return &RefusalError{
		Outcome: wire.Outcome_OUTCOME_UNKNOWN,
		Reason:  reason,
		Message: fmt.Sprintf(format, args...),
	}
}

// OutcomeName is the name of an outcome in HTTP answers and logs.
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

// LogUnavailableError means that the log did not take or give an entry and
// that an append certainly had no effect.
type LogUnavailableError struct {
	Cause error
}

func (e *LogUnavailableError) Error() string { return fmt.Sprintf("log unavailable: %v", e.Cause) }

func (e *LogUnavailableError) Unwrap() error { return e.Cause }

// AppendUnknownError means that an append may have taken effect.
type AppendUnknownError struct {
	Cause error
}

func (e *AppendUnknownError) Error() string {
	return fmt.Sprintf("append may have taken effect: %v", e.Cause)
}

func (e *AppendUnknownError) Unwrap() error { return e.Cause }

// RetentionPassedError means that the log no longer keeps the asked offset.
type RetentionPassedError struct {
	From  int64
	First int64
	Next  int64
}

func (e *RetentionPassedError) Error() string {
	return fmt.Sprintf("offset %d is no longer kept; the log holds %d to %d", e.From, e.First, e.Next-1)
}

// WorkerRefusedError is a worker's definite no: the order had no effect.
type WorkerRefusedError struct {
	Detail string
}

func (e *WorkerRefusedError) Error() string { return "worker refused: " + e.Detail }

// ConflictError means that a section changed since the position that a
// publication is based on.
type ConflictError struct {
	Section string
	Current *wire.Position
	Actor   string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("section [%s] was changed by %s at offset %d; publish again from that version",
		e.Section, e.Actor, e.Current.GetOffset())
}

// LessCertain returns the error of two tries of an append that leaves its effect
// open, or else the later one.
func LessCertain(a, b error) error {
	var unknown *AppendUnknownError
	if errors.As(a, &unknown) || b == nil {
		return a
	}
	return b
}
