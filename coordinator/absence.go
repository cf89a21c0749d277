package coordinator

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// absenceWait is how long the report of an absence waits until its effects are stored.
// The agent repeats a report whose effects are not.
const absenceWait = 600 * time.Millisecond

// absence is an agent's report that its executor has left, or does not respond so that no
// session can be opened.
type absence struct {
	host, session string
	key           tracker.ExecutorKey
	service       string
	// left is set if nothing runs on the executor any more. Otherwise deadline is the
	// latest time at which it may hold a lease.
	left     bool
	deadline time.Duration
	// ends are those that the agent does not know to be stored.
	ends []*wire.RunEnd
	// stored is closed once the effects of the report are.
	stored chan struct{}
}

// exchangeAbsence merges the report of an absence and waits until its effects are stored.
// An agent that has the response may forget them.
func (c *Coordinator) exchangeAbsence(ctx context.Context, report *wire.ExchangeRequest) *wire.ExchangeResponse {
	a, response := c.addAbsence(report)
	if a == nil {
		return response
	}
	c.signal()
	timer := c.Clock.NewTimer(absenceWait)
	defer timer.Stop()
	select {
	case <-a.stored:
		response.AbsenceStored = true
	case <-timer.Chan():
	case <-ctx.Done():
	}
	return response
}

// addAbsence adds a report to the inputs of the next cycle. Without an effect the absence
// is nil.
func (c *Coordinator) addAbsence(report *wire.ExchangeRequest) (*absence, *wire.ExchangeResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leading {
		return nil, &wire.ExchangeResponse{Leader: c.Elector.Leader()}
	}
	c.agentCalls.record(c.Elapsed.Elapsed())
	response := &wire.ExchangeResponse{Epoch: c.epoch}
	a := &absence{
		host:    report.GetHost(),
		session: report.GetSession(),
		key:     keyOf(report.GetExecutor()),
		service: report.GetExecutor().GetService(),
		left:    report.GetExecutorLeft(),
		ends:    report.GetEnds(),
		stored:  make(chan struct{}),
	}
	s := c.sessions[a.host]
	sameExecutor := s != nil && s.key == a.key
	switch {
	case a.left && sameExecutor:
		a.session = s.id
		delete(c.sessions, a.host)
		s.notify()
	case a.left:
	case report.GetEpoch() != c.epoch:
		return nil, c.reopen()
	case sameExecutor:
		// The response that opened the session was lost. It may have extended the lease.
		return nil, response
	default:
		longest := max(c.LongestLease, c.LeaseDuration)
		left := time.Duration(min(report.GetLeaseLeftMs(), longest.Milliseconds())) * time.Millisecond
		a.deadline = c.Elapsed.Elapsed() + boundOf(max(0, left))
	}
	c.arrivals.absences = append(c.arrivals.absences, a)
	return a, response
}

// applyAbsences applies the ends that agents report without a session, releases the tasks
// of executors that have left, and shortens the wait for the leases of those that don't
// respond.
func (c *Coordinator) applyAbsences(cycle *cycleState) {
	for _, a := range cycle.absences {
		view := &sessionView{
			session:  &session{id: a.session},
			host:     a.host,
			key:      a.key,
			endsPast: true,
		}
		for _, end := range a.ends {
			c.applyEnd(cycle, view, end)
			c.endUnassigned(view, end)
		}
		if a.left {
			delete(c.orphans, a.key)
			cycle.lostExecutors = append(cycle.lostExecutors, lostExecutor{
				key:     a.key,
				host:    a.host,
				service: a.service,
				session: a.session,
				cause:   tracer.LossLeft,
			})
			continue
		}
		orphan, known := c.orphans[a.key]
		if !known || a.deadline >= orphan.deadline {
			continue
		}
		log.Info().Str("executor", a.key.ID).Int64("born", a.key.BornUnixMs).Str("host", a.host).
			Dur("left", a.deadline-cycle.now).Dur("left_before", orphan.deadline-cycle.now).
			Msg("executor does not respond; its agent knows when its lease ends")
		orphan.deadline = a.deadline
		c.orphans[a.key] = orphan
	}
}
