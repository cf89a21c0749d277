package assessor

import (
	"maps"
	"math"
	"time"
)

const (
	// SuspectEvidence is the evidence from which an executor is suspect: two failures
	// that only the executor explains.
	SuspectEvidence = 2.0
	// explainedWeight is the weight below which a failure is attributed to its step.
	explainedWeight = 0.5
	// priorShare of priorExecutors is the share of other executors that fail a step,
	// before anything is known of others.
	priorShare     = 0.1
	priorExecutors = 1.0
	// mostly is the share of other executors from which on a step fails on most.
	mostly = 0.5
	// maxDependent bounds the failures that count against an executor of a step that
	// fails on most others: all of them may have one cause, the step.
	maxDependent = 2
	// FailureMemory is the age from which the ends on an executor no longer count if no
	// others follow.
	FailureMemory = 10 * time.Second
	sweepInterval = time.Second
)

// Step identifies the tasks of a job that are alike.
type Step struct {
	Job   string
	Index int
}

// InProgress has the executors that run a task of a step.
type InProgress map[Step]map[Executor]bool

// Failures weighs whether failures of tasks speak against the executors that ran them or
// against their steps. A failure speaks against its executor unless the step fails on
// most others as well, and those don't fail other steps. An executor on which the step is
// in progress and hasn't ended yet counts as one that doesn't fail it: several executors
// that break together would otherwise excuse each other until the first run is done. The
// zero value has observed nothing.
//
// The leader calls Weigh once it has added the ends that were reported together, since
// the order of the reports of several executors says nothing.
type Failures struct {
	executors map[Executor]*executorEnds
	steps     map[Step]*stepEnds
	sweptAt   time.Duration
}

// executorEnds is what counts against an executor since its last success.
type executorEnds struct {
	// failing has the ends of the steps with failures.
	failing  map[Step]*ends
	refusals int // of starts, as unhealthy
	evidence float64
	at       time.Duration // of the latest end or refusal
}

// stepEnds are the ends of the runs of one step.
type stepEnds struct {
	byExecutor map[Executor]*ends
	failed     bool
	// shares is computed by Weigh if failed is set.
	shares stepShares
}

// ends are the ends of the runs of one step on one executor.
type ends struct {
	done, failed int
	// against counts the first failures of tasks since the executor's last success.
	against int
	weight  float64
	at      time.Duration
}

// stepShares sums over the executors of a step the shares of its runs that failed and
// that were done. trusted is failed with each executor weighed by its other steps.
type stepShares struct {
	executors             int
	failed, trusted, done float64
}

// AddSuccess records that a run was done. Failures of the executor before it no longer
// count against it.
func (f *Failures) AddSuccess(executor Executor, step Step, now time.Duration) {
	f.executor(executor, now).clear()
	f.step(step).on(executor, now).done++
}

// AddFailure records that a run has failed. It counts against the executor if it is the
// first failure of the task; a later one may be due to the task.
func (f *Failures) AddFailure(executor Executor, step Step, first bool, now time.Duration) {
	of := f.step(step)
	of.failed = true
	on := of.on(executor, now)
	on.failed++
	by := f.executor(executor, now)
	if first {
		on.against++
		by.failing[step] = on
	}
}

// AddRefusal records that the executor has refused a start as unhealthy.
func (f *Failures) AddRefusal(executor Executor, now time.Duration) {
	f.executor(executor, now).refusals++
}

// Clear removes what counts against the executor.
func (f *Failures) Clear(executor Executor) {
	if known := f.executors[executor]; known != nil {
		known.clear()
	}
}

// Failing returns the steps of which failures count against an executor.
func (f *Failures) Failing() map[Step]bool {
	failing := map[Step]bool{}
	for _, executor := range f.executors {
		for step := range executor.failing {
			failing[step] = true
		}
	}
	return failing
}

// Weigh computes the evidence from the ends that were added. Of running, it needs the
// steps that Failing returns.
func (f *Failures) Weigh(running InProgress, now time.Duration) {
	f.sweep(now)
	for _, of := range f.steps {
		if !of.failed {
			continue
		}
		of.shares = stepShares{}
		for executor, on := range of.byExecutor {
			of.shares = of.shares.plus(on, f.executors[executor].trust(on))
		}
	}
	for _, executor := range f.executors {
		executor.evidence = float64(executor.refusals)
		for step, on := range executor.failing {
			of := f.steps[step]
			others := of.shares.without(on, executor.trust(on))
			others.done += of.notEnded(running[step])
			executor.evidence += on.weigh(others)
		}
	}
}

// Evidence returns how much speaks against the executor, as of the last call of Weigh.
func (f *Failures) Evidence(executor Executor) float64 {
	if known := f.executors[executor]; known != nil {
		return known.evidence
	}
	return 0
}

