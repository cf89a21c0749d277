package tracker_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// Guards against members of a gang that a new leader starts from different checkpoints, because
// their progress is stored in different parts and not all of them with each end.
func TestGangAcrossPartsResumesFromOneCheckpoint(t *testing.T) {
	const size = 10
	spec := jobWith(&wire.JobStep{Count: size, Gang: true})
	spec.RepeatCount = 30
	crossing := tracker.PartTasks / size
	j := tracker.New(spec)
	latest := map[int]*wire.JobProgress{}
	store := func() {
		for _, part := range j.TakeChangedParts() {
			latest[part] = j.Progress(part)
		}
	}
	members := waitingTasks(j.Ready(0)[crossing])
	for _, member := range members {
		member.Assign(executorKey, "host", 1, 0)
	}
	store()
	for i, member := range members {
		member.End(runEnd(1, wire.EndCause_END_CAUSE_STOPPED, fmt.Sprint("checkpoint-", i)), executorKey.ID)
		store()
		restored := tracker.New(spec)
		for part := range 2 {
			restored.RestorePart(part, latest[part])
		}
		for other := range size {
			id := tracker.TaskID{Job: spec.GetId(), Occurrence: crossing, Index: other}
			assert.Equal(t, restored.Task(id).Checkpoint(), member.Checkpoint(), "member %d after the end of %d", other, i)
		}
	}
}
