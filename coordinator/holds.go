package coordinator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread/wire"
)

// holdKeyPrefix and the id of a job are the key of the job's JobHold in the progress topic.
const holdKeyPrefix = ".hold."

// holds are the jobs whose progress could not be decoded. None of their tasks starts before
// the leases of all runs are over that earlier leaders have started. A hold is stored before any
// progress of its job, which would hide from later leaders that there are unknown runs.
type holds struct {
	byJob map[string]*hold
	// stored are the records that earlier leaders have left; ended are the jobs whose records
	// are to be removed.
	stored map[string]*wire.JobHold
	ended  []string
}

type hold struct {
	until time.Duration
	// storedAt is when this leader has stored it last, 0 before.
	storedAt time.Duration
}

func newHolds() *holds {
	return &holds{
		byJob:  map[string]*hold{},
		stored: map[string]*wire.JobHold{},
	}
}

// read keeps a record of the progress topic if it is that of a hold, and reports whether it is.
func (h *holds) read(record *wire.KeyedRecord) bool {
	job, isHold := strings.CutPrefix(record.GetKey(), holdKeyPrefix)
	if !isHold {
		return false
	}
	stored := &wire.JobHold{}
	err := proto.Unmarshal(record.GetValue(), stored)
	if err != nil || stored.GetSince() <= 0 || stored.GetLeftMs() <= 0 || stored.GetLeftMs() > maxLeaseBound.Milliseconds() {
		log.Error().Str("job", job).Err(err).Msg("hold record odd: the longest lease is assumed")
		stored = &wire.JobHold{}
	}
	h.stored[job] = stored
	return true
}

// holdsJob reports whether no task of the job may start, and until when. A hold that is over
// ends once it has been stored.
func (h *holds) holdsJob(id string, now time.Duration) (until time.Duration, held bool) {
	job := h.byJob[id]
	if job == nil {
		return 0, false
	}
	return job.until, now < job.until || job.storedAt == 0
}

// isUnstored reports whether the job is held and no later leader would know.
func (h *holds) isUnstored(id string) bool {
	job := h.byJob[id]
	return job != nil && job.storedAt == 0
}

// forget ends the hold of a job that is over or closed.
func (h *holds) forget(id string) {
	if h.byJob[id] != nil {
		delete(h.byJob, id)
		h.ended = append(h.ended, id)
	}
}

// removeUnused ends the stored holds that no restored job has used.
func (h *holds) removeUnused() {
	h.ended = append(h.ended, slices.Collect(maps.Keys(h.stored))...)
	h.stored = nil
}

// takeEnded returns the records that remove what is stored of the holds that have ended.
func (h *holds) takeEnded() []*wire.KeyedRecord {
	var records []*wire.KeyedRecord
	for _, id := range h.ended {
		records = append(records, &wire.KeyedRecord{Key: holdKeyPrefix + id})
	}
	h.ended = nil
	return records
}

// due returns the records of the holds that are to be stored now. record is the latest own one
// of the topic of the leaders, whose append began at begunAt.
func (h *holds) due(now time.Duration, record int64, begunAt time.Duration) ([]*wire.KeyedRecord, error) {
	var records []*wire.KeyedRecord
	for id, job := range h.byJob {
		mayWait := now-begunAt > maxStoreAge || now-job.storedAt < orphanStoreInterval
		if job.storedAt != 0 && mayWait {
			continue
		}
		job.storedAt = now
		value, err := proto.Marshal(&wire.JobHold{
			Since:  record + 1,
			LeftMs: max(1, (job.until - begunAt + time.Millisecond - 1).Milliseconds()),
		})
		if err != nil {
			return nil, err
		}
		records = append(records, &wire.KeyedRecord{
			Key:   holdKeyPrefix + id,
			Value: value,
		})
	}
	return records, nil
}

// holdUndecoded holds a job that is restored, if its progress is incomplete or an earlier
// leader has held it. The time is that of the first one.
func (c *Coordinator) holdUndecoded(epoch int64, id string, complete bool) {
	stored := c.holds.stored[id]
	delete(c.holds.stored, id)
	switch {
	case stored.GetSince() > 0:
		left := time.Duration(stored.GetLeftMs()) * time.Millisecond
		c.holds.byJob[id] = &hold{until: c.Elector.HeardBy(stored.GetSince()-1) + left}
	case stored != nil || !complete:
		c.holds.byJob[id] = &hold{until: c.earlierLeaseEnd(epoch, nil)}
	}
}

// endHolds ends the holds that are over. What could not be decoded is replaced before the record
// of the hold is removed, so that no later leader holds the job again.
func (c *Coordinator) endHolds(now time.Duration) {
	for id := range c.holds.byJob {
		if _, held := c.holds.holdsJob(id, now); held {
			continue
		}
		if job := c.jobs[id]; job != nil {
			job.StoreUndecoded()
		}
		c.holds.forget(id)
	}
}

// holdRecords returns the records of the holds to store.
func (c *Coordinator) holdRecords(now time.Duration) ([]*wire.KeyedRecord, error) {
	if len(c.holds.byJob) == 0 {
		return nil, nil
	}
	record, begunAt, found := c.Elector.LatestOwnRecord()
	if !found {
		return nil, nil
	}
	return c.holds.due(now, record, begunAt)
}
