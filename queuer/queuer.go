// Package queuer provides the bounded ring buffer that connects goroutines.
//
// A Ring owns its items until they are taken. It starts no goroutine. When the
// ring is full, the writer chooses what happens: Put waits, TryPut refuses,
// and PutDropOldest discards the oldest item.
package queuer

import (
	"context"
	"fmt"
	"sync"
)

// ClosedError means that the ring takes no more items and is empty.
type ClosedError struct {
	Name string
}

func (e *ClosedError) Error() string { return fmt.Sprintf("queue %s is closed", e.Name) }

// Ring is a bounded first-in, first-out buffer for any number of writers and
// readers.
type Ring[T any] struct {
	name    string
	mu      sync.Mutex
	items   []T
	head    int
	size    int
	closed  bool
	changed chan struct{}
	waiting int
}

// New returns an empty ring. A capacity below one counts as one.
func New[T any](name string, capacity int) *Ring[T] {
	return &Ring[T]{
		name:    name,
		items:   make([]T, max(capacity, 1)),
		changed: make(chan struct{}),
	}
}

// Name identifies the ring in metrics and errors.
func (r *Ring[T]) Name() string { return r.name }

// Capacity is the largest number of items that the ring holds.
func (r *Ring[T]) Capacity() int { return len(r.items) }

// Len is the number of items in the ring.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.size
}

// Put adds an item and waits while the ring is full.
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
		if err := r.await(ctx, changed); err != nil {
			return err
		}
	}
}

// TryPut adds an item unless the ring is full or closed.
func (r *Ring[T]) TryPut(item T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.size == len(r.items) {
		return false
	}
	r.push(item)
	return true
}

// PutDropOldest adds an item and reports whether it discarded the oldest one
// to make room. A closed ring discards the new item.
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

// Get takes the oldest item and waits while the ring is empty. A closed ring
// still gives out its remaining items.
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
		if err := r.await(ctx, changed); err != nil {
			return item, err
		}
	}
}

// TryGet takes the oldest item if there is one.
func (r *Ring[T]) TryGet() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.size == 0 {
		var none T
		return none, false
	}
	return r.pop(), true
}

// Drain takes all items.
func (r *Ring[T]) Drain() []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	items := make([]T, 0, r.size)
	for r.size > 0 {
		items = append(items, r.pop())
	}
	return items
}

// Close makes the ring refuse new items and wakes all waiting callers.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.wake()
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
	r.waiting++
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
	r.waiting++
	return item, false, false, r.changed
}

func (r *Ring[T]) await(ctx context.Context, changed <-chan struct{}) error {
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
	r.wake()
}

func (r *Ring[T]) pop() T {
	var none T
	item := r.items[r.head]
	r.items[r.head] = none
	r.head = (r.head + 1) % len(r.items)
	r.size--
	r.wake()
	return item
}

// wake allocates a new channel only while someone waits, so that a busy ring
// passes items without allocation.
func (r *Ring[T]) wake() {
	if r.waiting == 0 {
		return
	}
	r.waiting = 0
	close(r.changed)
	r.changed = make(chan struct{})
}
