package queuer_test

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/queuer"
)

// A full ring rejects or discards items as each method documents. A closed
// ring rejects new items and still returns the remaining ones.
func TestFullAndClosedRing(t *testing.T) {
	ring := queuer.New[int]("test", 2)
	assert.Assert(t, ring.TryPut(1))
	assert.Assert(t, ring.TryPut(2))
	assert.Assert(t, !ring.TryPut(3))
	assert.Assert(t, ring.PutDropOldest(3))
	assert.DeepEqual(t, ring.Drain(), []int{2, 3})

	assert.Assert(t, ring.TryPut(4))
	ring.Close()
	assert.Assert(t, !ring.TryPut(5))
	item, err := ring.Get(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, item, 4)
	var closed *queuer.ClosedError
	_, err = ring.Get(context.Background())
	assert.Assert(t, errors.As(err, &closed))
	assert.Assert(t, errors.As(ring.Put(context.Background(), 6), &closed))
}

// Guards against lost wake-ups: with a small ring, one writer and three readers
// often wait for each other, and every item must arrive exactly once.
func TestBlockingPutAndGetPassEveryItemOnce(t *testing.T) {
	const items = 2000
	ring := queuer.New[int]("test", 2)
	ctx := t.Context()
	sums := make(chan int)
	for range 3 {
		go func() {
			sum := 0
			for {
				item, err := ring.Get(ctx)
				if err != nil {
					sums <- sum
					return
				}
				sum += item
			}
		}()
	}
	for i := range items {
		assert.NilError(t, ring.Put(ctx, i))
	}
	ring.Close()
	assert.Equal(t, <-sums+<-sums+<-sums, items*(items-1)/2)
}

// Guards against a caller that stays blocked after its context was canceled.
func TestCanceledContextEndsWait(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	ring := queuer.New[int]("test", 1)
	_, err := ring.Get(ctx)
	assert.Assert(t, errors.Is(err, context.Canceled))
	assert.Assert(t, ring.TryPut(1))
	assert.Assert(t, errors.Is(ring.Put(ctx, 2), context.Canceled))
}
