// Package estimator learns what tasks really use, how long they run, and how
// much each task kind slows the services beside it.
//
// It owns these estimates and the history of what ran on each host, which
// late measurements are matched against. All of it is relearned after a
// restart. It starts no goroutines and is safe for concurrent use.
//
// Open questions: EndpointLoad carries no age, so that the age of service
// times is the constant LoadLag.
package estimator

import (
	"math"
	"sync"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

const (
	// memorySamples is how many samples an average remembers; behavior of a
	// kind changes with its releases, about daily.
	memorySamples = 50
	// priorSamples is the weight of the declared value against samples.
	priorSamples = 3
	// unknownDeviation is the relative uncertainty before any sample.
	unknownDeviation = 0.5
)

// average is a running mean and variance with slow forgetting.
type average struct {
	count    float64
	mean     float64
	variance float64
}

func (a *average) add(v float64) {
	a.count = min(a.count+1, memorySamples)
	step := 1 / a.count
	d := v - a.mean
	a.mean += step * d
	a.variance = (1 - step) * (a.variance + step*d*d)
}

// relative returns the expected ratio to the declared value and its deviation.
func (a *average) relative() (ratio, deviation float64) {
	total := a.count + priorSamples
	ratio = (a.count*a.mean + priorSamples) / total
	variance := (a.count*a.variance + priorSamples*unknownDeviation*unknownDeviation) / total
	return ratio, math.Sqrt(variance)
}

type teamKind struct {
	team, kind string
}

type sizes struct {
	millicores, memory, duration average
}

type running struct {
	spec     *wire.TaskSpec
	host     string
	token    int64
	since    time.Time
	sampled  time.Time
	measured wire.Resources
	permille int
}

// Estimate is what a task is expected to use.
type Estimate struct {
	Mean      *wire.Resources
	Deviation *wire.Resources
	Duration  time.Duration
	// DurationDeviation is the uncertainty of Duration.
	DurationDeviation time.Duration
	Samples           int
}

// Estimator learns from late measurements.
type Estimator struct {
	Clock damaskspread.Clock
	// Objective is set before the first use; SetObjective changes it later.
	Objective damaskspread.Objective
	// LoadLag is the age of the service times in endpoint loads; 0 takes them
	// for present ones.
	LoadLag time.Duration

	mu     sync.Mutex
	sizes  map[teamKind]*sizes
	tasks  map[string]*running
	hosts  map[string]*hostView
	models map[modelKey]*model
}

func (e *Estimator) init() {
	if e.sizes == nil {
		e.sizes = map[teamKind]*sizes{}
		e.tasks = map[string]*running{}
		e.hosts = map[string]*hostView{}
		e.models = map[modelKey]*model{}
	}
}

// SetObjective changes the weights of the responses from the next one on.
func (e *Estimator) SetObjective(objective damaskspread.Objective) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Objective = objective
}

// SetHost tells the capacity and service of a host.
func (e *Estimator) SetHost(spec *wire.HostSpec) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	h := e.host(spec.GetHost())
	h.capacity = spec.GetCapacity()
	h.service = spec.GetEndpoint().GetService()
}

// Started tells that a claim of a task took effect.
func (e *Estimator) Started(spec *wire.TaskSpec, host string, token int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	e.remove(spec.GetTask())
	now := e.Clock.Now()
	e.tasks[spec.GetTask()] = &running{
		spec:     spec,
		host:     host,
		token:    token,
		since:    now,
		permille: 1000,
	}
	h := e.host(host)
	h.tasks[spec.GetTask()] = e.tasks[spec.GetTask()]
	h.note(now)
}

// Ended tells that an attempt no longer runs; succeeded makes its run time
// count.
func (e *Estimator) Ended(task string, succeeded bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	r := e.tasks[task]
	if r == nil {
		return
	}
	declared := r.spec.GetExpectedDurationMs()
	if succeeded && declared > 0 {
		elapsed := e.Clock.Since(r.since).Milliseconds()
		e.sizesOf(r.spec).duration.add(float64(elapsed) / float64(declared))
	}
	e.remove(task)
}

func (e *Estimator) remove(task string) {
	r := e.tasks[task]
	if r == nil {
		return
	}
	delete(e.tasks, task)
	h := e.host(r.host)
	delete(h.tasks, task)
	h.note(e.Clock.Now())
}

