package coordinator_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/wire"
)

// keysOf returns the keys of an id in the topic jobs.
func (f *testFleet) keysOf(e *entry, id string) []string {
	page, err := e.client.Newest(f.t.Context(), indexer.Topic, "")
	assert.NilError(f.t, err)
	var keys []string
	for _, record := range page.GetRecords() {
		if strings.HasPrefix(record.GetKey(), id) {
			keys = append(keys, record.GetKey())
		}
	}
	return keys
}

// startsOf returns the number of starts of a job's tasks.
func (f *testFleet) startsOf(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, event := range f.events {
		if strings.HasPrefix(event.Task, id) && event.Cause == wire.EndCause_END_CAUSE_UNSPECIFIED {
			n++
		}
	}
	return n
}

// Guards against a refused job that runs because an earlier attempt is appended late or
// because its refusal expires, against an id that stays unusable, and against keys that
// stay in the log for good.
func TestRefusalsExpire(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 1, func(string) time.Duration { return 50 * time.Millisecond })
	leader := f.leader()
	f.killEntry(leader)
	f.statusRetention, f.refusalRetention = 2*time.Second, 3*time.Second
	f.startEntry(leader)
	leader = f.leader()

	const refused, readmitted = "00000000000000a1", "00000000000000b2"
	for _, id := range []string{refused, readmitted} {
		record, err := indexer.RefusalRecord(id, &wire.JobRefusal{Queue: "q"})
		assert.NilError(t, err)
		late, err := indexer.JobRecord(&wire.Job{Id: id, Steps: steps(1)})
		assert.NilError(t, err)
		for _, r := range []*wire.KeyedRecord{record, late} {
			_, err = leader.client.Append(t.Context(), indexer.Topic, []*wire.KeyedRecord{r}, nil)
			assert.NilError(t, err)
		}
	}
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, f.startsOf(readmitted), 0)
	f.submit(leader, &wire.Job{Id: readmitted, Steps: steps(1)})
	f.waitSucceeded(leader, readmitted)
	f.waitFor("the refusal and the late record are removed", func() bool { return len(f.keysOf(leader, refused)) == 0 })
	f.waitFor("all keys of the readmitted job are removed", func() bool { return len(f.keysOf(leader, readmitted)) == 0 })
	assert.Equal(t, f.startsOf(readmitted), 1)
	assert.Equal(t, f.startsOf(refused), 0)
	f.submit(leader, &wire.Job{Id: refused, Steps: steps(1)})
	f.waitSucceeded(leader, refused)
	assert.Equal(t, f.startsOf(refused), 1)
}
