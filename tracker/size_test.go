package tracker_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const hourMs = 3_600_000

// scheduledJob runs 40 tasks once an hour, 1,000 times.
func scheduledJob(i int) *wire.Job {
	return &wire.Job{
		Id:               fmt.Sprintf("%016x", i),
		RepeatCount:      1000,
		FirstStartUnixMs: hourMs,
		IntervalMs:       hourMs,
		Steps:            []*wire.JobStep{{Count: 40}},
	}
}

// heapBytes returns how much the live heap grows by what make returns.
func heapBytes(build func() any) int64 {
	live := func() int64 {
		runtime.GC()
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	before := live()
	built := build()
	grown := live() - before
	runtime.KeepAlive(built)
	return grown
}

// Guards against a leader whose memory follows the declared repetitions of open jobs:
// 23 jobs like this one exhausted it. With the first occurrence due, a job needs the
// tasks of that one at most; with all of them due, a part of each that waits.
func TestMemoryFollowsWhatIsDue(t *testing.T) {
	const jobs = 30
	for _, test := range []struct {
		name  string
		dueMs int64
		limit int64 // bytes for each job
	}{
		{name: "none due", dueMs: 0, limit: 16 << 10},
		{name: "one due", dueMs: hourMs, limit: 32 << 10},
		{name: "all due", dueMs: 1000 * hourMs, limit: 128 << 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			grown := heapBytes(func() any {
				var open []*tracker.Job
				for i := range jobs {
					j := tracker.New(scheduledJob(i))
					for _, group := range j.Ready(test.dueMs) {
						group.First()
					}
					open = append(open, j)
				}
				return open
			})
			assert.Assert(t, grown < jobs*test.limit, "%d bytes a job", grown/jobs)
		})
	}
}

// Guards against jobs that keep the state of occurrences that are done, and against
// occurrences that are skipped because others are done before them.
func TestDoneOccurrencesAreFreed(t *testing.T) {
	spec := scheduledJob(1)
	j := tracker.New(spec)
	ends := 0
	grown := heapBytes(func() any {
		for k := range int64(1000) {
			for _, group := range j.Ready((k + 1) * hourMs) {
				for _, task := range waitingTasks(group) {
					task.Assign(tracker.ExecutorKey{ID: "i"}, "host", 1, time.Hour)
					assert.Assert(t, task.End(runEnd(1, wire.EndCause_END_CAUSE_DONE, ""), "i"))
					ends++
				}
			}
			j.TakeDoneGroups()
		}
		return j
	})
	assert.Equal(t, ends, 40_000)
	assert.Equal(t, j.State(), wire.JobState_JOB_STATE_SUCCEEDED)
	assert.Assert(t, grown < 64<<10, "%d bytes", grown)
}

// Guards against occurrences beyond the first ones that never start, because all of those
// wait for a step that can't start.
func TestLaterOccurrencesAreReadyBehindWaitingSteps(t *testing.T) {
	spec := &wire.Job{
		Id:          "a1",
		RepeatCount: 500,
		Steps:       []*wire.JobStep{{Count: 1}, {Count: 1, After: []int32{0}}},
	}
	j := tracker.New(spec)
	for started := true; started; {
		started = false
		for _, group := range j.Ready(0) {
			if group.StepIndex() == 0 {
				task := group.First()
				task.Assign(tracker.ExecutorKey{ID: "i"}, "host", 1, time.Hour)
				task.End(runEnd(1, wire.EndCause_END_CAUSE_DONE, ""), "i")
				started = true
			}
		}
	}
	for k := range 500 {
		assert.Assert(t, j.Task(tracker.TaskID{Occurrence: k}).Done(), "occurrence %d", k)
	}
}

