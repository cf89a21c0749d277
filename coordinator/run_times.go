package coordinator

import (
	"math"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/predictor"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const (
	// runTimesKey is the key of the learned run times in the progress topic. Job ids
	// are 16 hexadecimal digits, so it is none of them.
	runTimesKey = ".run_times"
	// runTimesStoreInterval is the shortest time between two records.
	runTimesStoreInterval = 2 * time.Second
	// predictInterval is the time after which the predictions of all jobs are
	// renewed. Estimates change slowly, and cycles follow each other after 10 ms.
	predictInterval = 500 * time.Millisecond
	// runTimesLogInterval is the shortest time between two log lines.
	runTimesLogInterval = time.Minute
	// errorWindow is the number of observations over which errors are averaged.
	errorWindow = 100
)

// RunTimeStats tells how well run times are predicted. The errors are means of the
// absolute logarithm of actual over expected run time; 0.69 is a factor of 2.
type RunTimeStats struct {
	// Kinds is the number of pairs of queue and image with learned run times.
	Kinds int
	// Observed is the number of ends that this process has learned from.
	Observed int64
	// DeclaredError is the error of the declared estimates, PredictedError that of
	// the predictions made just before each end.
	DeclaredError, PredictedError float64
}

// runTimes learns the run times of tasks and predicts those of the open jobs. Except
// for stats, it is accessed by the goroutine of Run only. A nil *runTimes learns and
// predicts nothing.
type runTimes struct {
	learned predictor.RunTimes
	// siblings has the ended tasks of each step of the open jobs, of all
	// occurrences. It is not stored: a new leader begins with the kinds alone.
	siblings map[stepKey]*predictor.Siblings
	// changed is set if there are observations that are not stored.
	changed                         bool
	storedAt, predictedAt, loggedAt time.Duration
	loggedCount                     int64

	mu    sync.Mutex
	stats RunTimeStats
}

// stepKey identifies a step of a job.
type stepKey struct {
	job  string
	step int
}

// RunTimeStats returns the state of learning; it is zero if LearnRunTimes is off.
func (c *Coordinator) RunTimeStats() RunTimeStats {
	if c.runTimes == nil {
		return RunTimeStats{}
	}
	c.runTimes.mu.Lock()
	defer c.runTimes.mu.Unlock()
	return c.runTimes.stats
}

// reset forgets what was learned in an earlier term.
func (r *runTimes) reset() {
	if r == nil {
		return
	}
	r.learned = predictor.RunTimes{}
	r.siblings = map[stepKey]*predictor.Siblings{}
	r.changed = false
	r.storedAt, r.predictedAt, r.loggedAt = 0, 0, 0
	r.setKinds()
}

// restore reads the record that an earlier leader stored.
func (r *runTimes) restore(stored *wire.KeyedRecord) {
	if r == nil {
		return
	}
	record := &wire.RunTimes{}
	if err := proto.Unmarshal(stored.GetValue(), record); err != nil {
		log.Error().Int64("offset", stored.GetOffset()).Err(err).
			Msg("learned run times cannot be decoded; predictions begin with the declared estimates")
		return
	}
	r.learned.Restore(record)
	r.setKinds()
	log.Info().Int("kinds", r.learned.Kinds()).Msg("learned run times restored")
}

func (r *runTimes) setKinds() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Kinds = r.learned.Kinds()
}

// observe learns from the run of a task that is done. It leaves out best-effort
// runs, which are paced and share processors, so that their wall time doesn't
// measure their work, and runs that an earlier leader assigned at an unknown time.
func (r *runTimes) observe(t *tracker.Task, now time.Duration) {
	step := t.Step()
	if r == nil || !t.Done() || step.GetFillsIdle() || t.AssignedAt() <= 0 || step.GetEstimateMs() <= 0 {
		return
	}
	key := stepKey{t.ID().Job, t.ID().Step}
	siblings := r.siblings[key]
	if siblings == nil {
		siblings = &predictor.Siblings{}
		r.siblings[key] = siblings
	}
	queue, declared, actual := t.Job().Spec().GetQueue(), tracker.DeclaredRunTime(step), now-t.AssignedAt()
	predicted := r.learned.StepDuration(queue, step.GetImage(), siblings, declared)
	r.learned.ObserveStep(queue, step.GetImage(), siblings, declared, actual)
	r.changed = true
	r.recordErrors(declared, predicted, actual)
}

