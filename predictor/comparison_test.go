package predictor_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/predictor"
)

// estimateErrors are the means of the absolute logarithm of actual over expected run
// time. The baselines are the declared estimate, the mean of all run times, and the
// declared estimate times the mean ratio of all tasks; the others are RunTimes without
// and with siblings.
type estimateErrors struct {
	declared, plainMean, meanRatio float64
	kinds, siblings                float64
}

// compareEstimates draws jobs of 12 kinds and compares how well each estimate
// predicts each task before it ends. The declared estimates of a kind are off by up
// to 1.9; jobSpread is how much those of its jobs differ in addition.
func compareEstimates(seed uint64, jobSpread float64) estimateErrors {
	const jobs, maxTasks, kinds = 400, 20, 12
	random := rand.New(rand.NewPCG(seed, 1))
	skews := make([]float64, kinds)
	for i := range skews {
		skews[i] = math.Exp((2*random.Float64() - 1) * math.Log(1.9))
	}
	r := &predictor.RunTimes{}
	var sum estimateErrors
	var meanSum time.Duration
	ratioSum := 0.0
	tasks := 0
	for range jobs {
		kind := random.IntN(kinds)
		name := fmt.Sprint(kind)
		skew := skews[kind] * math.Exp(jobSpread*random.NormFloat64())
		declared := time.Duration(float64(time.Second) * math.Exp(random.NormFloat64()))
		siblings := &predictor.Siblings{}
		for range 1 + random.IntN(maxTasks) {
			actual := runTimeOf(random, declared, skew)
			mean, ratio := declared, 1.0
			if tasks > 0 {
				mean, ratio = meanSum/time.Duration(tasks), ratioSum/float64(tasks)
			}
			sum.declared += logError(declared, actual)
			sum.plainMean += logError(mean, actual)
			sum.meanRatio += logError(time.Duration(ratio*float64(declared)), actual)
			sum.kinds += logError(r.Duration(queue, name, declared), actual)
			sum.siblings += logError(r.StepDuration(queue, name, siblings, declared), actual)
			r.ObserveStep(queue, name, siblings, declared, actual)
			meanSum += actual
			ratioSum += float64(actual) / float64(declared)
			tasks++
		}
	}
	count := float64(tasks)
	return estimateErrors{
		declared:  sum.declared / count,
		plainMean: sum.plainMean / count,
		meanRatio: sum.meanRatio / count,
		kinds:     sum.kinds / count,
		siblings:  sum.siblings / count,
	}
}

func logError(expected, actual time.Duration) float64 {
	return math.Abs(math.Log(float64(actual) / float64(expected)))
}

// Guards against predictions that are worse than the declared estimate or the mean
// of all run times, on jobs whose declarations are off by up to 1.9 and of which
// 3 tasks in 100 run 7 times as long.
func TestPredictsBetterThanBaselines(t *testing.T) {
	for seed := range uint64(10) {
		for _, jobSpread := range []float64{0, 0.3} {
			errors := compareEstimates(seed, jobSpread)
			assert.Assert(t, errors.siblings < 0.9*errors.declared, "seed %d: %+v", seed, errors)
			assert.Assert(t, errors.siblings < 0.5*errors.plainMean, "seed %d: %+v", seed, errors)
			assert.Assert(t, errors.siblings < 0.9*errors.meanRatio, "seed %d: %+v", seed, errors)
		}
	}
}

// Guards against predictions that are much worse than correct declarations.
func TestCorrectDeclarationsStay(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 1))
	r := &predictor.RunTimes{}
	var declaredError, predictedError float64
	for range 2000 {
		actual := runTimeOf(random, time.Second, 1)
		declaredError += logError(time.Second, actual)
		predictedError += logError(r.Duration(queue, image, time.Second), actual)
		r.Observe(queue, image, time.Second, actual)
	}
	assert.Assert(t, predictedError < 1.05*declaredError, "%.3f, declared %.3f", predictedError, declaredError)
}

// BenchmarkComparison reports the errors of TestPredictsBetterThanBaselines, averaged
// over 20 seeds.
func BenchmarkComparison(b *testing.B) {
	for _, jobSpread := range []float64{0, 0.3} {
		b.Run(fmt.Sprintf("job_spread=%.1f", jobSpread), func(b *testing.B) {
			const seeds = 20
			for b.Loop() {
				var mean estimateErrors
				for seed := range uint64(seeds) {
					errors := compareEstimates(seed, jobSpread)
					mean.declared += errors.declared / seeds
					mean.plainMean += errors.plainMean / seeds
					mean.meanRatio += errors.meanRatio / seeds
					mean.kinds += errors.kinds / seeds
					mean.siblings += errors.siblings / seeds
				}
				b.ReportMetric(mean.declared, "declared")
				b.ReportMetric(mean.plainMean, "plain_mean")
				b.ReportMetric(mean.meanRatio, "mean_ratio")
				b.ReportMetric(mean.kinds, "kinds")
				b.ReportMetric(mean.siblings, "siblings")
			}
		})
	}
}
