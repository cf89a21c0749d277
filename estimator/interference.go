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
	publishStep  = 0.03
	// smallestBase keeps a model with one very slow first sample usable.
	smallestBase = 0.01
	// smoothing of a host's measured slowdown.
	smoothing = 0.3
)

type modelKey struct {
	service string
	level   int
}

// model predicts a service time as a base plus a part per running task of
// each kind. Several slow tasks add up; the logarithm of the service time
// would make each of them look smaller the more of them run.
type model struct {
	// unit is the first service time; other values are multiples of it.
	unit  float64
	base  float64
	kinds map[string]*influence
}

type influence struct {
	learned   float64
	published float64
	observed  time.Time
}

// present is what ran on a host from a time on.
type present struct {
	from time.Time
	// kinds counts tasks by kind; a throttled one counts in part.
	kinds map[string]float64
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
	// expected is the predicted slowdown by the host's tasks. It is computed
	// again after a change of the tasks and after each measurement.
	expected      float64
	expectedValid bool
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
	h.expectedValid = false
	kinds := map[string]float64{}
	for _, r := range h.tasks {
		kinds[r.spec.GetKind()] += float64(r.permille) / 1000
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

func (h *hostView) kindsAt(t time.Time) map[string]float64 {
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
	h.expectedValid = false
	if h.service == "" {
		return
	}
	now := e.Clock.Now()
	kinds := h.kindsAt(now.Add(-e.LoadLag))
	m := e.model(h.service, h.level)
	measured := m.learn(float64(load.GetServiceTimeUs()), kinds, now)
	h.slowdown += smoothing * (measured/m.base - 1 - h.slowdown)
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
// were present, in proportion to their number. It returns the service time in
// units of the model.
func (m *model) learn(micros float64, kinds map[string]float64, now time.Time) float64 {
	if m.unit == 0 {
		m.unit, m.base = micros, 1
	}
	measured := micros / m.unit
	predicted, norm := m.base, 1.0
	present := sortedKeys(kinds)
	for _, kind := range present {
		n := kinds[kind]
		predicted += m.influence(kind, now).learned * n
		norm += n * n
	}
	step := learningRate * (measured - predicted) / norm
	m.base = max(m.base+step, smallestBase)
	for _, kind := range present {
		i, n := m.kinds[kind], kinds[kind]
		i.learned = max(0, i.learned+step*n)
		i.observed = now
		i.publish(m.base)
	}
	return measured
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
		i.publish(m.base)
	}
	return i
}

// publish updates the relative slowdown that decisions use.
func (i *influence) publish(base float64) {
	relative := i.learned / base
	if change := math.Abs(relative - i.published); change > max(publishStep, publishShare*i.published) {
		i.published = relative
	}
}

// Cost is the cost of one more task of a kind for the service of a host. It
// grows with the square of the expected slowdown, so that noisy kinds spread
// over hosts instead of meeting on one, and is 1 for a slowdown from nothing
// to the point where the host counts as hot.
func (e *Estimator) Cost(host, service, kind string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	present, more := e.expect(host, service, kind)
	return ((present+more)*(present+more) - present*present) / (hotSlowdown * hotSlowdown)
}

// Slowdown is the expected relative slowdown of the service of a host by one
// task of a kind alone.
func (e *Estimator) Slowdown(host, service, kind string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	_, more := e.expect(host, service, kind)
	return more
}

// Crowded reports whether one more task of a kind would make a host hot. The
// first noisy task of a host is never refused: it could run nowhere.
func (e *Estimator) Crowded(host, service, kind string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	present, more := e.expect(host, service, kind)
	return present > publishStep && more > publishStep && present+more > hotSlowdown
}

// expect returns the slowdown by the tasks of a host and by one more of a kind.
func (e *Estimator) expect(host, service, kind string) (present, more float64) {
	h := e.hosts[host]
	if h == nil {
		return 0, e.published(service, kind, 0)
	}
	if !h.expectedValid {
		h.expected, h.expectedValid = 0, true
		kinds := h.kindsAt(e.Clock.Now())
		for _, kind := range sortedKeys(kinds) {
			h.expected += e.published(service, kind, h.level) * kinds[kind]
		}
	}
	return h.expected, e.published(service, kind, h.level)
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
