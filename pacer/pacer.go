// Package pacer limits the processor use of the best-effort tasks on one host, so
// that the serving tasks on the host stay within their target latency. Package
// estimator learns the interference weights that it uses.
//
// The pace of a task is the share of its requested processors that it may use:
// in percent in exported fields, from 0 to 1 inside the package. A Pacer owns the throttle level of its host. It has no clock, no network
// and no goroutines, and is not safe for concurrent use.
package pacer

import (
	"math"
	"time"

	"damaskspread.example/damaskspread/wire"
)

const (
	// Full is the pace of an unlimited task, in percent.
	Full = 100
	// goalShare is the share of the target latency that pacing aims at.
	goalShare = 0.85
	// MinWeight is the least interference weight that pacing considers. An image
	// with a smaller known weight is harmless.
	MinWeight = 0.8
	// throttleStepUp and throttleStepDown are the changes of the throttle level
	// per window when it rises and when it falls. It takes four windows to stop
	// all best-effort tasks of a host. A target may be exceeded for at most 4 s.
	throttleStepUp   = 0.5
	throttleStepDown = 0.6
	maxThrottleLevel = 2
	// The throttle level rises while the largest ratio of latency to target latency
	// is above raiseAbove, and falls while it is below lowerBelow. Single measurements are inaccurate, so it rises already a
	// little below the target and falls only well below it.
	raiseAbove = 0.95
	lowerBelow = 0.8
	// window is the interval of the executor's measurements.
	window = 500 * time.Millisecond
	// paceStep is the granularity of paces, in percent. Finer changes cost more
	// calls to the executor than they gain.
	paceStep = 10
)

// Sample is one run on the host with its latest measurement and its pace in
// percent.
type Sample struct {
	Task string
	Run  int32
	Step *wire.JobStep
	// Usage is the tail latency of a serving task, in milliseconds, or the
	// processor use of any other task, in millicores.
	Usage   int64
	Percent int
	// Ramp limits a run that began at a limited pace; nil if there is no limit.
	Ramp *Ramp
}

// Change is a new pace for a run, in percent.
type Change struct {
	Task    string
	Run     int32
	Percent int
	// Load is the largest ratio of latency to target latency among the serving
	// tasks of the host at the time of the decision.
	Load float64
}

// Pair is an interfering image and the serving image whose latency it raises.
type Pair struct {
	Disturbing, Serving string
}

// Pacer decides the paces of one host. The zero value is ready to use.
type Pacer struct {
	// Weights holds the known interference weights: what one host's worth of
	// processors, used by the interfering image, adds to the logarithm of the
	// serving image's latency. The caller may replace the map between calls.
	Weights map[Pair]float64

	// throttleLevel rises while a serving task is near or above its target. From
	// 0 to 1 it slows down the tasks that may be the cause until they stop, and
	// from 1 to 2 the tasks that are known to be harmless as well.
	throttleLevel     float64
	throttleUpdatedAt time.Duration
}

// Decide returns the paces of best-effort tasks that differ from those in the
// samples. It returns nil for a capacity without processors. now is a reading of
// a monotonic clock.
func (p *Pacer) Decide(samples []Sample, capacity *wire.Resources, now time.Duration) []Change {
	hostMillicores := float64(capacity.GetMillicores())
	if hostMillicores <= 0 {
		return nil
	}
	latencyRatio := maxLatencyRatio(samples)
	p.updateThrottleLevel(latencyRatio, now)
	paces := make([]float64, len(samples))
	for i := range paces {
		paces[i] = 1
	}
	for _, s := range samples {
		if s.Step.GetTargetLatencyMs() > 0 && s.Usage > 0 {
			p.limitForTarget(s, samples, paces, hostMillicores)
			p.applyThrottleLevel(s, samples, paces)
		}
	}
	applyRamps(samples, paces, latencyRatio, now)
	var changes []Change
	for i, s := range samples {
		percent := roundToStep(paces[i])
		if s.Step.GetFillsIdle() && percent != s.Percent {
			changes = append(changes, Change{
				Task:    s.Task,
				Run:     s.Run,
				Percent: percent,
				Load:    latencyRatio,
			})
		}
	}
	return changes
}

// updateThrottleLevel changes the throttle level at most once per window.
func (p *Pacer) updateThrottleLevel(latencyRatio float64, now time.Duration) {
	if now-p.throttleUpdatedAt < window {
		return
	}
	p.throttleUpdatedAt = now
	switch {
	case latencyRatio > raiseAbove:
		p.throttleLevel = min(p.throttleLevel+throttleStepUp, maxThrottleLevel)
	case latencyRatio < lowerBelow:
		p.throttleLevel = max(p.throttleLevel-throttleStepDown, 0)
	}
}

// maxLatencyRatio returns the largest ratio of latency to target latency.
func maxLatencyRatio(samples []Sample) float64 {
	highest := 0.0
	for _, s := range samples {
		if target := s.Step.GetTargetLatencyMs(); target > 0 {
			highest = max(highest, float64(s.Usage)/float64(target))
		}
	}
	return highest
}

// limitForTarget lowers the paces of the tasks that interfere with one serving
// task to a common pace, at which its latency is at the goal. Each interfering
// task adds an effect, proportional to its processor use, to the logarithm of the
// latency.
func (p *Pacer) limitForTarget(serving Sample, samples []Sample, paces []float64, hostMillicores float64) {
	target := float64(serving.Step.GetTargetLatencyMs())
	headroom := math.Log(goalShare * target / float64(serving.Usage))
	currentEffect, fullEffect := 0.0, 0.0
	for _, s := range samples {
		if weight := p.weight(s, serving); weight > 0 {
			currentEffect += weight * float64(s.Usage) / hostMillicores
			fullEffect += weight * float64(s.Step.GetResources().GetMillicores()) / hostMillicores
		}
	}
	if fullEffect <= 0 {
		return
	}
	share := max(0, min(1, (headroom+currentEffect)/fullEffect))
	for i, s := range samples {
		if p.weight(s, serving) > 0 {
			paces[i] = min(paces[i], share)
		}
	}
}

// applyThrottleLevel lowers the paces of all tasks on the host of a serving task
// by the throttle level, those of harmless tasks only from level 1 on. The level
// falls gradually, so that the paces return in steps.
func (p *Pacer) applyThrottleLevel(serving Sample, samples []Sample, paces []float64) {
	for i, s := range samples {
		reduction := p.throttleLevel
		if p.harmless(s, serving) {
			reduction--
		}
		paces[i] = min(paces[i], max(0, 1-max(reduction, 0)))
	}
}

// harmless reports whether a task's image is known not to interfere with the
// image of a serving task.
func (p *Pacer) harmless(s, serving Sample) bool {
	weight, known := p.Weights[Pair{
		Disturbing: s.Step.GetImage(),
		Serving:    serving.Step.GetImage(),
	}]
	return known && weight < MinWeight
}

// weight returns the interference weight of a task's image on the image of a
// serving task. It is 0 for weights that are unknown or below MinWeight, and for
// tasks that are not best-effort.
func (p *Pacer) weight(s, serving Sample) float64 {
	if !s.Step.GetFillsIdle() {
		return 0
	}
	weight := p.Weights[Pair{
		Disturbing: s.Step.GetImage(),
		Serving:    serving.Step.GetImage(),
	}]
	if weight < MinWeight {
		return 0
	}
	return weight
}

// roundToStep converts a pace from 0 to 1 into percent, rounded down to a
// multiple of paceStep.
func roundToStep(pace float64) int {
	return int(pace*Full/paceStep) * paceStep
}
