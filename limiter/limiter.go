// Package limiter limits the concurrent requests at an agent's endpoint and queues
// or refuses the others.
//
// The agent alone assigns the slots of its endpoint, across the requests of all
// entry processes. A Limiter owns the slots, the queue of waiting requests and
// the adaptive limit. It starts no goroutine: a waiter is woken when another
// request is released or its own deadline passes. The queue is bounded by
// MaxQueued. When it is full, the waiter of the lowest priority and latest deadline
// is refused, which may be the new one.
//
// Limitation: the wait estimate assumes one service time for all priorities.
package limiter

import (
	"context"
	"errors"
	"sync"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// Every fairnessInterval-th admission takes the waiter with the earliest deadline
// whatever its priority, so that a steady load of higher priorities can't starve the
// lowest.
const fairnessInterval = 8

// Limiter admits requests. The exported fields are set before the first use. It is
// safe for concurrent use.
type Limiter struct {
	Clock damaskspread.Clock
	// Slots is the largest number of requests that run at once.
	Slots int
	// MaxQueued is the largest number of waiting requests.
	MaxQueued int

	mu                sync.Mutex
	limit             float64 // adaptive, from 1 to Slots; 0 before the first use
	running           int
	waiting           []*Waiter
	draining          bool
	idle              chan struct{} // closed when the last request ends while draining
	recentServiceTime float64       // moving average of the service time in nanoseconds
	baseline          float64       // slower moving average of recentServiceTime
	sequence          uint64        // of the last waiter
	admissions        uint64        // number of admissions
}

// Acquire waits for a slot until the deadline passes or the context ends. A lower
// number is a higher priority: admitted earlier, refused later. The caller calls
// Release of the returned waiter after the request.
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
		l.cancel(w, damaskspread.ReasonDeadline, "the deadline passed while the request was queued")
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.Canceled) {
			l.cancel(w, damaskspread.ReasonCanceled, "the caller canceled the request while it was queued")
		} else {
			l.cancel(w, damaskspread.ReasonDeadline, "the deadline passed while the request was queued")
		}
	}
	if w.refusal != nil {
		return nil, w.refusal
	}
	return w, nil
}

// Enqueue admits a request, queues it, or refuses it, without waiting. The returned
// waiter may be refused later; see Ready.
func (l *Limiter) Enqueue(priority int32, deadline time.Time) (*Waiter, *damaskspread.RefusalError) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initLimit()
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
		return nil, damaskspread.NotRun(damaskspread.ReasonLeaving, "the endpoint is leaving")
	}
	if !now.Before(deadline) {
		return nil, damaskspread.NotRun(damaskspread.ReasonDeadline, "the deadline passed before admission")
	}
	l.refuseTooLate(now)
	if len(l.waiting) == 0 && l.running < int(l.limit) {
		// With a free slot, the estimate is ignored: after one very slow request it
		// would refuse all requests, and without requests it would never be
		// corrected.
		l.admit(w, now)
		return w, nil
	}
	if refusal := l.checkEstimate(w, now); refusal != nil {
		return nil, refusal
	}
	l.waiting = append(l.waiting, w)
	l.fillSlots(now)
	if !w.admitted && len(l.waiting) > l.MaxQueued {
		l.refuseLast()
		if w.refusal != nil {
			return nil, w.refusal
		}
	}
	return w, nil
}

// checkEstimate refuses a request that would end after its deadline if it had to
// wait for those before it in the queue.
func (l *Limiter) checkEstimate(w *Waiter, now time.Time) *damaskspread.RefusalError {
	ahead := 0
	for _, other := range l.waiting {
		if other.before(w) {
			ahead++
		}
	}
	untilEnd := l.estimateEnd(ahead)
	if !now.Add(untilEnd).After(w.deadline) {
		return nil
	}
	refusal := damaskspread.NotRun(damaskspread.ReasonOverloaded,
		"%d requests are ahead; this one would end in about %v, after its deadline", ahead, untilEnd.Round(time.Microsecond))
	refusal.RetryAfter = max(untilEnd, time.Millisecond)
	return refusal
}

