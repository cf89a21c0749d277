// Package indexer keeps the accepted jobs of the fleet in memory, as the log
// has them.
//
// An Index owns a map by job id. It starts no goroutine: a tailer applies
// records, and any goroutine may read.
package indexer

import (
	"strings"
	"sync"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread/wire"
)

// Topic holds jobs, cancellations and outcomes.
const Topic = "jobs"

const (
	cancelSuffix = ".cancel"
	statusSuffix = ".status"
)

// JobRecord is the record of an accepted job.
func JobRecord(job *wire.Job) (*wire.KeyedRecord, error) {
	value, err := proto.Marshal(job)
	if err != nil {
		return nil, err
	}
	return &wire.KeyedRecord{
		Key:   job.GetId(),
		Value: value,
	}, nil
}

// CancelRecord is the record of a canceled job.
func CancelRecord(id string) *wire.KeyedRecord {
	return &wire.KeyedRecord{
		Key:   id + cancelSuffix,
		Value: []byte{1},
	}
}

// StatusRecord is the record of a job's status.
func StatusRecord(id string, state wire.JobState) (*wire.KeyedRecord, error) {
	value, err := proto.Marshal(&wire.JobStatus{State: state})
	if err != nil {
		return nil, err
	}
	return &wire.KeyedRecord{
		Key:   id + statusSuffix,
		Value: value,
	}, nil
}

// RemovalRecords remove all records of a job.
func RemovalRecords(id string) []*wire.KeyedRecord {
	return []*wire.KeyedRecord{
		{Key: id},
		{Key: id + cancelSuffix},
		{Key: id + statusSuffix},
	}
}

// Entry is what is known of one job.
type Entry struct {
	job      *wire.Job
	canceled bool
	state    wire.JobState
}

// Job is nil while only a cancellation or a status is known.
func (e Entry) Job() *wire.Job { return e.job }

// Canceled reports whether a caller canceled the job.
func (e Entry) Canceled() bool { return e.canceled }

// Recorded is the status that the scheduling leader recorded last.
func (e Entry) Recorded() wire.JobState { return e.state }

// State is what callers are told.
func (e Entry) State() wire.JobState {
	switch {
	case Final(e.state):
		return e.state
	case e.canceled:
		return wire.JobState_JOB_STATE_CANCELED
	case e.state == wire.JobState_JOB_STATE_UNSPECIFIED:
		return wire.JobState_JOB_STATE_QUEUED
	default:
		return e.state
	}
}

// Final reports whether a job in this state has nothing left to run.
func Final(state wire.JobState) bool {
	switch state {
	case wire.JobState_JOB_STATE_SUCCEEDED, wire.JobState_JOB_STATE_FAILED, wire.JobState_JOB_STATE_CANCELED:
		return true
	default:
		return false
	}
}

// Index holds the jobs. The zero value is empty.
type Index struct {
	// Changed is told the ids of jobs that changed; it may be nil.
	Changed func(ids []string)

	mu      sync.RWMutex
	entries map[string]*Entry
}

// Apply takes records of the log in order.
func (x *Index) Apply(records []*wire.KeyedRecord, reset bool) {
	ids := x.apply(records, reset)
	if x.Changed != nil && len(ids) > 0 {
		x.Changed(ids)
	}
}

func (x *Index) apply(records []*wire.KeyedRecord, reset bool) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	if reset || x.entries == nil {
		x.entries = map[string]*Entry{}
	}
	var ids []string
	for _, record := range records {
		if id := x.applyRecord(record); id != "" {
			ids = append(ids, id)
		}
	}
	return ids
}

func (x *Index) applyRecord(record *wire.KeyedRecord) string {
	id, kind, _ := strings.Cut(record.GetKey(), ".")
	if id == "" {
		return ""
	}
	if len(record.GetValue()) == 0 {
		delete(x.entries, id)
		return id
	}
	entry := x.entries[id]
	if entry == nil {
		entry = &Entry{}
		x.entries[id] = entry
	}
	switch "." + kind {
	case cancelSuffix:
		entry.canceled = true
	case statusSuffix:
		entry.applyStatus(id, record.GetValue())
	case ".":
		entry.applyJob(id, record.GetValue())
	}
	return id
}

func (e *Entry) applyStatus(id string, value []byte) {
	status := &wire.JobStatus{}
	if err := proto.Unmarshal(value, status); err != nil {
		log.Error().Str("job", id).Err(err).Msg("status record ignored: it cannot be decoded")
		return
	}
	// A late record of an earlier status doesn't take back a final one.
	if !Final(e.state) {
		e.state = status.GetState()
	}
}

func (e *Entry) applyJob(id string, value []byte) {
	// A resubmission of the same id remains the job that was accepted first.
	if e.job != nil {
		return
	}
	job := &wire.Job{}
	if err := proto.Unmarshal(value, job); err != nil {
		log.Error().Str("job", id).Err(err).Msg("job record ignored: it cannot be decoded")
		return
	}
	e.job = job
}

// Lookup returns what is known of a job that was accepted.
func (x *Index) Lookup(id string) (Entry, bool) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	entry := x.entries[id]
	if entry == nil || entry.job == nil {
		return Entry{}, false
	}
	return *entry, true
}

// Each calls visit for every accepted job.
func (x *Index) Each(visit func(Entry)) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	for _, entry := range x.entries {
		if entry.job != nil {
			visit(*entry)
		}
	}
}

// Pending is the number of jobs of a queue of which no task has started.
func (x *Index) Pending(queue string) int {
	count := 0
	x.Each(func(entry Entry) {
		if entry.job.GetQueue() == queue && entry.State() == wire.JobState_JOB_STATE_QUEUED {
			count++
		}
	})
	return count
}