func (r *runTimes) recordErrors(declared, predicted, actual time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.stats
	s.Kinds = r.learned.Kinds()
	s.Observed++
	share := 1 / float64(min(s.Observed, errorWindow))
	s.DeclaredError += (logError(declared, actual) - s.DeclaredError) * share
	s.PredictedError += (logError(predicted, actual) - s.PredictedError) * share
}

// logError returns the absolute logarithm of the ratio of two durations.
func logError(expected, actual time.Duration) float64 {
	return math.Abs(math.Log(float64(max(actual, time.Millisecond)) / float64(max(expected, time.Millisecond))))
}

// predict renews the predictions of all jobs if predictInterval has passed, else of
// those that have none.
func (r *runTimes) predict(jobs map[string]*tracker.Job, views []*sessionView, now time.Duration) {
	if r == nil {
		return
	}
	due := now-r.predictedAt >= predictInterval
	if due {
		r.predictedAt = now
	}
	var capacities *planner.Capacities
	for _, job := range jobs {
		if job.Over() || (job.Predicted() && !due) {
			continue
		}
		if capacities == nil {
			capacities = capacitiesOf(views)
		}
		job.Predict(func(step int) tracker.StepPrediction { return r.predictStep(job, step, capacities) })
	}
	r.logState(now)
}

func (r *runTimes) predictStep(job *tracker.Job, index int, capacities *planner.Capacities) tracker.StepPrediction {
	spec := job.Spec()
	step := spec.GetSteps()[index]
	siblings := r.siblings[stepKey{spec.GetId(), index}]
	return tracker.StepPrediction{
		Task:  r.learned.StepDuration(spec.GetQueue(), step.GetImage(), siblings, tracker.DeclaredRunTime(step)),
		Waves: capacities.Waves(job.Service(), step, int64(job.OpenTasks(index))),
	}
}

func capacitiesOf(views []*sessionView) *planner.Capacities {
	capacities := &planner.Capacities{}
	for _, view := range views {
		if !view.info.GetDraining() {
			capacities.Add(view.info)
		}
	}
	return capacities
}

// forget drops the ended tasks of a closed job.
func (r *runTimes) forget(job *tracker.Job) {
	if r == nil {
		return
	}
	for step := range job.Spec().GetSteps() {
		delete(r.siblings, stepKey{job.Spec().GetId(), step})
	}
}

// record returns the record to store, or nil if nothing changed or the last one was
// stored less than runTimesStoreInterval ago.
func (r *runTimes) record(now time.Duration) (*wire.KeyedRecord, error) {
	if r == nil || !r.changed || (r.storedAt > 0 && now-r.storedAt < runTimesStoreInterval) {
		return nil, nil
	}
	value, err := proto.Marshal(r.learned.Record())
	if err != nil {
		return nil, err
	}
	r.changed = false
	r.storedAt = now
	return &wire.KeyedRecord{
		Key:   runTimesKey,
		Value: value,
	}, nil
}

// logState writes one line for each runTimesLogInterval with observations.
func (r *runTimes) logState(now time.Duration) {
	if r.stats.Observed == r.loggedCount || (r.loggedAt > 0 && now-r.loggedAt < runTimesLogInterval) {
		return
	}
	r.loggedAt = now
	r.loggedCount = r.stats.Observed
	log.Info().Int("kinds", r.stats.Kinds).Int64("observed", r.stats.Observed).
		Float64("declared_error", r.stats.DeclaredError).Float64("predicted_error", r.stats.PredictedError).Msg("run times learned")
}
