// Package damaskspread holds the interfaces of whatever varies in the
// scheduler, the plain data they exchange, and the typed errors. It imports
// no implementation.
package damaskspread

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"damaskspread.example/damaskspread/wire"
)

// Clock is the injected source of time.
type Clock = clockwork.Clock

// LogClient reaches the platform's append-only log.
type LogClient interface {
	// Append adds one entry and returns its offset. An AppendUnknownError
	// means that the entry may have been added all the same.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns entries from an offset on. With nothing to return it waits
	// up to wait for the next entry. A RetentionPassedError means that the
	// entry at from is no longer kept.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*wire.ReadEntriesResponse, error)
}

// WorkerClient reaches the platform's worker of one host. The times in its
// messages are readings of the worker's own clock.
type WorkerClient interface {
	Status(ctx context.Context) (*wire.StatusResponse, error)
	Start(ctx context.Context, order *wire.StartRequest) (*wire.WorkerTask, error)
	// Renew extends leases and returns the tasks that no longer run under
	// their token.
	Renew(ctx context.Context, boot string, renewals []*wire.Renewal) ([]string, error)
	// Checkpoint saves the task's progress and returns the checkpoint id.
	Checkpoint(ctx context.Context, boot, task string, token int64) (string, error)
	// Throttle limits a task to a share of its declared processors, in
	// thousandths.
	Throttle(ctx context.Context, boot, task string, token int64, permille int) error
	Stop(ctx context.Context, boot, task string, token int64) (*wire.WorkerTask, error)
	// Fence stops every task with a lower token and refuses such tokens later.
	Fence(ctx context.Context, boot string, minToken int64) error
}

// Appender adds records to the state stream and returns the offset of the
// batch that holds them.
type Appender interface {
	AppendRecords(ctx context.Context, records []*wire.Record) (int64, error)
}

// Currency tells how old the configuration of a process may be.
type Currency interface {
	// Age is an upper bound on the time since the process had certainly seen
	// the whole log. It is MaxAge before the first complete replay.
	Age() time.Duration
}

// MaxAge is the currency age of a process that has not replayed the log yet.
const MaxAge = time.Duration(1<<63 - 1)

// indexBits leaves room for 65,536 records in a batch.
const indexBits = 16

// MaxBatchRecords is the largest number of records in one batch.
const MaxBatchRecords = 1 << indexBits

// Token packs a position into one number that orders like it. Workers compare
// tokens to reject orders of an earlier claim.
func Token(position *wire.Position) int64 {
	return position.GetOffset()<<indexBits | int64(position.GetIndex())
}

// SamePosition reports whether both are the same position or both unset.
func SamePosition(a, b *wire.Position) bool {
	return (a == nil) == (b == nil) && Token(a) == Token(b)
}

// SetDefault sets an exported field that its user left at the zero value.
func SetDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// LoadObserver receives the load that endpoints report.
type LoadObserver interface {
	ObserveLoad(host string, load *wire.EndpointLoad)
}

// UsageObserver receives the usage samples that workers report late.
type UsageObserver interface {
	ObserveUsage(host string, samples []*wire.UsageSample)
}
