package damaskspread

import (
	"context"
	"fmt"
	"time"

	"damaskspread.example/damaskspread/wire"
)

// KeyedLog accesses a log whose records have keys, like a compacted topic in
// Kafka: the newest record of each key is retained forever, older ones expire.
type KeyedLog interface {
	// Append adds all records or none. It is unconditional if condition is nil.
	// A LogUnavailableError means that nothing was appended, an AppendRejectedError
	// that the same records never will be, an AppendUnknownError that they may have
	// been appended or may still be. A condition that does not hold yields a
	// ConditionFailedError, FencedError or SequenceError.
	Append(ctx context.Context, topic string, records []*wire.KeyedRecord, condition *wire.AppendCondition) (*wire.AppendResult, error)
	// Read returns records from offset from on. If there are none yet, it waits
	// up to wait for the first one.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (*wire.KeyedPage, error)
	// Newest returns one page of the newest records of the keys that sort after
	// the given key. The pages do not form a snapshot: records may change
	// between them.
	Newest(ctx context.Context, topic, after string) (*wire.KeyedPage, error)
}

// MaxAppendBytes bounds the records of one append well below what a log takes in
// one call. A larger append would be refused, again with each repetition.
const MaxAppendBytes = 1 << 20

// MaxRecordBytes bounds one record below what a log takes, with its framing.
const MaxRecordBytes = 240 << 10

// RecordBytes returns the size of a record without its framing.
func RecordBytes(record *wire.KeyedRecord) int { return len(record.GetKey()) + len(record.GetValue()) }

// RecordsBytes returns the size of all records of an append.
func RecordsBytes(records []*wire.KeyedRecord) int {
	size := 0
	for _, record := range records {
		size += RecordBytes(record)
	}
	return size
}

// CountWithin returns how many of the first n items have at most limit bytes
// together: at least 1 unless n is 0.
func CountWithin(n, limit int, size func(i int) int) int {
	sum := 0
	for i := range n {
		if sum += size(i); sum > limit && i > 0 {
			return i
		}
	}
	return n
}

// Bounds that the agents keep and the scheduling leader relies on.
const (
	// MaxStartAge is the time since the leader's decision after which an agent refuses a
	// start order.
	MaxStartAge = 1500 * time.Millisecond
	// OrderTimeout bounds one call of an executor for an order.
	OrderTimeout = 700 * time.Millisecond
)

// TaskExecutor calls the executor that runs the tasks of one host. id is that of
// the expected executor incarnation; a WrongIncarnationError means that another
// one responded. A run is one start of a task, numbered from 1. Deadlines are
// readings of the executor's own clock.
type TaskExecutor interface {
	// Renew extends the lease of all runs if the lease's deadline is positive.
	// The executor deletes the run ends up to number seen, and the call waits up
	// to wait for a later one.
	Renew(ctx context.Context, id string, lease *Lease, seen int64, wait time.Duration) (*wire.ExecutorState, error)
	// Start starts a run. It is idempotent for a task and run number. A
	// StartRefusedError means that the run has not started.
	Start(ctx context.Context, id string, order *wire.StartOrder, lease *Lease) error
	Stop(ctx context.Context, id string, order *wire.StopOrder, token int64) error
	// Pace limits a run to a share of its requested processors, in percent.
	Pace(ctx context.Context, id, task string, run int32, percent int, token int64) error
}

// Lease authorizes the orders of one leader to an executor.
type Lease struct {
	// Token is the leader's fencing token: the executor refuses orders with a
	// lower one.
	Token int64
	// DeadlineMs is the end of the lease, as a reading of the executor's clock.
	DeadlineMs int64
}

// StepAdvisor is the admission advice service: it decides which executors may
// run a step and grants them tickets.
type StepAdvisor interface {
	// Advise returns the tickets for the step by executor id, and how long they
	// are valid from the call on. Executors without a ticket may not run it.
	Advise(ctx context.Context, step string, executors []string) (map[string]string, time.Duration, error)
}

// JobService accepts the jobs of callers.
type JobService interface {
	// Submit stores a job. A job with a known id is not stored again.
	Submit(ctx context.Context, queue *wire.Queue, job *wire.Job) error
	Status(ctx context.Context, queue *wire.Queue, id string) (wire.JobState, error)
	// Cancel has no effect on a job that has ended.
	Cancel(ctx context.Context, queue *wire.Queue, id string) error
	// CancelLater returns at once, without an outcome: the cancellation takes effect if
	// it can be stored before the process ends. The error means that it never does.
	CancelLater(id string) error
	// QueuedCount returns the number of the queue's jobs in JOB_STATE_QUEUED.
	QueuedCount(ctx context.Context, queue *wire.Queue) (int, error)
}

