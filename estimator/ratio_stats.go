package estimator

import "math"

const (
	// maxSampleCount bounds the weight of the past: from then on each sample counts
	// 1/maxSampleCount of the mean. Tasks of a kind change with its releases,
	// about daily.
	maxSampleCount = 50
	// priorSamples is the weight of the declared value, in samples.
	priorSamples = 3
	// priorDeviation is the standard deviation, relative to the declared value,
	// that is assumed before any sample.
	priorDeviation = 0.5
)

// ratioStats is the running mean and variance of the ratio of measured to
// declared values. Old samples lose weight exponentially.
type ratioStats struct {
	count    float64
	mean     float64
	variance float64
}

func (a *ratioStats) add(v float64) {
	a.count = min(a.count+1, maxSampleCount)
	step := 1 / a.count
	d := v - a.mean
	a.mean += step * d
	a.variance = (1 - step) * (a.variance + step*d*d)
}

// posterior returns the expected ratio to the declared value and its standard
// deviation, with the prior taken into account.
func (a *ratioStats) posterior() (ratio, deviation float64) {
	total := a.count + priorSamples
	ratio = (a.count*a.mean + priorSamples) / total
	variance := (a.count*a.variance + priorSamples*priorDeviation*priorDeviation) / total
	return ratio, math.Sqrt(variance)
}
