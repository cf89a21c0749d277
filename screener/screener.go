// Package screener decides at an entry whether a job is refused because it would end
// too late to be of use to its caller.
//
// The decision has plain inputs: the leader's load estimate with its age, and the
// job with the policy of its queue. It waits for nothing and starts no goroutine. A
// Screener owns the kinds of jobs that are being refused and the work that it let pass since
// the latest estimate.
package screener

import (
	"maps"
	"math"
	"math/bits"
	"sync"
	"time"

	"damaskspread.example/damaskspread/appraiser"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const (
	// refuseAbove is the multiple of a job's objective above which its result is of
	// no use to its caller.
	refuseAbove = 3
	// acceptWithin is the multiple that jobs of a kind that is being refused have to
	// reach before they are accepted again. One limit for both would alternate with each estimate.
	acceptWithin  = 2
	minRetryAfter = time.Second
	// maxRetryAfter keeps a prediction of almost no progress from sending callers
	// away for hours.
	maxRetryAfter = 5 * time.Minute
)

// Reason is why a job was admitted or refused.
type Reason string

// Reasons of decisions.
const (
	// ReasonExempt: the queue or the kind of job is never refused, or the queue has
	// no objective.
	ReasonExempt Reason = "exempt"
	// ReasonNoEstimate: no estimate is known, or it is too old.
	ReasonNoEstimate Reason = "no_estimate"
	// ReasonNotListed: the estimate doesn't cover the queue.
	ReasonNotListed Reason = "queue_not_listed"
	// ReasonNoWait: no work of the queue waits.
	ReasonNoWait Reason = "no_wait"
	// ReasonInTime: the job is predicted to end in time to be of use.
	ReasonInTime Reason = "in_time"
	// ReasonTooLate: the job is predicted to end too late; it is refused.
	ReasonTooLate Reason = "too_late"
)

// Decision is the outcome for one job, with its inputs.
type Decision struct {
	Reason Reason
	// Wait is the predicted wait behind the work that goes first, Path the job's
	// own run time, of which at most the objective counts. Limit is the largest sum
	// of both that is admitted.
	Wait, Path, Limit time.Duration
	// EstimateAge and Epoch are those of the load estimate.
	EstimateAge time.Duration
	Epoch       int64
	// RetryAfter is when the job would be admitted as predicted, spread over half
	// of itself; only for a refusal.
	RetryAfter time.Duration
}

// Refused reports whether the job is to be refused.
func (d *Decision) Refused() bool { return d.Reason == ReasonTooLate }

// kind is a queue, a kind of tasks and the power of two of the objective, in
// milliseconds, of a job. A
// queue accepts jobs with a long objective while it refuses those with a short one.
type kind struct {
	queue      string
	bestEffort bool
	objective  int
}

// estimateID identifies an estimate. The message itself doesn't: while this process
// leads, each call returns another one. Leaders of an earlier version send no number;
// their estimates have a message each.
type estimateID struct {
	epoch, number int64
	message       *wire.LoadEstimate
}

func idOf(estimate *wire.LoadEstimate) estimateID {
	id := estimateID{
		epoch:  estimate.GetEpoch(),
		number: estimate.GetNumber(),
	}
	if id.number == 0 {
		id.message = estimate
	}
	return id
}

// Screener decides on jobs. Set its fields before use; it is then safe for
// concurrent use.
type Screener struct {
	// FromPriority is the lowest priority number of the queues whose jobs may be
	// refused.
	FromPriority int32
	// Random returns a number from 0 up to but not including 1.
	Random func() float64

	mu sync.Mutex
	// refusing has the kinds of jobs that are being refused.
	refusing map[kind]bool
	// seen identifies the estimate to which admitted refers: the core-seconds of each
	// queue that were admitted since it was received, by the buckets of the deadline.
	seen     estimateID
	admitted map[string]*[appraiser.DeadlineBuckets]float64
}

// MayRefuse reports whether a job with the policy of its queue set can be refused
// under some load.
func (s *Screener) MayRefuse(job *wire.Job) bool {
	if job.GetPriority() < s.FromPriority || job.GetRepeatCount() > 1 || tracker.Objective(job) <= 0 {
		return false
	}
	for _, step := range job.GetSteps() {
		if step.GetLongRunning() {
			return false
		}
	}
	return true
}

// Decide decides on a job with the policy of its queue set.
func (s *Screener) Decide(estimate *wire.LoadEstimate, age time.Duration, job *wire.Job) *Decision {
	decision := &Decision{
		EstimateAge: age,
		Epoch:       estimate.GetEpoch(),
	}
	if !s.MayRefuse(job) {
		decision.Reason = ReasonExempt
		return decision
	}
	if estimate == nil || age > appraiser.MaxAge {
		decision.Reason = ReasonNoEstimate
		return decision
	}
	queue := find(estimate, job.GetQueue())
	if queue == nil {
		decision.Reason = ReasonNotListed
		return decision
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if id := idOf(estimate); s.seen != id {
		s.seen = id
		s.admitted = map[string]*[appraiser.DeadlineBuckets]float64{}
	}
	s.predict(decision, estimate, queue, job)
	if !decision.Refused() {
		s.addAdmitted(job, coreSeconds(job, queue))
	}
	return decision
}

func (s *Screener) addAdmitted(job *wire.Job, work float64) {
	admitted := s.admitted[job.GetQueue()]
	if admitted == nil {
		admitted = &[appraiser.DeadlineBuckets]float64{}
		s.admitted[job.GetQueue()] = admitted
	}
	admitted[appraiser.DeadlineBucket(tracker.Objective(job))] += work
}

// admittedAhead divides the work of a queue that was admitted since the estimate like
// queueWork.ahead; all of it goes first if all is set.
func (s *Screener) admittedAhead(queue string, objective time.Duration, all bool) (onTime, late float64) {
	admitted := s.admitted[queue]
	if admitted == nil {
		return 0, 0
	}
	for bucket, work := range admitted {
		// Of work with an equal objective, that which was admitted before goes first.
		if all || bucket <= appraiser.DeadlineBucket(objective) {
			onTime += work
		} else {
			late += work
		}
	}
	return onTime, late
}

// predict sets the prediction, the reason and the retry time.
func (s *Screener) predict(decision *Decision, estimate *wire.LoadEstimate, queue *wire.QueueLoad, job *wire.Job) {
	filler := bestEffort(job)
	if work := workOf(queue, filler); work.oldestWait <= 0 {
		maps.DeleteFunc(s.refusing, func(k kind, _ bool) bool { return k.queue == job.GetQueue() && k.bestEffort == filler })
		decision.Reason = ReasonNoWait
		return
	}
	objective := tracker.Objective(job)
	of := kind{
		queue:      job.GetQueue(),
		bestEffort: filler,
		objective:  bits.Len64(uint64(objective.Milliseconds())),
	}
	predicted := s.wait(estimate, queue, job)
	// A job's own width must not count against it beyond its objective, or large
	// jobs would be refused for their size.
	decision.Path = min(path(job, ratio(queue), predicted.speed), objective)
	decision.Wait = predicted.onTime
	if decision.Wait+decision.Path > objective {
		decision.Wait = predicted.late
	}
	decision.Limit = refuseAbove * objective
	if s.refusing[of] {
		decision.Limit = acceptWithin * objective
	}
	if decision.Wait+decision.Path <= decision.Limit {
		decision.Reason = ReasonInTime
		delete(s.refusing, of)
		return
	}
	if s.refusing == nil {
		s.refusing = map[kind]bool{}
	}
	s.refusing[of] = true
	decision.Reason = ReasonTooLate
	after := min(max(decision.Wait+decision.Path-acceptWithin*objective, minRetryAfter), maxRetryAfter)
	decision.RetryAfter = after + time.Duration(s.Random()*float64(after)/2)
}

func find(estimate *wire.LoadEstimate, name string) *wire.QueueLoad {
	for _, queue := range estimate.GetQueues() {
		if queue.GetQueue() == name {
			return queue
		}
	}
	return nil
}

func bestEffort(job *wire.Job) bool {
	for _, step := range job.GetSteps() {
		if step.GetFillsIdle() {
			return true
		}
	}
	return false
}

// path returns the run time of the job's longest chain, with the steps that are
// wider than speed, in cores, counted in waves.
func path(job *wire.Job, ratio, speed float64) time.Duration {
	steps := make([]*wire.JobStep, len(job.GetSteps()))
	for i, step := range job.GetSteps() {
		waves := 1.0
		if cores := stepCores(step); speed > 0 && cores > speed {
			waves = math.Ceil(cores / speed)
		}
		steps[i] = &wire.JobStep{
			EstimateMs: int64(min(float64(step.GetEstimateMs())*ratio*waves, float64(tracker.MaxSpan.Milliseconds()))),
			After:      step.GetAfter(),
		}
	}
	return time.Duration(tracker.LongestChainMs(steps)) * time.Millisecond
}

// coreSeconds returns the predicted work of a job.
func coreSeconds(job *wire.Job, queue *wire.QueueLoad) float64 {
	sum := 0.0
	for _, step := range job.GetSteps() {
		sum += stepCores(step) * float64(step.GetEstimateMs()) / 1000
	}
	return sum * ratio(queue)
}

// stepCores returns the processors that all tasks of a step need together.
func stepCores(step *wire.JobStep) float64 {
	return float64(step.GetCount()) * float64(step.GetResources().GetMillicores()) / 1000
}

// ratio returns the learned ratio of actual to declared run times; 1 if none is known.
func ratio(queue *wire.QueueLoad) float64 {
	if queue.GetRunTimeRatio() > 0 {
		return queue.GetRunTimeRatio()
	}
	return 1
}

// seconds returns a duration of at most maxWait seconds, which any limit is below.
func seconds(s float64) time.Duration {
	const maxWait = 24 * 3600
	return time.Duration(min(s, maxWait) * float64(time.Second))
}