// ExecutorObserver receives the announcements of executors.
type ExecutorObserver interface {
	// ExecutorAnnounced takes the data in an executor's latest announcement.
	ExecutorAnnounced(info *wire.ExecutorInfo)
	// ExecutorLeft takes the id of an executor that announced its departure.
	ExecutorLeft(id string)
}

// OperatorView gives access to the newest configuration and zone settings that
// operators published.
type OperatorView interface {
	// Config returns the configuration and an upper bound on its age. The
	// configuration is nil until the first one is read.
	Config() (*wire.FleetConfig, time.Duration)
	// ZonesOut returns the set of zones that operators took out of service.
	ZonesOut() map[string]bool
}

// LoadView gives access to the scheduling leader's latest load estimate.
type LoadView interface {
	// Load returns the estimate and an upper bound on its age. The estimate is nil
	// while none is known or the leader has changed.
	Load() (estimate *wire.LoadEstimate, age time.Duration)
}

// Operation is one decoded record published by operators. At most one field is
// set.
type Operation struct {
	Config *wire.FleetConfig
	// ZoneOut is a zone that was taken out of service, ZoneBack one that was put
	// back in service.
	ZoneOut, ZoneBack string
}

// ElapsedClock is a monotonic clock for durations. It also counts the time while
// the host is suspended, unlike package time on Linux.
type ElapsedClock interface {
	// Elapsed returns the time since an arbitrary but fixed start.
	Elapsed() time.Duration
}

// ConditionFailedError means that a conditional append had no effect, because
// the partition does not end at the expected offset.
type ConditionFailedError struct {
	// End is the offset at which the partition ends.
	End int64
}

func (e *ConditionFailedError) Error() string {
	return fmt.Sprintf("append refused: the partition ends at offset %d, not at the expected one", e.End)
}

// FencedError means that a call was refused because another process holds a
// higher epoch or token.
type FencedError struct {
	// Refused is the epoch or token of the call.
	Refused int64
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("fenced: an epoch or token above %d is in use", e.Refused)
}

// SequenceError means that an append was refused because its sequence number is
// not the next one of its producer.
type SequenceError struct {
	Expected int64
}

func (e *SequenceError) Error() string {
	return fmt.Sprintf("append refused: expected sequence number %d", e.Expected)
}

// StartRefusedError means that an executor refused a start, so that the run has
// not started.
type StartRefusedError struct {
	Reason StartRefusal
}

func (e *StartRefusedError) Error() string { return "start refused: " + string(e.Reason) }

// StartRefusal is the reason for which an executor, or the agent on its behalf,
// refused a start.
type StartRefusal string

// Reasons for which a start is refused.
const (
	// RefusedOldRun means that a run of the task with the same or a higher number
	// has ended or was stopped on the executor.
	RefusedOldRun StartRefusal = "old_run"
	// RefusedLeaseOver means that the lease which authorizes the order has expired.
	RefusedLeaseOver StartRefusal = "lease_over"
	// RefusedNoRoom means that the executor lacks free capacity for the task.
	RefusedNoRoom StartRefusal = "no_room"
	// RefusedNoTicket means that the order has no valid admission ticket.
	RefusedNoTicket StartRefusal = "no_ticket"
	// RefusedUnhealthy means that the executor is overloaded or unhealthy. The
	// order had no effect.
	RefusedUnhealthy StartRefusal = "executor_unhealthy"
	// RefusedInvalid means that the executor cannot decode the order.
	RefusedInvalid StartRefusal = "invalid_order"
	// RefusedDraining means that the executor is about to leave.
	RefusedDraining StartRefusal = "executor_draining"
	// RefusedUnknownStep means that the agent no longer has the step to which the
	// order refers.
	RefusedUnknownStep StartRefusal = "unknown_step"
	// RefusedOrderExpired means that the order reached the agent too late.
	RefusedOrderExpired StartRefusal = "order_expired"
	// RefusedUnanswered means that neither the start nor the stop got a response from an
	// executor that answers renewals. The run can't start any more.
	RefusedUnanswered StartRefusal = "unanswered"
)

// WrongIncarnationError means that another incarnation of an executor responds
// at its address.
type WrongIncarnationError struct {
	// ID is that of the expected incarnation.
	ID string
}

func (e *WrongIncarnationError) Error() string {
	return "another executor incarnation responds instead of " + e.ID
}
