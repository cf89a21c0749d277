package runner

import (
	"context"
	"time"

	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const (
	drainTick = 100 * time.Millisecond
	// drainMargin leaves time to read the last checkpoints.
	drainMargin = 500 * time.Millisecond
)

// drainLoop stops what is left shortly before a draining executor ends, so
// that its progress is saved and can go on elsewhere.
func (r *Runner) drainLoop(ctx context.Context) {
	r.pause(ctx, drainTick)
	for _, run := range r.drainDue() {
		tracer.Write(&tracer.StopOrdered{
			Job:    tracker.JobOf(run.GetTask()),
			Task:   run.GetTask(),
			Run:    run.GetRun(),
			Host:   r.Host,
			Reason: tracer.StopDraining,
		})
		r.orders.Go(func() {
			r.stop(ctx, &wire.StopOrder{
				Task: run.GetTask(),
				Run:  run.GetRun(),
			})
		})
	}
}

func (r *Runner) drainDue() []*wire.TaskRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.drainAt == 0 || r.info == nil || r.Elapsed.Elapsed() < r.drainAt-r.StopWithin-drainMargin {
		return nil
	}
	var due []*wire.TaskRun
	for _, run := range r.running {
		key := runKey{run.GetTask(), run.GetRun()}
		if _, checked := r.checks[key]; checked || r.stopped[key] {
			continue
		}
		r.stopped[key] = true
		due = append(due, run)
	}
	return due
}
