package runner

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/wire"
)

const (
	drainInterval = 100 * time.Millisecond
	// drainMargin is the time for reading the last checkpoints.
	drainMargin = 500 * time.Millisecond
	// departurePollInterval is the time between two looks whether a departure is stored.
	departurePollInterval = 50 * time.Millisecond
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
	if r.drainAt == 0 || r.info == nil || r.Elapsed.Elapsed() < r.drainEnd()-r.StopWithin-drainMargin {
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

// drainEnd is when the draining executor or the agent ends, whichever is first. The caller
// holds the mutex.
func (r *Runner) drainEnd() time.Duration {
	if r.departsBy > 0 {
		return min(r.drainAt, r.departsBy)
	}
	return r.drainAt
}

// FinishDeparture waits until a leader has stored that the executor has left, at most for
// limit, after which the agent ends. The runs of an executor that is still draining by then
// are stopped before: without the agent nobody could, until their lease is over.
func (r *Runner) FinishDeparture(ctx context.Context, limit time.Duration) {
	if !r.Departing() || limit <= 0 {
		return
	}
	log.Info().Dur("limit", limit).Msg("stop waits until a leader knows that the executor has left")
	r.mu.Lock()
	r.departsBy = r.Elapsed.Elapsed() + limit
	r.mu.Unlock()
	waitCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for r.Departing() && waitCtx.Err() == nil {
		r.pause(waitCtx, departurePollInterval)
	}
}
