package validator

import (
	"time"
)

// Limits is the [limits] section: limits and intervals.
type Limits struct {
	currencyLimit, memberHold, taskHold, keyLifetime time.Duration
	checkpointEvery                                  time.Duration
	syncWait, drainTimeout                           time.Duration
	appendsPerSecond, batchRecords, snapshotEvery    int
	retryPercent                                     float64
}

// CurrencyLimit returns the maximum age of the replayed state with which a process
// starts tasks and requests.
func (l *Limits) CurrencyLimit() time.Duration { return l.currencyLimit }

// MemberHold returns how long a host without heartbeats stays a member.
func (l *Limits) MemberHold() time.Duration { return l.memberHold }

// TaskHold returns how long tasks stay assigned to a host without heartbeats.
func (l *Limits) TaskHold() time.Duration { return l.taskHold }

// CheckpointEvery returns the interval of a running task's checkpoints; 0 means
// never.
func (l *Limits) CheckpointEvery() time.Duration { return l.checkpointEvery }

// KeyLifetime returns how long an idempotency key is remembered.
func (l *Limits) KeyLifetime() time.Duration { return l.keyLifetime }

// SyncWait returns how long a Sync call waits for a change.
func (l *Limits) SyncWait() time.Duration { return l.syncWait }

// DrainTimeout returns how long a planned stop waits at most for running work.
func (l *Limits) DrainTimeout() time.Duration { return l.drainTimeout }

// AppendsPerSecond returns the rate limit of an entry process's appends.
func (l *Limits) AppendsPerSecond() int { return l.appendsPerSecond }

// BatchRecords returns the maximum number of records in one batch.
func (l *Limits) BatchRecords() int { return l.batchRecords }

// SnapshotEvery returns the number of batches between snapshots.
func (l *Limits) SnapshotEvery() int { return l.snapshotEvery }

// RetryPercent returns the retry budget in percent of the first tries.
func (l *Limits) RetryPercent() float64 { return l.retryPercent }

func (l *Limits) fields() []Field {
	return []Field{
		optional("currency_limit", "3s", "currency age above which a process starts nothing", duration(&l.currencyLimit, 100*time.Millisecond, 4*time.Second)),
		optional("member_hold", "6s", "how long a silent host stays an endpoint", duration(&l.memberHold, 200*time.Millisecond, time.Hour)),
		optional("task_hold", "15m", "how long tasks stay with a silent host", duration(&l.taskHold, time.Second, 24*time.Hour)),
		optional("checkpoint_every", "5m", "how often a running task that can is checkpointed; 0s for never", duration(&l.checkpointEvery, 0, 24*time.Hour)),
		optional("key_lifetime", "10m", "how long an idempotency key is remembered", duration(&l.keyLifetime, time.Second, 24*time.Hour)),
		optional("sync_wait", "1250ms", "how long a Sync call waits for a change", duration(&l.syncWait, 10*time.Millisecond, time.Minute)),
		optional("drain_timeout", "30s", "how long a planned stop waits for running work", duration(&l.drainTimeout, 0, time.Hour)),
		optional("appends_per_second", "50", "append budget of an entry process", integer(&l.appendsPerSecond, 1, 10_000)),
		optional("batch_records", "1024", "records in one batch", integer(&l.batchRecords, 1, 65_536)),
		optional("snapshot_every", "5000", "batches between snapshots", integer(&l.snapshotEvery, 1, 1_000_000)),
		optional("retry_percent", "10", "retry budget in percent of first tries", number(&l.retryPercent, 0, 100)),
	}
}
