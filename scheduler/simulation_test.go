package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/estimator"
	"damaskspread.example/damaskspread/placer"
	"damaskspread.example/damaskspread/wire"
)

const (
	simulationStep = 200 * time.Millisecond
	simulationTime = 10 * time.Minute
	zoneOutAt      = 4 * time.Minute
	zoneBackAt     = 6 * time.Minute
	// interferenceThreshold is the relative slowdown of a service above which its
	// host counts as affected by interference.
	interferenceThreshold = 0.25
	measurementLag        = 3 * time.Second
	startDelay            = 300 * time.Millisecond
	stopDelay             = time.Second
)

type deployment struct {
	name     string
	zones    int
	cores    int64
	memoryGB int64
}

type variant struct {
	name      string
	order     placer.Order
	estimates bool
	objective damaskspread.Objective
	noRamp    bool
}

// outcome is the result of one run, or the average over several seeds.
type outcome struct {
	Deployment   string  `json:"deployment"`
	Variant      string  `json:"variant"`
	Seed         uint64  `json:"seed"`
	Throughput   float64 `json:"batch_core_seconds_per_second"`
	Evictions    float64 `json:"evictions"`
	Lost         float64 `json:"lost_core_seconds"`
	Interference float64 `json:"interference_share"`
	Slowdown     float64 `json:"service_slowdown_p99"`
	UrgentMedian float64 `json:"urgent_start_median_seconds"`
	UrgentWorst  float64 `json:"urgent_start_worst_seconds"`
	ZoneWork     float64 `json:"zone_core_seconds_per_second"`
	ZoneUrgent   float64 `json:"zone_urgent_worst_seconds"`
}

type simulatedTask struct {
	work, done, checkpointed float64
	millicores               float64
	submitted                time.Time
	urgent                   bool
	lastAttempt              int32
	started                  bool
	stopAt                   time.Time
}

type measurement struct {
	due   time.Time
	host  string
	load  *wire.EndpointLoad
	usage []*wire.UsageSample
}

// simulation runs tasks at the speed that their hosts allow. It includes
// everything that depends on placement decisions, and no log, agents or network.
type simulation struct {
	*cluster
	deployment          deployment
	clock               *clockwork.FakeClock
	estimates           *estimator.Estimator
	slowdownByKind      map[string]float64
	useRatioByKind      map[string]float64
	tasks               map[string]*simulatedTask
	delayedMeasurements []measurement
	latencies           []float64
	slowdowns           []float64
	random              *rand.Rand
	result              outcome
	hostTime            float64
}

func newSimulation(d deployment, v variant, seed uint64) *simulation {
	sim := &simulation{
		cluster:        newCluster(1, nil),
		deployment:     d,
		clock:          clockwork.NewFakeClockAt(start),
		slowdownByKind: map[string]float64{},
		useRatioByKind: map[string]float64{},
		tasks:          map[string]*simulatedTask{},
		random:         rand.New(rand.NewPCG(seed, 7)),
	}
	for i, kind := range []string{"render", "watcher", "closure", "ledger"} {
		sim.slowdownByKind[kind] = []float64{0.20, 0.02, 0.08, 0.01}[i] * (0.7 + 0.6*sim.random.Float64()) * 16 / float64(d.cores)
		sim.useRatioByKind[kind] = 0.5 + sim.random.Float64()
	}
	p := sim.planners[0]
	p.Random = rand.New(rand.NewPCG(seed, 8))
	if v.noRamp {
		p.Index.RampTime = 0
	}
	spread := &placer.Spread{
		Index:     p.Index,
		Objective: v.objective,
		Random:    p.Random,
	}
	p.Policy = spread
	if v.order != "" {
		p.Policy = &placer.Baseline{
			Index:  p.Index,
			Order:  v.order,
			Random: p.Random,
		}
	}
	if v.estimates {
		sim.estimates = &estimator.Estimator{
			Clock:     sim.clock,
			Objective: v.objective,
			LoadLag:   measurementLag,
		}
		p.Estimates = sim.estimates
		spread.Interference = sim.estimates
	}
	for h := range 11 {
		sim.joinEndpoint(h)
	}
	return sim
}

func (sim *simulation) joinEndpoint(h int) {
	d := sim.deployment
	sim.apply(&wire.Record{Body: &wire.Record_HostJoined{HostJoined: &wire.HostJoined{Spec: &wire.HostSpec{
		Host:        fmt.Sprint("h", h),
		Incarnation: "i",
		WorkerBoot:  "b",
		Zone:        fmt.Sprint("z", h%d.zones),
		Rack:        fmt.Sprint("r", h/3),
		Capacity:    &wire.Resources{Millicores: d.cores * 1000, MemoryBytes: d.memoryGB << 30},
		Endpoint: &wire.EndpointSpec{
			Service:  "service",
			Slots:    8,
			Reserved: &wire.Resources{Millicores: d.cores * 1000 / 8, MemoryBytes: d.memoryGB << 30 / 8},
		},
	}}}})
}

