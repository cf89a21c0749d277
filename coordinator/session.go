package coordinator

import (
	"time"

	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// session is the exchange with one agent about one incarnation of its
// executor. It is guarded by the coordinator's mutex.
type session struct {
	host string
	id   string
	zone string
	info *wire.ExecutorInfo
	key  tracker.ExecutorKey

	reachable    bool
	grantedUntil time.Duration
	heardAt      time.Duration

	// opening is set until the coordinator compared the first list of runs
	// with what it assigned.
	opening bool
	running []*wire.TaskRun
	// measured is set while running holds measurements that no cycle took.
	measured bool
	ends     []*wire.RunEnd
	endsSeen int64
	refusals []*wire.StartRefusal

	orders       []queuedOrder
	lastOrder    int64
	endsRecorded int64
	news         chan struct{}
}

type queuedOrder struct {
	order     *wire.Order
	decidedAt time.Duration
}

// notify wakes the calls that wait in the session.
func (s *session) notify() {
	close(s.news)
	s.news = make(chan struct{})
}

func (s *session) addStart(order *wire.StartOrder, now time.Duration) {
	s.add(&wire.Order{Kind: &wire.Order_Start{Start: order}}, now)
}

func (s *session) addStop(order *wire.StopOrder, now time.Duration) {
	s.add(&wire.Order{Kind: &wire.Order_Stop{Stop: order}}, now)
}

func (s *session) add(order *wire.Order, now time.Duration) {
	s.lastOrder++
	order.Number = s.lastOrder
	s.orders = append(s.orders, queuedOrder{
		order:     order,
		decidedAt: now,
	})
}

// acknowledge forgets orders that the agent has received.
func (s *session) acknowledge(number int64) {
	for len(s.orders) > 0 && s.orders[0].order.GetNumber() <= number {
		s.orders = s.orders[1:]
	}
}

// takeReport merges what the agent reported.
func (s *session) takeReport(request *wire.ExchangeRequest, now time.Duration) bool {
	s.heardAt = now
	s.reachable = request.GetExecutorReachable()
	news := s.info.GetDraining() != request.GetExecutor().GetDraining()
	s.info = request.GetExecutor()
	s.acknowledge(request.GetOrdersReceived())
	if request.GetHasRunning() {
		s.running = request.GetRunning()
		s.measured = true
	}
	for _, end := range request.GetEnds() {
		if end.GetNumber() > s.endsSeen {
			s.endsSeen = end.GetNumber()
			s.ends = append(s.ends, end)
			news = true
		}
	}
	if len(request.GetRefusals()) > 0 {
		s.refusals = append(s.refusals, request.GetRefusals()...)
		news = true
	}
	return news
}

func keyOf(info *wire.ExecutorInfo) tracker.ExecutorKey {
	return tracker.ExecutorKey{
		ID:         info.GetId(),
		BornUnixMs: info.GetBornUnixMs(),
	}
}

// sendable is a copy of the order with its present age; other calls may be
// encoding the original.
func (q queuedOrder) sendable(now time.Duration) *wire.Order {
	return &wire.Order{
		Number: q.order.GetNumber(),
		Kind:   q.order.GetKind(),
		AgeMs:  (now - q.decidedAt).Milliseconds(),
	}
}
