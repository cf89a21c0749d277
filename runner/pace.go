package runner

import (
	"context"
	"errors"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/pacer"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// updatePaces limits the best-effort tasks as far as the serving tasks on the
// host need it to meet their target latency. After a call without response the next
// renewal comes first: the changes that are left are decided again after it.
func (r *Runner) updatePaces(ctx context.Context) {
	executorID, token, changes := r.decidePaces()
	for _, change := range changes {
		answered := r.setPace(ctx, executorID, token, &tracer.TaskPaced{
			Job:     tracker.JobOf(change.Task),
			Task:    change.Task,
			Run:     change.Run,
			Percent: change.Percent,
			Load:    change.Load,
		})
		if !answered {
			r.mu.Lock()
			r.pacesDue = true
			r.mu.Unlock()
			return
		}
	}
}

// setPace sets the pace of a run on the executor and writes paced to the trace. It reports
// whether the executor has responded.
func (r *Runner) setPace(ctx context.Context, executorID string, token int64, paced *tracer.TaskPaced) bool {
	callCtx, cancel := context.WithTimeout(ctx, damaskspread.OrderTimeout)
	err := r.Executor.Pace(callCtx, executorID, paced.Task, paced.Run, paced.Percent, token)
	cancel()
	if err != nil {
		log.Debug().Str("task", paced.Task).Int("percent", paced.Percent).Err(err).Msg("pace call failed")
		var unknown *damaskspread.WorkerUnknownError
		return !errors.As(err, &unknown)
	}
	tracer.Write(paced)
	r.mu.Lock()
	r.paces[runKey{paced.Task, paced.Run}] = paced.Percent
	r.mu.Unlock()
	return true
}

// decidePaces returns the executor's id, the token and the paces to change.
func (r *Runner) decidePaces() (string, int64, []pacer.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pacesDue = false
	if r.info == nil || r.Pacer == nil {
		return "", 0, nil
	}
	samples := make([]pacer.Sample, 0, len(r.running))
	for _, run := range r.running {
		key := runKey{run.GetTask(), run.GetRun()}
		step := r.steps[key]
		if step == nil {
			continue
		}
		percent, paced := r.paces[key]
		if !paced {
			percent = pacer.Full
		}
		samples = append(samples, pacer.Sample{
			Task:    run.GetTask(),
			Run:     run.GetRun(),
			Step:    step,
			Usage:   run.GetUsage(),
			Percent: percent,
			Ramp:    r.ramps[key],
		})
	}
	return r.info.GetId(), r.tokens.present, r.Pacer.Decide(samples, r.info.GetCapacity(), r.Elapsed.Elapsed())
}

// updateInterferenceWeights replaces the pacer's weights if the leader has sent
// a new version. The caller holds the mutex.
func (r *Runner) updateInterferenceWeights(response *wire.ExchangeResponse) {
	if response.GetPressureVersion() == r.pressureVersion {
		return
	}
	r.pressureVersion = response.GetPressureVersion()
	if r.Pacer == nil {
		return
	}
	weights := map[pacer.Pair]float64{}
	for _, pressure := range response.GetPressures() {
		weights[pacer.Pair{
			Disturbing: pressure.GetDisturbing(),
			Serving:    pressure.GetServing(),
		}] = pressure.GetWeight()
	}
	r.Pacer.Weights = weights
}
