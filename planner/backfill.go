package planner

import (
	"cmp"
	"slices"
	"time"

	"damaskspread.example/damaskspread/tracker"
)

const (
	// backfillMargin is how many times its predicted run time a task may take on a reserved
	// host without delaying the large task.
	backfillMargin = 2
	// overrunShare is the part of its time so far that a task is expected to take yet once
	// it exceeds its prediction.
	overrunShare = 0.25
)

// mayBackfill reports whether a task of the group is predicted to end on a reserved host
// before the large task fits there. Best-effort tasks run at a speed that is not known
// before.
func (h *Host) mayBackfill(group *tracker.Group) bool {
	predicted := time.Duration(group.Job().TaskMs(group.StepIndex())) * time.Millisecond
	return !group.Step().GetFillsIdle() && predicted > 0 && backfillMargin*predicted <= h.reservedWait
}

// waitFor predicts how long it takes until a task of the group fits, as the finite tasks of
// earlier cycles end. It is 0, so that nothing is backfilled, if tasks that are placed in
// this cycle have to end as well.
func (h *Host) waitFor(group *tracker.Group) time.Duration {
	type ending struct {
		task *tracker.Task
		in   time.Duration
	}
	var endings []ending
	for _, task := range h.assigned {
		if !task.Step().GetLongRunning() {
			endings = append(endings, ending{
				task: task,
				in:   remainingTime(task, h.Now),
			})
		}
	}
	slices.SortFunc(endings, func(a, b ending) int { return cmp.Compare(a.in, b.in) })
	freed := copyRequest(&h.stoppingRequested)
	for _, next := range endings {
		tracker.AddRequest(freed, next.task.Step())
		if h.shortage(group.Step(), freed) == NoObstacle {
			return next.in
		}
	}
	return 0
}

// remainingTime predicts how long the run of a finite task takes yet. Half of a run that an
// earlier leader has ordered is left on average.
func remainingTime(task *tracker.Task, now time.Duration) time.Duration {
	predicted := predictedTime(task)
	if task.AssignedAt() == 0 {
		return predicted / 2
	}
	elapsed := now - task.AssignedAt()
	if elapsed < predicted {
		return predicted - elapsed
	}
	return time.Duration(overrunShare * float64(elapsed))
}
