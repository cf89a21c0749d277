package pacer

import "time"

// minRamp is the lowest pace of a ramp, in percent. Only the throttle level and
// known interference lower the pace of a run to 0.
const minRamp = paceStep

// Ramp is the limit of the pace of one run that began at a limited pace. It doubles
// in each window in which the latency of the host's serving tasks is below the goal,
// and halves in each window in which it is near the target or above it. From the
// lowest pace to Full it takes four such windows. It is not safe for concurrent use.
type Ramp struct {
	percent   int
	updatedAt time.Duration
}

// NewRamp returns the ramp of a run that begins at the given pace in percent.
func NewRamp(percent int) *Ramp {
	return &Ramp{percent: max(minRamp, min(percent, Full))}
}

// Percent returns the present limit.
func (r *Ramp) Percent() int { return r.percent }

// update changes the limit at most once per window. The measurements at the first
// call may be older than the start of the run, so they don't count.
func (r *Ramp) update(latencyRatio float64, now time.Duration) {
	if r.updatedAt == 0 {
		r.updatedAt = now
	}
	if now-r.updatedAt < window {
		return
	}
	r.updatedAt = now
	switch {
	case latencyRatio > raiseAbove:
		r.percent = max(r.percent/2, minRamp)
	case latencyRatio < goalShare:
		r.percent = min(2*r.percent, Full)
	}
}

// applyRamps updates the ramps and lowers the paces of their runs to them.
func applyRamps(samples []Sample, paces []float64, latencyRatio float64, now time.Duration) {
	for i, s := range samples {
		if s.Ramp == nil {
			continue
		}
		s.Ramp.update(latencyRatio, now)
		paces[i] = min(paces[i], float64(s.Ramp.percent)/Full)
	}
}
