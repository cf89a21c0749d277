// Package dispatcher is the HTTP handler for callers' requests at an entry
// process: it reads a request, sends it to the agents of endpoints with retries,
// and writes the complete response. Package router picks the endpoints; package
// admitter is the receiving side at the agent.
//
// It owns the requests in flight at the entry. Each try updates the router's
// endpoints if the replayed ones have changed; Run does so every 200 ms and blocks
// until its tomb dies. A hedged request uses up to two goroutines, which wait for
// agents. The handler works with HTTP/1.1 and HTTP/2 servers.
//
// The outcome not_run of a request with an idempotency key covers all attempts
// with the key. Unless the caller declared a first attempt, a refusal is reported
// as unknown if no agent that holds the shard's keys confirmed it.
package dispatcher

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/retrier"
	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

const (
	// MaxBodyBytes limits the body of a request or response, in bytes.
	MaxBodyBytes = 8 << 20
	// messageOverhead leaves room for headers and fields beside a full body.
	messageOverhead = 1 << 20
	// DefaultTimeout applies if neither the caller nor the policy sets one.
	DefaultTimeout = 2 * time.Second
	maxTimeout     = 10 * time.Minute
	defaultTries   = 3
	// maxKeyedTries allows one try at each of the two agents that hold the key
	// (primary and secondary), and another after the shard's epoch changed.
	maxKeyedTries = 4
)

// Follower gives access to the replayed state and its age. It is safe for
// concurrent use.
type Follower interface {
	damaskspread.Currency
	View(read func(*replayer.State))
}

// Policy is the part of a service's configuration section that the dispatcher
// uses. The zero value is valid.
type Policy struct {
	// StaleLimit is how far the configuration's age may exceed CurrencyLimit
	// before requests are refused; negative means 0.
	StaleLimit time.Duration
	// Priorities maps kinds to priorities for load shedding; a lower number is
	// shed later. Kinds that are not listed get LowestPriority.
	Priorities     map[string]int32
	LowestPriority int32
	// Idempotent holds the kinds whose requests may run more than once.
	Idempotent map[string]bool
	// HedgeDelay is the time after which an idempotent request without a key is
	// sent a second time if there is no result; 0 disables hedging.
	HedgeDelay time.Duration
	// Timeout is the deadline of a request that names none; DefaultTimeout if 0.
	Timeout time.Duration
}

// Dispatcher handles POST /v1/services/{service}/requests/{path...}. It is safe
// for concurrent use. The exported fields are set before the first use.
type Dispatcher struct {
	Follower Follower
	Router   damaskspread.EndpointPicker
	Retries  *retrier.Retrier
	HTTP     connect.HTTPClient
	Clock    damaskspread.Clock
	// CurrencyLimit is the age of the replayed state beyond which the entry is not
	// ready. Requests are refused beyond CurrencyLimit plus Policy.StaleLimit.
	CurrencyLimit time.Duration
	// Policies returns the policy of a service; nil means the zero policy.
	Policies func(service string) Policy
	// MaxTries is the largest number of tries of a request without a key; 3 if 0.
	MaxTries int
	// DrainDelay is how long Drain keeps accepting requests after Ready became
	// false, so that the load balancer stops sending them.
	DrainDelay time.Duration

	clients  sync.Map    // address to wireconnect.AgentServiceClient
	notReady atomic.Bool // Drain was called; requests are still accepted
	draining atomic.Bool // new requests are refused
	mu       sync.Mutex
	inFlight int
	idle     chan struct{} // closed when no request is in progress; nil without a waiting Drain

	refreshMu sync.Mutex             // serializes writers of routes and calls of SetEndpoints
	routes    atomic.Pointer[routes] // nil before the first Refresh
}

// Ready reports whether the load balancer should send requests to this entry.
func (d *Dispatcher) Ready() bool {
	return !d.notReady.Load() && d.EndpointsLoaded() && d.Follower.Age() <= d.CurrencyLimit
}

// EndpointsLoaded reports whether the entry has replayed the log completely. Before
// that, requests are refused because no endpoint is known.
func (d *Dispatcher) EndpointsLoaded() bool { return d.Follower.Age() < damaskspread.MaxAge }

// InFlight returns the number of requests in progress.
func (d *Dispatcher) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight
}

