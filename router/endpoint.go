package router

import (
	"math"
	"sync/atomic"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

const (
	// failuresToEject tolerates single losses: at 10% independent failures,
	// five in a row occur once in 100,000 requests.
	failuresToEject = 5
	// maxEjectedShare keeps the rest from being overloaded by what ejected
	// endpoints would have served.
	maxEjectedShare = 0.3
	// An endpoint is slow at this multiple of the pool's mean latency.
	slowFactor = 4
	// Latency samples before an endpoint can be judged slow.
	slowSamples = 20
	ejectFor    = 5 * time.Second
	maxEject    = time.Minute
	smoothing   = 0.1
	// An endpoint whose responses are mostly empty is broken if those of the
	// others are not. It answers fast and would draw ever more requests.
	mostlyEmpty = 0.8
	seldomEmpty = 0.4
	// longestWait bounds how long a refusal marks an endpoint as full: the
	// queue behind it may be of a lower class than the next request.
	longestWait = int64(250 * time.Millisecond)
)

// average is an exponentially weighted mean with atomic updates; a lost race
// loses one sample.
type average struct{ bits atomic.Uint64 }

func (a *average) get() float64  { return math.Float64frombits(a.bits.Load()) }
func (a *average) set(v float64) { a.bits.Store(math.Float64bits(v)) }

func (a *average) add(v float64) {
	old := a.bits.Load()
	mean := math.Float64frombits(old)
	if old == 0 {
		mean = v
	}
	a.bits.CompareAndSwap(old, math.Float64bits(mean+smoothing*(v-mean)))
}

// blend adds to a mean that begins at 0.
func (a *average) blend(v float64) {
	old := a.bits.Load()
	mean := math.Float64frombits(old)
	a.bits.CompareAndSwap(old, math.Float64bits(mean+smoothing*(v-mean)))
}

type endpoint struct {
	service string
	spec    damaskspread.Endpoint
	group   *group
	// removed keeps late results from ejecting what is no longer counted.
	removed atomic.Bool

	inflight atomic.Int32
	// Reported requests of other entries, the admission limit and the time of
	// the report.
	others     atomic.Int32
	queued     atomic.Int32
	limit      atomic.Int32
	reportedAt atomic.Int64
	reported   atomic.Pointer[wire.EndpointLoad]

	rampFrom     atomic.Int64
	ejectedUntil atomic.Int64
	ejections    atomic.Int32
	failures     atomic.Int32
	latency      average
	empty        average
	sampled      atomic.Int32
	// fullUntil is the end of the wait that a refusal named.
	fullUntil atomic.Int64
}

func (e *endpoint) pick() damaskspread.Pick {
	e.inflight.Add(1)
	return damaskspread.Pick{
		Host:    e.spec.Host,
		Address: e.spec.Address,
		Zone:    e.spec.Zone,
		Handle:  e,
	}
}

func newEndpoint(service string, spec damaskspread.Endpoint, shared *group) *endpoint {
	e := &endpoint{
		service: service,
		spec:    spec,
		group:   shared,
	}
	e.limit.Store(max(spec.Slots, 1))
	return e
}

// observe keeps what others have at the endpoint. The own requests are
// subtracted, so that load counts them by their present number.
func (e *endpoint) observe(load *wire.EndpointLoad, now int64) {
	e.reported.Store(load)
	e.queued.Store(load.GetQueued())
	e.others.Store(max(0, load.GetRunning()+load.GetQueued()-e.inflight.Load()))
	if load.GetLimit() > 0 {
		e.limit.Store(load.GetLimit())
	}
	e.reportedAt.Store(now)
}

// load is the share of the admission limit in use, scaled up during slow
// start so that an empty endpoint doesn't draw all requests.
func (e *endpoint) load(now int64) float64 {
	requests := float64(e.inflight.Load())
	if at := e.reportedAt.Load(); at != 0 && now-at <= int64(freshFor) {
		requests += float64(e.others.Load())
	}
	load := requests / float64(e.limit.Load())
	if from := e.rampFrom.Load(); from != 0 {
		if passed := now - from; passed < int64(slowStart) {
			ramp := max(minRamp, float64(passed)/float64(slowStart))
			// The added request counts too: an empty endpoint would otherwise
			// have load 0 at any ramp.
			load = (requests + 1 - ramp) / (float64(e.limit.Load()) * ramp)
		}
	}
	if now < e.fullUntil.Load() {
		load = max(load, spillLoad)
	}
	return load
}

// usable readmits an endpoint whose ejection ended; it returns by slow start.
func (e *endpoint) usable(now int64) bool {
	until := e.ejectedUntil.Load()
	if until == 0 {
		return true
	}
	if now < until || !e.ejectedUntil.CompareAndSwap(until, 0) {
		return false
	}
	e.failures.Store(0)
	e.sampled.Store(0)
	e.latency.set(0)
	e.empty.set(0)
	e.rampFrom.Store(now)
	e.group.ejected.Add(-1)
	return true
}

func (e *endpoint) judge(result damaskspread.PickResult, now int64) {
	if result.Failed {
		if e.failures.Add(1) >= failuresToEject {
			e.eject(now)
		}
		return
	}
	e.failures.Store(0)
	if result.Refused {
		if result.RetryAfter > 0 {
			e.fullUntil.Store(now + min(int64(result.RetryAfter), longestWait))
		}
		return
	}
	share := 0.0
	if result.Empty {
		share = 1
	}
	e.empty.blend(share)
	if e.queued.Load() > 0 {
		// The latency is mostly wait and depends on the request's class.
		return
	}
	micros := float64(result.Latency.Microseconds()) + 1
	e.latency.add(micros)
	if e.sampled.Add(1) < slowSamples {
		e.group.latency.add(micros)
		return
	}
	if mean := e.group.latency.get(); mean > 0 && e.latency.get() > slowFactor*mean {
		e.eject(now)
		return
	}
	e.group.latency.add(micros)
	if from := e.rampFrom.Load(); from != 0 && now-from > int64(slowStart) {
		e.ejections.Store(0)
	}
}

func (e *endpoint) mostlyEmpty() bool {
	return e.empty.get() > mostlyEmpty && e.sampled.Load() >= slowSamples
}

// eject takes the endpoint out for a time that doubles, unless too many are
// out already.
func (e *endpoint) eject(now int64) {
	limit := int32(float64(e.group.size.Load()) * maxEjectedShare)
	if e.ejectedUntil.Load() != 0 || e.removed.Load() {
		return
	}
	if e.group.ejected.Add(1) > limit {
		e.group.ejected.Add(-1)
		return
	}
	pause := min(ejectFor<<min(e.ejections.Add(1)-1, 10), maxEject)
	if !e.ejectedUntil.CompareAndSwap(0, now+int64(pause)) {
		e.group.ejected.Add(-1)
		return
	}
	if e.removed.Load() {
		e.readmit()
	}
}

// readmit ends the ejection once, whoever ends it first.
func (e *endpoint) readmit() {
	if until := e.ejectedUntil.Load(); until != 0 && e.ejectedUntil.CompareAndSwap(until, 0) {
		e.group.ejected.Add(-1)
	}
}

func (e *endpoint) remove() {
	e.removed.Store(true)
	e.readmit()
}
