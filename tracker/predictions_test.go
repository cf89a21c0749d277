package tracker_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// Guards against an objective that moves with the predictions, although it is
// promised by the declared estimates, and against a remaining time that keeps the
// declared ones.
func TestPredictedCriticalPath(t *testing.T) {
	j := tracker.New(jobWith(
		&wire.JobStep{Count: 4, EstimateMs: 1000},
		&wire.JobStep{Count: 1, EstimateMs: 500, After: []int32{0}},
		&wire.JobStep{Count: 1, EstimateMs: 2000, After: []int32{0}},
	))
	assert.Assert(t, !j.Predicted())
	assert.Equal(t, j.CriticalPathMs(0), int64(3000))
	assert.Equal(t, j.TaskMs(1), int64(500))
	j.Predict(func(step int) tracker.StepPrediction {
		return []tracker.StepPrediction{
			{Task: 1500 * time.Millisecond, Waves: 2},
			{Task: 4 * time.Second, Waves: 1},
			{Task: 100 * time.Millisecond},
		}[step]
	})
	assert.Assert(t, j.Predicted())
	assert.Equal(t, j.LongestPathMs(), int64(3000))
	for step, want := range []int64{7000, 4000, 100} {
		assert.Equal(t, j.CriticalPathMs(step), want)
	}
	assert.Equal(t, j.TaskMs(0), int64(1500))
}

// Guards against waves that count tasks which are done, or only those of the first
// occurrence.
func TestOpenTasks(t *testing.T) {
	spec := jobWith(&wire.JobStep{Count: 2})
	j := tracker.New(spec)
	assert.Equal(t, j.OpenTasks(0), 2)
	task := firstReady(t, j)
	task.Assign(executorKey, "host", 1, 0)
	assert.Equal(t, j.OpenTasks(0), 2)
	task.End(runEnd(1, wire.EndCause_END_CAUSE_DONE, ""), executorKey.ID)
	assert.Equal(t, j.OpenTasks(0), 1)

	spec.RepeatCount = 2
	j = tracker.New(spec)
	task = j.Task(tracker.TaskID{})
	task.Assign(executorKey, "host", 1, 0)
	task.End(runEnd(1, wire.EndCause_END_CAUSE_DONE, ""), executorKey.ID)
	assert.Equal(t, j.OpenTasks(0), 2)
}
