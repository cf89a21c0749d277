// Package retrier limits retries: a token-bucket budget in proportion to the
// requests, exponential backoff with jitter, and a timeout for each try within the
// caller's deadline. It sends nothing itself and starts no goroutine. A Retrier
// owns the tokens of its budget, one token a retry.
package retrier

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Retrier is safe for concurrent use. The exported fields are set before the first
// use. If every request fails, the retries are at most TokensPerRequest of the
// requests, plus Burst.
type Retrier struct {
	// TokensPerRequest is the number of tokens that each request adds.
	TokensPerRequest float64
	// Burst is the capacity of the budget in tokens. It is full at the start.
	Burst float64
	// Base and Max bound the backoff before a retry.
	Base, Max time.Duration
	// MinTry is the shortest timeout of a try while more time remains.
	MinTry time.Duration
	// Random is the injected source of the jitter.
	Random *rand.Rand

	mu          sync.Mutex
	tokens      float64
	initialized bool
}

// AddRequest adds the tokens of one request to the budget. It is called once for
// each request, not for each try.
func (r *Retrier) AddRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initTokens()
	r.tokens = min(r.tokens+r.TokensPerRequest, r.Burst)
}

// TakeToken removes one token for a retry. It returns false if the budget has none.
func (r *Retrier) TakeToken() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initTokens()
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

func (r *Retrier) initTokens() {
	if !r.initialized {
		r.initialized = true
		r.tokens = r.Burst
	}
}

// Backoff is the pause before the retry with this number, from 1. It is random
// between 0 and the exponential bound (full jitter), so that requests that failed
// together are not retried together.
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

// TryTimeout is the timeout of the next try, given the time that remains before
// the caller's deadline and the number of tries left, with this one.
func (r *Retrier) TryTimeout(remaining time.Duration, triesLeft int) time.Duration {
	if triesLeft <= 1 {
		return remaining
	}
	return min(remaining, max(remaining/time.Duration(triesLeft), r.MinTry))
}
