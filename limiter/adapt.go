package limiter

const (
	// slowdownRatio is the ratio of recent to baseline service time above which
	// the limit is lowered, by the factor limitDecrease for each request.
	slowdownRatio = 2.0
	limitDecrease = 0.9
	// recentWeight is the weight of a new service time in the recent average.
	recentWeight = 0.2
	// The baseline follows increases slowly: at 1% for each request it adopts a
	// lasting increase after some hundred requests.
	baselineRiseWeight = 0.01
	// The baseline follows decreases faster, but not at once: normal service times
	// would look slow next to the lowest values of a varying mean.
	baselineFallWeight = 0.05
)

// adapt updates the averages with a service time in nanoseconds. It lowers the
// limit while the endpoint is much slower than its baseline. Otherwise it raises
// the limit by 1/limit.
func (l *Limiter) adapt(serviceTime float64) {
	if l.baseline == 0 {
		l.baseline, l.recentServiceTime = serviceTime, serviceTime
		return
	}
	l.recentServiceTime += recentWeight * (serviceTime - l.recentServiceTime)
	if l.recentServiceTime < l.baseline {
		l.baseline += baselineFallWeight * (l.recentServiceTime - l.baseline)
	} else {
		l.baseline += baselineRiseWeight * (l.recentServiceTime - l.baseline)
	}
	if l.recentServiceTime > slowdownRatio*l.baseline {
		l.limit = max(1, l.limit*limitDecrease)
		return
	}
	l.limit = min(float64(l.Slots), l.limit+1/l.limit)
}
