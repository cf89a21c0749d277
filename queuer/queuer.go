// Package queuer provides a bounded in-memory FIFO queue between goroutines.
//
// A Ring holds its items until a reader takes them. It starts no goroutines.
// When the ring is full, Put waits, TryPut returns false, and PutDropOldest
// discards the oldest item.
package queuer

import (
	"context"
	"fmt"
	"sync"
)

// ClosedError is returned by Put after Close, and by Get after Close once the
// ring is empty.
type ClosedError struct {
	Name string
}

func (e *ClosedError) Error() string { return fmt.Sprintf("queue %s is closed", e.Name) }

// Ring is a bounded FIFO ring buffer. It is safe for concurrent use by any
// number of writers and readers.
type Ring[T any] struct {
	name  string
	mu    sync.Mutex
	items []T
	// head is the index of the oldest item.
	head   int
	size   int
	closed bool
	// changed is closed when an item is added or removed, or the ring is closed,
	// while waiters is above zero.
	changed chan struct{}
	waiters int
}

// New returns an empty ring that holds up to capacity items, but at least one.
func New[T any](name string, capacity int) *Ring[T] {
	return &Ring[T]{
		name:    name,
		items:   make([]T, max(capacity, 1)),
		changed: make(chan struct{}),
	}
}

// Name returns the ring's name for metrics and error messages.
func (r *Ring[T]) Name() string { return r.name }

// Capacity returns the maximum number of items in the ring.
func (r *Ring[T]) Capacity() int { return len(r.items) }

// Len returns the current number of items in the ring.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.size
}

// Put adds an item, waiting while the ring is full. It returns a ClosedError
// if the ring is closed, or the error of ctx if ctx ends first.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	for {
		added, closed, changed := r.tryPut(item)
		if added {
			return nil
		}
		if closed {
			return &ClosedError{
				Name: r.name,
			}
		}
		if err := r.waitChange(ctx, changed); err != nil {
			return err
		}
	}
}

// TryPut adds an item without waiting. It returns false if the ring is full or
// closed.
func (r *Ring[T]) TryPut(item T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.size == len(r.items) {
		return false
	}
	r.push(item)
	return true
}

// PutDropOldest adds an item without waiting, discarding the oldest item if the
// ring is full. It reports whether an item was discarded. A closed ring
// discards the new item.
func (r *Ring[T]) PutDropOldest(item T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return true
	}
	dropped := r.size == len(r.items)
	if dropped {
		r.pop()
	}
	r.push(item)
	return dropped
}

// Get removes and returns the oldest item, waiting while the ring is empty. A
// closed ring still returns its remaining items, then a ClosedError. Get
// returns the error of ctx if ctx ends first.
func (r *Ring[T]) Get(ctx context.Context) (T, error) {
	for {
		item, taken, closed, changed := r.tryGet()
		if taken {
			return item, nil
		}
		if closed {
			return item, &ClosedError{
				Name: r.name,
			}
		}
		if err := r.waitChange(ctx, changed); err != nil {
			return item, err
		}
	}
}

// TryGet removes and returns the oldest item without waiting. It returns false
// if the ring is empty.
func (r *Ring[T]) TryGet() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.size == 0 {
		var none T
		return none, false
	}
	return r.pop(), true
}

// Drain removes and returns all items, the oldest first.
func (r *Ring[T]) Drain() []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	items := make([]T, 0, r.size)
	for r.size > 0 {
		items = append(items, r.pop())
	}
	return items
}

// Close makes the ring reject new items and wakes all waiting callers. It may
// be called more than once.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.wakeWaiters()
}

func (r *Ring[T]) tryPut(item T) (added, closed bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false, true, nil
	}
	if r.size < len(r.items) {
		r.push(item)
		return true, false, nil
	}
	r.waiters++
	return false, false, r.changed
}

func (r *Ring[T]) tryGet() (item T, taken, closed bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.size > 0 {
		return r.pop(), true, false, nil
	}
	if r.closed {
		return item, false, true, nil
	}
	r.waiters++
	return item, false, false, r.changed
}

func (r *Ring[T]) waitChange(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Ring[T]) push(item T) {
	r.items[(r.head+r.size)%len(r.items)] = item
	r.size++
	r.wakeWaiters()
}

func (r *Ring[T]) pop() T {
	var none T
	item := r.items[r.head]
	r.items[r.head] = none
	r.head = (r.head + 1) % len(r.items)
	r.size--
	r.wakeWaiters()
	return item
}

// wakeWaiters wakes all waiting callers. It replaces the channel only if a
// caller waits, so that Put and Get allocate nothing otherwise.
func (r *Ring[T]) wakeWaiters() {
	if r.waiters == 0 {
		return
	}
	r.waiters = 0
	close(r.changed)
	r.changed = make(chan struct{})
}
