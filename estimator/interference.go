package estimator

import (
	"math"
	"time"

	"damaskspread.example/damaskspread/wire"
)

const (
	// loadLevels separates the effect at low load, where there is slack, from
	// that near saturation.
	loadLevels = 4
	// historyKept covers the lag of service times.
	historyKept = time.Minute
	// learningRate trades noise for speed: about 20 measurements settle a value.
	learningRate = 0.2
	// forgetting lets a value that is no longer observed decay slowly, so that
	// a kind that was improved gets another chance.
	forgetting = 6 * time.Hour
	// A published value follows the learned one only after a relative change
	// of publishShare and an absolute one of publishStep; otherwise the noise
	// of measurements would move tasks back and forth.
	publishShare = 0.2
	publishStep  = 0.05
	// smoothing of a host's measured slowdown.
	smoothing = 0.3
)

type modelKey struct {
	service string
	level   int
}

// model predicts the logarithm of a service time as a base plus a share per
// running task of each kind.
type model struct {
	base  float64
	known bool
	kinds map[string]*influence
}

type influence struct {
	learned   float64
	published float64
	observed  time.Time
}

// present is what ran on a host from a time on.
type present struct {
	from  time.Time
	kinds map[string]int
}

type hostView struct {
	capacity *wire.Resources
	service  string
	level    int
	tasks    map[string]*running
	history  []present
	slowdown float64
	hot      bool
	acted    time.Time
}

func (e *Estimator) host(id string) *hostView {
	h := e.hosts[id]
	if h == nil {
		h = &hostView{
			tasks: map[string]*running{},
		}
		e.hosts[id] = h
	}
	return h
}

func (h *hostView) note(now time.Time) {
	kinds := map[string]int{}
	for _, r := range h.tasks {
		kinds[r.spec.GetKind()]++
	}
	// The entry before the window still describes its beginning.
	for len(h.history) > 1 && now.Sub(h.history[1].from) > historyKept {
		h.history = h.history[1:]
	}
	h.history = append(h.history, present{
		from:  now,
		kinds: kinds,
	})
}

func (h *hostView) kindsAt(t time.Time) map[string]int {
	for i := len(h.history) - 1; i >= 0; i-- {
		if !h.history[i].from.After(t) {
			return h.history[i].kinds
		}
	}
	return nil
}

// ObserveLoad takes the load that an endpoint reports.
func (e *Estimator) ObserveLoad(host string, load *wire.EndpointLoad) {
	if load.GetServiceTimeUs() <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	h := e.host(host)
	h.level = loadLevel(load)
	if h.service == "" {
		return
	}
	now := e.Clock.Now()
	kinds := h.kindsAt(now.Add(-e.LoadLag))
	m := e.model(h.service, h.level)
	measured := math.Log(float64(load.GetServiceTimeUs()))
	m.learn(measured, kinds, now)
	h.slowdown += smoothing * (measured - m.base - h.slowdown)
}

func loadLevel(load *wire.EndpointLoad) int {
	if load.GetLimit() <= 0 {
		return 0
	}
	return max(0, min(loadLevels-1, int(load.GetRunning()*loadLevels/load.GetLimit())))
}

func (e *Estimator) model(service string, level int) *model {
	key := modelKey{
		service: service,
		level:   level,
	}
	m := e.models[key]
	if m == nil {
		m = &model{
			kinds: map[string]*influence{},
		}
		e.models[key] = m
	}
	return m
}

// learn splits the error of the prediction among the base and the kinds that
// were present, in proportion to their number.
func (m *model) learn(measured float64, kinds map[string]int, now time.Time) {
	if !m.known {
		m.base, m.known = measured, true
	}
	predicted, norm := m.base, 1.0
	for kind, n := range kinds {
		x := float64(n)
		predicted += m.influence(kind, now).learned * x
		norm += x * x
	}
	step := learningRate * (measured - predicted) / norm
	m.base += step
	for kind, n := range kinds {
		i := m.kinds[kind]
		i.learned = max(0, i.learned+step*float64(n))
		i.observed = now
		i.publish()
	}
}

// influence returns a kind's values after forgetting since the last look.
func (m *model) influence(kind string, now time.Time) *influence {
	i := m.kinds[kind]
	if i == nil {
		i = &influence{
			observed: now,
		}
		m.kinds[kind] = i
	}
	if idle := now.Sub(i.observed); idle > 0 {
		i.learned *= math.Exp(-float64(idle) / float64(forgetting))
		i.observed = now
		i.publish()
	}
	return i
}

func (i *influence) publish() {
	if change := math.Abs(i.learned - i.published); change > max(publishStep, publishShare*i.published) {
		i.published = i.learned
	}
}

// Cost is the expected relative slowdown of the service of a host, at its
// present load, by one more task of a kind.
func (e *Estimator) Cost(host, service, kind string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	level := 0
	if h := e.hosts[host]; h != nil {
		level = h.level
	}
	return math.Expm1(e.published(service, kind, level))
}

// published returns the value at the nearest load level with one.
func (e *Estimator) published(service, kind string, level int) float64 {
	for distance := range loadLevels {
		for _, l := range [2]int{level - distance, level + distance} {
			m := e.models[modelKey{
				service: service,
				level:   l,
			}]
			if m == nil || m.kinds[kind] == nil {
				continue
			}
			return m.influence(kind, e.Clock.Now()).published
		}
	}
	return 0
}
