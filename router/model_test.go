package router_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/limiter"
	"damaskspread.example/damaskspread/retrier"
	"damaskspread.example/damaskspread/router"
)

const (
	modelEndpoints  = 11
	modelSlots      = 8
	meanServiceTime = 20 * time.Millisecond
	// Times since the start of a run at which the fault begins and ends.
	faultFrom, faultTo = 6 * time.Second, 12 * time.Second
	runTime            = 20 * time.Second
	syncInterval       = time.Second
	refreshInterval    = 200 * time.Millisecond
)

// class is a priority class of requests. A lower index is a higher class.
type class struct {
	name            string
	shareOfRequests float64
	timeout         time.Duration
	idempotent      bool
}

// deployment has one entry per zone. The times are one-way network delays
// between zones, within a zone, and between caller and entry.
type deployment struct {
	name                               string
	zones                              int
	betweenZones, withinZone, toCaller time.Duration
	classes                            []class
}

var deployments = []deployment{
	{
		name: "atelier", zones: 4, betweenZones: 1500 * time.Microsecond, withinZone: 200 * time.Microsecond, toCaller: time.Millisecond,
		classes: []class{{"preview", 0.5, time.Second, true}, {"render", 0.35, 2 * time.Second, false}, {"watcher", 0.15, 2 * time.Second, false}},
	},
	{
		name: "association", zones: 3, betweenZones: time.Millisecond, withinZone: 200 * time.Microsecond, toCaller: 3 * time.Millisecond,
		classes: []class{{"counter", 0.5, time.Second, true}, {"closure", 0.35, 2 * time.Second, false}, {"ledger", 0.15, 2 * time.Second, false}},
	},
}

// scenario sets the offered load as a share of the capacity, and a fault.
type scenario struct {
	name string
	load float64
	// fault is the mode of the first endpoint while the fault lasts.
	fault mode
	zone  bool // the first zone leaves instead; fault is not set
	all   bool // fault applies to all endpoints
}

// mode is how an endpoint behaves.
type mode int

const (
	healthy mode = iota
	slow
	failing
	empty
	down
)

var scenarios = []scenario{
	{name: "steady load", load: 0.6},
	{name: "one slow endpoint", load: 0.6, fault: slow},
	{name: "one failing endpoint", load: 0.6, fault: failing},
	{name: "one endpoint returns empty", load: 0.6, fault: empty},
	{name: "a zone leaves and returns", load: 0.6, zone: true},
	{name: "twice the capacity", load: 2},
	{name: "outage and recovery", load: 0.6, fault: down, all: true},
}

// call is one request. All pickers get the same calls.
type call struct {
	at          time.Duration
	entry       int
	class       int
	serviceTime time.Duration
	deadline    time.Duration
	tries       int
	mayHaveRun  bool
}

// generateCalls returns the calls of a run: Poisson arrivals with log-normal
// service times of mean meanServiceTime.
func generateCalls(d deployment, s scenario, seed uint64) []call {
	random := rand.New(rand.NewPCG(seed, 5))
	rate := s.load * modelEndpoints * modelSlots / meanServiceTime.Seconds()
	const sigma = 0.6
	var calls []call
	for at := 0.0; ; {
		at += random.ExpFloat64() / rate
		c := call{
			at:          time.Duration(at * float64(time.Second)),
			entry:       random.IntN(d.zones),
			serviceTime: time.Duration(float64(meanServiceTime) * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2)),
		}
		if c.at >= runTime {
			return calls
		}
		for share := random.Float64() - d.classes[0].shareOfRequests; share > 0 && c.class < len(d.classes)-1; c.class++ {
			share -= d.classes[c.class+1].shareOfRequests
		}
		c.deadline = c.at + d.classes[c.class].timeout
		calls = append(calls, c)
	}
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].seq < e[b].seq
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(v any)   { *e = append(*e, v.(event)) }

func (e *events) Pop() any {
	last := len(*e) - 1
	v := (*e)[last]
	*e = (*e)[:last]
	return v
}

type endpoint struct {
	host    string
	zone    int
	limiter *limiter.Limiter
	mode    mode
	queued  []queuedRequest
}

type queuedRequest struct {
	w     *limiter.Waiter
	ready func(refusal *damaskspread.RefusalError)
}

