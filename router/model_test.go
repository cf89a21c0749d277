package router_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/limiter"
	"damaskspread.example/damaskspread/retrier"
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
