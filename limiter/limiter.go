// Package limiter decides which requests an agent's endpoint runs.
//
// The agent is the only authority over the slots of its endpoint, for all
// entry processes together. The package owns the slots, the queue of waiting
// requests and the adaptive limit. It starts no goroutine: a waiter is woken
// by the release of another request or by its own deadline. The queue is
// bounded by Queue; when it is full, the waiter of the lowest class and latest
// deadline is shed, which may be the new one.
//
// Open question: the wait estimate assumes one service time for all classes.
package limiter

import (
	"context"
	"sync"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

const (
	// fairEvery admits the waiter with the earliest deadline whatever its
	// class, so that a steady load of higher classes can't starve the lowest.
	fairEvery = 8
	// An endpoint is slowing down at this multiple of its usual time.
	slowdown = 2.0
	decrease = 0.9
	// The usual service time follows slow changes only: at 1% for each
	// request a lasting change is accepted after some hundred requests.
	usualWeight  = 0.01
	recentWeight = 0.2
	// Downward the usual time follows faster, but not at once: the minimum of a
	// noisy mean lies far below it, and normal times would then look slow.
	fasterWeight = 0.05
)

// Limiter admits requests. The exported fields are set before the first use.
type Limiter struct {
	Clock damaskspread.Clock
	Slots int
	// Queue is the largest number of waiting requests.
	Queue int

	mu       sync.Mutex
	limit    float64
	running  int
	waiting  []*Waiter
	draining bool
	idle     chan struct{} // closed when the last request ends while draining
	recent   float64       // nanoseconds of service time
	usual    float64
	sequence uint64
	admitted uint64
}

// Waiter is a request that waits for a slot or holds one.
type Waiter struct {
	limiter  *Limiter
	priority int32
	deadline time.Time
	sequence uint64
	started  time.Time
	ready    chan struct{}
	refusal  *damaskspread.RefusalError
	granted  bool
	over     bool
}

// Ready is closed when the request was admitted or refused.
func (w *Waiter) Ready() <-chan struct{} { return w.ready }

// Refusal is the reason of a refusal, nil for an admitted request. It is valid
// once Ready is closed.
func (w *Waiter) Refusal() *damaskspread.RefusalError { return w.refusal }

// Acquire waits for a slot until the deadline. A lower priority number is shed
// later. The returned waiter is released after the request.
func (l *Limiter) Acquire(ctx context.Context, priority int32, deadline time.Time) (*Waiter, *damaskspread.RefusalError) {
	w, refusal := l.Enqueue(priority, deadline)
	if refusal != nil {
		return nil, refusal
	}
	timer := l.Clock.NewTimer(deadline.Sub(l.Clock.Now()))
	defer timer.Stop()
	select {
	case <-w.ready:
	case <-timer.Chan():
		l.cancel(w)
	case <-ctx.Done():
		l.cancel(w)
	}
	if w.refusal != nil {
		return nil, w.refusal
	}
	return w, nil
}

// Enqueue admits a request at once, queues it, or refuses it.
func (l *Limiter) Enqueue(priority int32, deadline time.Time) (*Waiter, *damaskspread.RefusalError) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.start()
	now := l.Clock.Now()
	l.sequence++
	w := &Waiter{
		limiter:  l,
		priority: priority,
		deadline: deadline,
		sequence: l.sequence,
		ready:    make(chan struct{}),
	}
	if l.draining {
		return nil, damaskspread.NotRun(damaskspread.ReasonLeaving, "the endpoint is draining")
	}
	if !now.Before(deadline) {
		return nil, damaskspread.NotRun(damaskspread.ReasonDeadline, "the deadline passed before admission")
	}
	l.dropExpired(now)
	if len(l.waiting) == 0 && l.running < int(l.limit) {
		// Admitted whatever the estimate says: after one very slow request it
		// would otherwise refuse everything and never be corrected.
		l.grant(w, now)
		return w, nil
	}
	ahead := 0
	for _, other := range l.waiting {
		if other.before(w) {
			ahead++
		}
	}
	if wait := l.estimate(ahead); now.Add(wait).After(deadline) {
		refusal := damaskspread.NotRun(damaskspread.ReasonOverloaded,
			"%d requests ahead need about %v, more than the deadline leaves", ahead, wait.Round(time.Microsecond))
		refusal.RetryAfter = max(wait, time.Millisecond)
		return nil, refusal
	}
	l.waiting = append(l.waiting, w)
	l.admit(now)
	if !w.granted && len(l.waiting) > l.Queue {
		l.shed()
		if w.refusal != nil {
			return nil, w.refusal
		}
	}
	return w, nil
}

func (l *Limiter) start() {
	if l.limit == 0 {
		l.limit = float64(l.Slots)
	}
}

// estimate is the time until a request with ahead requests before it ends.
func (l *Limiter) estimate(ahead int) time.Duration {
	free := int(l.limit) - l.running
	if l.recent == 0 || (free > 0 && ahead < free) {
		return time.Duration(l.recent)
	}
	waves := float64(ahead+1) / max(1, float64(int(l.limit)))
	return time.Duration(l.recent * (waves + 1))
}