// submitArrivals submits randomly generated tasks. They depend only on the seed, so all
// variants get the same tasks.
func (sim *simulation) submitArrivals(arrivals *rand.Rand, submitted *int) {
	scale := float64(sim.deployment.cores) / 16
	for arrivals.Float64() < 0.5 {
		if arrivals.Float64() > 0.12*scale {
			continue
		}
		*submitted++
		kind := []string{"render", "watcher", "closure", "ledger"}[arrivals.IntN(4)]
		s := spec(fmt.Sprint("b", *submitted), false, 500+arrivals.Int64N(4_000), 1+arrivals.Int64N(10))
		s.Kind = kind
		s.Team = fmt.Sprint("team", arrivals.IntN(5))
		s.CanCheckpoint = arrivals.IntN(4) != 0
		s.ExpectedDurationMs = 20_000 + arrivals.Int64N(100_000)
		sim.add(s, float64(s.GetExpectedDurationMs())/1000*(0.5+1.5*arrivals.Float64()))
	}
	if arrivals.Float64() < 0.04*scale {
		*submitted++
		s := spec(fmt.Sprint("u", *submitted), true, 1_000+arrivals.Int64N(3_000), 2)
		s.Kind = "preview"
		sim.add(s, 5+10*arrivals.Float64())
	}
}

func (sim *simulation) add(s *wire.TaskSpec, work float64) {
	sim.submit(s)
	sim.tasks[s.GetTask()] = &simulatedTask{
		work:       work,
		millicores: float64(s.GetResources().GetMillicores()),
		submitted:  sim.now,
		urgent:     isUrgentSpec(s),
	}
}

func isUrgentSpec(s *wire.TaskSpec) bool {
	return s.GetClass() == wire.TaskClass_TASK_CLASS_LATENCY_CRITICAL
}

func (sim *simulation) run(seed uint64) outcome {
	arrivals, submitted := rand.New(rand.NewPCG(seed, 9)), 0
	for sim.now.Sub(start) < simulationTime {
		elapsed := sim.now.Sub(start)
		if elapsed == zoneOutAt || elapsed == zoneBackAt {
			sim.setZone("z1", elapsed == zoneBackAt)
		}
		sim.submitArrivals(arrivals, &submitted)
		sim.deliverMeasurements()
		sim.clock.Advance(simulationStep)
		sim.step(simulationStep)
		sim.advance(elapsed >= zoneOutAt && elapsed < zoneBackAt+time.Minute)
	}
	seconds := simulationTime.Seconds()
	sim.result.Throughput /= seconds
	sim.result.ZoneWork /= (zoneBackAt + time.Minute - zoneOutAt).Seconds()
	sim.result.Interference /= sim.hostTime
	slices.Sort(sim.slowdowns)
	sim.result.Slowdown = sim.slowdowns[len(sim.slowdowns)*99/100]
	slices.Sort(sim.latencies)
	sim.result.UrgentMedian = sim.latencies[len(sim.latencies)/2]
	return sim.result
}

func (sim *simulation) deliverMeasurements() {
	for len(sim.delayedMeasurements) > 0 && !sim.delayedMeasurements[0].due.After(sim.now) {
		if sim.estimates != nil {
			sim.estimates.ObserveUsage(sim.delayedMeasurements[0].host, sim.delayedMeasurements[0].usage)
			sim.estimates.ObserveLoad(sim.delayedMeasurements[0].host, sim.delayedMeasurements[0].load)
		}
		sim.delayedMeasurements = sim.delayedMeasurements[1:]
	}
}

// advance simulates one step of all hosts and their claimed tasks.
func (sim *simulation) advance(zoneDrained bool) {
	permille := map[string]int{}
	for _, t := range sim.planners[0].Throttles() {
		permille[t.Task] = t.Permille
	}
	for h := range 11 {
		id := fmt.Sprint("h", h)
		var claims []*wire.TaskState
		for claim := range sim.state.ClaimsOf(id) {
			claims = append(claims, claim)
		}
		slices.SortFunc(claims, func(a, b *wire.TaskState) int { return strings.Compare(a.GetSpec().GetTask(), b.GetSpec().GetTask()) })
		sim.advanceHost(id, h, claims, permille, zoneDrained)
	}
}

