// Package appraiser estimates the load of the queues of jobs, from which entries
// predict how long a new job would wait. Package coordinator calls it in its cycles
// while it leads; package poller reads the estimate at the entries.
//
// An estimate depends on the open jobs, the hosts and the recent ends of tasks. The
// package has no network, no clock and no goroutines. Times of type time.Duration are
// readings of the leader's damaskspread.ElapsedClock.
package appraiser

import (
	"sync/atomic"
	"time"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const (
	// Interval is the time between two estimates.
	Interval = 500 * time.Millisecond
	// MaxAge is the age above which an estimate is of no use and all jobs are admitted.
	// It is several times Interval; a lost leader is replaced within about 2 s.
	MaxAge = 3 * time.Second
	// MaxQueues bounds the queues in an estimate and thereby its size.
	MaxQueues = 64
)

// Appraiser computes the load estimate of a leader. Estimate is safe for concurrent
// use; the other methods are called by one goroutine.
type Appraiser struct {
	// Duration predicts the run time of a task; nil predicts the declared one.
	Duration func(queue, image string, declared time.Duration) time.Duration

	epoch int64
	// number is that of the latest estimate of the epoch.
	number  int64
	begunAt time.Duration
	rates   map[string]*queueRates
	latest  atomic.Pointer[computed]
}

// computed is an estimate with the time to which it belongs.
type computed struct {
	estimate *wire.LoadEstimate
	at       time.Duration
}

// State is what the leader knows in one cycle.
type State struct {
	Jobs  map[string]*tracker.Job
	Hosts []*planner.Host
	// WaitingSince returns since when tasks of a group wait for a host, and whether
	// any do.
	WaitingSince func(group string) (time.Duration, bool)
	Now          time.Duration
	NowUnixMs    int64
}

// Begin starts the term of a leader at now. It drops the estimate and the ends of an
// earlier term.
func (a *Appraiser) Begin(epoch int64, now time.Duration) {
	a.epoch = epoch
	a.number = 0
	a.begunAt = now
	a.rates = map[string]*queueRates{}
	a.latest.Store(nil)
}

// Due reports whether the estimate is older than Interval or missing.
func (a *Appraiser) Due(now time.Duration) bool {
	latest := a.latest.Load()
	return latest == nil || now-latest.at >= Interval
}

// Estimate returns the latest estimate of the epoch with its age at now, nil if there
// is none.
func (a *Appraiser) Estimate(epoch int64, now time.Duration) *wire.LoadEstimate {
	latest := a.latest.Load()
	if latest == nil || latest.estimate.GetEpoch() != epoch {
		return nil
	}
	return &wire.LoadEstimate{
		Epoch:  epoch,
		Number: latest.estimate.GetNumber(),
		// Rounded up, because it is an upper bound.
		AgeMs:  (now - latest.at + time.Millisecond - 1).Milliseconds(),
		Queues: latest.estimate.GetQueues(),
	}
}

// RecordDone counts the work of a task that ended with DONE, or of all tasks of its
// gang, which are done together. It ignores long-running tasks.
func (a *Appraiser) RecordDone(t *tracker.Task, now time.Duration) {
	step := t.Step()
	if step.GetLongRunning() {
		return
	}
	queue := t.Job().Spec().GetQueue()
	rates := a.rates[queue]
	if rates == nil {
		rates = &queueRates{}
		a.rates[queue] = rates
	}
	rates.priority = t.Job().Spec().GetPriority()
	rates.service = t.Job().Service()
	tasks := 1
	if step.GetGang() {
		tasks = t.Group().Size()
	}
	rates.window(step.GetFillsIdle()).add(now, float64(tasks)*cores(step)*a.predict(t.Job().Spec(), step).Seconds())
}

// Update computes the estimate of a cycle.
func (a *Appraiser) Update(state State) {
	s := &summary{
		appraiser: a,
		state:     state,
		queues:    map[string]*queueSum{},
	}
	for _, job := range state.Jobs {
		s.addJob(job)
	}
	s.addRates()
	s.addCapacities()
	a.number++
	a.latest.Store(&computed{
		estimate: &wire.LoadEstimate{
			Epoch:  a.epoch,
			Number: a.number,
			Queues: s.largest(),
		},
		at: state.Now,
	})
}

// predict returns the predicted run time of a task of the step.
func (a *Appraiser) predict(job *wire.Job, step *wire.JobStep) time.Duration {
	declared := tracker.DeclaredRunTime(step)
	if a.Duration == nil {
		return declared
	}
	return a.Duration(job.GetQueue(), step.GetImage(), declared)
}

// cores is the number of processors that a task of the step requests.
func cores(step *wire.JobStep) float64 { return float64(step.GetResources().GetMillicores()) / 1000 }
