package screener

import (
	"math"
	"time"

	"damaskspread.example/damaskspread/appraiser"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// queueWork is the load of one kind of tasks of a queue: those that reserve processors,
// or best-effort tasks.
type queueWork struct {
	waiting, running, rate, capacity, free float64
	// parts divides waiting by class and deadline, nil if the leader doesn't.
	parts      *wire.WaitingWork
	oldestWait time.Duration
}

func workOf(queue *wire.QueueLoad, bestEffort bool) queueWork {
	if bestEffort {
		return queueWork{
			waiting:    queue.GetWaitingBestEffortCoreS(),
			running:    queue.GetRunningBestEffortCoreS(),
			rate:       queue.GetRateBestEffortCores(),
			capacity:   queue.GetCapacityBestEffortCores(),
			free:       float64(queue.GetIdleMillicores()) / 1000,
			parts:      queue.GetWaitingBestEffort(),
			oldestWait: time.Duration(queue.GetOldestBestEffortWaitMs()) * time.Millisecond,
		}
	}
	return queueWork{
		waiting:    queue.GetWaitingCoreS(),
		running:    queue.GetRunningCoreS(),
		rate:       queue.GetRateCores(),
		capacity:   queue.GetCapacityCores(),
		free:       float64(queue.GetFreeMillicores()) / 1000,
		parts:      queue.GetWaiting(),
		oldestWait: time.Duration(queue.GetOldestWaitMs()) * time.Millisecond,
	}
}

// ahead returns the waiting work that goes before a new job while that is on time, and
// the further work that goes before it once it is late. Work of a more urgent queue
// goes first whatever its deadline, unless it is overdue.
func (w *queueWork) ahead(objective time.Duration, moreUrgent bool) (onTime, late float64) {
	if w.parts == nil {
		return w.waiting, 0
	}
	for bucket, work := range w.parts.GetOnTimeCoreS() {
		share := 1.0
		if !moreUrgent {
			share = appraiser.ShareBefore(bucket, objective)
		}
		onTime += share * float64(work)
		late += (1 - share) * float64(work)
	}
	if moreUrgent {
		return onTime + float64(w.parts.GetLateCoreS()), 0
	}
	return onTime, late + float64(w.parts.GetLateCoreS())
}

// speed returns the number of cores at which the work ahead advances, 0 if unknown.
// Its queues' work ends at rate, and the oldest of it has waited for oldest.
func (w *queueWork) speed(rate float64, oldest time.Duration) float64 {
	switch {
	case oldest >= appraiser.Window:
		// The rate shows what the service does if there is enough work.
		return rate
	case w.capacity > 0:
		return w.capacity
	default:
		// A leader of an earlier version sends no capacity.
		return rate + w.free
	}
}

// waits are the predicted waits of a new job.
type waits struct {
	// onTime applies while the job is on time, late once it can't be in time any more.
	onTime, late time.Duration
	// speed is the number of cores at which the work ahead advances, 0 if unknown.
	speed float64
}

// wait predicts how long a job of the queue waits behind the work of the service that
// goes first. Work that is still to arrive isn't known and doesn't count.
func (s *Screener) wait(estimate *wire.LoadEstimate, queue *wire.QueueLoad, job *wire.Job) waits {
	objective, filler := tracker.Objective(job), bestEffort(job)
	own := workOf(queue, filler)
	var onTime, late, running, rate float64
	oldest := time.Duration(0)
	for _, other := range estimate.GetQueues() {
		if other.GetService() != queue.GetService() || other.GetPriority() > queue.GetPriority() {
			continue
		}
		work := workOf(other, filler)
		moreUrgent := other.GetPriority() < queue.GetPriority()
		first, then := work.ahead(objective, moreUrgent)
		admittedFirst, admittedThen := s.admittedAhead(other.GetQueue(), objective, moreUrgent || work.parts == nil)
		onTime += first + admittedFirst
		late += then + admittedThen
		running += work.running
		rate += work.rate
		oldest = max(oldest, work.oldestWait)
	}
	speed := own.speed(rate, oldest)
	if speed <= 0 {
		// Nothing has ended lately: what waits has waited at least for this.
		return waits{
			onTime: own.oldestWait,
			late:   own.oldestWait,
		}
	}
	predicted := waits{
		onTime: seconds(startAfter(onTime, running, speed)),
		late:   seconds(startAfter(onTime+late, running, speed)),
		speed:  speed,
	}
	if own.parts != nil {
		// A late job also waits for jobs on time that arrive later.
		predicted.late += objective
	}
	return predicted
}

// startAfter returns the time, in seconds, until all of the waiting work has started. The
// processors of the runs in progress are taken to become free evenly over twice the mean
// remaining time of these runs. Without this, a new job would wait until all runs in
// progress have ended although the first processors are free earlier.
func startAfter(waiting, running, speed float64) float64 {
	if waiting < running {
		return 2 * math.Sqrt(waiting*running) / speed
	}
	return (waiting + running) / speed
}
