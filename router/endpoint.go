package router

import (
	"math"
	"sync/atomic"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

const (
	// failuresToEject is the number of consecutive failures that ejects an
	// endpoint. At 10% independent failures, five in a row occur once in 100,000
	// requests.
	failuresToEject = 5
	// maxEjectedShare limits the load that moves from ejected endpoints to the
	// remaining ones.
	maxEjectedShare = 0.3
	// slowLatencyFactor is the multiple of the service's mean latency above which
	// an endpoint is ejected as slow.
	slowLatencyFactor = 4
	// minLatencySamples is the number of latency samples from which an endpoint can
	// be ejected as slow or empty.
	minLatencySamples = 20
	// baseEjectionTime is the time of the first ejection. Each further one takes
	// twice as long, up to maxEjectionTime; maxEjectionDoublings keeps the shift from
	// overflowing.
	baseEjectionTime     = 5 * time.Second
	maxEjectionTime      = time.Minute
	maxEjectionDoublings = 10
	// averageWeight is the weight of a new value in an average.
	averageWeight = 0.1
	// An endpoint is ejected if more than ejectedEmptyShare of its responses are
	// empty while most other endpoints stay below normalEmptyShare. It responds
	// fast, so its low load would otherwise attract more and more requests.
	ejectedEmptyShare = 0.8
	normalEmptyShare  = 0.4
	// maxFullTime limits, in nanoseconds, how long a refusal marks an endpoint as
	// full: the queued requests may be of a lower class than the next request.
	maxFullTime = int64(250 * time.Millisecond)
	// leavingTime is how long, in nanoseconds, an endpoint is not picked after it refused
	// a request because it leaves. An entry that can't read the log learns of the leave
	// from refusals only. The agent closes its connections up to 4 s after the first one
	// (record of the leave 3 s, routes 1 s); the outcome of a request that arrives then is
	// unknown.
	leavingTime = int64(5 * time.Second)
)

// average is an exponentially weighted moving average. Of two concurrent
// updates one may be lost.
type average struct{ bits atomic.Uint64 }

func (a *average) get() float64  { return math.Float64frombits(a.bits.Load()) }
func (a *average) set(v float64) { a.bits.Store(math.Float64bits(v)) }

// add starts the average at the first sample.
func (a *average) add(v float64) {
	old := a.bits.Load()
	mean := math.Float64frombits(old)
	if old == 0 {
		mean = v
	}
	a.bits.CompareAndSwap(old, math.Float64bits(mean+averageWeight*(v-mean)))
}

// addFromZero starts the average at 0 rather than at the first sample.
func (a *average) addFromZero(v float64) {
	old := a.bits.Load()
	mean := math.Float64frombits(old)
	a.bits.CompareAndSwap(old, math.Float64bits(mean+averageWeight*(v-mean)))
}

type endpoint struct {
	service string
	spec    damaskspread.Endpoint
	stats   *serviceStats
	// removed is set when SetEndpoints drops the endpoint. Results that arrive
	// later must not eject it, or the service's count of ejected endpoints would
	// stay too high.
	removed atomic.Bool

	inFlight atomic.Int32
	// From the latest load report: requests of other entries, queued requests,
	// admission limit, time of receipt, and the report itself.
	otherRequests atomic.Int32
	queued        atomic.Int32
	limit         atomic.Int32
	reportedAt    atomic.Int64
	report        atomic.Pointer[wire.EndpointLoad]

	// Times are nanoseconds as returned by Router.now; 0 means not set.
	slowStartFrom       atomic.Int64
	ejectedUntil        atomic.Int64
	ejections           atomic.Int32
	consecutiveFailures atomic.Int32
	latency             average
	emptyResponseShare  average
	latencySamples      atomic.Int32
	// fullUntil is when the retry delay of the latest refusal ends; see load.
	fullUntil atomic.Int64
	// leavingUntil is when leavingTime after the latest refusal by the leaving endpoint ends.
	leavingUntil atomic.Int64
}

// beginRequest counts one more request in flight until Done.
func (e *endpoint) beginRequest() damaskspread.Pick {
	e.inFlight.Add(1)
	return damaskspread.Pick{
		Host:    e.spec.Host,
		Address: e.spec.Address,
		Zone:    e.spec.Zone,
		Handle:  e,
	}
}

func newEndpoint(service string, spec damaskspread.Endpoint, shared *serviceStats) *endpoint {
	e := &endpoint{
		service: service,
		spec:    spec,
		stats:   shared,
	}
	e.limit.Store(max(spec.Slots, 1))
	return e
}

// setLoadReport stores a load report. The requests that this entry has in flight
// are subtracted from it, because load adds their current number.
func (e *endpoint) setLoadReport(load *wire.EndpointLoad, now int64) {
	e.report.Store(load)
	e.queued.Store(load.GetQueued())
	e.otherRequests.Store(max(0, load.GetRunning()+load.GetQueued()-e.inFlight.Load()))
	if load.GetLimit() > 0 {
		e.limit.Store(load.GetLimit())
	}
	e.reportedAt.Store(now)
}

// load is the share of the admission limit in use. It is scaled up during slow
// start, so that an idle endpoint doesn't receive all requests at once, and is
// at least spilloverLoad until the retry delay of a refusal ends.
func (e *endpoint) load(now int64) float64 {
	requests := float64(e.inFlight.Load())
	if at := e.reportedAt.Load(); at != 0 && now-at <= int64(maxReportAge) {
		requests += float64(e.otherRequests.Load())
	}
	load := requests / float64(e.limit.Load())
	if from := e.slowStartFrom.Load(); from != 0 {
		if elapsed := now - from; elapsed < int64(slowStartTime) {
			share := max(minSlowStartShare, float64(elapsed)/float64(slowStartTime))
			// (requests+1)/share - 1 instead of requests/share: an idle endpoint
			// would otherwise have load 0 throughout slow start.
			load = (requests + 1 - share) / (float64(e.limit.Load()) * share)
		}
	}
	if now < e.fullUntil.Load() {
		load = max(load, spilloverLoad)
	}
	return load
}

// mayBePicked reports whether the endpoint neither leaves nor is ejected. It readmits one
// whose ejection time is over.
func (e *endpoint) mayBePicked(now int64) bool {
	return now >= e.leavingUntil.Load() && e.readmitIfDue(now)
}

// readmitIfDue readmits an endpoint whose ejection time is over, with a new slow
// start. It reports whether the endpoint is not ejected.
func (e *endpoint) readmitIfDue(now int64) bool {
	until := e.ejectedUntil.Load()
	if until == 0 {
		return true
	}
	if now < until || !e.ejectedUntil.CompareAndSwap(until, 0) {
		return false
	}
	e.consecutiveFailures.Store(0)
	e.latencySamples.Store(0)
	e.latency.set(0)
	e.emptyResponseShare.set(0)
	e.slowStartFrom.Store(now)
	e.stats.ejected.Add(-1)
	return true
}

// recordResult records the result of a request and ejects an endpoint that fails
// repeatedly or is slow.
func (e *endpoint) recordResult(result damaskspread.PickResult, now int64) {
	if result.Failed {
		if e.consecutiveFailures.Add(1) >= failuresToEject {
			e.eject(now)
		}
		return
	}
	e.consecutiveFailures.Store(0)
	if result.Leaving {
		e.leavingUntil.Store(now + leavingTime)
	}
	if result.Refused {
		if result.RetryAfter > 0 {
			e.fullUntil.Store(now + min(int64(result.RetryAfter), maxFullTime))
		}
		return
	}
	sample := 0.0
	if result.Empty {
		sample = 1
	}
	e.emptyResponseShare.addFromZero(sample)
	if e.queued.Load() > 0 {
		// The latency is mostly queueing time, which depends on the request's
		// class.
		return
	}
	micros := float64(result.Latency.Microseconds()) + 1
	e.latency.add(micros)
	if e.latencySamples.Add(1) < minLatencySamples {
		e.stats.latency.add(micros)
		return
	}
	if mean := e.stats.latency.get(); mean > 0 && e.latency.get() > slowLatencyFactor*mean {
		e.eject(now)
		return
	}
	e.stats.latency.add(micros)
	if from := e.slowStartFrom.Load(); from != 0 && now-from > int64(slowStartTime) {
		e.ejections.Store(0)
	}
}

// returnsEmpty reports whether most responses of the endpoint are empty.
func (e *endpoint) returnsEmpty() bool {
	return e.emptyResponseShare.get() > ejectedEmptyShare && e.latencySamples.Load() >= minLatencySamples
}

// eject keeps the endpoint from being picked for a time that doubles with each
// ejection, up to maxEjectionTime. It does nothing if maxEjectedShare of the
// endpoints are already ejected.
func (e *endpoint) eject(now int64) {
	limit := int32(float64(e.stats.size.Load()) * maxEjectedShare)
	if e.ejectedUntil.Load() != 0 || e.removed.Load() {
		return
	}
	if e.stats.ejected.Add(1) > limit {
		e.stats.ejected.Add(-1)
		return
	}
	duration := min(baseEjectionTime<<min(e.ejections.Add(1)-1, maxEjectionDoublings), maxEjectionTime)
	if !e.ejectedUntil.CompareAndSwap(0, now+int64(duration)) {
		e.stats.ejected.Add(-1)
		return
	}
	if e.removed.Load() {
		e.readmit()
	}
}

// readmit ends an ejection. Concurrent calls count it only once.
func (e *endpoint) readmit() {
	if until := e.ejectedUntil.Load(); until != 0 && e.ejectedUntil.CompareAndSwap(until, 0) {
		e.stats.ejected.Add(-1)
	}
}

// remove marks an endpoint that SetEndpoints dropped and ends its ejection.
func (e *endpoint) remove() {
	e.removed.Store(true)
	e.readmit()
}