func (sim *simulation) advanceHost(id string, h int, claims []*wire.TaskState, permille map[string]int, zoneDrained bool) {
	used, slowdown := 0.0, 0.0
	load := 0.4 + 0.6*float64((h*3+int(sim.now.Sub(start).Minutes()))%10)/10
	speed := func(claim *wire.TaskState) float64 {
		if p, ok := permille[claim.GetSpec().GetTask()]; ok {
			return float64(p) / 1000
		}
		return 1
	}
	for _, claim := range claims {
		used += sim.usedMillicores(claim) * speed(claim)
		slowdown += sim.slowdownByKind[claim.GetSpec().GetKind()] * speed(claim) * load
	}
	sim.hostTime += simulationStep.Seconds()
	sim.slowdowns = append(sim.slowdowns, slowdown)
	if slowdown > interferenceThreshold {
		sim.result.Interference += simulationStep.Seconds()
	}
	if sim.now.Sub(start)%(2*time.Second) == 0 {
		sim.queueMeasurement(id, claims, load, slowdown, speed)
	}
	share := min(1, float64(sim.deployment.cores*1000*7/8)/max(used, 1))
	for _, claim := range claims {
		sim.advanceTask(claim, share*speed(claim), zoneDrained)
	}
}

func (sim *simulation) usedMillicores(claim *wire.TaskState) float64 {
	ratio := sim.useRatioByKind[claim.GetSpec().GetKind()]
	if ratio == 0 {
		ratio = 1
	}
	return float64(claim.GetSpec().GetResources().GetMillicores()) * ratio
}

// queueMeasurement queues a measurement with random errors, to be delivered after
// measurementLag. speed returns the share of its processors that a task gets.
func (sim *simulation) queueMeasurement(hostID string, claims []*wire.TaskState, load, slowdown float64, speed func(*wire.TaskState) float64) {
	sample := measurement{
		due:  sim.now.Add(measurementLag),
		host: hostID,
		load: &wire.EndpointLoad{
			Running:       int32(load * 8),
			Limit:         8,
			ServiceTimeUs: int64(5_000 * (1 + slowdown) * (0.95 + 0.1*sim.random.Float64())),
		},
	}
	for _, claim := range claims {
		sample.usage = append(sample.usage, &wire.UsageSample{
			Task:        claim.GetSpec().GetTask(),
			Token:       damaskspread.Token(claim.GetToken()),
			Millicores:  int64(sim.usedMillicores(claim) * speed(claim) * (0.9 + 0.2*sim.random.Float64())),
			MemoryBytes: claim.GetSpec().GetResources().GetMemoryBytes(),
			LagMs:       measurementLag.Milliseconds(),
		})
	}
	sim.delayedMeasurements = append(sim.delayedMeasurements, sample)
}

func (sim *simulation) advanceTask(claim *wire.TaskState, speed float64, zoneDrained bool) {
	id := claim.GetSpec().GetTask()
	t := sim.tasks[id]
	if t.lastAttempt != claim.GetAttempt() {
		t.lastAttempt, t.stopAt = claim.GetAttempt(), time.Time{}
		if t.urgent && !t.started {
			sim.recordUrgentStart(t, zoneDrained)
		}
		t.started = true
	}
	progress := speed * simulationStep.Seconds()
	t.done += progress
	if !t.urgent {
		sim.result.Throughput += progress * t.millicores / 1000
		if zoneDrained {
			sim.result.ZoneWork += progress * t.millicores / 1000
		}
	}
	if claim.GetEvictionRequested() && t.stopAt.IsZero() {
		t.stopAt = sim.now.Add(stopDelay)
	}
	switch {
	case t.done >= t.work:
		sim.finish(id, wire.TaskResult_TASK_RESULT_SUCCEEDED)
	case !t.stopAt.IsZero() && !sim.now.Before(t.stopAt):
		sim.finishEviction(claim, t, zoneDrained)
	}
}

func (sim *simulation) recordUrgentStart(t *simulatedTask, zoneDrained bool) {
	latency := (sim.now.Sub(t.submitted) + startDelay).Seconds()
	sim.latencies = append(sim.latencies, latency)
	sim.result.UrgentWorst = max(sim.result.UrgentWorst, latency)
	if zoneDrained {
		sim.result.ZoneUrgent = max(sim.result.ZoneUrgent, latency)
	}
}

func (sim *simulation) finishEviction(claim *wire.TaskState, t *simulatedTask, zoneDrained bool) {
	sim.result.Evictions++
	if claim.GetSpec().GetCanCheckpoint() {
		t.checkpointed = t.done
	}
	lost := (t.done - t.checkpointed) * t.millicores / 1000
	t.done = t.checkpointed
	if !t.urgent {
		sim.result.Lost += lost
		sim.result.Throughput -= lost
		if zoneDrained {
			sim.result.ZoneWork -= lost
		}
	}
	sim.apply(&wire.Record{Body: &wire.Record_TaskEvicted{TaskEvicted: &wire.TaskEvicted{
		Task:       claim.GetSpec().GetTask(),
		Attempt:    claim.GetAttempt(),
		Host:       claim.GetHost(),
		Checkpoint: "c",
	}}})
}
