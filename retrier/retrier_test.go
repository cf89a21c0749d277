package retrier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"damaskspread.example/damaskspread/retrier"
)

// Guards against retries that multiply the load while every request fails.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &retrier.Retrier{
			TokensPerRequest: rapid.Float64Range(0, 0.5).Draw(t, "share"),
			Burst:            rapid.Float64Range(1, 20).Draw(t, "burst"),
		}
		requests := rapid.IntRange(1, 500).Draw(t, "requests")
		retries := 0
		for range requests {
			r.AddRequest()
			for range 3 {
				if r.TakeToken() {
					retries++
				}
			}
		}
		assert.Assert(t, float64(retries) <= r.Burst+r.TokensPerRequest*float64(requests)+1e-6)
	})
}

// Guards against a backoff above its bound and a try timeout beyond the deadline.
func TestBackoffAndTryTimeout(t *testing.T) {
	r := &retrier.Retrier{
		Base:   10 * time.Millisecond,
		Max:    50 * time.Millisecond,
		MinTry: 20 * time.Millisecond,
		Random: rand.New(rand.NewPCG(1, 2)),
	}
	for retry, bound := range map[int]time.Duration{
		1:   10 * time.Millisecond,
		2:   20 * time.Millisecond,
		100: 50 * time.Millisecond,
	} {
		for range 100 {
			pause := r.Backoff(retry)
			assert.Assert(t, pause >= 0 && pause <= bound)
		}
	}
	assert.Equal(t, r.TryTimeout(time.Second, 2), 500*time.Millisecond)
	assert.Equal(t, r.TryTimeout(time.Second, 1), time.Second)
	assert.Equal(t, r.TryTimeout(30*time.Millisecond, 3), 20*time.Millisecond)
	assert.Equal(t, r.TryTimeout(5*time.Millisecond, 3), 5*time.Millisecond)
}
