package runner

import (
	"context"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread/pacer"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// repace limits the tasks that fill idle processors as far as the serving
// tasks beside them need it.
func (r *Runner) repace(ctx context.Context) {
	info, token, changes := r.paceChanges()
	for _, change := range changes {
		limited, cancel := context.WithTimeout(ctx, orderTimeout)
		err := r.Executor.Pace(limited, info, change.Task, change.Run, change.Percent, token)
		cancel()
		if err != nil {
			log.Debug().Str("task", change.Task).Int("percent", change.Percent).Err(err).Msg("pace not set")
			continue
		}
		tracer.Write(&tracer.TaskPaced{
			Job:     tracker.JobOf(change.Task),
			Task:    change.Task,
			Run:     change.Run,
			Percent: change.Percent,
			Load:    change.Load,
		})
		r.mu.Lock()
		r.paces[runKey{change.Task, change.Run}] = change.Percent
		r.mu.Unlock()
	}
}

func (r *Runner) paceChanges() (string, int64, []pacer.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
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
		})
	}
	return r.info.GetId(), r.epoch, r.Pacer.Decide(samples, r.info.GetCapacity(), r.Elapsed.Elapsed())
}

// takePressures replaces what is known of the images. The caller holds the
// mutex.
func (r *Runner) takePressures(response *wire.ExchangeResponse) {
	if response.GetPressureVersion() == r.pressureVersion {
		return
	}
	r.pressureVersion = response.GetPressureVersion()
	weights := map[pacer.Pair]float64{}
	for _, pressure := range response.GetPressures() {
		weights[pacer.Pair{
			Disturbing: pressure.GetDisturbing(),
			Serving:    pressure.GetServing(),
		}] = pressure.GetWeight()
	}
	r.Pacer.Weights = weights
}
