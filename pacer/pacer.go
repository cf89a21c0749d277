// Package pacer decides how fast tasks may work that fill idle processors, so
// that the serving tasks beside them keep their target latency.
//
// A Pacer holds what is known of the images; it has no clock, no network and
// no goroutine. Its caller serializes the calls.
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
	// MinWeight is the effect of an image on another that pacing regards.
	MinWeight = 0.8
	// strainUp and strainDown are the changes of the strain per window with and
	// without a serving task above its target. Four windows stop all filling
	// tasks of a host, well within the time that a target may be exceeded.
	strainUp   = 0.5
	strainDown = 0.6
	maxStrain  = 2
	// Measurements are rough: the strain grows from a little below the target
	// on and falls only well below it.
	strainAt = 0.95
	calmAt   = 0.8
	// window is the interval of the executor's measurements.
	window = 500 * time.Millisecond
	// step is the coarseness of a pace, in percent; finer changes cost more
	// calls than they gain.
	step = 10
)

// Sample is one run on the host with its latest measurement.
type Sample struct {
	Task string
	Run  int32
	Step *wire.JobStep
	// Usage is the tail latency in milliseconds of a serving task, and the
	// processors in use, in thousandths, of another.
	Usage   int64
	Percent int
}

// Change is a pace to set.
type Change struct {
	Task    string
	Run     int32
	Percent int
	// Load is the largest latency as a share of its target that led to it.
	Load float64
}

// Pair names a disturbing and a serving image.
type Pair struct {
	Disturbing, Serving string
}

// Pacer paces one host. Its field is set by the caller.
type Pacer struct {
	// Weights are the known effects of images on each other.
	Weights map[Pair]float64

	// strain grows while a serving task exceeds its target. Up to 1 it slows
	// down the tasks that may be the cause, above 1 also those that are known
	// to be harmless.
	strain     float64
	strainedAt time.Duration
}

// Decide returns the paces that differ from what the samples have.
func (p *Pacer) Decide(samples []Sample, capacity *wire.Resources, now time.Duration) []Change {
	room := float64(capacity.GetMillicores())
	if room <= 0 {
		return nil
	}
	load := worst(samples)
	p.noteStrain(load, now)
	paces := make([]float64, len(samples))
	for i := range paces {
		paces[i] = 1
	}
	for _, s := range samples {
		if s.Step.GetTargetLatencyMs() > 0 && s.Usage > 0 {
			p.limit(s, samples, paces, room)
			p.relieve(s, samples, paces)
		}
	}
	var changes []Change
	for i, s := range samples {
		percent := rounded(paces[i])
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

func (p *Pacer) noteStrain(load float64, now time.Duration) {
	if now-p.strainedAt < window {
		return
	}
	p.strainedAt = now
	switch {
	case load > strainAt:
		p.strain = min(p.strain+strainUp, maxStrain)
	case load < calmAt:
		p.strain = max(p.strain-strainDown, 0)
	}
}

// worst is the largest latency as a share of its target.
func worst(samples []Sample) float64 {
	load := 0.0
	for _, s := range samples {
		if target := s.Step.GetTargetLatencyMs(); target > 0 {
			load = max(load, float64(s.Usage)/float64(target))
		}
	}
	return load
}

// limit lowers the paces as far as one serving task needs it. The logarithm of
// its latency is its own level plus what the disturbing tasks add now; the
// paces share what is left up to the goal.
func (p *Pacer) limit(serving Sample, samples []Sample, paces []float64, room float64) {
	target := float64(serving.Step.GetTargetLatencyMs())
	left := math.Log(goalShare * target / float64(serving.Usage))
	now, full := 0.0, 0.0
	for _, s := range samples {
		if weight := p.weight(s, serving); weight > 0 {
			now += weight * float64(s.Usage) / room
			full += weight * float64(s.Step.GetResources().GetMillicores()) / room
		}
	}
	if full <= 0 {
		return
	}
	share := max(0, min(1, (left+now)/full))
	for i, s := range samples {
		if p.weight(s, serving) > 0 {
			paces[i] = min(paces[i], share)
		}
	}
}

// relieve slows down what stands beside a serving task under strain. The strain
// outlasts the excess, so that the pace returns in steps.
func (p *Pacer) relieve(serving Sample, samples []Sample, paces []float64) {
	for i, s := range samples {
		cut := p.strain
		if p.harmless(s, serving) {
			cut--
		}
		paces[i] = min(paces[i], max(0, 1-max(cut, 0)))
	}
}

// harmless reports whether a run is known not to disturb a serving one.
func (p *Pacer) harmless(s, serving Sample) bool {
	weight, known := p.Weights[Pair{
		Disturbing: s.Step.GetImage(),
		Serving:    serving.Step.GetImage(),
	}]
	return known && weight < MinWeight
}

// weight is the known effect of a run on a serving one; small ones count as
// none.
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

func rounded(pace float64) int {
	return int(pace*Full/step) * step
}