// Guards against progress above the limit of a record: 16,000 tasks that were stopped
// with a checkpoint. A leader would repeat the append for good.
func TestPartsOfProgressFitInRecords(t *testing.T) {
	spec := &wire.Job{
		Id:          "a1",
		RepeatCount: 4,
		Steps:       []*wire.JobStep{{Count: 1500, CanCheckpoint: true}, {Count: 2500, CanCheckpoint: true}},
	}
	j := tracker.New(spec)
	checkpoint := strings.Repeat("c", tracker.MaxCheckpointBytes)
	for _, group := range j.Ready(0) {
		for i, task := range waitingTasks(group) {
			executor := tracker.ExecutorKey{ID: fmt.Sprintf("executor-%d", i), BornUnixMs: 1_800_000_000_000}
			task.Assign(executor, "host-"+executor.ID, 7, time.Hour)
			if i%3 > 0 {
				task.End(runEnd(7, wire.EndCause_END_CAUSE_STOPPED, checkpoint), executor.ID)
			}
		}
	}
	restored := tracker.New(spec)
	parts := j.TakeChangedParts()
	assert.Equal(t, len(parts), (16_000+tracker.PartTasks-1)/tracker.PartTasks)
	for _, part := range parts {
		progress := j.Progress(part)
		assert.Assert(t, proto.Size(progress) < damaskspread.MaxRecordBytes, "%d bytes", proto.Size(progress))
		restored.RestorePart(part, progress)
	}
	assert.Equal(t, len(restored.TakeChangedParts()), 0)
	assert.DeepEqual(t, restored.StoredParts(), parts)
	for k := range 4 {
		for s, step := range spec.GetSteps() {
			for i := range int(step.GetCount()) {
				id := tracker.TaskID{Job: "a1", Occurrence: k, Step: s, Index: i}
				expected, got := j.Task(id), restored.Task(id)
				assert.Equal(t, got.Executor(), expected.Executor())
				assert.Equal(t, got.Run(), expected.Run())
				assert.Equal(t, got.Checkpoint(), expected.Checkpoint())
			}
		}
	}
}

// Guards against a change of one task that stores the whole job again.
func TestChangedTaskStoresOnePart(t *testing.T) {
	j := tracker.New(&wire.Job{Id: "a1", RepeatCount: 10, Steps: []*wire.JobStep{{Count: 4000}}})
	task := j.Task(tracker.TaskID{Job: "a1", Occurrence: 3, Index: 100})
	task.Assign(tracker.ExecutorKey{ID: "i"}, "host", 1, time.Hour)
	assert.DeepEqual(t, j.TakeChangedParts(), []int{(3*4000 + 100) / tracker.PartTasks})
}

// Guards against a checkpoint of another writer that makes a record too large.
func TestLongCheckpointIsNotTaken(t *testing.T) {
	j := tracker.New(jobWith(&wire.JobStep{Count: 1}))
	task := firstReady(t, j)
	task.Assign(tracker.ExecutorKey{ID: "i"}, "host", 1, time.Hour)
	task.End(runEnd(1, wire.EndCause_END_CAUSE_STOPPED, "short"), "i")
	task.Assign(tracker.ExecutorKey{ID: "i"}, "host", 2, time.Hour)
	task.End(runEnd(2, wire.EndCause_END_CAUSE_STOPPED, strings.Repeat("c", tracker.MaxCheckpointBytes+1)), "i")
	assert.Equal(t, task.Checkpoint(), "short")
}

// Guards against tasks that are lost or run again when a record of the version before,
// which has all tasks of a job, is replaced by parts.
func TestProgressOfTheVersionBeforeIsStoredInParts(t *testing.T) {
	spec := &wire.Job{Id: "a1", RepeatCount: 2, Steps: []*wire.JobStep{{Count: 400}}}
	old := &wire.JobProgress{}
	for k := range int32(2) {
		step := &wire.StepProgress{}
		for i := range int32(400) {
			step.Tasks = append(step.Tasks, &wire.TaskProgress{Run: i + 1})
		}
		old.Occurrences = append(old.Occurrences, &wire.OccurrenceProgress{Index: k, Steps: []*wire.StepProgress{step}})
	}
	j := tracker.Restore(spec, old)
	restored := tracker.New(spec)
	for _, part := range j.TakeChangedParts() {
		restored.RestorePart(part, j.Progress(part))
	}
	for k := range 2 {
		for i := range 400 {
			assert.Equal(t, restored.Task(tracker.TaskID{Occurrence: k, Index: i}).Run(), int32(i+1))
		}
	}
}

