package planner_test

import (
	"fmt"
	"testing"
	"time"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/predictor"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// BenchmarkPredict measures what the leader does each 0.5 s with learned run times:
// predictions for 1,000 open jobs of three steps on 300 and 3,100 executors with
// four capacities.
func BenchmarkPredict(b *testing.B) {
	learned := &predictor.RunTimes{}
	var jobs []*tracker.Job
	for i := range 1000 {
		jobs = append(jobs, chainJob(fmt.Sprint(i), 0, 3))
		learned.Observe(jobs[i].Spec().GetQueue(), fmt.Sprint(i%100), time.Second, 2*time.Second)
	}
	for _, executors := range []int{300, 3100} {
		b.Run(fmt.Sprintf("executors=%d", executors), func(b *testing.B) {
			for b.Loop() {
				capacities := &planner.Capacities{}
				for i := range executors {
					capacities.Add(&wire.ExecutorInfo{Service: "s", Capacity: &wire.Resources{Millicores: 4000 + int64(i%4)}})
				}
				for i, job := range jobs {
					job.Predict(func(step int) tracker.StepPrediction {
						return tracker.StepPrediction{
							Task:  learned.Duration("", fmt.Sprint(i%100), time.Second),
							Waves: capacities.Waves("s", job.Spec().GetSteps()[step], 20_000),
						}
					})
				}
			}
		})
	}
}
