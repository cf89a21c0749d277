// Package retrier bounds retries: a budget as a share of the requests, backoff
// with jitter, and the time of each try within the caller's deadline. It
// starts no goroutine and owns the budget's tokens.
package retrier

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Retrier is safe for concurrent use. A full outage of the endpoints adds at
// most Share of the requests, plus Burst, as retries.
type Retrier struct {
	// Share is the number of retries that each request earns.
	Share float64
	// Burst is the largest number of saved retries.
	Burst float64
	// Base and Max bound the backoff before a retry.
	Base, Max time.Duration
	// Tries divides the caller's deadline; a try gets at least MinTry.
	Tries  int
	MinTry time.Duration
	// Random is the injected source of the jitter.
	Random *rand.Rand

	mu      sync.Mutex
	tokens  float64
	started bool
}

// Request earns the retry share of one request. It is called once for each
// request, not for each try.
func (r *Retrier) Request() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fill()
	r.tokens = min(r.tokens+r.Share, r.Burst)
}

// Take spends one retry and reports whether the budget allowed it.
func (r *Retrier) Take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fill()
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

func (r *Retrier) fill() {
	if !r.started {
		r.started = true
		r.tokens = r.Burst
	}
}

// Backoff is the pause before the retry with this number, from 1. The whole
// pause is random, so that callers that failed together spread out.
func (r *Retrier) Backoff(retry int) time.Duration {
	ceiling := r.Base
	for i := 1; i < retry && ceiling < r.Max; i++ {
		ceiling *= 2
	}
	ceiling = min(ceiling, r.Max)
	if ceiling <= 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.Random.Int64N(int64(ceiling) + 1))
}

// TryTimeout is the time for one try when left of the caller's deadline
// remains and tries more, including this one, are possible.
func (r *Retrier) TryTimeout(left time.Duration, tries int) time.Duration {
	if tries <= 1 {
		return left
	}
	return min(left, max(left/time.Duration(tries), r.MinTry))
}
