// Package predictor predicts the run times of tasks from the declared estimates
// and from earlier run times of the same queue and image.
//
// For each kind of task, a queue and an image, it estimates the logarithm of the
// ratio of actual to declared run time. Without observations the estimate is 0, so
// that the prediction is the declared run time; it moves as observations
// accumulate. The noise is modeled by Student's t distribution: an observation far
// from the prediction gets a low weight.
//
// The types are plain data without clocks, locks or goroutines, and are not safe
// for concurrent use.
package predictor

import (
	"math"
	"time"
)

const (
	// priorWeight is the number of observations that the declared estimate counts
	// for, and within a step the prediction for the kind. It is the variance of the
	// run times within a kind (noiseScale) over that of declared estimates that are
	// off by a factor of up to 1.9.
	priorWeight = 1
	// maxWeight bounds the weight of earlier observations: each new one reduces it by
	// a share of 1/maxWeight, whatever its own weight. After a change that makes all
	// observations outliers the estimate therefore loses its confidence and follows.
	maxWeight = 40
	// noiseScale and tailDegrees are the scale and the degrees of freedom of the
	// noise. An observation at seven times the prediction has a weight of 0.11, one
	// at 1.9 times has 0.54.
	noiseScale  = 0.35
	tailDegrees = 4
	// maxRatio bounds the ratio of actual to declared run time.
	maxRatio = 16
)

// kind identifies tasks whose run times are learned together.
type kind struct{ queue, image string }

// RunTimes has the learned run times by kind. The zero value has learned nothing.
type RunTimes struct {
	kinds map[kind]*learned
	// sequence counts the observations.
	sequence int64
}

// learned is the evidence of one kind.
type learned struct {
	evidence
	// lastObserved is the value of RunTimes.sequence at the latest observation.
	lastObserved int64
}

// Duration predicts the run time of one task. It is the declared run time if tasks
// of this kind were not observed yet.
func (r *RunTimes) Duration(queue, image string, declared time.Duration) time.Duration {
	return scale(declared, r.logRatio(queue, image))
}

// Observe records the run time of a task that has ended.
func (r *RunTimes) Observe(queue, image string, declared, actual time.Duration) {
	r.observe(queue, image, declared, actual, 1)
}

// Kinds returns the number of kinds with observations.
func (r *RunTimes) Kinds() int { return len(r.kinds) }

// logRatio returns the estimate for a kind, 0 for an unknown one.
func (r *RunTimes) logRatio(queue, image string) float64 {
	known := r.kinds[kind{queue, image}]
	if known == nil {
		return 0
	}
	return known.estimate(0)
}

// observe records a run time that counts as a share of an observation.
func (r *RunTimes) observe(queue, image string, declared, actual time.Duration, share float64) {
	if declared <= 0 || len(queue)+len(image) > maxNameBytes {
		return
	}
	key := kind{queue, image}
	known := r.kinds[key]
	if known == nil {
		known = r.add(key)
	}
	r.sequence++
	known.lastObserved = r.sequence
	known.observe(logRatioOf(declared, actual), known.estimate(0), share)
}

// add adds a kind without observations. It replaces the one whose latest
// observation is the oldest if there are maxKinds.
func (r *RunTimes) add(key kind) *learned {
	if r.kinds == nil {
		r.kinds = map[kind]*learned{}
	}
	if len(r.kinds) >= maxKinds {
		var oldest kind
		oldestObserved := int64(math.MaxInt64)
		for other, known := range r.kinds {
			if known.lastObserved < oldestObserved {
				oldest, oldestObserved = other, known.lastObserved
			}
		}
		delete(r.kinds, oldest)
	}
	r.kinds[key] = &learned{}
	return r.kinds[key]
}

// evidence is the weighted mean of observed logarithms of ratios.
type evidence struct {
	weight, mean float64
}

// observe adds an observation, weighted by its share and by its distance from the
// expected value.
func (e *evidence) observe(logRatio, expected, share float64) {
	distance := (logRatio - expected) / noiseScale
	weight := share * tailDegrees / (tailDegrees + distance*distance)
	e.weight += weight - e.weight*share/maxWeight
	e.mean += (logRatio - e.mean) * weight / e.weight
}

// estimate returns the mean of the evidence and of a prior with the given mean.
func (e *evidence) estimate(prior float64) float64 {
	return (prior*priorWeight + e.mean*e.weight) / (priorWeight + e.weight)
}

// logRatioOf returns the logarithm of the ratio of actual to declared run time,
// bounded by maxRatio in both directions.
func logRatioOf(declared, actual time.Duration) float64 {
	return boundedLog(math.Log(float64(max(actual, time.Millisecond)) / float64(declared)))
}

func boundedLog(logRatio float64) float64 {
	return max(-math.Log(maxRatio), min(logRatio, math.Log(maxRatio)))
}

// scale multiplies a duration by the exponential of a logarithm.
func scale(d time.Duration, logRatio float64) time.Duration {
	if logRatio == 0 {
		return d
	}
	// The largest duration that a float64 represents without overflow of int64.
	const longest = float64(1 << 62)
	return time.Duration(min(float64(d)*math.Exp(logRatio), longest))
}
