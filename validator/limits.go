package validator

import (
	"fmt"
	"net/netip"
	"time"

	"damaskspread.example/damaskspread/parser"
)

// Emulator is the [emulator] section: the emulated platform.
type Emulator struct {
	listen    string
	workers   int
	retention time.Duration
}

// Listen returns the address of the emulated log and of the fault injection API.
func (e *Emulator) Listen() string { return e.listen }

// Workers returns the number of emulated workers.
func (e *Emulator) Workers() int { return e.workers }

// Retention returns how long the emulated log keeps records.
func (e *Emulator) Retention() time.Duration { return e.retention }

func (e *Emulator) fields() []Field {
	return []Field{
		optional("listen", "127.0.0.1:7100", "address of the emulated log and of the fault switches", address(&e.listen, false)),
		optional("workers", "3", "number of emulated workers", integer(&e.workers, 0, 10_000)),
		optional("retention", "24h", "how long the emulated log keeps records", duration(&e.retention, time.Second, 365*24*time.Hour)),
	}
}

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

// check validates rules that involve several keys or sections.
func (s *Settings) check(parsed *parser.File) []Diagnostic {
	l := &s.limits
	constraints := []struct {
		violated               bool
		section, key, expected string
		found                  time.Duration
	}{
		{
			// A read shows that the state was current at the start of the
			// read, so a wait near the limit would leave the state stale
			// between two reads.
			violated: s.log.readWait > l.currencyLimit/2,
			section:  "log",
			key:      "read_wait",
			expected: fmt.Sprintf("at most half of currency_limit (%s)", formatDuration(l.currencyLimit)),
			found:    s.log.readWait,
		},
		{
			violated: l.syncWait > l.currencyLimit/2,
			section:  "limits",
			key:      "sync_wait",
			expected: fmt.Sprintf("at most half of currency_limit (%s)", formatDuration(l.currencyLimit)),
			found:    l.syncWait,
		},
		{
			violated: l.memberHold < 2*l.syncWait,
			section:  "limits",
			key:      "member_hold",
			expected: fmt.Sprintf("at least twice sync_wait (%s)", formatDuration(l.syncWait)),
			found:    l.memberHold,
		},
		{
			violated: l.taskHold < l.memberHold,
			section:  "limits",
			key:      "task_hold",
			expected: fmt.Sprintf("at least member_hold (%s)", formatDuration(l.memberHold)),
			found:    l.taskHold,
		},
	}
	diagnostics := s.checkAnnouncedAddresses(parsed)
	for _, constraint := range constraints {
		if constraint.violated {
			diagnostics = append(diagnostics, diagnoseKey(parsed, constraint.section, constraint.key, formatDuration(constraint.found), constraint.expected))
		}
	}
	return diagnostics
}

// checkAnnouncedAddresses rejects unspecified addresses such as 0.0.0.0: a process
// can listen on them, but other processes cannot connect to them.
func (s *Settings) checkAnnouncedAddresses(parsed *parser.File) []Diagnostic {
	var diagnostics []Diagnostic
	for _, announced := range []struct{ section, address string }{
		{"entry", s.entry.address},
		{"agent", s.agent.address},
	} {
		address, err := netip.ParseAddrPort(announced.address)
		if err != nil || address.Addr().IsUnspecified() {
			diagnostics = append(diagnostics, diagnoseKey(parsed, announced.section, "address", announced.address,
				"an IP address that other processes can reach"))
		}
	}
	return diagnostics
}

// diagnoseKey returns the diagnostic of a key that may be absent from the text.
func diagnoseKey(parsed *parser.File, name, key, found, expected string) Diagnostic {
	section, ok := parsed.Section(name)
	if !ok {
		section = parser.ParseBody(parsed.Sections()[0].FileName(), name, "")
	}
	k, _ := section.Key(key)
	d := newDiagnostic(section, k, found, expected, "")
	d.Key = key
	return d
}
