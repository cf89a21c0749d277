package pacer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/pacer"
	"damaskspread.example/damaskspread/wire"
)

var capacity = &wire.Resources{Millicores: 16000}

func servingSample(latencyMs int64) pacer.Sample {
	return pacer.Sample{
		Task:    "s",
		Step:    &wire.JobStep{Image: "sensitive", TargetLatencyMs: 100},
		Usage:   latencyMs,
		Percent: pacer.Full,
	}
}

func bestEffortSample(image string, millicores int64, percent int) pacer.Sample {
	return pacer.Sample{
		Task:    image,
		Step:    &wire.JobStep{Image: image, FillsIdle: true, Resources: &wire.Resources{Millicores: millicores}},
		Usage:   millicores * int64(percent) / pacer.Full,
		Percent: percent,
	}
}

func percentByTask(changes []pacer.Change) map[string]int {
	byTask := map[string]int{}
	for _, change := range changes {
		byTask[change.Task] = change.Percent
	}
	return byTask
}

func pacerWithWeights() *pacer.Pacer {
	return &pacer.Pacer{
		Weights: map[pacer.Pair]float64{
			{Disturbing: "noisy", Serving: "sensitive"}: 6,
			{Disturbing: "quiet", Serving: "sensitive"}: 0.1,
		},
	}
}

// Guards against pacing while every serving task is well below its target
// latency.
func TestNoPacingBelowTarget(t *testing.T) {
	samples := []pacer.Sample{servingSample(30), bestEffortSample("quiet", 2000, 100), bestEffortSample("new", 2000, 100)}
	assert.Equal(t, len(pacerWithWeights().Decide(samples, capacity, time.Second)), 0)
}

// Guards against pacing harmless tasks together with one that interferes.
func TestOnlyTheCauseIsPaced(t *testing.T) {
	samples := []pacer.Sample{servingSample(95), bestEffortSample("noisy", 4000, 100), bestEffortSample("quiet", 4000, 100)}
	changes := percentByTask(pacerWithWeights().Decide(samples, capacity, time.Second))
	noisy, paced := changes["noisy"]
	assert.Assert(t, paced && noisy < 100, "%v", changes)
	_, paced = changes["quiet"]
	assert.Assert(t, !paced, "%v", changes)
}

// Guards against a target latency that is exceeded for longer than 4 s while any
// best-effort task runs on the host, whatever its image.
func TestStrainStopsAll(t *testing.T) {
	p := pacerWithWeights()
	percent := map[string]int{"noisy": 100, "quiet": 100, "new": 100}
	for now := time.Second; now <= 4*time.Second; now += 500 * time.Millisecond {
		samples := []pacer.Sample{servingSample(400)}
		for image, value := range percent {
			samples = append(samples, bestEffortSample(image, 2000, value))
		}
		for _, change := range p.Decide(samples, capacity, now) {
			percent[change.Task] = change.Percent
		}
	}
	assert.DeepEqual(t, percent, map[string]int{"noisy": 0, "quiet": 0, "new": 0})
	// The pace returns in steps: if the tasks went back to full pace at once, the
	// target could be exceeded again within one window.
	var returned []int
	for now := 5 * time.Second; now <= 7*time.Second; now += 500 * time.Millisecond {
		for _, change := range p.Decide([]pacer.Sample{servingSample(30), bestEffortSample("new", 2000, percent["new"])}, capacity, now) {
			percent[change.Task] = change.Percent
			returned = append(returned, change.Percent)
		}
	}
	assert.Assert(t, len(returned) > 1 && returned[len(returned)-1] == 100, "%v", returned)
}

// Guards against a latency near its target whose inaccurate measurements fall on
// both sides of it: the true latency may exceed the target for longer than 4 s.
func TestRoughMeasurements(t *testing.T) {
	p := pacerWithWeights()
	percent := 100
	measured := []int64{104, 96, 105, 95, 103, 97, 104}
	for i, latency := range measured {
		now := time.Second + time.Duration(i)*500*time.Millisecond
		for _, change := range p.Decide([]pacer.Sample{servingSample(latency), bestEffortSample("new", 2000, percent)}, capacity, now) {
			percent = change.Percent
		}
	}
	assert.Equal(t, percent, 0)
}

// Guards against a run that keeps the pace at which it began although the serving
// tasks are well below their target, one that is raised before its effect was
// measured, and one that goes on above the target.
func TestRamp(t *testing.T) {
	for latency, want := range map[int64][]int{
		50:  {10, 20, 40, 80, 100, 100},
		90:  {10, 10, 10, 10, 10, 10},
		120: {10, 0, 0, 0, 0, 0},
	} {
		p := &pacer.Pacer{}
		sample := bestEffortSample("new", 2000, pacer.Full)
		sample.Ramp = pacer.NewRamp(10)
		var percents []int
		for i := range want {
			for _, change := range p.Decide([]pacer.Sample{servingSample(latency), sample}, capacity, time.Hour+time.Duration(i)*time.Second/2) {
				sample.Percent = change.Percent
			}
			percents = append(percents, sample.Percent)
		}
		assert.DeepEqual(t, percents, want)
	}
}
