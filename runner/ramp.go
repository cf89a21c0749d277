package runner

import (
	"context"

	"damaskspread.example/damaskspread/pacer"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// learnRamp keeps the limit of a run that is ordered to begin at a limited pace. The
// run may be in progress: then an earlier process of the agent has started it, and
// its present pace isn't known. Runs that this process has started keep their pace
// when the order is repeated. The caller holds the mutex.
func (r *Runner) learnRamp(key runKey, order *wire.StartOrder) {
	_, paced := r.paces[key]
	percent := int(order.GetPercent())
	limited := percent > 0 && percent < pacer.Full && r.steps[key].GetFillsIdle()
	if !limited || paced || r.Pacer == nil || r.startOwners[key] != nil || r.ramps[key] != nil {
		return
	}
	r.ramps[key] = pacer.NewRamp(percent)
}

// beginAtPace limits the pace of a run that has just started. If the call fails,
// updatePaces repeats it once the executor lists the run.
func (r *Runner) beginAtPace(ctx context.Context, info *wire.ExecutorInfo, key runKey, token int64) {
	r.mu.Lock()
	ramp := r.ramps[key]
	if ramp == nil || !r.isPresent(info) {
		r.mu.Unlock()
		return
	}
	percent := ramp.Percent()
	r.mu.Unlock()
	_ = r.setPace(ctx, info.GetId(), token, &tracer.TaskPaced{
		Job:     tracker.JobOf(key.task),
		Task:    key.task,
		Run:     key.run,
		Percent: percent,
		Initial: true,
	})
}