// before orders waiters: the higher class first, then the earlier deadline.
func (w *Waiter) before(other *Waiter) bool {
	if w.priority != other.priority {
		return w.priority < other.priority
	}
	return w.earlier(other)
}

func (w *Waiter) earlier(other *Waiter) bool {
	if !w.deadline.Equal(other.deadline) {
		return w.deadline.Before(other.deadline)
	}
	return w.sequence < other.sequence
}

// admit fills the free slots from the queue.
func (l *Limiter) admit(now time.Time) {
	l.dropExpired(now)
	for l.running < int(l.limit) && len(l.waiting) > 0 {
		first := (*Waiter).before
		if l.admitted%fairEvery == fairEvery-1 {
			first = (*Waiter).earlier
		}
		l.grant(l.take(first), now)
	}
}

func (l *Limiter) grant(w *Waiter, now time.Time) {
	l.admitted++
	l.running++
	w.granted = true
	w.started = now
	close(w.ready)
}

// take removes the waiter that comes first in an order.
func (l *Limiter) take(first func(a, b *Waiter) bool) *Waiter {
	best := 0
	for i, w := range l.waiting {
		if first(w, l.waiting[best]) {
			best = i
		}
	}
	return l.removeAt(best)
}

func (l *Limiter) removeAt(i int) *Waiter {
	w := l.waiting[i]
	last := len(l.waiting) - 1
	l.waiting[i] = l.waiting[last]
	l.waiting[last] = nil
	l.waiting = l.waiting[:last]
	return w
}

func (l *Limiter) shed() {
	w := l.take(func(a, b *Waiter) bool { return b.before(a) })
	w.refuse(damaskspread.ReasonOverloaded, "the queue is full of requests of this or a higher class", l.estimate(len(l.waiting)))
}

func (w *Waiter) refuse(reason damaskspread.Reason, message string, retryAfter time.Duration) {
	w.refusal = damaskspread.NotRun(reason, "%s", message)
	w.refusal.RetryAfter = retryAfter
	close(w.ready)
}

// dropExpired refuses waiters that would start after their deadline or too
// late to finish within it: running them would only delay the others.
func (l *Limiter) dropExpired(now time.Time) {
	for i := len(l.waiting) - 1; i >= 0; i-- {
		if w := l.waiting[i]; now.Add(time.Duration(l.recent)).After(w.deadline) {
			l.removeAt(i)
			w.refuse(damaskspread.ReasonDeadline, "the deadline passed in the queue", 0)
		}
	}
}

// cancel refuses a waiter that wasn't served; an admitted one keeps its slot.
func (l *Limiter) cancel(w *Waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, other := range l.waiting {
		if other == w {
			l.removeAt(i)
			w.refuse(damaskspread.ReasonDeadline, "the deadline passed in the queue", 0)
			return
		}
	}
}

// Release returns the slot. A request that was served tells the limiter how
// fast the endpoint is; one that never reached it says nothing.
func (w *Waiter) Release(served bool) {
	l := w.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if !w.granted || w.over {
		return
	}
	w.over = true
	now := l.Clock.Now()
	l.running--
	if served {
		l.adapt(float64(now.Sub(w.started)))
	}
	l.admit(now)
	l.signalIdle()
}

// adapt lowers the limit while the endpoint is much slower than usual and
// raises it by about one for each full turn of the slots otherwise.
func (l *Limiter) adapt(took float64) {
	if l.usual == 0 {
		l.usual, l.recent = took, took
		return
	}
	l.recent += recentWeight * (took - l.recent)
	if l.recent < l.usual {
		l.usual += fasterWeight * (l.recent - l.usual)
	} else {
		l.usual += usualWeight * (l.recent - l.usual)
	}
	if l.recent > slowdown*l.usual {
		l.limit = max(1, l.limit*decrease)
		return
	}
	l.limit = min(float64(l.Slots), l.limit+1/l.limit)
}

// Load is the state of the endpoint as the agent reports it.
func (l *Limiter) Load() *wire.EndpointLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.start()
	return &wire.EndpointLoad{
		Running:       int32(l.running),
		Queued:        int32(len(l.waiting)),
		Limit:         int32(l.limit),
		ServiceTimeUs: int64(l.recent) / 1000,
	}
}

// Drain refuses new requests and waits until the admitted and the queued ones
// are done.
func (l *Limiter) Drain(ctx context.Context) error {
	l.mu.Lock()
	if l.idle == nil {
		l.idle = make(chan struct{})
	}
	l.draining = true
	idle := l.idle
	l.signalIdle()
	l.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Limiter) signalIdle() {
	if !l.draining || l.running > 0 || len(l.waiting) > 0 {
		return
	}
	select {
	case <-l.idle:
	default:
		close(l.idle)
	}
}
