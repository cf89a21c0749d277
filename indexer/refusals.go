package indexer

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread/wire"
)

const (
	refusedSuffix = ".refused"
	// readmittedKind begins the part of a key after the id. The offset of the
	// refusal that the job overrides follows, so that a late append of an earlier
	// attempt can't replace the record of a later one.
	readmittedKind = "readmitted."
)

// refusals has what admission recorded for one id.
//
// A refusal is appended only at the offset up to which its entry has read the
// topic, and only if no job of the id is in effect there. A record of the id's own
// key is therefore without effect while a refusal is recorded, whatever their
// offsets: it is an append of an earlier attempt that took effect late. A job that
// was accepted after a refusal names that refusal; a later refusal voids it.
type refusals struct {
	// submitted is the job of the id's own key.
	submitted *wire.Job
	// refusal is the latest refusal and refusedAt its offset; nil without one.
	refusal   *wire.JobRefusal
	refusedAt int64
	// readmitted has the jobs that override refusals, by the offset of the refusal.
	readmitted map[int64]*wire.Job
}

// RefusalRecord returns the record of a refusal. It must be appended on condition
// that the topic ends where its entry has read it.
func RefusalRecord(id string, refusal *wire.JobRefusal) (*wire.KeyedRecord, error) {
	value, err := proto.Marshal(refusal)
	if err != nil {
		return nil, err
	}
	return &wire.KeyedRecord{
		Key:   id + refusedSuffix,
		Value: value,
	}, nil
}

// AcceptanceRecord returns the record that accepts a job: that of a readmission if
// a refusal of its id is known, otherwise that of JobRecord.
func (x *Index) AcceptanceRecord(job *wire.Job) (*wire.KeyedRecord, error) {
	record, err := JobRecord(job)
	if err != nil {
		return nil, err
	}
	if refusal, offset := x.Refusal(job.GetId()); refusal != nil {
		record.Key = readmittedKey(job.GetId(), offset)
	}
	return record, nil
}

func readmittedKey(id string, refusedAt int64) string {
	return id + "." + readmittedKind + strconv.FormatInt(refusedAt, 10)
}

// applyRefusalKey applies a record of a refusal or readmission; kind is the part of
// its key after the id.
func (x *Index) applyRefusalKey(entry *JobEntry, id, kind string, record *wire.KeyedRecord) {
	if "."+kind == refusedSuffix {
		// A new process reads some records again that are older than those it has.
		if entry.refusal != nil && record.GetOffset() < entry.refusedAt {
			return
		}
		refusal := &wire.JobRefusal{}
		if err := proto.Unmarshal(record.GetValue(), refusal); err != nil {
			// The record still refuses: callers may have been told so.
			log.Error().Str("job", id).Err(err).Msg("refusal record cannot be decoded; its retry time is ignored")
		}
		entry.refusal = refusal
		entry.refusedAt = record.GetOffset()
		x.refused[id] = true
		return
	}
	digits, readmission := strings.CutPrefix(kind, readmittedKind)
	refusedAt, err := strconv.ParseInt(digits, 10, 64)
	if !readmission || err != nil {
		return
	}
	if entry.readmitted == nil {
		entry.readmitted = map[int64]*wire.Job{}
	}
	// A record without a usable job keeps its key, so that removal covers it.
	if entry.readmitted[refusedAt] == nil {
		entry.readmitted[refusedAt] = decodeJob(id, record.GetValue())
	}
}

// updateJob sets the job in effect.
func (e *JobEntry) updateJob() {
	switch {
	case e.refusal == nil && e.submitted != nil:
		e.job = e.submitted
	case len(e.readmitted) > 0:
		latest := slices.Max(slices.Collect(maps.Keys(e.readmitted)))
		e.job = nil
		if e.refusal == nil || latest >= e.refusedAt {
			e.job = e.readmitted[latest]
		}
	default:
		e.job = nil
	}
}

// Refusal returns the latest refusal of an id with its offset, or nil.
func (x *Index) Refusal(id string) (*wire.JobRefusal, int64) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	entry := x.entries[id]
	if entry == nil || entry.refusal == nil {
		return nil, 0
	}
	return entry.refusal, entry.refusedAt
}

// HasRefusals reports whether any refusal is recorded.
func (x *Index) HasRefusals() bool {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return len(x.refused) > 0
}

// HasVoided reports whether any refusal, or any cancellation without a job in effect, is
// recorded.
func (x *Index) HasVoided() bool {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return len(x.refused) > 0 || len(x.canceled) > 0
}

// EachVoided calls visit for each id that has a refusal or a cancellation and no job in
// effect, with the offset of the latest of them. It holds a lock meanwhile: visit must not
// call other methods.
func (x *Index) EachVoided(visit func(id string, voidedAt int64)) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	for id := range x.canceled {
		entry := x.entries[id]
		visit(id, max(entry.canceledAt, entry.refusedAt))
	}
	for id := range x.refused {
		if entry := x.entries[id]; entry.job == nil && !x.canceled[id] {
			visit(id, entry.refusedAt)
		}
	}
}

// RemovalRecords returns tombstones (records without a value) of all keys of an id,
// which delete it from the log and from an Index. A writer may split an append and end
// between the parts, so the order matters: a refusal follows the jobs that it voids, and
// the state of a job follows all of them, or the job would run again.
func (x *Index) RemovalRecords(id string) []*wire.KeyedRecord {
	x.mu.RLock()
	defer x.mu.RUnlock()
	var keys []string
	if entry := x.entries[id]; entry != nil {
		// The latest readmission goes first: the refusal voids the earlier ones.
		for _, refusedAt := range slices.Backward(slices.Sorted(maps.Keys(entry.readmitted))) {
			keys = append(keys, readmittedKey(id, refusedAt))
		}
	}
	keys = append(keys, id)
	if x.refused[id] {
		keys = append(keys, id+refusedSuffix)
	}
	keys = append(keys, id+cancelSuffix, id+statusSuffix)
	records := make([]*wire.KeyedRecord, len(keys))
	for i, key := range keys {
		records[i] = &wire.KeyedRecord{Key: key}
	}
	return records
}
