package estimator

import (
	"math"
	"time"

	"damaskspread.example/damaskspread/wire"
)

const (
	// loadLevels is the number of load levels with a model of their own: at low
	// load, where the service has slack, tasks slow it down less than near
	// saturation.
	loadLevels = 4
	// historyRetention has to cover LoadLag.
	historyRetention = time.Minute
	// learningRate trades noise for speed: a value converges within about 20
	// measurements.
	learningRate = 0.2
	// decayTime is the time constant with which a value decays that is no longer
	// measured, so that an improved kind is tried again.
	decayTime = 6 * time.Hour
	// The effect that decisions use follows the learned one only after a relative
	// change above minRelativeChange and an absolute one above minAbsoluteChange.
	// Otherwise the noise of measurements would move tasks back and forth.
	minRelativeChange = 0.2
	minAbsoluteChange = 0.03
	// minBase keeps a model usable whose first sample was very slow.
	minBase = 0.01
	// slowdownSmoothing is the weight of a new measurement in the exponential
	// average of a host's slowdown.
	slowdownSmoothing = 0.3
)

// modelKey identifies the model of a service at one load level.
type modelKey struct {
	service   string
	loadLevel int
}

// model predicts the service time as a base plus a term for each running task,
// which depends on its kind. The model is linear because the effects of several
// tasks add up; a model of the logarithm would learn smaller effects the more tasks
// run.
type model struct {
	// unit is the first observed service time in microseconds. The base and the
	// learned effects are multiples of it.
	unit  float64
	base  float64
	kinds map[string]*kindEffect
}

// kindEffect is the effect of one task of a kind on a service.
type kindEffect struct {
	// learned is the latest estimate in units of the model.
	learned float64
	// publishedSlowdown is what decisions use: learned relative to the base,
	// updated after larger changes only.
	publishedSlowdown float64
	updatedAt         time.Time
}

// taskMix is what ran on a host from a point in time on.
type taskMix struct {
	from time.Time
	// kinds counts tasks by kind. A throttled task counts as the fraction of its
	// processors that it may use.
	kinds map[string]float64
}

// hostView is what the Estimator knows of one host.
type hostView struct {
	capacity  *wire.Resources
	service   string
	loadLevel int
	tasks     map[string]*runningTask
	history   []taskMix
	// slowdown is the smoothed measured slowdown of the service; 0 means none.
	slowdown float64
	// hot means that the slowdown calls for action against tasks.
	hot          bool
	lastActionAt time.Time
	// slowdownSum caches the predicted slowdown by all tasks of the host. A change
	// of the tasks and each measurement make it invalid.
	slowdownSum      float64
	slowdownSumValid bool
}

func (e *Estimator) hostOrNew(id string) *hostView {
	h := e.hosts[id]
	if h == nil {
		h = &hostView{
			tasks: map[string]*runningTask{},
		}
		e.hosts[id] = h
	}
	return h
}

// recordMix appends the tasks that run now to the history.
func (h *hostView) recordMix(now time.Time) {
	h.slowdownSumValid = false
	kinds := map[string]float64{}
	for _, r := range h.tasks {
		kinds[r.spec.GetKind()] += r.processorShare()
	}
	// The newest entry from before the retention period stays: it describes the
	// beginning of the period.
	for len(h.history) > 1 && now.Sub(h.history[1].from) > historyRetention {
		h.history = h.history[1:]
	}
	h.history = append(h.history, taskMix{
		from:  now,
		kinds: kinds,
	})
}

// kindsAt returns what ran at time t, or nil if the history doesn't reach back.
func (h *hostView) kindsAt(t time.Time) map[string]float64 {
	for i := len(h.history) - 1; i >= 0; i-- {
		if !h.history[i].from.After(t) {
			return h.history[i].kinds
		}
	}
	return nil
}

// ObserveLoad learns from the load that a host's endpoint reports. It ignores
// reports without a service time. For a host whose service is not set it records
// the load level only.
func (e *Estimator) ObserveLoad(host string, load *wire.EndpointLoad) {
	if load.GetServiceTimeUs() <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	h := e.hostOrNew(host)
	h.loadLevel = loadLevel(load)
	h.slowdownSumValid = false
	if h.service == "" {
		return
	}
	now := e.Clock.Now()
	kinds := h.kindsAt(now.Add(-e.LoadLag))
	m := e.modelOrNew(h.service, h.loadLevel)
	measuredUnits := m.learn(float64(load.GetServiceTimeUs()), kinds, now)
	h.slowdown += slowdownSmoothing * (measuredUnits/m.base - 1 - h.slowdown)
}

// loadLevel returns the utilization of the endpoint as an index below loadLevels.
// It is 0 without a limit.
func loadLevel(load *wire.EndpointLoad) int {
	if load.GetLimit() <= 0 {
		return 0
	}
	return max(0, min(loadLevels-1, int(load.GetRunning()*loadLevels/load.GetLimit())))
}

