package appraiser

import (
	"slices"
	"time"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// deadlineBounds are the upper bounds of the buckets of wire.WaitingWork except the
// last, which has none. They are part of the protocol.
var deadlineBounds = [...]time.Duration{
	time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second, 32 * time.Second,
}

// DeadlineBuckets is the number of buckets of work on time.
const DeadlineBuckets = len(deadlineBounds) + 1

// DeadlineBucket returns the bucket of work on time whose deadline is left from now.
func DeadlineBucket(left time.Duration) int {
	for bucket, bound := range deadlineBounds {
		if left <= bound {
			return bucket
		}
	}
	return len(deadlineBounds)
}

// ShareBefore returns the share of a bucket's work that has an earlier deadline than
// one that is left from now, if the deadlines within a bucket are spread evenly. The
// last bucket counts as a whole from twice its lower bound on.
func ShareBefore(bucket int, left time.Duration) float64 {
	low, high := time.Duration(0), 2*deadlineBounds[len(deadlineBounds)-1]
	if bucket > 0 {
		low = deadlineBounds[bucket-1]
	}
	if bucket < len(deadlineBounds) {
		high = deadlineBounds[bucket]
	}
	return min(max(0, float64(left-low)/float64(high-low)), 1)
}

// AddWaiting adds core-seconds of a waiting job to the part of work that belongs to
// the job's class and deadline.
func AddWaiting(work *wire.WaitingWork, waiting planner.Waiting, coreSeconds float64) {
	switch planner.CostOf(waiting).Class {
	case planner.ClassOverdue:
		work.OverdueCoreS += float32(coreSeconds)
	case planner.ClassLate:
		work.LateCoreS += float32(coreSeconds)
	case planner.ClassOnTime:
		addOnTime(work, DeadlineBucket(waiting.Deadline.Sub(waiting.Now)), coreSeconds)
	default:
		// Starved jobs go before jobs on time, as if their deadline were next.
		addOnTime(work, 0, coreSeconds)
	}
}

func addOnTime(work *wire.WaitingWork, bucket int, coreSeconds float64) {
	if missing := bucket + 1 - len(work.GetOnTimeCoreS()); missing > 0 {
		work.OnTimeCoreS = append(slices.Clip(work.GetOnTimeCoreS()), make([]float32, missing)...)
	}
	work.OnTimeCoreS[bucket] += float32(coreSeconds)
}

// classify adds the waiting work of a step to the parts of its queue's work.
func (s *summary) classify(load *wire.QueueLoad, work tracker.StepWork, coreSeconds float64) {
	if coreSeconds <= 0 {
		return
	}
	parts := &load.Waiting
	if work.Step.GetFillsIdle() {
		parts = &load.WaitingBestEffort
	}
	if *parts == nil {
		*parts = &wire.WaitingWork{}
	}
	AddWaiting(*parts, planner.WaitingOf(work.Group, s.state.NowUnixMs), coreSeconds)
}
