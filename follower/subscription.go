package follower

import (
	"context"
	"sync/atomic"

	"damaskspread.example/damaskspread/queuer"
	"damaskspread.example/damaskspread/replayer"
)

// subscriptionCapacity is the maximum number of batches of changes that wait in
// a subscription. When it is full, the changes are dropped and the reader is
// told to reload the state.
const subscriptionCapacity = 1024

// Subscription delivers the changes of the state to one reader, in log order.
type Subscription struct {
	follower *Follower
	ring     *queuer.Ring[[]replayer.Change]
	reload   atomic.Bool
	wake     chan struct{}
}

// Subscribe returns a new subscription. Its first Next returns reload, because
// changes before the subscription are not delivered.
func (f *Follower) Subscribe() *Subscription {
	f.prepare()
	s := &Subscription{
		follower: f,
		ring:     queuer.New[[]replayer.Change]("follower_changes", subscriptionCapacity),
		wake:     make(chan struct{}, 1),
	}
	s.requestReload()
	f.subscriptionsMu.Lock()
	defer f.subscriptionsMu.Unlock()
	f.subscriptions[s] = struct{}{}
	return s
}

// Close ends the delivery of changes. It does not wake a waiting Next.
func (s *Subscription) Close() {
	s.follower.subscriptionsMu.Lock()
	defer s.follower.subscriptionsMu.Unlock()
	delete(s.follower.subscriptions, s)
}

// Next waits for changes and returns all that are available. When reload is
// set, changes were dropped or the state was replaced by a snapshot, and the
// reader must read the whole state again with View.
func (s *Subscription) Next(ctx context.Context) (changes []replayer.Change, reload bool, err error) {
	for {
		if s.reload.Swap(false) {
			s.ring.Drain()
			return nil, true, nil
		}
		for _, batch := range s.ring.Drain() {
			changes = append(changes, batch...)
		}
		if len(changes) > 0 {
			return changes, false, nil
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
}

func (s *Subscription) requestReload() {
	s.reload.Store(true)
	s.signal()
}

func (s *Subscription) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (f *Follower) publish(changes []replayer.Change) {
	if len(changes) == 0 {
		return
	}
	f.subscriptionsMu.Lock()
	defer f.subscriptionsMu.Unlock()
	for s := range f.subscriptions {
		if !s.ring.TryPut(changes) {
			s.requestReload()
			continue
		}
		s.signal()
	}
}

func (f *Follower) publishReload() {
	f.subscriptionsMu.Lock()
	defer f.subscriptionsMu.Unlock()
	for s := range f.subscriptions {
		s.requestReload()
	}
}
