package indexer_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/wire"
)

// refusedTwice returns the log of a job that was refused at offset 0, readmitted, and
// refused again at offset 3, before the late append of an earlier attempt. The
// readmission takes effect late, so that the second refusal voids it.
func refusedTwice(t *testing.T) []*wire.KeyedRecord {
	t.Helper()
	refusal, err := indexer.RefusalRecord(jobID, &wire.JobRefusal{Queue: "q"})
	assert.NilError(t, err)
	job, err := indexer.JobRecord(&wire.Job{
		Id:    jobID,
		Steps: []*wire.JobStep{{Count: 1}},
	})
	assert.NilError(t, err)
	keys := []string{refusal.GetKey(), jobID + ".cancel", jobID + ".status", refusal.GetKey(), jobID + ".readmitted.0", jobID}
	values := [][]byte{refusal.GetValue(), {1}, {8, 3}, refusal.GetValue(), job.GetValue(), job.GetValue()}
	var records []*wire.KeyedRecord
	for i, key := range keys {
		records = append(records, &wire.KeyedRecord{
			Key:    key,
			Value:  values[i],
			Offset: int64(i),
		})
	}
	return records
}

// Guards against a job that a refusal voids, and that is in effect for a moment in a new
// process: it reads the newest record of each key and then some older ones again.
func TestOlderRefusalReadAgain(t *testing.T) {
	records := refusedTwice(t)
	index := &indexer.Index{}
	index.Apply(records[1:], true)
	_, inEffect := index.Lookup(jobID)
	assert.Assert(t, !inEffect)
	index.Apply(records[:1], false)
	_, inEffect = index.Lookup(jobID)
	assert.Assert(t, !inEffect)
	_, offset := index.Refusal(jobID)
	assert.Equal(t, offset, int64(3))
}

// Guards against a job that runs, or runs again, because a removal takes effect in part:
// an append of many records is split, and a leader may end between the parts.
func TestRemovalInParts(t *testing.T) {
	readmitted := refusedTwice(t)
	readmitted[4].Key = jobID + ".readmitted.3"
	for name, records := range map[string][]*wire.KeyedRecord{
		"voided":         refusedTwice(t),
		"readmitted":     readmitted,
		"not readmitted": refusedTwice(t)[3:4],
	} {
		index := &indexer.Index{}
		index.Apply(records, true)
		removals := index.RemovalRecords(jobID)
		for removed := range removals {
			gone := map[string]bool{}
			for _, removal := range removals[:removed+1] {
				gone[removal.GetKey()] = true
			}
			var left []*wire.KeyedRecord
			for _, record := range records {
				if !gone[record.GetKey()] {
					left = append(left, record)
				}
			}
			rebuilt := &indexer.Index{}
			rebuilt.Apply(left, true)
			_, inEffect := rebuilt.Lookup(jobID)
			assert.Assert(t, !inEffect, fmt.Sprintf("%s: in effect after the first %d of %d removals", name, removed+1, len(removals)))
		}
	}
}
