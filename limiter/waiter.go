package limiter

import (
	"time"

	"damaskspread.example/damaskspread"
)

// Waiter is a request that waits for a slot or holds one.
type Waiter struct {
	limiter  *Limiter
	priority int32
	deadline time.Time
	sequence uint64
	started  time.Time
	ready    chan struct{}
	refusal  *damaskspread.RefusalError
	admitted bool // holds a slot or held one
	released bool
}

// Ready is closed when the request is admitted or refused.
func (w *Waiter) Ready() <-chan struct{} { return w.ready }

// Refusal is nil if the request was admitted. It is valid once Ready is closed.
func (w *Waiter) Refusal() *damaskspread.RefusalError { return w.refusal }

// before reports whether w is admitted before other: the higher priority first,
// then the earlier deadline.
func (w *Waiter) before(other *Waiter) bool {
	if w.priority != other.priority {
		return w.priority < other.priority
	}
	return w.earlierDeadline(other)
}

func (w *Waiter) earlierDeadline(other *Waiter) bool {
	if !w.deadline.Equal(other.deadline) {
		return w.deadline.Before(other.deadline)
	}
	return w.sequence < other.sequence
}

func (w *Waiter) refuse(reason damaskspread.Reason, message string, retryAfter time.Duration) {
	w.refusal = damaskspread.NotRun(reason, "%s", message)
	w.refusal.RetryAfter = retryAfter
	close(w.ready)
}

// Release returns the slot of an admitted request; further calls do nothing. Its
// service time adapts the limit if served is set, which means that the request
// reached the endpoint.
func (w *Waiter) Release(served bool) {
	l := w.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if !w.admitted || w.released {
		return
	}
	w.released = true
	now := l.Clock.Now()
	l.running--
	if served {
		l.adapt(float64(now.Sub(w.started)))
	}
	l.fillSlots(now)
	l.signalIfIdle()
}
