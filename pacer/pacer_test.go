package pacer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/pacer"
	"damaskspread.example/damaskspread/wire"
)

var capacity = &wire.Resources{Millicores: 16000}

func serving(latencyMs int64) pacer.Sample {
	return pacer.Sample{
		Task:    "s",
		Step:    &wire.JobStep{Image: "tender", TargetLatencyMs: 100},
		Usage:   latencyMs,
		Percent: pacer.Full,
	}
}

func filling(image string, millicores int64, percent int) pacer.Sample {
	return pacer.Sample{
		Task:    image,
		Step:    &wire.JobStep{Image: image, FillsIdle: true, Resources: &wire.Resources{Millicores: millicores}},
		Usage:   millicores * int64(percent) / pacer.Full,
		Percent: percent,
	}
}

func paces(changes []pacer.Change) map[string]int {
	byTask := map[string]int{}
	for _, change := range changes {
		byTask[change.Task] = change.Percent
	}
	return byTask
}

func knowing() *pacer.Pacer {
	return &pacer.Pacer{
		Weights: map[pacer.Pair]float64{
			{Disturbing: "loud", Serving: "tender"}:  6,
			{Disturbing: "quiet", Serving: "tender"}: 0.1,
		},
	}
}

// Guards against pacing of tasks while every serving task is well below its
// target.
func TestCalm(t *testing.T) {
	samples := []pacer.Sample{serving(30), filling("quiet", 2000, 100), filling("new", 2000, 100)}
	assert.Equal(t, len(knowing().Decide(samples, capacity, time.Second)), 0)
}

// Guards against pacing of harmless tasks for the sake of one that disturbs.
func TestOnlyTheCauseIsPaced(t *testing.T) {
	samples := []pacer.Sample{serving(95), filling("loud", 4000, 100), filling("quiet", 4000, 100)}
	changes := paces(knowing().Decide(samples, capacity, time.Second))
	loud, paced := changes["loud"]
	assert.Assert(t, paced && loud < 100, "%v", changes)
	_, paced = changes["quiet"]
	assert.Assert(t, !paced, "%v", changes)
}

// Guards against a target that is exceeded for longer than harmMs (4 s) while
// any task fills beside it, whatever the image.
func TestStrainStopsAll(t *testing.T) {
	p := knowing()
	percent := map[string]int{"loud": 100, "quiet": 100, "new": 100}
	for now := time.Second; now <= 4*time.Second; now += 500 * time.Millisecond {
		samples := []pacer.Sample{serving(400)}
		for image, value := range percent {
			samples = append(samples, filling(image, 2000, value))
		}
		for _, change := range p.Decide(samples, capacity, now) {
			percent[change.Task] = change.Percent
		}
	}
	assert.DeepEqual(t, percent, map[string]int{"loud": 0, "quiet": 0, "new": 0})
	// The pace comes back in steps: an excess that returns with the first
	// window at full pace would last on.
	var back []int
	for now := 5 * time.Second; now <= 7*time.Second; now += 500 * time.Millisecond {
		for _, change := range p.Decide([]pacer.Sample{serving(30), filling("new", 2000, percent["new"])}, capacity, now) {
			percent[change.Task] = change.Percent
			back = append(back, change.Percent)
		}
	}
	assert.Assert(t, len(back) > 1 && back[len(back)-1] == 100, "%v", back)
}

// Guards against a latency near its target whose rough measurements fall on
// both sides of it: the true one may exceed the target for longer than harmMs.
func TestRoughMeasurements(t *testing.T) {
	p := knowing()
	percent := 100
	measured := []int64{104, 96, 105, 95, 103, 97, 104}
	for i, latency := range measured {
		now := time.Second + time.Duration(i)*500*time.Millisecond
		for _, change := range p.Decide([]pacer.Sample{serving(latency), filling("new", 2000, percent)}, capacity, now) {
			percent = change.Percent
		}
	}
	assert.Equal(t, percent, 0)
}
