// Package estimator learns from measurements what tasks use, how long they run,
// and how much they slow down the services on the same host.
//
// Estimator does so for tasks that are submitted singly, by team and kind.
// InterferenceModel learns the interference between images of job tasks, which
// packages planner and pacer use. Both lose their state at a restart and learn it
// anew.
//
// An Estimator also owns the history of what ran on each host, because
// measurements arrive late and have to be matched with what ran when they were
// taken. The package starts no goroutines, and its types are safe for concurrent
// use.
//
// Open questions: EndpointLoad has no field for the age of its service times, so
// they are taken to be LoadLag old.
package estimator

import (
	"sync"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

type teamKind struct {
	team, kind string
}

// kindStats has the ratios of measured to declared values of a team's tasks of
// one kind.
type kindStats struct {
	millicores, memory, duration ratioStats
}

// runningTask is an attempt of a task that runs on a host.
type runningTask struct {
	spec      *wire.TaskSpec
	host      string
	token     int64
	startedAt time.Time
	// The time and the values of the latest sample; zero before the first.
	sampledAt time.Time
	measured  wire.Resources
	// processorPermille is the part of its processors that throttling leaves the
	// task, up to fullPermille.
	processorPermille int
}

// fullPermille is the processorPermille of a task that is not throttled.
const fullPermille = 1000

func (r *runningTask) throttled() bool { return r.processorPermille < fullPermille }

// processorShare is processorPermille as a share from 0 to 1.
func (r *runningTask) processorShare() float64 { return float64(r.processorPermille) / fullPermille }

// Estimate is what a task is expected to use and how long it is expected to run.
type Estimate struct {
	Mean *wire.Resources
	// Deviation is the standard deviation of the resources. It has no
	// accelerators: they are not estimated.
	Deviation *wire.Resources
	Duration  time.Duration
	// DurationDeviation is the standard deviation of Duration.
	DurationDeviation time.Duration
	// Samples is the number of samples of processor use, which is bounded.
	Samples int
}

// Estimator learns what tasks use and how much kinds of tasks slow down services.
// Clock has to be set before the first use.
type Estimator struct {
	Clock damaskspread.Clock
	// Objective is set before the first use. SetObjective changes it later. The
	// zero value weighs all goals equally.
	Objective damaskspread.Objective
	// LoadLag is the age of the service times in endpoint loads. Zero means that
	// they are current.
	LoadLag time.Duration

	mu        sync.Mutex
	kindStats map[teamKind]*kindStats
	tasks     map[string]*runningTask
	hosts     map[string]*hostView
	models    map[modelKey]*model
}

func (e *Estimator) init() {
	if e.kindStats == nil {
		e.kindStats = map[teamKind]*kindStats{}
		e.tasks = map[string]*runningTask{}
		e.hosts = map[string]*hostView{}
		e.models = map[modelKey]*model{}
	}
}

// SetObjective sets the weights that Respond uses from its next call on.
func (e *Estimator) SetObjective(objective damaskspread.Objective) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Objective = objective
}

// SetHost sets the capacity and the service of a host.
func (e *Estimator) SetHost(spec *wire.HostSpec) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	h := e.hostOrNew(spec.GetHost())
	h.capacity = spec.GetCapacity()
	h.service = spec.GetEndpoint().GetService()
}

// Started records that an attempt of a task started on a host. The token
// identifies the attempt in usage samples.
func (e *Estimator) Started(spec *wire.TaskSpec, host string, token int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	e.remove(spec.GetTask())
	now := e.Clock.Now()
	e.tasks[spec.GetTask()] = &runningTask{
		spec:              spec,
		host:              host,
		token:             token,
		startedAt:         now,
		processorPermille: fullPermille,
	}
	h := e.hostOrNew(host)
	h.tasks[spec.GetTask()] = e.tasks[spec.GetTask()]
	h.recordMix(now)
}

// Ended records that the attempt of a task no longer runs. The run time of an
// attempt that succeeded counts for later estimates.
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
		elapsed := e.Clock.Since(r.startedAt).Milliseconds()
		e.statsOf(r.spec).duration.add(float64(elapsed) / float64(declared))
	}
	e.remove(task)
}

func (e *Estimator) remove(task string) {
	r := e.tasks[task]
	if r == nil {
		return
	}
	delete(e.tasks, task)
	h := e.hostOrNew(r.host)
	delete(h.tasks, task)
	h.recordMix(e.Clock.Now())
}

func (e *Estimator) statsOf(spec *wire.TaskSpec) *kindStats {
	key := teamKind{
		team: spec.GetTeam(),
		kind: spec.GetKind(),
	}
	s := e.kindStats[key]
	if s == nil {
		s = &kindStats{}
		e.kindStats[key] = s
	}
	return s
}

// ObserveUsage records the usage samples of a host's worker. It ignores samples of
// another attempt and samples that are not newer than the latest one.
func (e *Estimator) ObserveUsage(host string, samples []*wire.UsageSample) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	for _, sample := range samples {
		r := e.tasks[sample.GetTask()]
		taken := e.Clock.Now().Add(-time.Duration(sample.GetLagMs()) * time.Millisecond)
		if r == nil || r.host != host || r.token != sample.GetToken() || !taken.After(r.sampledAt) {
			continue
		}
		r.sampledAt = taken
		r.measured = wire.Resources{
			Millicores:  sample.GetMillicores(),
			MemoryBytes: sample.GetMemoryBytes(),
		}
		s := e.statsOf(r.spec)
		declared := r.spec.GetResources()
		// The processor use of a throttled task shows its limit, not its need.
		if declared.GetMillicores() > 0 && !r.throttled() {
			s.millicores.add(float64(sample.GetMillicores()) / float64(declared.GetMillicores()))
		}
		if declared.GetMemoryBytes() > 0 {
			s.memory.add(float64(sample.GetMemoryBytes()) / float64(declared.GetMemoryBytes()))
		}
	}
}

// Estimate returns the expected resources and run time of a task, from its
// declared values and the measurements of the same team and kind.
func (e *Estimator) Estimate(spec *wire.TaskSpec) Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	return e.estimate(spec)
}

func (e *Estimator) estimate(spec *wire.TaskSpec) Estimate {
	s := e.statsOf(spec)
	cores, coresDeviation := s.millicores.posterior()
	memory, memoryDeviation := s.memory.posterior()
	duration, durationDeviation := s.duration.posterior()
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

// HostUse returns what the tasks of a host use: the latest sample of each task,
// or the estimate plus one standard deviation for a task without a sample. The
// result never exceeds the capacity of the host.
func (e *Estimator) HostUse(host string) *wire.Resources {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	h := e.hostOrNew(host)
	use := &wire.Resources{}
	for _, r := range h.tasks {
		if !r.sampledAt.IsZero() {
			use.Millicores += r.measured.GetMillicores()
			use.MemoryBytes += r.measured.GetMemoryBytes()
			use.Accelerators += r.spec.GetResources().GetAccelerators()
			continue
		}
		estimate := e.estimate(r.spec)
		// Without samples of the kind, the declared values count alone: with the
		// prior deviation, half of them, a third of a new host would stay unused.
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
