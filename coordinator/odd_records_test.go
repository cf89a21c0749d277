package coordinator_test

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/elector"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/locator"
	"damaskspread.example/damaskspread/wire"
)

func encoded(t *testing.T, message proto.Message) []byte {
	t.Helper()
	value, err := proto.Marshal(message)
	assert.NilError(t, err)
	return value
}

// Guards against a record of another writer in the leader topic that ends the leadership, or
// keeps each process from having it: its appends are conditional on the end of the topic.
func TestOddLeaderRecords(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 2, 1, fixedRunTime(20*time.Millisecond))
	epoch := f.leader().elector.Epoch()
	writer := &emulator.KeyedLogClient{Log: f.log}
	odd := []*wire.KeyedRecord{
		{Key: "a", Value: []byte{0xff, 0xff, 0xff}},
		{Key: "leader", Value: []byte{0xff, 0xff, 0xff}},
		{Key: "leader", Value: encoded(t, &wire.Leadership{Process: "x", Address: "127.0.0.1:99999", Epoch: math.MaxInt64})},
		{Key: "leader", Value: encoded(t, &wire.Leadership{Process: "x", Epoch: -1})},
		{Key: "leader"},
	}
	for _, record := range odd {
		_, err := writer.Append(t.Context(), elector.Topic, []*wire.KeyedRecord{record}, nil)
		assert.NilError(t, err)
		time.Sleep(300 * time.Millisecond)
	}
	f.submit(f.leader(), &wire.Job{Id: jobID, Steps: steps(2)})
	f.waitSucceeded(f.leader(), jobID)
	time.Sleep(2 * time.Second)
	assert.Equal(t, f.leader().elector.Epoch(), epoch)
}

// Guards against an entry process whose record has no address to call.
func TestOddPresences(t *testing.T) {
	t.Parallel()
	var records []*wire.KeyedRecord
	for _, address := range []string{"", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:99999", "10.0.0.1:-1", ":80", "10.0.0.2:7100"} {
		records = append(records, &wire.KeyedRecord{Key: "e", Value: encoded(t, &wire.EntryPresence{Address: address})})
	}
	presences := locator.DecodePresences(append(records, &wire.KeyedRecord{Key: "e", Value: []byte{0xff}}))
	assert.Equal(t, len(presences), 1)
	assert.Equal(t, presences[0].GetAddress(), "10.0.0.2:7100")
}

// Guards against a job record under the key of another job, and numbers of a job that
// overflow: other jobs go on, and a far one is not due.
func TestOddJobRecords(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 1, fixedRunTime(20*time.Millisecond))
	const far, mismatched = "00000000000000f1", "00000000000000f2"
	writer := &emulator.KeyedLogClient{Log: f.log}
	for _, record := range []*wire.KeyedRecord{
		{Key: far, Value: encoded(t, &wire.Job{
			Id: far, Service: service, RepeatCount: 1000, FirstStartUnixMs: math.MaxInt64, IntervalMs: math.MaxInt64, AcceptedUnixMs: math.MinInt64,
			Stretch: math.Inf(1), ObjectiveMs: math.MaxInt64, Steps: []*wire.JobStep{{Count: 1, EstimateMs: math.MaxInt64}},
		})},
		{Key: mismatched, Value: encoded(t, &wire.Job{Id: "other", Service: service, Steps: steps(1)})},
		{Key: "00000000000000f3.readmitted.99999999999999999999", Value: []byte{1}},
		{Key: "00000000000000f4.status", Value: encoded(t, &wire.JobStatus{State: 99})},
	} {
		_, err := writer.Append(t.Context(), indexer.Topic, []*wire.KeyedRecord{record}, nil)
		assert.NilError(t, err)
	}
	f.submit(f.leader(), &wire.Job{Id: jobID, Steps: steps(2)})
	f.waitSucceeded(f.leader(), jobID)
	assert.Equal(t, f.jobState(f.leader(), far), wire.JobState_JOB_STATE_QUEUED)
}
