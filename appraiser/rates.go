package appraiser

import "time"

const (
	// Window is the time over which the rates of ended work are averaged. A shorter
	// one would follow single tasks of some seconds, a longer one a burst's end late.
	Window = 6 * time.Second
	// bucketLength divides Window into a few parts, so that its memory doesn't grow
	// with the number of ends.
	bucketLength = 500 * time.Millisecond
	buckets      = int64(Window / bucketLength)
	// minCovered bounds the rate of a new leader: work that ends during the takeover
	// is reported all at once.
	minCovered = time.Second
)

// window sums the work that ended within the last Window, in core-seconds.
type window struct {
	sums [buckets]float64
	// newest is the number of the latest bucket, counted from clock reading 0.
	newest int64
}

func (w *window) add(now time.Duration, work float64) {
	w.advance(now)
	w.sums[w.newest%buckets] += work
}

// advance drops the buckets that have left the window. The bucket of now is part of
// the window, so that it covers up to bucketLength less than Window.
func (w *window) advance(now time.Duration) {
	current := int64(now / bucketLength)
	if current-w.newest >= buckets {
		clear(w.sums[:])
		w.newest = current
	}
	for w.newest < current {
		w.newest++
		w.sums[w.newest%buckets] = 0
	}
}

// rate returns the average in core-seconds per second since begunAt, at most over
// Window.
func (w *window) rate(now, begunAt time.Duration) float64 {
	w.advance(now)
	sum := 0.0
	for _, bucket := range w.sums {
		sum += bucket
	}
	covered := Window - bucketLength + now%bucketLength
	return sum / max(min(covered, now-begunAt), minCovered).Seconds()
}

// queueRates holds the windows of one queue and what is known of the queue from its
// latest job.
type queueRates struct {
	priority            int32
	service             string
	reserve, bestEffort window
}

func (r *queueRates) window(bestEffort bool) *window {
	if bestEffort {
		return &r.bestEffort
	}
	return &r.reserve
}
