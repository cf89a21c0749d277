package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracker"
)

const (
	adviceTimeout = 3 * time.Second
	adviceRetry   = 300 * time.Millisecond
	// ticketMargin is the validity that a ticket needs when it is used; the
	// start takes part of it.
	ticketMargin = 400 * time.Millisecond
	// maxAdvised is the number of executors of one request.
	maxAdvised = 100
	// maxAdviceQueue bounds the steps that wait for advice; others are asked
	// about in a later round.
	maxAdviceQueue = 64
)

// advices asks which executors may run a step and keeps the tickets. Requests
// go one at a time, because the service takes one from each host.
type advices struct {
	service damaskspread.StepAdvisor
	clock   damaskspread.Clock
	elapsed damaskspread.ElapsedClock
	// arrived is called after each answer.
	arrived func()

	mu    sync.Mutex
	steps map[string]*stepAdvice
	queue chan adviceRequest
}

type stepAdvice struct {
	tickets map[string]string
	until   time.Duration
	asking  bool
}

type adviceRequest struct {
	step      string
	executors []string
}

func newAdvices(c *Coordinator) *advices {
	return &advices{
		service: c.Advisor,
		clock:   c.Clock,
		elapsed: c.Elapsed,
		arrived: c.signal,
		steps:   map[string]*stepAdvice{},
		queue:   make(chan adviceRequest, maxAdviceQueue),
	}
}

// prepare asks for the steps that may start and have no valid tickets.
func (a *advices) prepare(groups []*tracker.Group, hosts []*planner.Host) {
	if a.service == nil {
		return
	}
	for _, group := range groups {
		if group.Job().Spec().GetNeedsAdvice() {
			a.ask(group, hosts)
		}
	}
}

func (a *advices) ask(group *tracker.Group, hosts []*planner.Host) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.steps[group.Name()]
	if known != nil && (known.asking || known.until-a.elapsed.Elapsed() > ticketMargin) {
		return
	}
	request := adviceRequest{step: group.Name()}
	for _, host := range hosts {
		if host.Usable && host.Service == group.Job().Spec().GetService() && len(request.executors) < maxAdvised {
			request.executors = append(request.executors, host.Key.ID)
		}
	}
	if len(request.executors) == 0 {
		return
	}
	select {
	case a.queue <- request:
		a.steps[request.step] = &stepAdvice{asking: true}
	default:
	}
}

// ticket returns an executor's ticket for a step.
func (a *advices) ticket(step, executor string) (string, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.steps[step]
	if known == nil || known.until-a.elapsed.Elapsed() <= ticketMargin {
		return "", false
	}
	ticket, granted := known.tickets[executor]
	return ticket, granted
}

// forgetRefused drops the tickets of a step of which an executor refused one.
func (a *advices) forgetRefused(t *tracker.Task, reason string) {
	if reason != string(damaskspread.RefusedTicket) {
		return
	}
	step := t.GroupName()
	a.mu.Lock()
	defer a.mu.Unlock()
	if known := a.steps[step]; known != nil && !known.asking {
		delete(a.steps, step)
	}
}

func (a *advices) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-a.queue:
			a.call(ctx, request)
		}
	}
}

func (a *advices) call(ctx context.Context, request adviceRequest) {
	limited, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	asked := a.elapsed.Elapsed()
	tickets, validFor, err := a.service.Advise(limited, request.step, request.executors)
	if err != nil {
		log.Info().Str("step", request.step).Err(err).Msg("no advice")
		damaskspread.Pause(ctx, a.clock, adviceRetry)
	} else {
		log.Info().Str("step", request.step).Int("asked", len(request.executors)).Int("granted", len(tickets)).
			Dur("valid", validFor).Msg("advice")
	}
	a.mu.Lock()
	a.steps[request.step] = &stepAdvice{
		tickets: tickets,
		until:   asked + validFor,
	}
	a.mu.Unlock()
	a.arrived()
}