// Suspect reports whether the executor is suspect, as of the last call of Weigh.
func (f *Failures) Suspect(executor Executor) bool { return f.Evidence(executor) >= SuspectEvidence }

// Explained reports whether failures of the step on the executor are attributed to the
// step, as of the last call of Weigh.
func (f *Failures) Explained(executor Executor, step Step) bool {
	of := f.steps[step]
	return of != nil && of.byExecutor[executor] != nil && of.byExecutor[executor].weight < explainedWeight
}

// Doubtful reports whether the step fails on several executors, and on most of those that
// ran it. Its failure on another says little about that one.
func (f *Failures) Doubtful(step Step) bool {
	of := f.steps[step]
	return of != nil && of.shares.executors > 1 && of.shares.failed > 1 && of.shares.failed >= of.shares.done
}

func (f *Failures) executor(executor Executor, now time.Duration) *executorEnds {
	f.sweep(now)
	known := f.executors[executor]
	if known == nil {
		if f.executors == nil {
			f.executors = map[Executor]*executorEnds{}
		}
		known = &executorEnds{failing: map[Step]*ends{}}
		f.executors[executor] = known
	}
	known.at = now
	return known
}

func (f *Failures) step(step Step) *stepEnds {
	of := f.steps[step]
	if of == nil {
		if f.steps == nil {
			f.steps = map[Step]*stepEnds{}
		}
		of = &stepEnds{byExecutor: map[Executor]*ends{}}
		f.steps[step] = of
	}
	return of
}

// sweep removes old ends. Those of a step stay while its failures count against an
// executor, which would otherwise lose what explains them.
func (f *Failures) sweep(now time.Duration) {
	if now < f.sweptAt+sweepInterval {
		return
	}
	f.sweptAt = now
	for key, executor := range f.executors {
		if executor.at < now-FailureMemory {
			executor.clear()
			delete(f.executors, key)
		}
	}
	failing := f.Failing()
	for step, of := range f.steps {
		if failing[step] {
			continue
		}
		maps.DeleteFunc(of.byExecutor, func(_ Executor, on *ends) bool { return on.at < now-FailureMemory })
		if len(of.byExecutor) == 0 {
			delete(f.steps, step)
		}
	}
}

// on returns the ends of the step on the executor.
func (s *stepEnds) on(executor Executor, now time.Duration) *ends {
	on := s.byExecutor[executor]
	if on == nil {
		on = &ends{}
		s.byExecutor[executor] = on
	}
	on.at = now
	return on
}

// notEnded returns the number of the executors on which the step has not ended.
func (s *stepEnds) notEnded(running map[Executor]bool) float64 {
	n := 0.0
	for executor := range running {
		if s.byExecutor[executor] == nil {
			n++
		}
	}
	return n
}

func (e *executorEnds) clear() {
	e.refusals = 0
	e.evidence = 0
	for _, on := range e.failing {
		on.against = 0
	}
	clear(e.failing)
}

// trust returns how far a failure of a step on the executor, nil if it is forgotten, speaks
// against the step: the less, the more other steps fail there.
func (e *executorEnds) trust(on *ends) float64 {
	if e == nil {
		return 1
	}
	others := len(e.failing)
	if on.against > 0 {
		others--
	}
	return 1 / float64(1+others+e.refusals)
}

// failedShare returns the share of the runs that failed.
func (s *ends) failedShare() float64 {
	return float64(s.failed) / float64(s.failed+s.done)
}

// weigh sets the weight of a failure and returns how much the failures of the step speak
// against the executor. others are the ends on other executors. The weight is
// 1 if the step is not known to fail there, and decreases with the logarithm of the
// probability that it fails on a sound executor.
func (s *ends) weigh(others stepShares) float64 {
	share := (priorExecutors*priorShare + others.trusted) / (priorExecutors + others.trusted + others.done)
	s.weight = min(1, math.Log(share)/math.Log(priorShare))
	if share >= mostly {
		return s.weight * float64(min(s.against, maxDependent))
	}
	return s.weight * float64(s.against)
}

func (s stepShares) plus(of *ends, trust float64) stepShares {
	failed := of.failedShare()
	return stepShares{
		executors: s.executors + 1,
		failed:    s.failed + failed,
		trusted:   s.trusted + trust*failed,
		done:      s.done + 1 - failed,
	}
}

func (s stepShares) without(of *ends, trust float64) stepShares {
	failed := of.failedShare()
	return stepShares{
		executors: s.executors - 1,
		failed:    max(0, s.failed-failed),
		trusted:   max(0, s.trusted-trust*failed),
		done:      max(0, s.done-1+failed),
	}
}
