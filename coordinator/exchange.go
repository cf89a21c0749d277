package coordinator

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/phuslu/log"

	"damaskspread.example/damaskspread/elector"
	"damaskspread.example/damaskspread/wire"
)

// Exchange implements wireconnect.CoordinatorServiceHandler.
func (c *Coordinator) Exchange(ctx context.Context, request *connect.Request[wire.ExchangeRequest]) (*connect.Response[wire.ExchangeResponse], error) {
	report := request.Msg
	began := c.Elapsed.Elapsed()
	s, response := c.receive(report)
	if response != nil {
		return connect.NewResponse(response), nil
	}
	c.awaitNews(ctx, s, report)
	return connect.NewResponse(c.respond(s, report, began)), nil
}

// receive merges a report into its session. A response tells the agent to go
// elsewhere or to open a new session.
func (c *Coordinator) receive(report *wire.ExchangeRequest) (*session, *wire.ExchangeResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leading {
		return nil, &wire.ExchangeResponse{
			Leader: c.Election.Leader(),
		}
	}
	now := c.Elapsed.Elapsed()
	s := c.sessions[report.GetHost()]
	if report.GetExecutorLeft() {
		return nil, c.takeDeparture(report)
	}
	if s == nil || s.id != report.GetSession() || report.GetEpoch() != c.epoch {
		// A session that is over here is still open to its agent, which would
		// take new orders for old ones.
		if !report.GetOpening() || !report.GetHasRunning() || report.GetEpoch() != c.epoch {
			return nil, &wire.ExchangeResponse{
				Epoch:  c.epoch,
				Reopen: true,
			}
		}
		s = c.openSession(report)
	}
	news := s.takeReport(report, now)
	if s.reachable && c.Election.UnconfirmedFor() < elector.GrantFor {
		s.grantedUntil = now + c.leaseBound()
	}
	if news || s.opening {
		c.signal()
	}
	return s, nil
}

func (c *Coordinator) openSession(report *wire.ExchangeRequest) *session {
	previous := c.sessions[report.GetHost()]
	s := &session{
		host:    report.GetHost(),
		id:      report.GetSession(),
		zone:    report.GetZone(),
		info:    report.GetExecutor(),
		key:     keyOf(report.GetExecutor()),
		opening: true,
		news:    make(chan struct{}),
	}
	if previous != nil {
		previous.notify()
		if previous.key != s.key {
			c.lost = append(c.lost, previous.key)
		}
	}
	s.grantedUntil = c.Elapsed.Elapsed() + c.leaseBound()
	c.sessions[s.host] = s
	log.Info().Str("host", s.host).Str("session", s.id).Str("executor", s.key.ID).
		Int("running", len(report.GetRunning())).Int("ends", len(report.GetEnds())).Msg("session opened")
	return s
}

// awaitNews waits for orders or for recorded ends that the agent lacks.
func (c *Coordinator) awaitNews(ctx context.Context, s *session, report *wire.ExchangeRequest) {
	wait := time.Duration(report.GetWaitMs()) * time.Millisecond
	if wait <= 0 {
		return
	}
	timer := c.Clock.NewTimer(wait)
	defer timer.Stop()
	for {
		c.mu.Lock()
		current := c.sessions[s.host] == s
		news := s.lastOrder > report.GetOrdersReceived() || s.endsRecorded > report.GetEndsRecorded()
		changed := s.news
		c.mu.Unlock()
		if !current || news {
			return
		}
		select {
		case <-changed:
		case <-timer.Chan():
			return
		case <-ctx.Done():
			return
		}
	}
}

func (c *Coordinator) respond(s *session, report *wire.ExchangeRequest, began time.Duration) *wire.ExchangeResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leading || c.sessions[s.host] != s {
		return &wire.ExchangeResponse{
			Epoch:  c.epoch,
			Reopen: c.leading,
			Leader: c.Election.Leader(),
		}
	}
	now := c.Elapsed.Elapsed()
	response := &wire.ExchangeResponse{
		Epoch:        c.epoch,
		EndsRecorded: s.endsRecorded,
		HeldMs:       (now - began).Milliseconds(),
		Unconfirmed:  c.Election.UnconfirmedFor() > elector.ConfirmedFor,
	}
	if response.PressureVersion = c.pressureVersion; report.GetPressureVersion() != c.pressureVersion {
		response.Pressures = c.pressures
	}
	for _, queued := range s.orders {
		if queued.order.GetNumber() <= report.GetOrdersReceived() {
			continue
		}
		response.Orders = append(response.Orders, queued.sendable(now))
	}
	if s.reachable && c.Election.UnconfirmedFor() < elector.GrantFor {
		response.LeaseMs = c.LeaseFor.Milliseconds()
		s.grantedUntil = now + c.leaseBound()
	}
	return response
}

// takeDeparture releases the tasks of an executor that has left.
func (c *Coordinator) takeDeparture(report *wire.ExchangeRequest) *wire.ExchangeResponse {
	key := keyOf(report.GetExecutor())
	if s := c.sessions[report.GetHost()]; s != nil && s.key == key {
		delete(c.sessions, report.GetHost())
		s.notify()
	}
	c.lost = append(c.lost, key)
	c.signal()
	return &wire.ExchangeResponse{
		Epoch: c.epoch,
	}
}

// FindLeader implements wireconnect.CoordinatorServiceHandler.
func (c *Coordinator) FindLeader(context.Context, *connect.Request[wire.FindLeaderRequest]) (*connect.Response[wire.FindLeaderResponse], error) {
	return connect.NewResponse(&wire.FindLeaderResponse{
		Leader: c.Election.Leader(),
	}), nil
}
