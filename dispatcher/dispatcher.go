// Package dispatcher is the entry's side of an urgent request: it reads the
// caller's request, chooses endpoints, tries them, and writes the complete
// answer.
//
// It owns the requests in flight at the entry. Run starts one goroutine that
// keeps the router's endpoints equal to the replayed members. The handler works
// on HTTP/1.1 and HTTP/2 servers alike.
//
// An outcome not_run for a request with an idempotency key is true of the key:
// unless the caller marked a first attempt, a refusal that no holder of the
// key's history confirmed is unknown.
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
	// MaxBody bounds requests and answers.
	MaxBody = 8 << 20
	// messageOverhead leaves room for headers and fields beside a full body.
	messageOverhead = 1 << 20
	// DefaultTimeout is used when the caller gives none.
	DefaultTimeout = 2 * time.Second
	maxTimeout     = 10 * time.Minute
	defaultTries   = 3
	// keyedTries allows primary, secondary and both again after they moved.
	keyedTries = 4
)

// Follower is what the dispatcher needs of the replayed state.
type Follower interface {
	damaskspread.Currency
	View(read func(*replayer.State))
}

// Policy is the part of a service's section that routing needs.
type Policy struct {
	// StaleLimit is how long beyond the currency limit requests still run.
	StaleLimit time.Duration
	// Priorities orders the kinds for load shedding; a lower number is shed
	// later. Kinds that are not listed get LowestPriority.
	Priorities     map[string]int32
	LowestPriority int32
	// Idempotent holds the kinds whose requests may run more than once.
	Idempotent map[string]bool
	// Hedge sends an idempotent request without a key to a second endpoint
	// after this time. It is off at 0.
	Hedge time.Duration
	// Timeout is the deadline of a request that names none; DefaultTimeout if 0.
	Timeout time.Duration
}

// Dispatcher handles POST /v1/services/{service}/requests/{path...}. The
// exported fields are set before the first use.
type Dispatcher struct {
	Follower      Follower
	Router        damaskspread.EndpointPicker
	Retries       *retrier.Retrier
	HTTP          connect.HTTPClient
	Clock         damaskspread.Clock
	CurrencyLimit time.Duration
	// Policies returns the policy of a service; nil means the zero policy.
	Policies func(service string) Policy
	// Tries bounds the endpoints tried for a request without a key; 3 if 0.
	Tries int
	// DrainDelay is how long Drain keeps accepting requests after readiness
	// turned false, for the load balancer to notice.
	DrainDelay time.Duration

	clients  sync.Map // address to wireconnect.AgentServiceClient
	draining atomic.Bool
	stopped  atomic.Bool
	routed   atomic.Bool
	mu       sync.Mutex
	active   int
	idle     chan struct{}
	members  map[string][]damaskspread.Endpoint
	routesAt int64
	loaded   bool
}

// Ready reports whether the load balancer should send callers here.
func (d *Dispatcher) Ready() bool {
	return !d.draining.Load() && d.Routed() && d.Follower.Age() <= d.CurrencyLimit
}

// Routed reports whether the router has had the members of a current state.
// Before that, requests would be refused for want of endpoints.
func (d *Dispatcher) Routed() bool { return d.routed.Load() }

// InFlight is the number of requests in progress.
func (d *Dispatcher) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.active
}

func (d *Dispatcher) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped.Load() {
		return false
	}
	d.active++
	return true
}

func (d *Dispatcher) exit() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active--
	d.signalIdle()
}

func (d *Dispatcher) signalIdle() {
	if d.idle != nil && d.active == 0 {
		close(d.idle)
		d.idle = nil
	}
}

// Drain turns readiness off, accepts requests for DrainDelay more, refuses new
// ones and waits for those in progress.
func (d *Dispatcher) Drain(ctx context.Context) error {
	d.draining.Store(true)
	if d.DrainDelay > 0 {
		select {
		case <-d.Clock.After(d.DrainDelay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	d.mu.Lock()
	d.stopped.Store(true)
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
	id := newID()
	in, refusal := d.parse(w, r, id)
	if refusal != nil {
		writeRefusal(w, id, refusal)
		return
	}
	if !d.enter() {
		writeRefusal(w, id, in.doubtful(damaskspread.NotRun(damaskspread.ReasonLeaving, "this entry is stopping")))
		return
	}
	defer d.exit()
	ctx, cancel := context.WithTimeout(r.Context(), in.timeout)
	defer cancel()
	answer, refusal := d.dispatch(ctx, in)
	if refusal != nil {
		writeRefusal(w, id, refusal)
		return
	}
	writeAnswer(w, id, answer, d.staleAge())
}

func newID() string {
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

func (d *Dispatcher) staleAge() time.Duration {
	if age := d.Follower.Age(); age > d.CurrencyLimit {
		return age
	}
	return 0
}

func (d *Dispatcher) dispatch(ctx context.Context, in *incoming) (*wire.ExecuteResponse, *damaskspread.RefusalError) {
	age := d.Follower.Age()
	if age > d.CurrencyLimit && age-d.CurrencyLimit > in.policy.StaleLimit {
		return nil, in.doubtful(damaskspread.NotRun(damaskspread.ReasonStaleConfiguration, "the entry's configuration is %s", damaskspread.AgeText(age)))
	}
	if !d.knows(in.service) {
		return nil, in.doubtful(damaskspread.NotRun(damaskspread.ReasonUnknownService, "no service %q", in.service))
	}
	d.Retries.Request()
	switch {
	case in.message.GetIdempotencyKey() != "":
		return d.dispatchKeyed(ctx, in)
	case in.message.GetIdempotent() && in.policy.Hedge > 0:
		return d.dispatchHedged(ctx, in)
	default:
		return d.dispatchPlain(ctx, in, "")
	}
}

func (d *Dispatcher) knows(service string) bool {
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
			connect.WithReadMaxBytes(MaxBody+messageOverhead),
			// Compression takes longer than the bytes between zones.
			connect.WithAcceptCompression("gzip", nil, nil)))
	}
	return client.(wireconnect.AgentServiceClient)
}
