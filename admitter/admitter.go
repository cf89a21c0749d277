// Package admitter implements AgentService at an agent: it decides whether a
// request may run at the agent's endpoint now, and runs it. It combines package
// limiter (slots and queue), deduplicator (idempotency keys) and forwarder (the
// connection to the endpoint); package dispatcher is the sending side.
//
// It owns the count of requests in progress and the endpoint's health. Run probes
// the endpoint every second and blocks until its tomb dies. Zone, configuration
// age and leaving are checked on arrival, to refuse early, and again immediately
// before the request is sent to the endpoint, because it may have been queued in
// between.
//
// The message of a refusal is sent in the body, because ExecuteResponse has no
// field for it.
package admitter

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/deduplicator"
	"damaskspread.example/damaskspread/forwarder"
	"damaskspread.example/damaskspread/limiter"
	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

// ConfigAgeHeader is set on responses if the agent's configuration is older than
// the currency limit. Its value is the age in seconds, such as "4.2s".
const ConfigAgeHeader = damaskspread.HeaderConfigAge

// admittedGrace is how long after its admission a request with a key may still
// start although the host is leaving. A refusal would leave the key unfinished at
// the shard's secondary agent, and the next try would wait until its deadline.
// The grace is much shorter than the 5 s within which a leaving endpoint must stop
// getting new work.
const admittedGrace = time.Second

// Feed gives access to the configuration that the agent received with Sync, and
// to its age. It is safe for concurrent use.
type Feed interface {
	damaskspread.Currency
	ZoneInService(zone string) bool
	// Leaving reports whether the log has a record that this host leaves.
	Leaving() bool
	Policy() Policy
}

// Policy is the part of the service's configuration section that admission uses.
type Policy struct {
	// StaleLimit is how far the configuration's age may exceed
	// Admitter.CurrencyLimit before requests are refused; negative means 0.
	StaleLimit time.Duration
}

// Admitter admits and runs requests at the agent's endpoint. It is safe for
// concurrent use. The exported fields are set before the first use.
type Admitter struct {
	Limiter   *limiter.Limiter
	Keys      *deduplicator.Deduplicator
	Forwarder *forwarder.Forwarder
	Feed      Feed
	Clock     damaskspread.Clock
	Service   string
	Zone      string
	// CurrencyLimit is the configuration age beyond which responses carry
	// ConfigAgeHeader. Requests are refused beyond CurrencyLimit plus
	// Policy.StaleLimit.
	CurrencyLimit time.Duration
	// HealthPath is the path of the endpoint's health check; empty disables it.
	HealthPath string
	// OnLeave makes the host's leave known to the entry processes. POST /leave
	// calls it unless it is nil.
	OnLeave func(ctx context.Context) error

	mu        sync.Mutex
	inFlight  int
	idle      chan struct{} // closed when no request is in progress; nil without a waiting Drain
	draining  atomic.Bool   // new requests are refused; set by Drain and POST /leave
	unhealthy atomic.Bool
}

var _ wireconnect.AgentServiceHandler = (*Admitter)(nil)

// Execute implements wireconnect.AgentServiceHandler.
func (a *Admitter) Execute(ctx context.Context, message *connect.Request[wire.ExecuteRequest]) (*connect.Response[wire.ExecuteResponse], error) {
	a.beginRequest()
	defer a.endRequest()
	request := message.Msg
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.GetTimeoutUs())*time.Microsecond)
	defer cancel()
	response, refusal := a.execute(ctx, request)
	if refusal != nil {
		response = refusalResponse(refusal)
	}
	response.RequestId = request.GetRequestId()
	response.Load = a.Load()
	return connect.NewResponse(response), nil
}

func refusalResponse(refusal *damaskspread.RefusalError) *wire.ExecuteResponse {
	return &wire.ExecuteResponse{
		Outcome:      refusal.Outcome,
		Reason:       string(refusal.Reason),
		Body:         []byte(refusal.Message),
		RetryAfterMs: refusal.RetryAfter.Milliseconds(),
	}
}

