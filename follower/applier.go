package follower

import (
	"fmt"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

const (
	// recentIDCount covers 30 s of record ids at 2,000 records a second, much
	// longer than a recorder resolves a lost response.
	recentIDCount = 1 << 16
	// recentBatchBytes and recentBatchCount bound what is held for relays.
	recentBatchBytes = 16 << 20
	recentBatchCount = 4096
)

// DecodeError means that a log entry is not a valid batch. Every reader
// applies it as an empty batch.
type DecodeError struct {
	Cause error
}

func (e *DecodeError) Error() string {
	return fmt.Sprintf("log entry is not a valid batch: %v", e.Cause)
}

func (e *DecodeError) Unwrap() error { return e.Cause }

// DecodeBatch decodes a log entry. With an error it returns an empty batch.
func DecodeBatch(data []byte) (*wire.RecordBatch, error) {
	batch, err := unmarshalBatch(data)
	if err != nil {
		return &wire.RecordBatch{}, &DecodeError{
			Cause: err,
		}
	}
	if len(batch.GetRecords()) > damaskspread.MaxBatchRecords {
		return &wire.RecordBatch{}, &DecodeError{
			Cause: fmt.Errorf("%d records exceed %d", len(batch.GetRecords()), damaskspread.MaxBatchRecords),
		}
	}
	return batch, nil
}

// apply applies entries in their order and returns the next offset. It skips
// entries that are already applied and reports a gap at an unexpected offset.
func (f *Follower) apply(entries []*wire.LogEntry) (next int64, gap bool) {
	f.applying.Lock()
	defer f.applying.Unlock()
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
			log.Error().Err(err).Int64("offset", entry.GetOffset()).Msg("batch ignored")
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

// install replaces the state by a newer one.
func (f *Follower) install(snapshot *wire.Snapshot) {
	state := replayer.Restore(snapshot)
	f.applying.Lock()
	defer f.applying.Unlock()
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

// recentBatches holds consecutive batches, the oldest first.
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

// from returns a copy of the batches from an offset on, at most readLimit.
func (r *recentBatches) from(offset int64) ([]*wire.LogEntry, bool) {
	if len(r.entries) == 0 || r.entries[0].GetOffset() > offset {
		return nil, false
	}
	skip := int(offset - r.entries[0].GetOffset())
	end := min(len(r.entries), skip+readLimit)
	return append([]*wire.LogEntry(nil), r.entries[skip:end]...), true
}

// recentIDs remembers the offsets of the last records.
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
