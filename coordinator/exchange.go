package coordinator

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/phuslu/log"

	"damaskspread.example/damaskspread/elector"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/wire"
)

// sessionTokenBits is the number of low bits of a fencing token that number the
// sessions of one leader. The higher ones hold its epoch, so the first token of a
// leader is higher than all of the leaders before. Epochs up to 2^33 keep the token
// within the integers that JSON numbers represent exactly.
const sessionTokenBits = 20

const (
	// tokensPerSession lets an agent call a life of its executor that may be a new one with
	// a newer token than that of the starts before, also while no leader responds.
	tokensPerSession = 16
	// lastSharedToken is the number up to which sessions get more than one token. It leaves
	// the sessions of a leader that leads for long half of the numbers.
	lastSharedToken = 1 << (sessionTokenBits - 1)
)

// Exchange implements wireconnect.CoordinatorServiceHandler. It is a long poll:
// it merges the agent's report and returns when there are orders for the agent or
// the requested wait has passed.
func (c *Coordinator) Exchange(ctx context.Context, request *connect.Request[wire.ExchangeRequest]) (*connect.Response[wire.ExchangeResponse], error) {
	report := request.Msg
	if report.GetExecutorLeft() || report.GetExecutorSilent() {
		return connect.NewResponse(c.exchangeAbsence(ctx, report)), nil
	}
	receivedAt := c.Elapsed.Elapsed()
	s, response := c.mergeReport(report)
	if response != nil {
		return connect.NewResponse(response), nil
	}
	c.waitForUpdate(ctx, s, report)
	return connect.NewResponse(c.respond(s, report, receivedAt)), nil
}

// mergeReport merges a report into the agent's session. If the report can't be used, the
// session is nil and the response is final.
func (c *Coordinator) mergeReport(report *wire.ExchangeRequest) (*session, *wire.ExchangeResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leading {
		return nil, &wire.ExchangeResponse{
			Leader: c.Elector.Leader(),
		}
	}
	now := c.Elapsed.Elapsed()
	c.agentCalls.record(now)
	s := c.sessions[report.GetHost()]
	if s == nil || s.id != report.GetSession() || report.GetEpoch() != c.epoch {
		// The agent may still consider a session open that has ended here. It
		// would drop new orders as already received, because a new session
		// numbers them from 1 again. A late opening would release the runs of
		// the present executor.
		if c.histories[report.GetHost()].isLate(report) || !report.GetOpening() || !report.GetHasRunning() || report.GetEpoch() != c.epoch {
			return nil, c.reopen()
		}
		s = c.openSession(report)
	}
	updated := s.applyReport(report, now)
	if s.reachable && c.leaseLeft() > 0 {
		s.leaseEnd = max(s.leaseEnd, now+c.leaseBound())
	}
	if updated || s.opening || s.reachable && !s.granting {
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
		token:   report.GetToken(),
		opening: true,

		openedAt:  c.Elapsed.Elapsed(),
		startsDue: true,

		sentSteps: map[string]bool{},

		updated: make(chan struct{}),
	}
	if previous != nil {
		c.endSession(previous, s)
	}
	c.beginLease(s, report)
	c.sessions[s.host] = s
	if c.histories[s.host] == nil {
		c.histories[s.host] = &hostHistory{}
	}
	c.histories[s.host].add(s)
	log.Info().Str("host", s.host).Str("session", s.id).Str("executor", s.key.ID).Int64("born", s.key.BornUnixMs).
		Int("running", len(report.GetRunning())).Int("ends", len(report.GetEnds())).Msg("session opened")
	return s
}

// endSession ends a session that another one of its host follows. The executor of the
// previous one is lost if that of the next one is another incarnation.
func (c *Coordinator) endSession(previous, next *session) {
	previous.notify()
	if previous.key == next.key {
		return
	}
	c.arrivals.lostExecutors = append(c.arrivals.lostExecutors, lostExecutor{
		key:        previous.key,
		host:       previous.host,
		service:    previous.info.GetService(),
		session:    previous.id,
		cause:      tracer.LossReplaced,
		replacedBy: next.id,
	})
	if end, witnessed := witnessedEndOf(previous, next); witnessed {
		c.arrivals.witnessedEnds = append(c.arrivals.witnessedEnds, end)
	}
}