func (l *Limiter) initLimit() {
	if l.limit == 0 {
		l.limit = float64(l.Slots)
	}
}

// estimateEnd predicts the time until a request with ahead requests before it in
// the queue has ended: the wait for a slot and one service time.
func (l *Limiter) estimateEnd(ahead int) time.Duration {
	free := int(l.limit) - l.running
	if l.recentServiceTime == 0 || (free > 0 && ahead < free) {
		return time.Duration(l.recentServiceTime)
	}
	waitServiceTimes := float64(ahead+1) / max(1, float64(int(l.limit)))
	return time.Duration(l.recentServiceTime * (waitServiceTimes + 1))
}

// fillSlots admits waiters from the queue while slots are free.
func (l *Limiter) fillSlots(now time.Time) {
	l.refuseTooLate(now)
	for l.running < int(l.limit) && len(l.waiting) > 0 {
		less := (*Waiter).before
		if l.admissions%fairnessInterval == fairnessInterval-1 {
			less = (*Waiter).earlierDeadline
		}
		l.admit(l.removeFirst(less), now)
	}
}

func (l *Limiter) admit(w *Waiter, now time.Time) {
	l.admissions++
	l.running++
	w.admitted = true
	w.started = now
	close(w.ready)
}

// removeFirst removes and returns the first waiter of the queue in the order of
// less.
func (l *Limiter) removeFirst(less func(a, b *Waiter) bool) *Waiter {
	best := 0
	for i, w := range l.waiting {
		if less(w, l.waiting[best]) {
			best = i
		}
	}
	return l.removeAt(best)
}

// removeAt changes the order of the queue: the last waiter takes the free place.
func (l *Limiter) removeAt(i int) *Waiter {
	w := l.waiting[i]
	last := len(l.waiting) - 1
	l.waiting[i] = l.waiting[last]
	l.waiting[last] = nil
	l.waiting = l.waiting[:last]
	return w
}

// refuseLast refuses the waiter that would be admitted last.
func (l *Limiter) refuseLast() {
	w := l.removeFirst(func(a, b *Waiter) bool { return b.before(a) })
	w.refuse(damaskspread.ReasonOverloaded, "the queue is full of requests of this or a higher priority", l.estimateEnd(len(l.waiting)))
}

// refuseTooLate refuses waiters whose deadline has passed or is too close for the
// recent service time: running them would only delay the others.
func (l *Limiter) refuseTooLate(now time.Time) {
	for i := len(l.waiting) - 1; i >= 0; i-- {
		if w := l.waiting[i]; now.Add(time.Duration(l.recentServiceTime)).After(w.deadline) {
			l.removeAt(i)
			w.refuse(damaskspread.ReasonDeadline, "the time left before the deadline became shorter than the recent service time", 0)
		}
	}
}

// cancel refuses a waiter that is still queued; an admitted one keeps its slot.
func (l *Limiter) cancel(w *Waiter, reason damaskspread.Reason, message string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, other := range l.waiting {
		if other == w {
			l.removeAt(i)
			w.refuse(reason, message, 0)
			return
		}
	}
}

// Load returns the endpoint's load as the agent reports it to entry processes.
func (l *Limiter) Load() *wire.EndpointLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initLimit()
	return &wire.EndpointLoad{
		Running:       int32(l.running),
		Queued:        int32(len(l.waiting)),
		Limit:         int32(l.limit),
		ServiceTimeUs: int64(l.recentServiceTime) / 1000,
	}
}

// Drain refuses new requests from now on, and waits until the admitted and the
// queued ones have ended. It returns the context's error if that ends first.
func (l *Limiter) Drain(ctx context.Context) error {
	l.mu.Lock()
	if l.idle == nil {
		l.idle = make(chan struct{})
	}
	l.draining = true
	idle := l.idle
	l.signalIfIdle()
	l.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// signalIfIdle ends Drain once no request is running or queued.
func (l *Limiter) signalIfIdle() {
	if !l.draining || l.running > 0 || len(l.waiting) > 0 {
		return
	}
	select {
	case <-l.idle:
	default:
		close(l.idle)
	}
}
