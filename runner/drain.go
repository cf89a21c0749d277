package runner

import (
	"context"
	"time"

	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/wire"
)

const (
	drainInterval = 100 * time.Millisecond
	// drainMargin is the time for reading the last checkpoints.
	drainMargin = 500 * time.Millisecond
)

// drainOnce stops the remaining runs shortly before a draining executor ends,
// so that their progress is saved and they can resume on another executor.
func (r *Runner) drainOnce(ctx context.Context) {
	r.pause(ctx, drainInterval)
	info, runs := r.runsToDrain()
	for _, run := range runs {
		r.traceOwnStop(info, runKey{run.GetTask(), run.GetRun()}, tracer.StopDraining, "")
		r.activeOrders.Go(func() {
			r.stop(ctx, info, &wire.StopOrder{
				Task: run.GetTask(),
				Run:  run.GetRun(),
			})
		})
	}
}

// runsToDrain returns the draining executor and the runs that must be stopped now
// and were not ordered to stop before.
func (r *Runner) runsToDrain() (*wire.ExecutorInfo, []*wire.TaskRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.drainAt == 0 || r.info == nil || r.Elapsed.Elapsed() < r.drainAt-r.StopWithin-drainMargin {
		return nil, nil
	}
	var due []*wire.TaskRun
	for _, run := range r.running {
		key := runKey{run.GetTask(), run.GetRun()}
		if _, checked := r.checksDue[key]; checked || r.drainStops[key] {
			continue
		}
		r.drainStops[key] = true
		due = append(due, run)
	}
	return r.info, due
}
