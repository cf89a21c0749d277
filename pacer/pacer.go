// Package pacer limits the processor use of the best-effort tasks on one host, so
// that the serving tasks on the host stay within their target latency. Package
// estimator learns the interference weights that it uses.
//
// The pace of a task is the percentage of its requested processors that it may
// use. A Pacer owns the throttle level of its host. It has no clock, no network
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
	// all best-effort tasks of a host, well within the time for which a target may
	// be exceeded.
	throttleStepUp   = 0.5
	throttleStepDown = 0.6
	maxThrottleLevel = 2
	// The throttle level rises at a load above raiseAbove and falls at a load
	// below lowerBelow. Single measurements are inaccurate, so it rises already a
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
	load := maxLoad(samples)
	p.updateThrottleLevel(load, now)
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
	var changes []Change
	for i, s := range samples {
		percent := roundToStep(paces[i])
		if s.Step.GetFillsIdle() && percent != s.Percent {
			changes = append(changes, Change{
				Task:    s.Task,
				Run:     s.Run,
				Percent: percent,
				Load:    load,
			})
		}
	}
	return changes
}

func (p *Pacer) updateThrottleLevel(load float64, now time.Duration) {
	if now-p.throttleUpdatedAt < window {
		return
	}
	p.throttleUpdatedAt = now
	switch {
	case load > raiseAbove:
		p.throttleLevel = min(p.throttleLevel+throttleStepUp, maxThrottleLevel)
	case load < lowerBelow:
		p.throttleLevel = max(p.throttleLevel-throttleStepDown, 0)
	}
}

// maxLoad returns the largest ratio of latency to target latency.
func maxLoad(samples []Sample) float64 {
	load := 0.0
	for _, s := range samples {
		if target := s.Step.GetTargetLatencyMs(); target > 0 {
			load = max(load, float64(s.Usage)/float64(target))
		}
	}
	return load
}

// limitForTarget lowers the paces as far as one serving task needs it. The
// logarithm of its latency is a level of its own plus the effects of the
// interfering tasks. What they may add in total until the latency reaches the
// goal, as a share of what they add at full pace, is their common pace.
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
// by the throttle level. The level falls gradually after the latency has fallen,
// so that the paces return in steps.
func (p *Pacer) applyThrottleLevel(serving Sample, samples []Sample, paces []float64) {
	for i, s := range samples {
		reduction := p.throttleLevel
		if p.harmless(s, serving) {
			reduction--
		}
		paces[i] = min(paces[i], max(0, 1-max(reduction, 0)))
	}
}

// harmless reports whether a run is known not to interfere with a serving one.
func (p *Pacer) harmless(s, serving Sample) bool {
	weight, known := p.Weights[Pair{
		Disturbing: s.Step.GetImage(),
		Serving:    serving.Step.GetImage(),
	}]
	return known && weight < MinWeight
}

// weight returns the interference weight of a run on a serving one. It is 0 for
// weights that are unknown or below MinWeight, and for tasks that are not
// best-effort.
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
