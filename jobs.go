package damaskspread

import (
	"context"
	"fmt"
	"time"

	"damaskspread.example/damaskspread/wire"
)

// KeyedLog reaches a log whose records have keys. The newest record of each
// key is kept for good; older ones expire.
type KeyedLog interface {
	// Append adds all records or none. A nil condition appends in any case. A
	// LogUnavailableError means that nothing was appended, an
	// AppendUnknownError that the records may still appear.
	Append(ctx context.Context, topic string, records []*wire.KeyedRecord, condition *wire.AppendCondition) (*wire.AppendResult, error)
	// Read returns records from an offset on and waits up to wait for the
	// first one.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (*wire.KeyedPage, error)
	// Newest returns the newest record of each key after a key, in pages that
	// are not a snapshot: records may change between pages.
	Newest(ctx context.Context, topic, after string) (*wire.KeyedPage, error)
}

// TaskExecutor reaches the executor that runs the tasks of one host. Deadlines
// are readings of the executor's own clock.
type TaskExecutor interface {
	// Renew extends the lease of all runs if deadline is positive, drops the
	// ends up to seen, and waits up to wait for another end.
	Renew(ctx context.Context, id string, lease *Lease, seen int64, wait time.Duration) (*wire.ExecutorState, error)
	// Start is idempotent per task and run.
	Start(ctx context.Context, id string, order *wire.StartOrder, lease *Lease) error
	Stop(ctx context.Context, id string, order *wire.StopOrder, token int64) error
	// Pace limits a run to a share of its work.
	Pace(ctx context.Context, id, task string, run int32, percent int, token int64) error
}

// Lease authorizes orders to an executor.
type Lease struct {
	// Token fences orders of earlier leaders.
	Token int64
	// DeadlineMs is a reading of the executor's clock.
	DeadlineMs int64
}

// StepAdvisor knows which executors may run a step.
type StepAdvisor interface {
	// Advise returns the tickets of the executors that may run the step.
	Advise(ctx context.Context, step string, executors []string) (map[string]string, time.Duration, error)
}

// JobService accepts jobs of callers.
type JobService interface {
	Submit(ctx context.Context, queue *wire.Queue, job *wire.Job) error
	Status(ctx context.Context, queue *wire.Queue, id string) (wire.JobState, error)
	Cancel(ctx context.Context, queue *wire.Queue, id string) error
	Pending(ctx context.Context, queue *wire.Queue) (int, error)
}

// ExecutorSink receives what executors announce of themselves.
type ExecutorSink interface {
	ExecutorAnnounced(info *wire.ExecutorInfo)
	ExecutorLeft(id string)
}

// OperatorView is the newest state that operators published.
type OperatorView interface {
	// Config returns the configuration and an upper bound on its age; nil
	// before the first one.
	Config() (*wire.FleetConfig, time.Duration)
	// ZonesOut are the zones that operators took out of service.
	ZonesOut() map[string]bool
}

// Operation is one decoded publication of operators. At most one field is set.
type Operation struct {
	Config *wire.FleetConfig
	// ZoneOut is a zone that operators took out of service, ZoneBack one that
	// they took back.
	ZoneOut, ZoneBack string
}

// ElapsedClock measures durations; it also counts the time that a host was
// suspended.
type ElapsedClock interface {
	Elapsed() time.Duration
}

// ConditionFailedError means that the partition ends elsewhere than a
// conditional append expected; nothing was appended.
type ConditionFailedError struct {
	End int64
}

func (e *ConditionFailedError) Error() string {
	return fmt.Sprintf("append refused: the partition ends at offset %d", e.End)
}

// FencedError means that another process acts under a higher epoch or token.
type FencedError struct {
	Token int64
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("refused: a token above %d is in use", e.Token)
}

// SequenceError means that an append's sequence number doesn't follow the last
// one of its producer.
type SequenceError struct {
	Expected int64
}

func (e *SequenceError) Error() string {
	return fmt.Sprintf("append refused: expected sequence number %d", e.Expected)
}

// StartRefusedError is an executor's definite refusal of a start.
type StartRefusedError struct {
	Reason StartRefusal
}

func (e *StartRefusedError) Error() string { return "start refused: " + string(e.Reason) }

// StartRefusal is why an executor refused a start.
type StartRefusal string

// Reasons of executors.
const (
	// RefusedOld: a run that is not lower has ended or was stopped there.
	RefusedOld StartRefusal = "old_run"
	// RefusedLate: the lease of the order is over.
	RefusedLate StartRefusal = "lease_over"
	// RefusedRoom: the task doesn't fit.
	RefusedRoom   StartRefusal = "no_room"
	RefusedTicket StartRefusal = "no_ticket"
	// RefusedBusy: the executor is unhealthy and has done nothing.
	RefusedBusy StartRefusal = "executor_unhealthy"
	// RefusedInvalid: the executor can't read the order.
	RefusedInvalid StartRefusal = "invalid_order"
	// RefusedDraining: the executor is about to leave.
	RefusedDraining StartRefusal = "executor_draining"
	// RefusedExpired: the order reached the agent too late.
	RefusedExpired StartRefusal = "order_expired"
	// RefusedGone: the executor that the order names has ended.
	RefusedGone StartRefusal = "executor_gone"
)

// WrongIncarnationError means that another incarnation answers at the address
// of an executor.
type WrongIncarnationError struct {
	ID string
}

func (e *WrongIncarnationError) Error() string { return "another executor answers instead of " + e.ID }