func (a *Admitter) execute(ctx context.Context, request *wire.ExecuteRequest) (*wire.ExecuteResponse, *damaskspread.RefusalError) {
	if request.GetService() != a.Service {
		return nil, markUnknownIfRepeated(request, damaskspread.NotRun(damaskspread.ReasonUnknownService, "the agent serves only service %s", a.Service))
	}
	if request.GetIdempotencyKey() == "" {
		return a.admitAndForward(ctx, request, nil)
	}
	// The result of an earlier attempt is returned even when no new request may
	// start.
	reservation, stored, refusal := a.Keys.Begin(ctx, deduplicator.Request{
		Service:      a.Service,
		Shard:        request.GetShard(),
		Epoch:        request.GetShardEpoch(),
		Key:          request.GetIdempotencyKey(),
		BodyHash:     requestHash(request),
		FirstAttempt: request.GetFirstAttempt(),
	})
	if reservation == nil {
		return stored, refusal
	}
	return a.admitAndForward(ctx, request, reservation)
}

// markUnknownIfRepeated changes the refusal's outcome to unknown if the caller
// may have sent the key before: the earlier attempt may have run at another agent.
func markUnknownIfRepeated(request *wire.ExecuteRequest, refusal *damaskspread.RefusalError) *damaskspread.RefusalError {
	if request.GetIdempotencyKey() != "" && !request.GetFirstAttempt() {
		refusal.Outcome = wire.Outcome_OUTCOME_UNKNOWN
	}
	return refusal
}

// requestHash returns a hash of method, path and body. It detects the reuse of a
// key for another request.
func requestHash(request *wire.ExecuteRequest) []byte {
	digest := sha256.New()
	for _, part := range [][]byte{[]byte(request.GetMethod()), []byte(request.GetPath()), request.GetBody()} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		digest.Write(size[:])
		digest.Write(part)
	}
	return digest.Sum(nil)
}

// admitAndForward admits a request and forwards it to the endpoint. It ends the
// reservation, which is nil for a request without a key.
func (a *Admitter) admitAndForward(ctx context.Context, request *wire.ExecuteRequest, reservation *deduplicator.KeyReservation) (*wire.ExecuteResponse, *damaskspread.RefusalError) {
	slot, mayStart, refusal := a.admit(ctx, request, reservation)
	if refusal != nil {
		if reservation != nil {
			refusal = reservation.Refuse(ctx, refusal)
		}
		return nil, refusal
	}
	if reservation != nil && ctx.Err() == nil {
		// A started request continues until its deadline after the caller has
		// disconnected: the caller may ask for the result through another entry.
		deadline, _ := ctx.Deadline()
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), deadline)
		defer cancel()
	}
	endpointResponse, refusal := a.Forwarder.Forward(ctx, forwarder.Request{
		Method:  request.GetMethod(),
		Path:    request.GetPath(),
		Headers: request.GetHeaders(),
		Body:    request.GetBody(),

		MayStart: func() (time.Duration, *damaskspread.RefusalError) {
			// Read before the check, which is then at least as recent.
			remaining := a.CurrencyLimit + a.Feed.Policy().StaleLimit - a.Feed.Age()
			return remaining, mayStart()
		},
	})
	slot.Release(refusal == nil || refusal.Outcome != wire.Outcome_OUTCOME_NOT_RUN)
	if refusal != nil {
		if reservation != nil {
			refusal = endReservation(ctx, reservation, refusal)
		}
		return nil, refusal
	}
	response := &wire.ExecuteResponse{
		Outcome: wire.Outcome_OUTCOME_RAN,
		Status:  int32(endpointResponse.Status),
		Headers: a.withConfigAge(endpointResponse.Headers),
		Body:    endpointResponse.Body,
	}
	if reservation != nil {
		reservation.Finish(response)
	}
	return response, nil
}

// endReservation ends the reservation of a request whose forwarding failed.
func endReservation(ctx context.Context, reservation *deduplicator.KeyReservation, refusal *damaskspread.RefusalError) *damaskspread.RefusalError {
	if refusal.Outcome == wire.Outcome_OUTCOME_NOT_RUN {
		return reservation.Refuse(ctx, refusal)
	}
	reservation.Finish(refusalResponse(refusal))
	return refusal
}