func (e *Estimator) sizesOf(spec *wire.TaskSpec) *sizes {
	key := teamKind{
		team: spec.GetTeam(),
		kind: spec.GetKind(),
	}
	s := e.sizes[key]
	if s == nil {
		s = &sizes{}
		e.sizes[key] = s
	}
	return s
}

// ObserveUsage takes the samples of a worker. Samples of an earlier attempt
// and samples older than the latest one are ignored.
func (e *Estimator) ObserveUsage(host string, samples []*wire.UsageSample) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	for _, sample := range samples {
		r := e.tasks[sample.GetTask()]
		taken := e.Clock.Now().Add(-time.Duration(sample.GetLagMs()) * time.Millisecond)
		if r == nil || r.host != host || r.token != sample.GetToken() || !taken.After(r.sampled) {
			continue
		}
		r.sampled = taken
		r.measured = wire.Resources{
			Millicores:  sample.GetMillicores(),
			MemoryBytes: sample.GetMemoryBytes(),
		}
		s := e.sizesOf(r.spec)
		declared := r.spec.GetResources()
		// A throttled task shows the limit instead of its need.
		if declared.GetMillicores() > 0 && r.permille == 1000 {
			s.millicores.add(float64(sample.GetMillicores()) / float64(declared.GetMillicores()))
		}
		if declared.GetMemoryBytes() > 0 {
			s.memory.add(float64(sample.GetMemoryBytes()) / float64(declared.GetMemoryBytes()))
		}
	}
}

// Estimate returns the expected size and run time of a task.
func (e *Estimator) Estimate(spec *wire.TaskSpec) Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	return e.estimate(spec)
}

func (e *Estimator) estimate(spec *wire.TaskSpec) Estimate {
	s := e.sizesOf(spec)
	cores, coresDeviation := s.millicores.relative()
	memory, memoryDeviation := s.memory.relative()
	duration, durationDeviation := s.duration.relative()
	declared := spec.GetResources()
	expected := time.Duration(spec.GetExpectedDurationMs()) * time.Millisecond
	return Estimate{
		Mean: &wire.Resources{
			Millicores:   scale(declared.GetMillicores(), cores),
			MemoryBytes:  scale(declared.GetMemoryBytes(), memory),
			Accelerators: declared.GetAccelerators(),
		},
		Deviation: &wire.Resources{
			Millicores:  scale(declared.GetMillicores(), coresDeviation),
			MemoryBytes: scale(declared.GetMemoryBytes(), memoryDeviation),
		},
		Duration:          time.Duration(float64(expected) * duration),
		DurationDeviation: time.Duration(float64(expected) * durationDeviation),
		Samples:           int(s.millicores.count),
	}
}

func scale(v int64, by float64) int64 {
	return int64(float64(v) * by)
}

// HostUse is what a host's tasks use: the latest samples, and the estimate
// plus one deviation for tasks that started since. It never exceeds the host.
func (e *Estimator) HostUse(host string) *wire.Resources {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	h := e.host(host)
	use := &wire.Resources{}
	for _, r := range h.tasks {
		if !r.sampled.IsZero() {
			use.Millicores += r.measured.GetMillicores()
			use.MemoryBytes += r.measured.GetMemoryBytes()
			use.Accelerators += r.spec.GetResources().GetAccelerators()
			continue
		}
		estimate := e.estimate(r.spec)
		// Without any sample the declaration is all that is known; adding the
		// prior uncertainty would hold back a third of every new host.
		if estimate.Samples == 0 {
			estimate = Estimate{
				Mean: r.spec.GetResources(),
			}
		}
		use.Millicores += estimate.Mean.GetMillicores() + estimate.Deviation.GetMillicores()
		use.MemoryBytes += estimate.Mean.GetMemoryBytes() + estimate.Deviation.GetMemoryBytes()
		use.Accelerators += estimate.Mean.GetAccelerators()
	}
	use.Millicores = min(use.Millicores, h.capacity.GetMillicores())
	use.MemoryBytes = min(use.MemoryBytes, h.capacity.GetMemoryBytes())
	use.Accelerators = min(use.Accelerators, h.capacity.GetAccelerators())
	return use
}