// beginLease sets how long the executor of a new session may hold a lease.
func (c *Coordinator) beginLease(s *session, report *wire.ExchangeRequest) {
	s.granting = c.mayGrant(s.host, s.key)
	// An earlier session may have granted a lease until now.
	s.lastGrantAt = c.Elapsed.Elapsed()
	s.leaseEnd = s.lastGrantAt + c.leaseBound()
	if len(report.GetRunning()) > 0 && c.storedSession(s.host, s.key) == nil {
		// The runs may have a lease of a leader of an earlier version.
		s.leaseEnd = s.lastGrantAt + c.earlierLeaseBound()
	}
}

// reopen makes an agent open a new session, with fencing tokens of its own: once the
// executor has seen one, calls that were sent for an earlier session, by an earlier
// process of the agent or for an earlier incarnation under the same id have no effect.
// The caller holds the mutex.
func (c *Coordinator) reopen() *wire.ExchangeResponse {
	first, count := c.issuedTokens+1, int64(1)
	if c.issuedTokens < lastSharedToken {
		count = tokensPerSession
	}
	c.issuedTokens += count
	return &wire.ExchangeResponse{
		Epoch:      c.epoch,
		Reopen:     true,
		Token:      c.epoch<<sessionTokenBits + first,
		TokenCount: count,
	}
}

// waitForUpdate waits until there are orders, records of run ends or exposures, or a first
// lease that the agent has not received, the session has ended, or the requested wait has
// passed.
func (c *Coordinator) waitForUpdate(ctx context.Context, s *session, report *wire.ExchangeRequest) {
	wait := time.Duration(report.GetWaitMs()) * time.Millisecond
	if wait <= 0 {
		return
	}
	timer := c.Clock.NewTimer(wait)
	defer timer.Stop()
	for {
		c.mu.Lock()
		current := c.sessions[s.host] == s
		updated := s.leaseDue && s.reachable || s.lastOrder > report.GetOrdersReceived() || s.endsRecorded > report.GetEndsRecorded() ||
			s.exposuresRecorded > report.GetExposuresRecorded()
		changed := s.updated
		c.mu.Unlock()
		if !current || updated {
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

// respond builds the response with all orders that the agent has not received,
// and extends its lease.
func (c *Coordinator) respond(s *session, report *wire.ExchangeRequest, receivedAt time.Duration) *wire.ExchangeResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leading {
		return &wire.ExchangeResponse{
			Epoch:  c.epoch,
			Leader: c.Elector.Leader(),
		}
	}
	if c.sessions[s.host] != s {
		return c.reopen()
	}
	now := c.Elapsed.Elapsed()
	response := &wire.ExchangeResponse{
		Epoch:             c.epoch,
		EndsRecorded:      s.endsRecorded,
		ExposuresRecorded: s.exposuresRecorded,
		HeldMs:            (now - receivedAt).Milliseconds(),
		Unconfirmed:       c.Elector.ConfirmationAge() > elector.ConfirmationTimeout,
	}
	if response.PressureVersion = c.pressures.version; report.GetPressureVersion() != c.pressures.version {
		response.Pressures = c.pressures.pairs
	}
	for _, queued := range s.orders {
		if queued.order.GetNumber() <= report.GetOrdersReceived() {
			continue
		}
		response.Orders = append(response.Orders, queued.message(now))
	}
	if left := c.leaseLeft(); s.granting && s.reachable && left > 0 {
		response.LeaseMs = left.Milliseconds()
		s.leaseDue = false
		s.lastGrantAt = now
		s.leaseEnd = max(s.leaseEnd, now+c.leaseBound())
	}
	return response
}

// FindLeader implements wireconnect.CoordinatorServiceHandler. Every entry process
// responds to it, also while another one leads.
func (c *Coordinator) FindLeader(context.Context, *connect.Request[wire.FindLeaderRequest]) (*connect.Response[wire.FindLeaderResponse], error) {
	return connect.NewResponse(&wire.FindLeaderResponse{
		Leader: c.Elector.Leader(),
	}), nil
}
