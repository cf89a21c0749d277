package coordinator

import (
	"math"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread/estimator"
	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const (
	// pressureInterval bounds how often agents are told.
	pressureInterval = time.Second
	// pressureChange is the change of an effect that agents are told of.
	pressureChange = 0.3
	// slowSpeed is the share of its processors below which a filling task is
	// slow, and slowFor how long it has to be.
	slowSpeed = 0.45
	slowFor   = 1200 * time.Millisecond
	// nearlyDone is the progress in percent from which a move costs more than
	// it gains.
	nearlyDone = 75
	// goodSpeed is what another host has to promise for a move.
	goodSpeed = 0.85
	// strainedAt is the share of a target latency from which a host gets no
	// more filling tasks.
	strainedAt = 0.85
	// maxMoves bounds the moves of one cycle.
	maxMoves = 3
)

// learn takes the new measurements of the hosts.
func (c *Coordinator) learn(r *round) {
	if c.Pressure == nil {
		return
	}
	for _, view := range r.views {
		if view.measured {
			c.Pressure.Observe(view.host, view.info.GetCapacity(), c.samples(view), r.now)
		}
	}
	c.publishPressures(r.now)
}

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

func (c *Coordinator) publishPressures(now time.Duration) {
	if now-c.pressureAt < pressureInterval {
		return
	}
	c.pressureAt = now
	pairs := c.Pressure.Weights()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.pressuresChanged(pairs) {
		return
	}
	c.pressures = nil
	for _, pair := range pairs {
		c.pressures = append(c.pressures, &wire.ImagePressure{
			Disturbing: pair.Disturbing,
			Serving:    pair.Serving,
			Weight:     pair.Weight,
		})
		log.Debug().Str("disturbing", pair.Disturbing).Str("serving", pair.Serving).Float64("weight", pair.Weight).Msg("image pressure")
	}
	c.pressureVersion++
}

func (c *Coordinator) pressuresChanged(pairs []estimator.PairWeight) bool {
	if len(pairs) != len(c.pressures) {
		return true
	}
	type pair struct{ disturbing, serving string }
	known := map[pair]float64{}
	for _, p := range c.pressures {
		known[pair{p.GetDisturbing(), p.GetServing()}] = p.GetWeight()
	}
	for _, p := range pairs {
		if math.Abs(known[pair{p.Disturbing, p.Serving}]-p.Weight) > pressureChange {
			return true
		}
	}
	return false
}

// migrate stops slow tasks that can go on faster on another host from the
// checkpoint that the stop takes.
func (c *Coordinator) migrate(r *round) {
	if r.hosts == nil {
		return
	}
	byKey := map[tracker.ExecutorKey]*planner.Host{}
	for _, host := range r.hosts {
		byKey[host.Key] = host
	}
	moves := 0
	for _, view := range r.views {
		if !view.measured || moves >= maxMoves {
			continue
		}
		for _, run := range view.running {
			t := c.slowTask(run, view, r.now)
			if t == nil || !c.Planner.Better(t, byKey[view.key], r.hosts, goodSpeed) {
				continue
			}
			t.Stop()
			view.stop(t.ID().String(), t.Run(), tracer.StopOrdered{
				Reason:     tracer.StopSlow,
				Millicores: run.GetUsage(),
			})
			moves++
			break
		}
	}
}

// slowTask returns the task of a run that has been slow for long enough.
func (c *Coordinator) slowTask(run *wire.TaskRun, view *sessionView, now time.Duration) *tracker.Task {
	t := c.task(run.GetTask())
	if t == nil || !t.Assigned() || t.Stopping() || run.GetPercent() >= nearlyDone || t.Run() != run.GetRun() || t.Executor() != view.key {
		return nil
	}
	step := t.Step()
	if !step.GetFillsIdle() || !step.GetCanCheckpoint() || step.GetGang() {
		return nil
	}
	slow := float64(run.GetUsage()) < slowSpeed*float64(step.GetResources().GetMillicores())
	if !t.Slow(slow, now, slowFor) {
		return nil
	}
	return t
}

// strained reports whether a serving task of the session is near its target.
func (c *Coordinator) strained(view *sessionView) bool {
	for _, run := range view.running {
		t := c.task(run.GetTask())
		if t == nil {
			continue
		}
		target := t.Step().GetTargetLatencyMs()
		if target > 0 && float64(run.GetUsage()) > strainedAt*float64(target) {
			return true
		}
	}
	return false
}
