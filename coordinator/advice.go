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
	adviceTimeout    = 3 * time.Second
	adviceRetryDelay = 300 * time.Millisecond
	// minTicketValidity is the remaining validity below which a ticket is not
	// used: it has to stay valid until the start reaches the executor.
	minTicketValidity = 400 * time.Millisecond
	// maxAdviceExecutors bounds the executors in one advice request.
	maxAdviceExecutors = 100
	// maxAdviceQueue bounds the queued advice requests. Steps beyond it are
	// queued in a later scheduling cycle.
	maxAdviceQueue = 64
)

// adviceCache asks the admission advice service which executors may run a step
// and caches their tickets. It sends one request at a time, because the service
// accepts only one at a time from each host.
type adviceCache struct {
	advisor damaskspread.StepAdvisor
	clock   damaskspread.Clock
	elapsed damaskspread.ElapsedClock
	// onResponse is called after each response or failed request.
	onResponse func()

	mu    sync.Mutex
	steps map[string]*stepAdvice // by Group.Name
	queue chan adviceRequest
}

type stepAdvice struct {
	// service is the one whose executors were asked for.
	service    string
	tickets    map[string]string // by executor id
	validUntil time.Duration
	inFlight   bool
}

type adviceRequest struct {
	step      string
	service   string
	executors []string
}

func newAdviceCache(c *Coordinator) *adviceCache {
	return &adviceCache{
		advisor:    c.Advisor,
		clock:      c.Clock,
		elapsed:    c.Elapsed,
		onResponse: c.signal,
		steps:      map[string]*stepAdvice{},
		queue:      make(chan adviceRequest, maxAdviceQueue),
	}
}

// requestMissing queues an advice request for each step that needs advice and
// has no valid tickets for the service on which its tasks start.
func (a *adviceCache) requestMissing(groups []*tracker.Group, hosts []*planner.Host) {
	if a.advisor == nil {
		return
	}
	for _, group := range groups {
		if group.Job().NeedsAdvice() {
			a.enqueue(group, hosts)
		}
	}
}

func (a *adviceCache) enqueue(group *tracker.Group, hosts []*planner.Host) {
	a.mu.Lock()
	defer a.mu.Unlock()
	cached, service := a.steps[group.Name()], group.Job().Service()
	if cached != nil && cached.service == service && (cached.inFlight || cached.validUntil-a.elapsed.Elapsed() > minTicketValidity) {
		return
	}
	request := adviceRequest{
		step:    group.Name(),
		service: service,
	}
	for _, host := range hosts {
		if host.Usable && host.Service == service && len(request.executors) < maxAdviceExecutors {
			request.executors = append(request.executors, host.Key.ID)
		}
	}
	if len(request.executors) == 0 {
		return
	}
	select {
	case a.queue <- request:
		a.steps[request.step] = &stepAdvice{
			service:  service,
			inFlight: true,
		}
	default:
	}
}

// ticket returns an executor's ticket for a step, and whether it has one that
// is valid for long enough.
func (a *adviceCache) ticket(step, executor string) (string, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	cached := a.steps[step]
	if cached == nil || cached.validUntil-a.elapsed.Elapsed() <= minTicketValidity {
		return "", false
	}
	ticket, granted := cached.tickets[executor]
	return ticket, granted
}

// dropRefusedTickets drops all tickets of the task's step if an executor
// refused the start because of its ticket.
func (a *adviceCache) dropRefusedTickets(t *tracker.Task, reason string) {
	if reason != string(damaskspread.RefusedNoTicket) {
		return
	}
	step := t.GroupName()
	a.mu.Lock()
	defer a.mu.Unlock()
	if cached := a.steps[step]; cached != nil && !cached.inFlight {
		delete(a.steps, step)
	}
}

// forget drops the tickets of steps that are done or whose job is closed, and returns the
// number of steps that are left.
func (a *adviceCache) forget(groups []string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, group := range groups {
		delete(a.steps, group)
	}
	return len(a.steps)
}

func (a *adviceCache) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-a.queue:
			a.fetch(ctx, request)
		}
	}
}

func (a *adviceCache) fetch(ctx context.Context, request adviceRequest) {
	callCtx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	requestedAt := a.elapsed.Elapsed()
	tickets, validFor, err := a.advisor.Advise(callCtx, request.step, request.executors)
	if err != nil {
		log.Info().Str("step", request.step).Err(err).Msg("admission advice request failed; tasks of the step wait for a retry")
		// The empty advice stored below makes a later cycle request again.
		damaskspread.Pause(ctx, a.clock, adviceRetryDelay)
	} else {
		log.Info().Str("step", request.step).Int("asked", len(request.executors)).Int("granted", len(tickets)).
			Dur("valid", validFor).Msg("admission advice received")
	}
	a.mu.Lock()
	a.steps[request.step] = &stepAdvice{
		service:    request.service,
		tickets:    tickets,
		validUntil: requestedAt + validFor,
	}
	a.mu.Unlock()
	a.onResponse()
}