type entry struct {
	zone    int
	picker  damaskspread.EndpointPicker
	retries *retrier.Retrier
}

// model is a discrete-event simulation of entries and endpoints that uses the
// real router, limiter and retrier. It leaves out HTTP, keys and the log.
type model struct {
	deployment deployment
	scenario   scenario
	clock      *clockwork.FakeClock
	// now is the time on the clock since the start of the run.
	now       time.Duration
	events    events
	seq       int
	endpoints []*endpoint
	entries   []*entry
	results   *figures
}

// figures counts requests. good and offered have an entry for each class;
// firstClass holds the latencies of class 0, and recovered counts good requests
// of the 2 s after the fault.
type figures struct {
	latencies   []time.Duration
	firstClass  []time.Duration
	good        []int
	offered     []int
	recovered   int
	refused     int
	failed      int
	empty       int
	retries     int
	outageTries int // while the fault lasts
}

func newModel(d deployment, s scenario, newPicker func(clock damaskspread.Clock, zone string, seed uint64) damaskspread.EndpointPicker, seed uint64) *model {
	m := &model{
		deployment: d,
		scenario:   s,
		clock:      clockwork.NewFakeClock(),
		results: &figures{
			good:    make([]int, len(d.classes)),
			offered: make([]int, len(d.classes)),
		},
	}
	for i := range modelEndpoints {
		m.endpoints = append(m.endpoints, &endpoint{
			host: fmt.Sprint("h", i),
			zone: i % d.zones,
			limiter: &limiter.Limiter{
				Clock:     m.clock,
				Slots:     modelSlots,
				MaxQueued: 64,
			},
		})
	}
	for z := range d.zones {
		m.entries = append(m.entries, &entry{
			zone:   z,
			picker: newPicker(m.clock, fmt.Sprint("z", z), seed*100+uint64(z)),
			retries: &retrier.Retrier{
				TokensPerRequest: 0.1,
				Burst:            20,
				Base:             5 * time.Millisecond,
				Max:              250 * time.Millisecond,
				MinTry:           50 * time.Millisecond,
				Random:           rand.New(rand.NewPCG(seed, uint64(z))),
			},
		})
	}
	m.setEndpoints(-1)
	return m
}

// setEndpoints sets the endpoints of all entries to those outside one zone; -1
// excludes none.
func (m *model) setEndpoints(excludedZone int) {
	var list []damaskspread.Endpoint
	for _, ep := range m.endpoints {
		if ep.zone != excludedZone {
			list = append(list, damaskspread.Endpoint{
				Host:    ep.host,
				Address: ep.host,
				Zone:    fmt.Sprint("z", ep.zone),
				Slots:   modelSlots,
			})
		}
	}
	for _, e := range m.entries {
		e.picker.SetEndpoints("s", list)
	}
}

func (m *model) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, event{
		at:  m.now + d,
		seq: m.seq,
		do:  do,
	})
}

func (m *model) run(calls []call) *figures {
	for i := range calls {
		c := calls[i]
		m.after(c.at, func() { m.arrive(&c) })
	}
	m.after(faultFrom, func() { m.setFault(m.scenario.fault) })
	m.after(faultTo, func() { m.setFault(healthy) })
	if m.scenario.zone {
		m.after(faultFrom+refreshInterval, func() { m.setEndpoints(0) })
		m.after(faultTo+refreshInterval, func() { m.setEndpoints(-1) })
	}
	for at := syncInterval; at < runTime; at += syncInterval {
		m.after(at, m.sync)
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		if e.at > m.now {
			m.clock.Advance(e.at - m.now)
			m.now = e.at
		}
		e.do()
	}
	slices.Sort(m.results.latencies)
	slices.Sort(m.results.firstClass)
	return m.results
}

func (m *model) setFault(to mode) {
	for i, ep := range m.endpoints {
		if i == 0 || m.scenario.all {
			ep.mode = to
		}
	}
}

// sync reports the load of each endpoint to one entry, like the Sync of its
// agent.
func (m *model) sync() {
	for i, ep := range m.endpoints {
		m.entries[i%len(m.entries)].picker.ObserveLoad(ep.host, ep.limiter.Load())
	}
}