// beginRequest counts a request in progress, or returns false if the entry
// refuses new requests.
func (d *Dispatcher) beginRequest() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining.Load() {
		return false
	}
	d.inFlight++
	return true
}

func (d *Dispatcher) endRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	d.signalIdle()
}

// signalIdle ends the wait of Drain if no request is in progress. The caller
// holds d.mu.
func (d *Dispatcher) signalIdle() {
	if d.idle != nil && d.inFlight == 0 {
		close(d.idle)
		d.idle = nil
	}
}

// Drain makes Ready false, still accepts requests for DrainDelay, then refuses
// new ones and waits for those in progress. It returns the error of ctx if ctx
// ends first; it may be called again.
func (d *Dispatcher) Drain(ctx context.Context) error {
	d.notReady.Store(true)
	if d.DrainDelay > 0 {
		select {
		case <-d.Clock.After(d.DrainDelay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	d.mu.Lock()
	d.draining.Store(true)
	if d.idle == nil {
		d.idle = make(chan struct{})
	}
	idle := d.idle
	d.signalIdle()
	d.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ServeHTTP implements http.Handler.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	requestID := newRequestID()
	in, refusal := d.parse(w, r, requestID)
	if refusal != nil {
		writeRefusal(w, requestID, refusal)
		return
	}
	if !d.beginRequest() {
		writeRefusal(w, requestID, in.markUnknownIfRepeated(damaskspread.NotRun(damaskspread.ReasonLeaving, "the entry is draining and accepts no new requests")))
		return
	}
	defer d.endRequest()
	ctx, cancel := context.WithTimeout(r.Context(), in.timeout)
	defer cancel()
	response, refusal := d.dispatch(ctx, in)
	if refusal != nil {
		writeRefusal(w, requestID, refusal)
		return
	}
	writeResponse(w, requestID, response, d.staleAge())
}

func newRequestID() string {
	var id [16]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

func (d *Dispatcher) policy(service string) Policy {
	if d.Policies == nil {
		return Policy{}
	}
	return d.Policies(service)
}

// staleAge returns the age of the replayed state if it exceeds CurrencyLimit,
// otherwise 0.
func (d *Dispatcher) staleAge() time.Duration {
	if age := d.Follower.Age(); age > d.CurrencyLimit {
		return age
	}
	return 0
}

func (d *Dispatcher) dispatch(ctx context.Context, in *incoming) (*wire.ExecuteResponse, *damaskspread.RefusalError) {
	age := d.Follower.Age()
	if age > d.CurrencyLimit && age-d.CurrencyLimit > in.policy.StaleLimit {
		return nil, in.markUnknownIfRepeated(damaskspread.NotRun(damaskspread.ReasonStaleConfiguration, "the entry's configuration is %s", damaskspread.AgeText(age)))
	}
	if !d.serviceExists(in.service) {
		return nil, in.markUnknownIfRepeated(damaskspread.NotRun(damaskspread.ReasonUnknownService, "unknown service %q", in.service))
	}
	d.Retries.AddRequest()
	switch {
	case in.message.GetIdempotencyKey() != "":
		return d.dispatchKeyed(ctx, in)
	case in.message.GetIdempotent() && in.policy.HedgeDelay > 0:
		return d.dispatchHedged(ctx, in)
	default:
		return d.dispatchPlain(ctx, in, "", d.maxTries(), nil)
	}
}

func (d *Dispatcher) serviceExists(service string) bool {
	known := false
	d.Follower.View(func(s *replayer.State) {
		section, ok := s.Section("service " + service)
		known = len(s.Shards(service)) > 0 || (ok && !section.GetRemoved())
	})
	return known
}

func (d *Dispatcher) client(address string) wireconnect.AgentServiceClient {
	client, ok := d.clients.Load(address)
	if !ok {
		client, _ = d.clients.LoadOrStore(address, wireconnect.NewAgentServiceClient(d.HTTP, "http://"+address,
			connect.WithReadMaxBytes(MaxBodyBytes+messageOverhead),
			// No compression: it takes longer than sending the bytes to another zone.
			connect.WithAcceptCompression("gzip", nil, nil)))
	}
	return client.(wireconnect.AgentServiceClient)
}
