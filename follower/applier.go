package follower

import (
	"fmt"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

const (
	// recentIDCount holds 30 s of record ids at 2,000 records per second, much
	// longer than a recorder searches for records whose append response was lost.
	recentIDCount = 1 << 16
	// recentBatchBytes and recentBatchCount bound the batches kept in memory
	// for other entry processes.
	recentBatchBytes = 16 << 20
	recentBatchCount = 4096
)

// DecodeError means that a log entry is not a valid batch. Every process applies
// such an entry as an empty batch, so that their states remain identical.
type DecodeError struct {
	Cause error
}

func (e *DecodeError) Error() string {
	return fmt.Sprintf("log entry is not a valid batch: %v", e.Cause)
}

func (e *DecodeError) Unwrap() error { return e.Cause }

// DecodeBatch decodes a log entry. On failure it returns an empty batch and a
// DecodeError.
func DecodeBatch(data []byte) (*wire.RecordBatch, error) {
	batch, err := unmarshalBatch(data)
	if err != nil {
		return &wire.RecordBatch{}, &DecodeError{
			Cause: err,
		}
	}
	if len(batch.GetRecords()) > damaskspread.MaxBatchRecords {
		return &wire.RecordBatch{}, &DecodeError{
			Cause: fmt.Errorf("%d records exceed the maximum of %d", len(batch.GetRecords()), damaskspread.MaxBatchRecords),
		}
	}
	return batch, nil
}

// apply applies entries in log order and returns the offset after the last
// applied one. It skips entries that are already applied. If an offset is
// missing, it stops there and reports a gap.
func (f *Follower) apply(entries []*wire.LogEntry) (next int64, gap bool) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	next = f.Offset() + 1
	for _, entry := range entries {
		if entry.GetOffset() < next {
			continue
		}
		if entry.GetOffset() > next {
			return next, true
		}
		batch, err := DecodeBatch(entry.GetData())
		if err != nil {
			log.Error().Err(err).Int64("offset", entry.GetOffset()).Msg("invalid batch ignored")
		}
		f.applyBatch(entry, batch)
		next++
	}
	return next, false
}

func (f *Follower) applyBatch(entry *wire.LogEntry, batch *wire.RecordBatch) {
	f.mu.Lock()
	changes := f.state.Apply(entry.GetOffset(), batch)
	for _, record := range batch.GetRecords() {
		f.ids.add(record.GetId(), entry.GetOffset())
	}
	f.recent.add(entry)
	f.wakeWaiters()
	f.mu.Unlock()
	f.publish(changes)
}

// install replaces the state with that of a snapshot if the snapshot is newer.
func (f *Follower) install(snapshot *wire.Snapshot) {
	state := replayer.Restore(snapshot)
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	f.mu.Lock()
	newer := state.Offset() > f.state.Offset()
	if newer {
		f.state = state
		f.recent = recentBatches{}
		f.wakeWaiters()
	}
	f.mu.Unlock()
	if newer {
		f.publishReload()
		log.Info().Int64("offset", state.Offset()).Msg("state restored from a snapshot")
	}
}

func (f *Follower) wakeWaiters() {
	close(f.applied)
	f.applied = make(chan struct{})
}

// recentBatches holds the last applied batches, without gaps, the oldest first.
type recentBatches struct {
	entries []*wire.LogEntry
	bytes   int
}

func (r *recentBatches) add(entry *wire.LogEntry) {
	r.entries = append(r.entries, entry)
	r.bytes += len(entry.GetData())
	for len(r.entries) > 1 && (len(r.entries) > recentBatchCount || r.bytes > recentBatchBytes) {
		r.bytes -= len(r.entries[0].GetData())
		r.entries[0] = nil
		r.entries = r.entries[1:]
	}
}

// from returns a copy of the batches from an offset on, at most
// maxBatchesPerRead. It reports false if the batch at the offset is not held.
func (r *recentBatches) from(offset int64) ([]*wire.LogEntry, bool) {
	if len(r.entries) == 0 || r.entries[0].GetOffset() > offset {
		return nil, false
	}
	skip := int(offset - r.entries[0].GetOffset())
	end := min(len(r.entries), skip+maxBatchesPerRead)
	return append([]*wire.LogEntry(nil), r.entries[skip:end]...), true
}

// recentIDs maps the ids of the last applied records to their batch offsets.
// ring holds the ids in the order of their eviction.
type recentIDs struct {
	ring    []string
	next    int
	offsets map[string]int64
}

func newRecentIDs(count int) recentIDs {
	return recentIDs{
		ring:    make([]string, count),
		offsets: map[string]int64{},
	}
}

func (r *recentIDs) add(id string, offset int64) {
	if id == "" {
		return
	}
	// A repeated record keeps the offset of its first occurrence, which is the
	// one that took effect.
	if _, ok := r.offsets[id]; ok {
		return
	}
	if old := r.ring[r.next]; old != "" {
		delete(r.offsets, old)
	}
	r.ring[r.next] = id
	r.next = (r.next + 1) % len(r.ring)
	r.offsets[id] = offset
}

func (r *recentIDs) find(id string) (int64, bool) {
	offset, ok := r.offsets[id]
	return offset, ok
}