// Guards against odd records that end the leader: indexes, states and executors that
// don't exist.
func TestOddProgressIsIgnored(t *testing.T) {
	odd := &wire.JobProgress{PartTasks: tracker.PartTasks, Occurrences: []*wire.OccurrenceProgress{
		{Index: -1, Steps: []*wire.StepProgress{{AllDone: true}}},
		{Index: 5, Steps: []*wire.StepProgress{{AllDone: true}}},
		{Index: 0, Steps: []*wire.StepProgress{{FirstTask: -3, Tasks: []*wire.TaskProgress{
			{Run: 1},
			{Run: 1},
			{Run: 1},
			{Run: 2, State: 77, ExecutorIndex: -1},
			{Run: 3, State: wire.JobTaskState_JOB_TASK_STATE_ASSIGNED, ExecutorIndex: 9},
			{Run: 4},
		}}, {AllDone: true}, {}}},
	}}
	j := tracker.Restore(jobWith(&wire.JobStep{Count: 2}), odd)
	assert.Equal(t, j.Ready(0)[0].Pending(), 1)
	assert.Assert(t, j.Task(tracker.TaskID{}).Pending())
	assert.Equal(t, j.Task(tracker.TaskID{}).Run(), int32(2))
	assert.Assert(t, j.Task(tracker.TaskID{Index: 1}).Assigned())
}

// Guards against an occurrence that is due at once because its time doesn't fit in 64
// bits, and against an estimate that makes the sums of a job negative.
func TestFarTimesAndLongEstimates(t *testing.T) {
	const far = 1<<63 - 1
	j := tracker.New(&wire.Job{
		Id:               "a1",
		RepeatCount:      3,
		FirstStartUnixMs: 1000,
		IntervalMs:       far,
		Steps:            []*wire.JobStep{{Count: 1, EstimateMs: far}, {Count: 1, EstimateMs: far, After: []int32{0}}},
	})
	assert.Equal(t, len(j.Ready(1_800_000_000_000)), 1)
	assert.Equal(t, j.LongestPathMs(), 2*tracker.MaxSpan.Milliseconds())
}

// BenchmarkJobMemory reports the bytes of the live heap for an open job, a due occurrence
// and an assigned task.
func BenchmarkJobMemory(b *testing.B) {
	const count = 1000
	for _, test := range []struct {
		name  string
		build func() any
	}{
		{name: "job of one task", build: func() any {
			jobs := make([]*tracker.Job, count)
			for i := range jobs {
				jobs[i] = tracker.New(&wire.Job{Id: "a1", Steps: []*wire.JobStep{{Count: 1}}})
			}
			return jobs
		}},
		{name: "declared occurrence", build: func() any {
			job := scheduledJob(1)
			return tracker.New(job)
		}},
		{name: "due occurrence of 40 tasks", build: func() any {
			jobs := make([]*tracker.Job, count)
			for i := range jobs {
				jobs[i] = tracker.New(&wire.Job{Id: "a1", Steps: []*wire.JobStep{{Count: 40}}})
				jobs[i].Ready(0)[0].First()
			}
			return jobs
		}},
		{name: "assigned task", build: func() any {
			j := tracker.New(&wire.Job{Id: "a1", Steps: []*wire.JobStep{{Count: count}}})
			for _, task := range waitingTasks(j.Ready(0)[0]) {
				task.Assign(tracker.ExecutorKey{ID: "i"}, "host", 1, time.Hour)
			}
			return j
		}},
	} {
		b.Run(test.name, func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(float64(heapBytes(test.build))/count, "live_bytes")
			}
		})
	}
}
