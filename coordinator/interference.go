package coordinator

import (
	"math"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread/estimator"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const (
	// pressureInterval is the shortest time between two versions of the
	// interference weights that agents receive.
	pressureInterval = time.Second
	// minWeightChange is the change of a weight that makes a new version.
	minWeightChange = 0.3
	// slowShare is the share of its requested processors below which a
	// best-effort task is slow. It is moved after minSlowTime of that.
	slowShare   = 0.45
	minSlowTime = 1200 * time.Millisecond
	// maxMovePercent is the progress in percent from which a move costs more than
	// it gains.
	maxMovePercent = 75
	// minMoveShare is the predicted share of its requested processors that a task
	// must get on another host to be moved.
	minMoveShare = 0.85
	// nearTargetShare is the share of a serving task's target latency above which
	// its host gets no more best-effort tasks.
	nearTargetShare  = 0.85
	maxMovesPerCycle = 3
)

// observeUsage passes new usage measurements to the interference model and
// publishes its weights.
func (c *Coordinator) observeUsage(cycle *cycleState) {
	if c.InterferenceModel == nil {
		return
	}
	for _, view := range cycle.views {
		if view.runsUpdated {
			c.InterferenceModel.Observe(view.host, view.info.GetCapacity(), c.samples(view), cycle.now)
		}
	}
	c.publishPressures(cycle.now)
}

// samples converts the reported runs of serving and best-effort tasks. The usage
// of a run is a latency in milliseconds for a serving task, else millicores.
func (c *Coordinator) samples(view *sessionView) []estimator.RunSample {
	var samples []estimator.RunSample
	for _, run := range view.running {
		t := c.task(run.GetTask())
		if t == nil {
			continue
		}
		step := t.Step()
		sample := estimator.RunSample{
			Task:  run.GetTask(),
			Image: step.GetImage(),
		}
		switch {
		case step.GetTargetLatencyMs() > 0:
			sample.Serving = true
			sample.LatencyMs = run.GetUsage()
		case step.GetFillsIdle():
			sample.Millicores = run.GetUsage()
		default:
			continue
		}
		samples = append(samples, sample)
	}
	return samples
}

// pressures are the interference weights of image pairs that are sent to agents.
type pressures struct {
	pairs   []*wire.ImagePressure
	version int64
	// checkedAt is when a new version was last looked for. It belongs to the goroutine of
	// Run, the others to the mutex of the Coordinator.
	checkedAt time.Duration
}

// publishPressures makes a new version of the interference weights if one has
// changed by more than minWeightChange.
func (c *Coordinator) publishPressures(now time.Duration) {
	if now-c.pressures.checkedAt < pressureInterval {
		return
	}
	c.pressures.checkedAt = now
	pairs := c.InterferenceModel.Weights()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.InterferenceModel.RetainHosts(func(host string) bool { return c.sessions[host] != nil })
	if c.pressures.differ(pairs) {
		c.pressures.replace(pairs)
	}
}

// differ reports whether a weight has changed by more than minWeightChange.
func (p *pressures) differ(pairs []estimator.PairWeight) bool {
	if len(pairs) != len(p.pairs) {
		return true
	}
	type key struct{ disturbing, serving string }
	known := map[key]float64{}
	for _, pair := range p.pairs {
		known[key{pair.GetDisturbing(), pair.GetServing()}] = pair.GetWeight()
	}
	for _, pair := range pairs {
		if math.Abs(known[key{pair.Disturbing, pair.Serving}]-pair.Weight) > minWeightChange {
			return true
		}
	}
	return false
}

// replace makes a new version.
func (p *pressures) replace(pairs []estimator.PairWeight) {
	p.pairs = nil
	for _, pair := range pairs {
		p.pairs = append(p.pairs, &wire.ImagePressure{
			Disturbing: pair.Disturbing,
			Serving:    pair.Serving,
			Weight:     pair.Weight,
		})
		log.Debug().Str("disturbing", pair.Disturbing).Str("serving", pair.Serving).Float64("weight", pair.Weight).Msg("image pressure published")
	}
	p.version++
}

// migrate stops slow best-effort tasks that another host can run faster. The
// stop takes a checkpoint, from which the next run resumes.
func (c *Coordinator) migrate(cycle *cycleState) {
	if cycle.hosts == nil {
		return
	}
	moves := 0
	for _, view := range cycle.views {
		if !view.runsUpdated || moves >= maxMovesPerCycle {
			continue
		}
		for _, run := range view.running {
			t := c.slowTask(run, view, cycle.now)
			if t == nil || !c.Planner.HasFasterHost(t, view.candidate, cycle.hosts, minMoveShare) {
				continue
			}
			t.MarkStopping()
			view.addStopOrder(t.ID().String(), t.Run(), tracer.StopOrdered{
				Reason:     tracer.StopSlowRun,
				Millicores: run.GetUsage(),
			})
			moves++
			break
		}
	}
}

// slowTask returns the task of a run that may be moved and has been slow for
// minSlowTime, else nil.
func (c *Coordinator) slowTask(run *wire.TaskRun, view *sessionView, now time.Duration) *tracker.Task {
	t := c.task(run.GetTask())
	if t == nil || !t.Assigned() || t.Stopping() || run.GetPercent() >= maxMovePercent || t.Run() != run.GetRun() || t.Executor() != view.key {
		return nil
	}
	step := t.Step()
	if !step.GetFillsIdle() || !step.GetCanCheckpoint() || step.GetGang() {
		return nil
	}
	slow := float64(run.GetUsage()) < slowShare*float64(step.GetResources().GetMillicores())
	if !t.SlowFor(slow, now, minSlowTime) {
		return nil
	}
	return t
}

// nearTarget reports whether the latency of a serving task on the host, which is
// the usage that its run reports, is near its target or above it.
func (c *Coordinator) nearTarget(view *sessionView) bool {
	for _, run := range view.running {
		t := c.task(run.GetTask())
		if t == nil {
			continue
		}
		target := t.Step().GetTargetLatencyMs()
		if target > 0 && float64(run.GetUsage()) > nearTargetShare*float64(target) {
			return true
		}
	}
	return false
}
