// Package damaskspread defines the interfaces between the packages of the
// scheduler, the data types in their methods, the error types and the reasons
// for refusals. It imports no package that implements an interface, so every
// package may import it.
package damaskspread

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"damaskspread.example/damaskspread/wire"
)

// Clock is the injected source of time.
type Clock = clockwork.Clock

// LogClient accesses the platform's append-only log.
type LogClient interface {
	// Append adds one entry and returns its offset. An AppendUnknownError
	// means that the entry may have been added.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns up to limit entries from offset from on. If there are none
	// yet, it waits up to wait for the next one. A RetentionPassedError means
	// that the entry at from has expired.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*wire.ReadEntriesResponse, error)
}

// WorkerClient calls the platform's worker on one host, the process that runs
// its tasks. Times in its messages are readings of the worker's own clock. boot
// names one run of the worker process, and token the claim that a call acts for.
// A WorkerRefusedError means that the call had no effect, a WorkerUnknownError
// that it may have had one.
type WorkerClient interface {
	Status(ctx context.Context) (*wire.StatusResponse, error)
	Start(ctx context.Context, order *wire.StartRequest) (*wire.WorkerTask, error)
	// Renew extends leases. It returns the names of the tasks that no longer run
	// with the token in their renewal.
	Renew(ctx context.Context, boot string, renewals []*wire.Renewal) ([]string, error)
	// Checkpoint saves the task's progress and returns the id of the checkpoint.
	Checkpoint(ctx context.Context, boot, task string, token int64) (string, error)
	// Throttle limits a task to a share of its declared processors, in
	// thousandths.
	Throttle(ctx context.Context, boot, task string, token int64, permille int) error
	Stop(ctx context.Context, boot, task string, token int64) (*wire.WorkerTask, error)
	// Fence stops every task whose token is below minToken, and makes the worker
	// refuse later starts with such a token.
	Fence(ctx context.Context, boot string, minToken int64) error
}

// Appender adds records to the state stream and returns the offset of the
// batch that holds them.
type Appender interface {
	AppendRecords(ctx context.Context, records []*wire.Record) (int64, error)
}

// Currency tells how old a process's replayed configuration and state may be.
type Currency interface {
	// Age is an upper bound on the time since the process last was certain to
	// have read the whole log. It is MaxAge before the first complete replay.
	Age() time.Duration
}

// MaxAge is the currency age of a process that has not replayed the log yet. It
// stands for an unknown age.
const MaxAge = time.Duration(1<<63 - 1)

// positionIndexBits is the number of low bits of a token that hold the index in
// the batch, for up to 65,536 records.
const positionIndexBits = 16

// MaxBatchRecords is the largest number of records in one batch.
const MaxBatchRecords = 1 << positionIndexBits

// Token packs a position in the log into one number with the same order. The
// position of a claim yields its fencing token: workers compare tokens to refuse
// orders of an earlier claim. The token of nil is 0.
func Token(position *wire.Position) int64 {
	return position.GetOffset()<<positionIndexBits | int64(position.GetIndex())
}

// SamePosition reports whether both positions are equal or both are nil.
func SamePosition(a, b *wire.Position) bool {
	return (a == nil) == (b == nil) && Token(a) == Token(b)
}

// SetDefault sets the field to value if it has the zero value.
func SetDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// LoadObserver receives the load that the endpoint of a host reports.
type LoadObserver interface {
	ObserveLoad(host string, load *wire.EndpointLoad)
}

// UsageObserver receives the usage samples of the tasks on a host. Workers
// report them with a delay, which is in each sample.
type UsageObserver interface {
	ObserveUsage(host string, samples []*wire.UsageSample)
}
