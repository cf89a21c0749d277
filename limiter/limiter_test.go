package limiter_test

import (
	"context"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/limiter"
)

// newLimiter returns a limiter with 8 slots.
func newLimiter(queue int) (*limiter.Limiter, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return &limiter.Limiter{
		Clock:     clock,
		Slots:     8,
		MaxQueued: queue,
	}, clock
}

func isReady(w *limiter.Waiter) bool {
	select {
	case <-w.Ready():
		return true
	default:
		return false
	}
}

func admitted(w *limiter.Waiter) bool { return isReady(w) && w.Refusal() == nil }

// Guards against more running requests than slots, against waiters that are
// neither admitted nor refused, and against slots that are never returned.
func TestRunningNeverExceedsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, clock := newLimiter(rapid.IntRange(0, 10).Draw(t, "queue"))
		var open []*limiter.Waiter
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				w, _ := l.Enqueue(int32(rapid.IntRange(0, 2).Draw(t, "class")),
					clock.Now().Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms"))*time.Millisecond))
				if w != nil {
					open = append(open, w)
				}
			case 1:
				clock.Advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "pass")) * time.Millisecond)
			default:
				if len(open) > 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
					if isReady(open[i]) {
						open[i].Release(rapid.Bool().Draw(t, "served"))
						open = append(open[:i], open[i+1:]...)
					}
				}
			}
			running := 0
			for _, w := range open {
				if admitted(w) {
					running++
				}
			}
			assert.Assert(t, running <= 8)
			assert.Equal(t, int32(running), l.Load().GetRunning())
		}
		clock.Advance(time.Second)
		for _, w := range open {
			w.Release(false)
		}
		for _, w := range open {
			w.Release(false)
		}
		assert.Equal(t, l.Load().GetRunning(), int32(0))
		assert.Equal(t, l.Load().GetQueued(), int32(0))
	})
}

// Guards against refusing a request while one of a lower priority waits.
func TestLowestPriorityIsRefusedFirst(t *testing.T) {
	l, clock := newLimiter(2)
	farDeadline := clock.Now().Add(time.Hour)
	for range 8 {
		_, refusal := l.Enqueue(0, farDeadline)
		assert.Assert(t, refusal == nil)
	}
	lowest, _ := l.Enqueue(2, farDeadline)
	middle, _ := l.Enqueue(1, farDeadline)
	highest, refusal := l.Enqueue(0, farDeadline)
	assert.Assert(t, refusal == nil)
	assert.Assert(t, isReady(lowest))
	assert.Equal(t, lowest.Refusal().Reason, damaskspread.ReasonOverloaded)
	assert.Assert(t, !isReady(middle) && !isReady(highest))
	_, refusal = l.Enqueue(2, farDeadline)
	assert.Equal(t, refusal.Reason, damaskspread.ReasonOverloaded)
}

// Guards against queueing a request that can't finish within its deadline, and
// against a limit that stays high while the endpoint slows down.
func TestEarlyRefusalAndAdaptiveLimit(t *testing.T) {
	l, clock := newLimiter(100)
	serve := func(serviceTime time.Duration) {
		w, refusal := l.Enqueue(0, clock.Now().Add(time.Hour))
		assert.Assert(t, refusal == nil)
		clock.Advance(serviceTime)
		w.Release(true)
	}
	for range 50 {
		serve(10 * time.Millisecond)
	}
	for range 8 {
		_, refusal := l.Enqueue(0, clock.Now().Add(time.Hour))
		assert.Assert(t, refusal == nil)
	}
	_, refusal := l.Enqueue(0, clock.Now().Add(5*time.Millisecond))
	assert.Equal(t, refusal.Reason, damaskspread.ReasonOverloaded)
	assert.Assert(t, refusal.RetryAfter > 0)
	l, clock = newLimiter(100)
	for range 50 {
		serve(10 * time.Millisecond)
	}
	for range 15 {
		serve(100 * time.Millisecond)
	}
	assert.Assert(t, l.Load().GetLimit() < 8)
	for range 300 {
		serve(10 * time.Millisecond)
	}
	assert.Equal(t, l.Load().GetLimit(), int32(8))
}

// Guards against a limit that falls because of normal variance of the service
// times.
func TestServiceTimeVarianceKeepsLimit(t *testing.T) {
	l, clock := newLimiter(100)
	random := rand.New(rand.NewPCG(1, 1))
	lowered := 0
	for range 5_000 {
		w, refusal := l.Enqueue(0, clock.Now().Add(time.Hour))
		assert.Assert(t, refusal == nil)
		clock.Advance(time.Duration(float64(20*time.Millisecond) * math.Exp(0.6*random.NormFloat64())))
		w.Release(true)
		if l.Load().GetLimit() < 8 {
			lowered++
		}
	}
	assert.Assert(t, lowered < 250, "%d of 5000 requests met a lowered limit, want fewer than 250", lowered)
}

