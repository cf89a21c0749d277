package coordinator

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// progressTopic holds the progress of each job and the learned run times; only the
// leader writes it, and only a new leader reads it.
const progressTopic = "progress"

// storedJob has the encoded parts of the progress of a job, by their number. They are
// decoded one job after the other, because decoded ones take many times the memory.
type storedJob map[int][]byte

// loadProgress returns the stored progress by job id, and restores the learned run times.
func (c *Coordinator) loadProgress(ctx context.Context) (map[string]storedJob, error) {
	stored := map[string]storedJob{}
	after := ""
	for {
		page, err := c.progressPage(ctx, after)
		if err != nil {
			return nil, err
		}
		for _, record := range page.GetRecords() {
			after = record.GetKey()
			if record.GetKey() == runTimesKey {
				c.runTimes.restore(record)
				continue
			}
			if c.restoreSession(record) || c.holds.read(record) {
				continue
			}
			job, part, valid := tracker.ParsePartKey(record.GetKey())
			if !valid {
				log.Error().Str("key", record.GetKey()).Int64("offset", record.GetOffset()).Msg("progress record ignored: its key names no job")
				continue
			}
			if stored[job] == nil {
				stored[job] = storedJob{}
			}
			stored[job][part] = record.GetValue()
		}
		if !page.GetMore() || len(page.GetRecords()) == 0 {
			return stored, nil
		}
	}
}

func (c *Coordinator) progressPage(ctx context.Context, after string) (*wire.KeyedPage, error) {
	callCtx, cancel, _ := damaskspread.BeginRead(ctx, 0)
	defer cancel()
	return c.Log.Newest(callCtx, progressTopic, after)
}

// restore returns the job with its stored progress, and whether all parts could be
// decoded.
func (s storedJob) restore(spec *wire.Job) (job *tracker.Job, complete bool) {
	job = tracker.New(spec)
	complete = true
	for _, part := range slices.Sorted(maps.Keys(s)) {
		progress := &wire.JobProgress{}
		if err := proto.Unmarshal(s[part], progress); err != nil {
			log.Error().Str("job", spec.GetId()).Int("part", part).Err(err).
				Msg("job progress cannot be decoded; the job waits until none of its runs can be in progress")
			complete = false
			progress = nil
		}
		job.RestorePart(part, progress)
	}
	return job, complete
}

// recordsToStore returns the records of all changed jobs, sessions and holds, and of the
// learned run times if they are due.
func (c *Coordinator) recordsToStore(cycle *cycleState) ([]*wire.KeyedRecord, error) {
	// Sessions and holds come first: a part of a large append may be all that is stored.
	records, err := sessionChanges(cycle)
	if err != nil {
		return nil, err
	}
	c.endHolds(cycle.now)
	held, err := c.holdRecords(cycle.now)
	if err != nil {
		return nil, err
	}
	records = slices.Concat(records, held, c.tombstones)
	c.tombstones = nil
	for id, job := range c.jobs {
		if c.holds.isUnstored(id) {
			continue
		}
		changed, err := progressRecords(job)
		if err != nil {
			return nil, err
		}
		records = append(records, changed...)
	}
	learned, err := c.runTimes.record(cycle.now)
	if err != nil {
		return nil, err
	}
	if learned != nil {
		records = append(records, learned)
	}
	return append(records, c.holds.takeEnded()...), nil
}

// storeProgress appends what has changed to the log.
func (c *Coordinator) storeProgress(ctx context.Context, cycle *cycleState) error {
	records, err := c.recordsToStore(cycle)
	if err != nil || len(records) == 0 {
		return err
	}
	var rejected []*wire.KeyedRecord
	err = c.whileAppending(cycle, func() error {
		var err error
		rejected, err = c.progress.append(ctx, records)
		return err
	})
	if err != nil {
		return err
	}
	for _, record := range rejected {
		if host, isSession := strings.CutPrefix(record.GetKey(), sessionKeyPrefix); isSession {
			delete(cycle.sessionRecords, host)
			continue
		}
		c.suspendJob(cycle, record.GetKey())
	}
	return nil
}

// progressRecords returns the records of the changed parts of a job's progress.
func progressRecords(job *tracker.Job) ([]*wire.KeyedRecord, error) {
	var records []*wire.KeyedRecord
	for _, part := range job.TakeChangedParts() {
		value, err := proto.Marshal(job.Progress(part))
		if err != nil {
			return nil, err
		}
		records = append(records, &wire.KeyedRecord{
			Key:   tracker.PartKey(job.Spec().GetId(), part),
			Value: value,
		})
	}
	return records, nil
}

// suspendJob starts no further run of a job whose progress the log rejects: a new leader
// would not know of the run. The starts of the cycle are not ordered, and the tasks of those
// that were not ordered before are released.
func (c *Coordinator) suspendJob(cycle *cycleState, key string) {
	id, _, _ := tracker.ParsePartKey(key)
	if c.jobs[id] == nil {
		return
	}
	c.suspended[id] = true
	log.Error().Str("job", id).Str("key", key).Msg("job suspended: its progress cannot be stored")
	for _, view := range cycle.views {
		view.starts = slices.DeleteFunc(view.starts, func(order *wire.StartOrder) bool {
			if tracker.JobOf(order.GetTask()) != id {
				return false
			}
			if !order.GetRepeated() {
				c.task(order.GetTask()).Release()
			}
			return true
		})
	}
}
