package coordinator_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// startRepetition is longer than the time after which a leader repeats a start.
const startRepetition = 4 * time.Second

// Guards against a record that the log rejects for its size and the leader appends again
// and again: no other job would start any more.
func TestRejectedRecordStopsNoOtherJob(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 1, fixedRunTime(20*time.Millisecond))
	const large, other = "00000000000000a1", "00000000000000b2"
	f.log.MaxRecordBytes = 1000
	f.submit(f.leader(), &wire.Job{Id: large, Steps: []*wire.JobStep{{Count: 200, Resources: &wire.Resources{Millicores: 1}}}})
	f.submit(f.leader(), &wire.Job{Id: other, Steps: steps(2)})
	f.waitSucceeded(f.leader(), other)
	f.pass(startRepetition)
	assert.Equal(t, f.countEvents(wire.EndCause_END_CAUSE_UNSPECIFIED), 0, "tasks started that a new leader would not know")
}

// Guards against a new leader that forgets runs of a job whose progress takes several
// records: they would start again elsewhere.
func TestTakeoverOfALargeJob(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 2, 2, func(task string) time.Duration {
		if strings.HasSuffix(task, "0") {
			return 2 * time.Second
		}
		return 20 * time.Millisecond
	})
	const job = "00000000000000a1"
	f.submit(f.leader(), &wire.Job{Id: job, RepeatCount: 2, Steps: []*wire.JobStep{
		{Count: 700, Resources: &wire.Resources{Millicores: 1}},
		{Count: 1, Resources: &wire.Resources{Millicores: 1}, After: []int32{0}},
	}})
	leader := f.leader()
	f.waitFor("starts", func() bool { return f.countEvents(wire.EndCause_END_CAUSE_UNSPECIFIED) > 1000 })
	f.killEntry(leader)
	f.waitSucceeded(f.leader(), job)
	f.assertNoDuplicateRuns()
	f.mu.Lock()
	restarted := len(f.startsAfterDone)
	f.mu.Unlock()
	assert.Equal(t, restarted, 0)
}

// Guards against records of a closed job that stay in the log: those of its further parts.
func TestAllPartsOfAClosedJobAreRemoved(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 1, fixedRunTime(5*time.Millisecond))
	const job = "00000000000000a1"
	f.submit(f.leader(), &wire.Job{Id: job, Steps: []*wire.JobStep{{Count: 600, Resources: &wire.Resources{Millicores: 1}}}})
	f.waitSucceeded(f.leader(), job)
	reader := &emulator.KeyedLogClient{Log: f.log}
	f.waitFor("removal", func() bool {
		page, err := reader.Newest(t.Context(), "progress", "")
		return err == nil && !slices.ContainsFunc(page.GetRecords(), func(record *wire.KeyedRecord) bool {
			return strings.HasPrefix(record.GetKey(), job)
		})
	})
}

// Guards against tasks that start after callers were told that their job is over: the log has
// rejected its latest progress, so a new leader finds an older one.
func TestFinishedJobWithOldProgressStartsNothing(t *testing.T) {
	t.Parallel()
	for _, state := range []wire.JobState{wire.JobState_JOB_STATE_SUCCEEDED, wire.JobState_JOB_STATE_FAILED, wire.JobState_JOB_STATE_CANCELED} {
		t.Run(state.String(), func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, 1, 1, fixedRunTime(20*time.Millisecond))
			leader := f.leader()
			f.killEntry(leader)
			job := &wire.Job{Id: jobID, Queue: "previews", Service: service, Steps: steps(2)}
			f.submitted[jobID] = job
			status, err := indexer.StatusRecord(jobID, state)
			assert.NilError(t, err)
			progress := &wire.JobProgress{PartTasks: tracker.PartTasks, Occurrences: []*wire.OccurrenceProgress{{Steps: []*wire.StepProgress{{
				Tasks: []*wire.TaskProgress{{State: wire.JobTaskState_JOB_TASK_STATE_ASSIGNED, Run: 1, Executor: "lost", Host: "lost"}},
			}}}}}
			writer := &emulator.KeyedLogClient{Log: f.log}
			for topic, records := range map[string][]*wire.KeyedRecord{
				indexer.Topic: {{Key: jobID, Value: encoded(t, job)}, status},
				"progress":    {{Key: jobID, Value: encoded(t, progress)}},
			} {
				_, err := writer.Append(t.Context(), topic, records, nil)
				assert.NilError(t, err)
			}
			f.startEntry(leader)
			const other = "00000000000000b2"
			f.submit(f.leader(), &wire.Job{Id: other, Steps: steps(2)})
			f.waitSucceeded(f.leader(), other)
			assert.Equal(t, f.countEvents(wire.EndCause_END_CAUSE_UNSPECIFIED), 0, "tasks of the finished job started")
			assert.Equal(t, f.jobState(f.leader(), jobID), state)
		})
	}
}

// Guards against undecodable or odd records of the progress topic that keep a new leader
// from taking over.
func TestOddProgressRecords(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 1, fixedRunTime(20*time.Millisecond))
	leader := f.leader()
	f.killEntry(leader)
	progress, err := proto.Marshal(&wire.JobProgress{PartTasks: tracker.PartTasks, Occurrences: []*wire.OccurrenceProgress{{Index: -1, Steps: []*wire.StepProgress{{AllDone: true}}}}})
	assert.NilError(t, err)
	writer := &emulator.KeyedLogClient{Log: f.log}
	for _, record := range []*wire.KeyedRecord{
		{Key: ".", Value: []byte{1}},
		{Key: "x.99999999999999999999", Value: []byte{1}},
		{Key: jobID + ".-1", Value: []byte{1}},
		{Key: jobID + ".7", Value: progress},
	} {
		_, err := writer.Append(t.Context(), "progress", []*wire.KeyedRecord{record}, nil)
		assert.NilError(t, err)
	}
	f.startEntry(leader)
	f.submit(f.leader(), &wire.Job{Id: jobID, Steps: steps(2)})
	f.waitSucceeded(f.leader(), jobID)
}