func (e *Estimator) modelOrNew(service string, level int) *model {
	key := modelKey{
		service:   service,
		loadLevel: level,
	}
	m := e.models[key]
	if m == nil {
		m = &model{
			kinds: map[string]*kindEffect{},
		}
		e.models[key] = m
	}
	return m
}

// learn corrects the base and the effects of the kinds that ran by the error of
// the prediction, each in proportion to its number of tasks. It returns the
// measured service time in units of the model.
func (m *model) learn(micros float64, kinds map[string]float64, now time.Time) float64 {
	if m.unit == 0 {
		m.unit, m.base = micros, 1
	}
	measured := micros / m.unit
	predicted, norm := m.base, 1.0
	sortedKinds := sortedKeys(kinds)
	for _, kind := range sortedKinds {
		n := kinds[kind]
		predicted += m.decayedEffect(kind, now).learned * n
		norm += n * n
	}
	step := learningRate * (measured - predicted) / norm
	m.base = max(m.base+step, minBase)
	for _, kind := range sortedKinds {
		effect, n := m.kinds[kind], kinds[kind]
		effect.learned = max(0, effect.learned+step*n)
		effect.updatedAt = now
		effect.publish(m.base)
	}
	return measured
}

// decayedEffect decays the effect of a kind by the time since its last update and
// returns it.
func (m *model) decayedEffect(kind string, now time.Time) *kindEffect {
	effect := m.kinds[kind]
	if effect == nil {
		effect = &kindEffect{
			updatedAt: now,
		}
		m.kinds[kind] = effect
	}
	if idle := now.Sub(effect.updatedAt); idle > 0 {
		effect.learned *= math.Exp(-float64(idle) / float64(decayTime))
		effect.updatedAt = now
		effect.publish(m.base)
	}
	return effect
}

// publish sets publishedSlowdown if the learned effect has changed enough.
func (effect *kindEffect) publish(base float64) {
	relative := effect.learned / base
	if change := math.Abs(relative - effect.publishedSlowdown); change > max(minAbsoluteChange, minRelativeChange*effect.publishedSlowdown) {
		effect.publishedSlowdown = relative
	}
}

// Cost returns the cost of one more task of a kind for the service of a host: the
// increase of the square of the expected slowdown. With the square, kinds that
// interfere spread over hosts instead of gathering on one. The cost is 1 for a
// task that alone would slow down the service to the point where its host is hot.
func (e *Estimator) Cost(host, service, kind string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	current, added := e.expectedSlowdown(host, service, kind)
	return ((current+added)*(current+added) - current*current) / (hotSlowdown * hotSlowdown)
}

// Slowdown returns the expected relative slowdown of the service of a host by one
// more task of a kind: 0.25 means that requests take a quarter longer.
func (e *Estimator) Slowdown(host, service, kind string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	_, added := e.expectedSlowdown(host, service, kind)
	return added
}

// ExceedsSlowdownLimit reports whether one more task of a kind would make a host
// hot. It is false for the first interfering task of a host; otherwise a task that
// makes every host hot could run nowhere.
func (e *Estimator) ExceedsSlowdownLimit(host, service, kind string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	current, added := e.expectedSlowdown(host, service, kind)
	return current > minAbsoluteChange && added > minAbsoluteChange && current+added > hotSlowdown
}

// expectedSlowdown returns the predicted relative slowdown by the tasks of a host
// and the additional one by one more task of a kind.
func (e *Estimator) expectedSlowdown(host, service, kind string) (current, added float64) {
	h := e.hosts[host]
	if h == nil {
		return 0, e.publishedSlowdown(service, kind, 0)
	}
	if !h.slowdownSumValid {
		h.slowdownSum, h.slowdownSumValid = 0, true
		kinds := h.kindsAt(e.Clock.Now())
		for _, kind := range sortedKeys(kinds) {
			h.slowdownSum += e.publishedSlowdown(service, kind, h.loadLevel) * kinds[kind]
		}
	}
	return h.slowdownSum, e.publishedSlowdown(service, kind, h.loadLevel)
}

// publishedSlowdown returns the slowdown of a service by one task of a kind that
// decisions use, at the nearest load level with a measurement; 0 if there is none.
func (e *Estimator) publishedSlowdown(service, kind string, level int) float64 {
	for distance := range loadLevels {
		for _, l := range [2]int{level - distance, level + distance} {
			m := e.models[modelKey{
				service:   service,
				loadLevel: l,
			}]
			if m == nil || m.kinds[kind] == nil {
				continue
			}
			return m.decayedEffect(kind, e.Clock.Now()).publishedSlowdown
		}
	}
	return 0
}
