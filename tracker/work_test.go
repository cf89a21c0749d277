package tracker_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// Guards against work that counts tasks in progress or done as waiting, or that
// leaves out later steps.
func TestWorkOfPendingTasks(t *testing.T) {
	step := func(count int32, millicores, estimateMs int64, after ...int32) *wire.JobStep {
		return &wire.JobStep{
			Count:      count,
			EstimateMs: estimateMs,
			Resources:  &wire.Resources{Millicores: millicores},
			After:      after,
		}
	}
	job := tracker.New(&wire.Job{Id: "j", Steps: []*wire.JobStep{step(4, 500, 2000), step(2, 2000, 1000, 0)}})
	group := job.Ready(0)[0]
	tasks := waitingTasks(group)
	pending, total := group.Work()
	assert.Equal(t, pending, 8.0)
	assert.Equal(t, total, 8.0)
	for _, task := range tasks[:2] {
		task.Assign(tracker.ExecutorKey{ID: "i"}, "h", 1, time.Second)
	}
	tasks[0].End(&wire.RunEnd{Run: 1, Cause: wire.EndCause_END_CAUSE_DONE}, "i")
	pending, total = group.Work()
	assert.Equal(t, pending, 6.0)
	assert.Equal(t, total, 8.0)
	assert.Equal(t, tasks[1].DoneShare(), 0.25)
}

// Guards against a limit that counts tasks in progress, and against a part of a gang.
func TestAtMost(t *testing.T) {
	job := tracker.New(jobWith(&wire.JobStep{Count: 5}))
	group := job.Ready(0)[0]
	waitingTasks(group)[1].Assign(tracker.ExecutorKey{ID: "i"}, "h", 1, time.Second)
	fewer := group.AtMost(3)
	assert.Equal(t, fewer.Pending(), 3)
	var indexes []int
	for _, task := range waitingTasks(fewer) {
		indexes = append(indexes, task.ID().Index)
	}
	assert.DeepEqual(t, indexes, []int{0, 2, 3})
	known := 0
	for range fewer.EachKnownPending() {
		known++
	}
	assert.Equal(t, known, 3)
	assert.Equal(t, group.AtMost(4), group)
	assert.Assert(t, group.AtMost(0) == nil)
	gang := tracker.New(jobWith(&wire.JobStep{Count: 5, Gang: true})).Ready(0)[0]
	assert.Assert(t, gang.AtMost(4) == nil)
	assert.Equal(t, gang.AtMost(5), gang)
}