func (m *model) arrive(c *call) {
	m.results.offered[c.class]++
	m.entries[c.entry].retries.AddRequest()
	m.try(c, "")
}

func (m *model) network(e *entry, ep *endpoint) time.Duration {
	if e.zone == ep.zone {
		return m.deployment.withinZone
	}
	return m.deployment.betweenZones
}

// try sends a request to one endpoint, as package dispatcher does for a request
// without a key.
func (m *model) try(c *call, avoid string) {
	e := m.entries[c.entry]
	c.tries++
	if m.now >= faultFrom && m.now < faultTo {
		m.results.outageTries++
	}
	pick, ok := e.picker.Pick("s", avoid)
	if !ok {
		m.results.refused++
		return
	}
	var ep *endpoint
	for _, other := range m.endpoints {
		if other.host == pick.Host {
			ep = other
		}
	}
	deadline, start, ended := c.deadline, m.now, false
	if m.deployment.classes[c.class].idempotent {
		deadline = m.now + e.retries.TryTimeout(c.deadline-m.now, min(4-c.tries, 2))
	}
	end := func(result damaskspread.PickResult, refusal *damaskspread.RefusalError, ran, good bool) {
		if ended {
			return
		}
		ended = true
		result.Latency = m.now - start
		e.picker.Done(pick, result)
		m.recordResult(c, pick.Host, refusal, ran, good)
	}
	m.after(deadline-m.now, func() { end(damaskspread.PickResult{Failed: true}, nil, true, false) })
	m.after(m.network(e, ep), func() {
		// The agent's deadline is earlier, so that its refusal arrives in time.
		margin := min((deadline-m.now)/20, 10*time.Millisecond)
		m.serve(ep, c, deadline-margin, func(result damaskspread.PickResult, refusal *damaskspread.RefusalError, ran, good bool) {
			load := ep.limiter.Load()
			m.after(m.network(e, ep), func() {
				if ep.mode != down {
					e.picker.ObserveLoad(ep.host, load)
				}
				end(result, refusal, ran, good)
			})
		})
	})
}

// serve runs a request at an endpoint. The last arguments of respond tell whether
// the request ran and whether its response is good.
func (m *model) serve(ep *endpoint, c *call, deadline time.Duration, respond func(damaskspread.PickResult, *damaskspread.RefusalError, bool, bool)) {
	if ep.mode == down {
		respond(damaskspread.PickResult{Failed: true}, damaskspread.NotRun(damaskspread.ReasonEndpointFailed, "down"), false, false)
		return
	}
	w, refusal := ep.limiter.Enqueue(int32(c.class), m.clock.Now().Add(deadline-m.now))
	if refusal != nil {
		respond(refusedResult(refusal), refusal, false, false)
		return
	}
	ep.queued = append(ep.queued, queuedRequest{
		w: w,
		ready: func(refusal *damaskspread.RefusalError) {
			if refusal != nil {
				respond(refusedResult(refusal), refusal, false, false)
				return
			}
			m.execute(ep, c, w, deadline, respond)
		},
	})
	ep.runReady()
}

func (m *model) execute(ep *endpoint, c *call, w *limiter.Waiter, deadline time.Duration, respond func(damaskspread.PickResult, *damaskspread.RefusalError, bool, bool)) {
	serviceTime, modeAtStart := c.serviceTime, ep.mode
	switch modeAtStart {
	case slow:
		serviceTime *= 10
	case failing, empty:
		serviceTime = time.Millisecond
	}
	// The forwarder gives up at the deadline.
	late := m.now+serviceTime > deadline
	if late {
		serviceTime = deadline - m.now
	}
	m.after(serviceTime, func() {
		w.Release(!late && modeAtStart != failing)
		ep.runReady()
		if !late {
			respond(damaskspread.PickResult{Failed: modeAtStart == failing, Empty: modeAtStart == empty}, nil, true, modeAtStart != failing && modeAtStart != empty)
		}
	})
}

func (ep *endpoint) runReady() {
	var ready []queuedRequest
	ep.queued = slices.DeleteFunc(ep.queued, func(v queuedRequest) bool {
		select {
		case <-v.w.Ready():
			ready = append(ready, v)
			return true
		default:
			return false
		}
	})
	for _, v := range ready {
		v.ready(v.w.Refusal())
	}
}

