// Package indexer keeps an in-memory index of the accepted jobs that are recorded
// in the jobs topic of the keyed log.
//
// An Index owns a map of jobs by id. It starts no goroutine: a tailer applies
// records, and any goroutine may read.
package indexer

import (
	"strings"
	"sync"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// Topic is the topic of the keyed log that holds accepted jobs, cancellations and
// job states.
const Topic = "jobs"

const (
	cancelSuffix = ".cancel"
	statusSuffix = ".status"
)

// JobRecord returns the record of an accepted job. It fails if the job can't be
// encoded.
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

// CancelRecord returns the record that cancels a job.
func CancelRecord(id string) *wire.KeyedRecord {
	return &wire.KeyedRecord{
		Key:   id + cancelSuffix,
		Value: []byte{1},
	}
}

// StatusRecord returns the record of a job's state. It fails if the state can't be
// encoded.
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

// JobEntry is a copy of the recorded job, cancellation and state of one job id.
type JobEntry struct {
	// job is the job in effect; nil if there is none.
	job      *wire.Job
	canceled bool
	// canceledAt is the offset of the latest cancellation.
	canceledAt int64
	state      wire.JobState

	refusals
}

// Job returns the accepted job. It must not be modified. It is nil while only a
// cancellation or a state is recorded.
func (e JobEntry) Job() *wire.Job { return e.job }

// Canceled reports whether a caller canceled the job.
func (e JobEntry) Canceled() bool { return e.canceled }

// RecordedState returns the state that the scheduling leader recorded last, or
// JOB_STATE_UNSPECIFIED before it recorded one. A final state is not replaced.
func (e JobEntry) RecordedState() wire.JobState { return e.state }

// State returns the state that callers see: the recorded one, but canceled as soon
// as a caller cancels an unfinished job, and queued before a state is recorded.
func (e JobEntry) State() wire.JobState {
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

// Final reports whether a job in this state has ended.
func Final(state wire.JobState) bool {
	switch state {
	case wire.JobState_JOB_STATE_SUCCEEDED, wire.JobState_JOB_STATE_FAILED, wire.JobState_JOB_STATE_CANCELED:
		return true
	default:
		return false
	}
}

// Index holds the accepted jobs. The zero value is an empty index.
type Index struct {
	// OnChange is called with the ids of changed jobs after Apply; it may be nil.
	OnChange func(ids []string)

	mu      sync.RWMutex
	entries map[string]*JobEntry
	// refused has the ids with a recorded refusal.
	refused map[string]bool
	// canceled has the ids with a recorded cancellation and no job in effect.
	canceled map[string]bool
}

// Apply applies records, which must come in the order of the log. With reset, it
// first removes all jobs.
func (x *Index) Apply(records []*wire.KeyedRecord, reset bool) {
	ids := x.apply(records, reset)
	if x.OnChange != nil && len(ids) > 0 {
		x.OnChange(ids)
	}
}

func (x *Index) apply(records []*wire.KeyedRecord, reset bool) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	if reset || x.entries == nil {
		x.entries = map[string]*JobEntry{}
		x.refused = map[string]bool{}
		x.canceled = map[string]bool{}
	}
	var ids []string
	for _, record := range records {
		if id := x.applyRecord(record); id != "" {
			ids = append(ids, id)
		}
	}
	return ids
}

// applyRecord applies a record and returns the id of its job, or "" if the key
// holds none.
func (x *Index) applyRecord(record *wire.KeyedRecord) string {
	id, kind, _ := strings.Cut(record.GetKey(), ".")
	if id == "" {
		return ""
	}
	if len(record.GetValue()) == 0 {
		delete(x.entries, id)
		delete(x.refused, id)
		delete(x.canceled, id)
		return id
	}
	entry := x.entries[id]
	if entry == nil {
		entry = &JobEntry{}
		x.entries[id] = entry
	}
	switch "." + kind {
	case cancelSuffix:
		entry.canceled = true
		entry.canceledAt = max(entry.canceledAt, record.GetOffset())
	case statusSuffix:
		entry.applyStatus(id, record.GetValue())
	case ".":
		if entry.submitted == nil {
			entry.submitted = decodeJob(id, record.GetValue())
		}
	default:
		x.applyRefusalKey(entry, id, kind, record)
	}
	entry.updateJob()
	if entry.canceled && entry.job == nil {
		x.canceled[id] = true
	} else {
		delete(x.canceled, id)
	}
	return id
}

func (e *JobEntry) applyStatus(id string, value []byte) {
	status := &wire.JobStatus{}
	if err := proto.Unmarshal(value, status); err != nil {
		log.Error().Str("job", id).Err(err).Msg("status record ignored: it cannot be decoded")
		return
	}
	// A final state is kept when a record of an earlier state arrives late.
	if !Final(e.state) {
		e.state = status.GetState()
	}
}

// decodeJob returns the job of a record, or nil if it can't be scheduled.
func decodeJob(id string, value []byte) *wire.Job {
	job := &wire.Job{}
	if err := proto.Unmarshal(value, job); err != nil {
		log.Error().Str("job", id).Err(err).Msg("job record ignored: it cannot be decoded")
		return nil
	}
	if job.GetId() != id {
		log.Error().Str("job", id).Str("id", job.GetId()).Msg("job record ignored: its key names another job")
		return nil
	}
	if err := tracker.Validate(job); err != nil {
		log.Error().Str("job", id).Err(err).Msg("job record ignored: the job is invalid")
		return nil
	}
	return job
}

// Lookup returns the entry of an accepted job. It reports false if only a
// cancellation, a state or a refusal is recorded, or if the refusal leaves the
// recorded job without effect.
func (x *Index) Lookup(id string) (JobEntry, bool) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	entry := x.entries[id]
	if entry == nil || entry.job == nil {
		return JobEntry{}, false
	}
	return *entry, true
}

// Canceled reports whether a cancellation of the id is recorded, also without a job.
func (x *Index) Canceled(id string) bool {
	x.mu.RLock()
	defer x.mu.RUnlock()
	entry := x.entries[id]
	return entry != nil && entry.canceled
}

// Each calls visit for every accepted job, in no order. It holds a lock meanwhile:
// visit must not call Apply.
func (x *Index) Each(visit func(JobEntry)) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	for _, entry := range x.entries {
		if entry.job != nil {
			visit(*entry)
		}
	}
}

// QueuedCount returns the number of accepted jobs of a queue that are in the state
// JOB_STATE_QUEUED.
func (x *Index) QueuedCount(queue string) int {
	count := 0
	x.Each(func(entry JobEntry) {
		if entry.job.GetQueue() == queue && entry.State() == wire.JobState_JOB_STATE_QUEUED {
			count++
		}
	})
	return count
}
