// Package pacer decides how fast tasks may work that fill idle processors, so
// that the serving tasks beside them keep their target latency.
//
// A Pacer keeps the pace of one host between decisions. It has no clock, no
// network and no goroutine; one goroutine calls Decide.
package pacer

import (
	"time"

	"damaskspread.example/damaskspread/wire"
)

const (
	// Full is the pace of an unlimited task, in percent.
	Full = 100
	// lowerAt and raiseAt are shares of the target latency.
	lowerAt = 0.85
	raiseAt = 0.6
	// interval covers the window of the executor's measurements.
	interval  = 600 * time.Millisecond
	cutFactor = 0.5
	floor     = 5
	growth    = 12
)

// Sample is one run on the host with its latest measurement.
type Sample struct {
	Task string
	Run  int32
	Step *wire.JobStep
	// Usage is the tail latency in milliseconds of a serving task.
	Usage   int64
	Percent int
}

// Change is a pace to set.
type Change struct {
	Task    string
	Run     int32
	Percent int
}

// Pacer paces one host. The zero value starts at full pace.
type Pacer struct {
	percent int
	decided time.Duration
	begun   bool
}

// Decide returns the paces that differ from what the samples have.
func (p *Pacer) Decide(samples []Sample, now time.Duration) []Change {
	if !p.begun {
		p.begun = true
		p.percent = Full
		p.decided = now
	}
	if now-p.decided >= interval {
		p.decided = now
		p.adjust(worst(samples))
	}
	var changes []Change
	for _, s := range samples {
		if !s.Step.GetFillsIdle() || s.Percent == p.percent {
			continue
		}
		changes = append(changes, Change{
			Task:    s.Task,
			Run:     s.Run,
			Percent: p.percent,
		})
	}
	return changes
}

// worst is the largest latency as a share of its target.
func worst(samples []Sample) float64 {
	largest := 0.0
	for _, s := range samples {
		if target := s.Step.GetTargetLatencyMs(); target > 0 {
			largest = max(largest, float64(s.Usage)/float64(target))
		}
	}
	return largest
}

func (p *Pacer) adjust(load float64) {
	switch {
	case load > 1:
		p.percent = 0
	case load > lowerAt:
		p.percent = int(float64(p.percent) * cutFactor)
		if p.percent < floor {
			p.percent = 0
		}
	case load < raiseAt:
		p.percent = min(p.percent+growth, Full)
	}
}
