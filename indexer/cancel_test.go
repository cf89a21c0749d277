package indexer_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/wire"
)

// Guards against an acceptance, a readmission, a refusal or a state that undoes a cancellation,
// in whatever order several entries and the log let them take effect, also in a new process.
func TestCancellationHoldsInEveryOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		refusal, err := indexer.RefusalRecord(jobID, &wire.JobRefusal{Queue: "q"})
		assert.NilError(t, err)
		job, err := indexer.JobRecord(&wire.Job{Id: jobID, Steps: []*wire.JobStep{{Count: 1}}})
		assert.NilError(t, err)
		running, err := indexer.StatusRecord(jobID, wire.JobState_JOB_STATE_RUNNING)
		assert.NilError(t, err)
		keys := []string{jobID, jobID, jobID + ".cancel", refusal.GetKey(), refusal.GetKey(), running.GetKey()}
		for at := range 7 {
			keys = append(keys, fmt.Sprintf("%s.readmitted.%d", jobID, at))
		}
		values := map[string][]byte{jobID + ".cancel": {1}, refusal.GetKey(): refusal.GetValue(), running.GetKey(): running.GetValue()}
		var records []*wire.KeyedRecord
		for i, key := range rapid.Permutation(keys).Draw(t, "keys") {
			value := job.GetValue()
			if other, found := values[key]; found {
				value = other
			}
			records = append(records, &wire.KeyedRecord{
				Key:    key,
				Value:  value,
				Offset: int64(i),
			})
		}
		index, canceled := &indexer.Index{}, false
		for i, record := range records {
			index.Apply([]*wire.KeyedRecord{record}, false)
			canceled = canceled || record.GetKey() == jobID+".cancel"
			restarted := &indexer.Index{}
			restarted.Apply(newestOf(records[:i+1]), true)
			for _, x := range []*indexer.Index{index, restarted} {
				entry, known := x.Lookup(jobID)
				assert.Equal(t, x.Canceled(jobID), canceled)
				assert.Assert(t, !known || entry.Canceled() == canceled)
			}
		}
	})
}

// newestOf returns the newest record of each key.
func newestOf(records []*wire.KeyedRecord) []*wire.KeyedRecord {
	var newest []*wire.KeyedRecord
	seen := map[string]bool{}
	for i := len(records) - 1; i >= 0; i-- {
		if !seen[records[i].GetKey()] {
			seen[records[i].GetKey()] = true
			newest = append(newest, records[i])
		}
	}
	return newest
}