// Guards, at twice the load that can be served, against admitted requests that
// miss their deadline, and against starving the lowest priority.
func TestGoodputUnderOverload(t *testing.T) {
	const service = 10 * time.Millisecond
	l, clock := newLimiter(64)
	type request struct {
		w        *limiter.Waiter
		class    int
		deadline time.Time
		end      time.Time
	}
	var queued, running []*request
	inTime := [3]int{}
	late, arrivals := 0, 0
	for ms := range 10_000 {
		now := clock.Now()
		kept := running[:0]
		for _, j := range running {
			if j.end.After(now) {
				kept = append(kept, j)
				continue
			}
			j.w.Release(true)
			if now.After(j.deadline) {
				late++
			} else {
				inTime[j.class]++
			}
		}
		running = kept
		// 16 arrivals in 10 ms are twice the 8 that can be served.
		for i := range []int{1, 2, 2, 1, 2}[ms%5] {
			arrivals++
			j := &request{
				class:    (ms + i) % 3,
				deadline: now.Add(100 * time.Millisecond),
			}
			if w, refusal := l.Enqueue(int32(j.class), j.deadline); refusal == nil {
				j.w = w
				queued = append(queued, j)
			}
		}
		waiting := queued[:0]
		for _, j := range queued {
			switch {
			case !isReady(j.w):
				waiting = append(waiting, j)
			case j.w.Refusal() == nil:
				j.end = now.Add(service)
				running = append(running, j)
			}
		}
		queued = waiting
		clock.Advance(time.Millisecond)
	}
	total := inTime[0] + inTime[1] + inTime[2]
	t.Logf("arrivals %d, in time %v, late %d", arrivals, inTime, late)
	// At least 95% of the possible requests end in time; under 2% as many are late.
	assert.Assert(t, total >= 7600, "%d of 8000 possible requests ended in time, want 7600", total)
	assert.Assert(t, inTime[2] > 0)
	assert.Assert(t, inTime[0] > inTime[2])
	assert.Assert(t, late < total/50)
}

// Guards against a drain that returns before a running request has ended, or that
// admits new ones.
func TestDrain(t *testing.T) {
	l, clock := newLimiter(4)
	w, _ := l.Enqueue(0, clock.Now().Add(time.Minute))
	done := make(chan error, 1)
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	assert.ErrorIs(t, l.Drain(canceled), context.Canceled)
	go func() { done <- l.Drain(context.Background()) }()
	_, refusal := l.Enqueue(0, clock.Now().Add(time.Minute))
	assert.Equal(t, refusal.Reason, damaskspread.ReasonLeaving)
	w.Release(true)
	assert.NilError(t, <-done)
}

// Guards against a waiter that stays in the queue after its deadline.
func TestAcquireEndsAtDeadline(t *testing.T) {
	l, clock := newLimiter(4)
	for range 8 {
		_, refusal := l.Acquire(context.Background(), 0, clock.Now().Add(time.Hour))
		assert.Assert(t, refusal == nil)
	}
	result := make(chan *damaskspread.RefusalError, 1)
	go func() {
		_, refusal := l.Acquire(context.Background(), 0, clock.Now().Add(time.Second))
		result <- refusal
	}()
	assert.NilError(t, clock.BlockUntilContext(context.Background(), 1))
	clock.Advance(time.Second)
	assert.Equal(t, (<-result).Reason, damaskspread.ReasonDeadline)
	assert.Equal(t, l.Load().GetQueued(), int32(0))
}

// Guards against telling a caller that canceled its request that the deadline
// passed, and against a canceled waiter that stays in the queue.
func TestCanceledWhileQueued(t *testing.T) {
	l, clock := newLimiter(4)
	for range 8 {
		_, refusal := l.Acquire(context.Background(), 0, clock.Now().Add(time.Hour))
		assert.Assert(t, refusal == nil)
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	_, refusal := l.Acquire(canceled, 0, clock.Now().Add(time.Hour))
	assert.Equal(t, refusal.Reason, damaskspread.ReasonCanceled)
	assert.Equal(t, l.Load().GetQueued(), int32(0))
}

// Guards against an estimate that, after one slow request, refuses all requests
// that could correct it.
func TestRecoversFromOneSlowRequest(t *testing.T) {
	l, clock := newLimiter(4)
	w, _ := l.Enqueue(0, clock.Now().Add(time.Minute))
	clock.Advance(30 * time.Second)
	w.Release(true)
	_, refusal := l.Enqueue(0, clock.Now().Add(time.Second))
	assert.Assert(t, refusal == nil)
}