func (m *model) recordResult(c *call, host string, refusal *damaskspread.RefusalError, ran, good bool) {
	if good {
		latency := m.now - c.at + 2*m.deployment.toCaller
		m.results.latencies = append(m.results.latencies, latency)
		if c.class == 0 {
			m.results.firstClass = append(m.results.firstClass, latency)
		}
		m.results.good[c.class]++
		if c.at >= faultTo && c.at < faultTo+2*time.Second {
			m.results.recovered++
		}
		return
	}
	fromEmptyEndpoint := m.endpoints[0].mode == empty && host == "h0"
	if fromEmptyEndpoint && refusal == nil {
		// The entry takes a complete but empty response for a success.
		m.results.empty++
		return
	}
	e := m.entries[c.entry]
	c.mayHaveRun = c.mayHaveRun || ran
	if c.tries < 3 && m.now < c.deadline && (!ran || m.deployment.classes[c.class].idempotent) && e.retries.TakeToken() {
		m.results.retries++
		pause := time.Duration(0)
		if c.tries > 1 || ran {
			pause = e.retries.Backoff(c.tries)
		}
		m.after(pause, func() { m.try(c, host) })
		return
	}
	if c.mayHaveRun {
		m.results.failed++
	} else {
		m.results.refused++
	}
}

func refusedResult(refusal *damaskspread.RefusalError) damaskspread.PickResult {
	return damaskspread.PickResult{
		Refused:    true,
		RetryAfter: refusal.RetryAfter,
	}
}

var pickers = []struct {
	name string
	make func(clock damaskspread.Clock, zone string, seed uint64) damaskspread.EndpointPicker
}{
	{"ours", func(clock damaskspread.Clock, zone string, seed uint64) damaskspread.EndpointPicker {
		return &router.Router{Clock: clock, Zone: zone, Seed: seed}
	}},
	{"random", baseline(router.Random)},
	{"round robin", baseline(router.RoundRobin)},
	{"least loaded", baseline(router.LeastLoaded)},
}

func baseline(rule router.Policy) func(damaskspread.Clock, string, uint64) damaskspread.EndpointPicker {
	return func(clock damaskspread.Clock, zone string, seed uint64) damaskspread.EndpointPicker {
		return &router.Baseline{Router: router.Router{Clock: clock, Zone: zone, Seed: seed}, Policy: rule}
	}
}

// upperBound returns an upper bound for any picker: no queueing, the nearest
// endpoint, and no more work than the healthy endpoints can do in each second
// and the next.
func upperBound(d deployment, s scenario, calls []call) *figures {
	f := &figures{
		good: []int{0},
	}
	spareSeconds, second := 0.0, -1
	for _, c := range calls {
		if now := int(c.at / time.Second); now != second {
			// A request may run one second later and still meet its deadline.
			spareSeconds = min(spareSeconds, 0) + modelSlots*float64(healthyEndpointsAt(d, s, c.at))
			second = now
		}
		capacity := modelSlots * float64(healthyEndpointsAt(d, s, c.at))
		if spareSeconds+capacity < c.serviceTime.Seconds() {
			continue
		}
		spareSeconds -= c.serviceTime.Seconds()
		f.good[0]++
		if c.at >= faultTo && c.at < faultTo+2*time.Second {
			f.recovered++
		}
		latency := c.serviceTime + 2*d.toCaller + 2*d.withinZone
		f.latencies = append(f.latencies, latency)
		if c.class == 0 {
			f.firstClass = append(f.firstClass, latency)
		}
	}
	slices.Sort(f.latencies)
	slices.Sort(f.firstClass)
	return f
}

// healthyEndpointsAt returns the number of healthy endpoints. The first zone has
// one endpoint more than others if they don't divide evenly, hence rounded up.
func healthyEndpointsAt(d deployment, s scenario, at time.Duration) int {
	if at < faultFrom || at >= faultTo {
		return modelEndpoints
	}
	switch {
	case s.all:
		return 0
	case s.zone:
		return modelEndpoints - (modelEndpoints+d.zones-1)/d.zones
	case s.fault != healthy:
		return modelEndpoints - 1
	}
	return modelEndpoints
}
