package follower

import (
	"context"
	"sync/atomic"

	"damaskspread.example/damaskspread/queuer"
	"damaskspread.example/damaskspread/replayer"
)

// subscriptionCapacity is the number of batches a subscription holds. A full
// subscription is emptied and its reader reloads the state.
const subscriptionCapacity = 1024

// Subscription delivers changes in the order of the log.
type Subscription struct {
	follower *Follower
	ring     *queuer.Ring[[]replayer.Change]
	reload   atomic.Bool
	wake     chan struct{}
}

// Subscribe returns a subscription whose first Next asks for a reload, since
// changes before it are not delivered.
func (f *Follower) Subscribe() *Subscription {
	f.prepare()
	s := &Subscription{
		follower: f,
		ring:     queuer.New[[]replayer.Change]("follower_changes", subscriptionCapacity),
		wake:     make(chan struct{}, 1),
	}
	s.requestReload()
	f.subscribers.Lock()
	defer f.subscribers.Unlock()
	f.subscriptions[s] = struct{}{}
	return s
}

// Close ends the subscription.
func (s *Subscription) Close() {
	s.follower.subscribers.Lock()
	defer s.follower.subscribers.Unlock()
	delete(s.follower.subscriptions, s)
}

// Next waits for changes. When reload is set, changes were lost or the state
// was replaced: the reader takes what it needs from a new View.
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
	f.subscribers.Lock()
	defer f.subscribers.Unlock()
	for s := range f.subscriptions {
		if !s.ring.TryPut(changes) {
			s.requestReload()
			continue
		}
		s.signal()
	}
}

func (f *Follower) publishReload() {
	f.subscribers.Lock()
	defer f.subscribers.Unlock()
	for s := range f.subscriptions {
		s.requestReload()
	}
}