// admit waits for a slot and returns it if the request may run, with the check to
// repeat immediately before it starts. The key is replicated after the slot is
// acquired, so that requests that are shed cost no message and leave no key at the
// secondary.
func (a *Admitter) admit(ctx context.Context, request *wire.ExecuteRequest, reservation *deduplicator.KeyReservation) (*limiter.Waiter, func() *damaskspread.RefusalError, *damaskspread.RefusalError) {
	if refusal := a.checkAdmission(); refusal != nil {
		return nil, nil, refusal
	}
	remaining := time.Duration(request.GetTimeoutUs()) * time.Microsecond
	if deadline, ok := ctx.Deadline(); ok {
		remaining = min(remaining, time.Until(deadline))
	}
	slot, refusal := a.Limiter.Acquire(ctx, request.GetPriority(), a.Clock.Now().Add(remaining))
	if refusal != nil {
		return nil, nil, refusal
	}
	checkAdmission := a.checkAdmission
	if reservation != nil {
		admittedAt := a.Clock.Now()
		if refusal := reservation.Commit(ctx); refusal != nil {
			slot.Release(false)
			return nil, nil, refusal
		}
		if a.Clock.Since(admittedAt) <= admittedGrace {
			checkAdmission = a.checkIgnoringLeave
		}
	}
	if refusal := checkAdmission(); refusal != nil {
		slot.Release(false)
		return nil, nil, refusal
	}
	return slot, checkAdmission, nil
}

// checkAdmission returns a refusal if no request may start now.
func (a *Admitter) checkAdmission() *damaskspread.RefusalError {
	if a.draining.Load() || a.Feed.Leaving() {
		return damaskspread.NotRun(damaskspread.ReasonLeaving, "the endpoint is leaving")
	}
	return a.checkIgnoringLeave()
}

// checkIgnoringLeave is checkAdmission without the check for leaving. It applies
// to requests that were admitted before the leave.
func (a *Admitter) checkIgnoringLeave() *damaskspread.RefusalError {
	switch age := a.Feed.Age(); {
	case !a.Feed.ZoneInService(a.Zone):
		return damaskspread.NotRun(damaskspread.ReasonZoneOut, "zone %s is out of service", a.Zone)
	case age > a.CurrencyLimit && age-a.CurrencyLimit > a.Feed.Policy().StaleLimit:
		return damaskspread.NotRun(damaskspread.ReasonStaleConfiguration, "the agent's configuration is %s", damaskspread.AgeText(age))
	case a.unhealthy.Load():
		return damaskspread.NotRun(damaskspread.ReasonEndpointFailed, "the endpoint fails its health checks")
	}
	return nil
}

// withConfigAge adds ConfigAgeHeader if the configuration is older than
// CurrencyLimit.
func (a *Admitter) withConfigAge(headers []*wire.Header) []*wire.Header {
	age := a.Feed.Age()
	if age <= a.CurrencyLimit {
		return headers
	}
	return append(headers, &wire.Header{
		Name:   ConfigAgeHeader,
		Values: []string{strconv.FormatFloat(age.Seconds(), 'f', 1, 64) + "s"},
	})
}

// Replicate implements wireconnect.AgentServiceHandler.
func (a *Admitter) Replicate(_ context.Context, message *connect.Request[wire.ReplicateRequest]) (*connect.Response[wire.ReplicateResponse], error) {
	return connect.NewResponse(a.Keys.HandleReplicate(message.Msg)), nil
}

// Probe implements wireconnect.AgentServiceHandler.
func (a *Admitter) Probe(context.Context, *connect.Request[wire.ProbeRequest]) (*connect.Response[wire.ProbeResponse], error) {
	return connect.NewResponse(&wire.ProbeResponse{
		Load:    a.Load(),
		Leaving: a.draining.Load() || a.Feed.Leaving(),
		AgeUs:   a.Feed.Age().Microseconds(),
	}), nil
}

// Load returns the endpoint's load, which the agent sends to entry processes.
func (a *Admitter) Load() *wire.EndpointLoad { return a.Limiter.Load() }
