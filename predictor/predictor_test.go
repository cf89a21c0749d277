package predictor_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/predictor"
	"damaskspread.example/damaskspread/wire"
)

const (
	queue = "previews"
	image = "render"
	// tailShare of the tasks run tailFactor times as long as the others.
	tailShare, tailFactor = 0.03, 7
)

// runTimeOf draws an actual run time: skew times the declared one with a spread of a
// quarter, and a heavy tail.
func runTimeOf(random *rand.Rand, declared time.Duration, skew float64) time.Duration {
	if random.Float64() < tailShare {
		skew *= tailFactor
	}
	return time.Duration(float64(declared) * skew * math.Exp(0.25*random.NormFloat64()))
}

// assertRatio checks the predicted ratio of actual to declared run time within a
// tolerance in percent.
func assertRatio(t *testing.T, r *predictor.RunTimes, want, percent float64) {
	t.Helper()
	got := float64(r.Duration(queue, image, time.Hour)) / float64(time.Hour)
	assert.Assert(t, math.Abs(got/want-1) <= percent/100, "predicted ratio is %.3f, want %.3f", got, want)
}

// Guards against predictions that stay at the declared estimate of queues whose
// declarations are off, or that differ between short and long tasks.
func TestConvergesOnSkewedDeclarations(t *testing.T) {
	for _, skew := range []float64{1 / 1.9, 0.8, 1, 1.3, 1.9} {
		random := rand.New(rand.NewPCG(1, 1))
		r := &predictor.RunTimes{}
		for range 30 {
			declared := time.Duration(1+random.IntN(60)) * time.Second
			r.Observe(queue, image, declared, runTimeOf(random, declared, skew))
		}
		assertRatio(t, r, skew, 15)
	}
}

// Guards against a prediction that jumps to a single observation.
func TestMovesWithEvidence(t *testing.T) {
	r := &predictor.RunTimes{}
	previous := 1.0
	for range 10 {
		r.Observe(queue, image, time.Second, 1900*time.Millisecond)
		ratio := r.Duration(queue, image, time.Second).Seconds()
		assert.Assert(t, ratio > previous && ratio < 1.9, "%.3f after %.3f", ratio, previous)
		previous = ratio
	}
	assertRatio(t, r, 1.9, 10)
}

// Guards against a heavy tail, 3 in 100 at 7 times, that raises the predictions for
// all other tasks, and against a single such task as the first one.
func TestHeavyTailBarelyMovesIt(t *testing.T) {
	r := &predictor.RunTimes{}
	for i := range 1000 {
		actual := time.Second
		if i%33 == 32 {
			actual = tailFactor * time.Second
		}
		r.Observe(queue, image, time.Second, actual)
		assertRatio(t, r, 1.01, 2)
	}
	first := &predictor.RunTimes{}
	first.Observe(queue, image, time.Second, tailFactor*time.Second)
	assertRatio(t, first, 1.11, 13)
}

// Guards against predictions that never follow a kind whose run times change after
// many observations.
func TestFollowsChange(t *testing.T) {
	r := &predictor.RunTimes{}
	for range 10_000 {
		r.Observe(queue, image, time.Second, time.Second)
	}
	for range 150 {
		r.Observe(queue, image, time.Second, 1900*time.Millisecond)
	}
	assertRatio(t, r, 1.9, 10)
	// Seven times as long: each observation is an outlier at first.
	for range 150 {
		r.Observe(queue, image, time.Second, tailFactor*1900*time.Millisecond)
	}
	assertRatio(t, r, tailFactor*1.9, 20)
}

// Guards against predictions for kinds that were never observed, and for tasks
// without a declared estimate.
func TestUnknownKindUsesDeclaredEstimate(t *testing.T) {
	r := &predictor.RunTimes{}
	const declared = 1234567 * time.Nanosecond
	assert.Equal(t, r.Duration(queue, image, declared), declared)
	r.Observe(queue, image, time.Second, 2*time.Second)
	assert.Equal(t, r.Duration("other", image, declared), declared)
	assert.Equal(t, r.Duration(queue, "other", declared), declared)
	assert.Equal(t, r.Duration(queue, image, 0), time.Duration(0))

	r = &predictor.RunTimes{}
	r.Observe(queue, image, 0, time.Second)
	r.ObserveStep(queue, image, &predictor.Siblings{}, -1, time.Second)
	assert.Equal(t, r.Kinds(), 0)
}

// Guards against extreme inputs that make a prediction infinite, negative or
// undefined.
func TestExtremeDurations(t *testing.T) {
	r := &predictor.RunTimes{}
	for range 100 {
		r.Observe(queue, image, time.Nanosecond, math.MaxInt64)
		r.Observe(queue, "short", math.MaxInt64, -1)
	}
	for _, declared := range []time.Duration{1, time.Hour, math.MaxInt64} {
		assert.Assert(t, r.Duration(queue, image, declared) >= declared/2)
		assert.Assert(t, r.Duration(queue, "short", declared) >= 0)
	}
}

// Guards against tasks of a step that are predicted like other jobs although their
// siblings took twice as long, and against one wide step that replaces what all
// other jobs have shown.
func TestSiblings(t *testing.T) {
	r := &predictor.RunTimes{}
	for range 30 {
		r.ObserveStep(queue, image, &predictor.Siblings{}, time.Second, time.Second)
	}
	step := &predictor.Siblings{}
	assert.Equal(t, r.StepDuration(queue, image, step, time.Second), r.Duration(queue, image, time.Second))
	assert.Equal(t, r.StepDuration(queue, image, nil, time.Second), r.Duration(queue, image, time.Second))
	for range 500 {
		r.ObserveStep(queue, image, step, time.Second, 2*time.Second)
	}
	ratio := r.StepDuration(queue, image, step, time.Second).Seconds()
	assert.Assert(t, ratio > 1.9 && ratio < 2.01, "%.3f", ratio)
	assertRatio(t, r, 1.06, 6)
}

// Guards against a record, or memory, that grows with the number of kinds, and
// against one that drops the kinds observed last.
func TestBoundedRecord(t *testing.T) {
	r := &predictor.RunTimes{}
	for _, nameBytes := range []int{20, 300} {
		for i := range 3000 {
			r.Observe(queue, fmt.Sprintf("%0*d", nameBytes, i), time.Second, 2*time.Second)
		}
		r.Observe(queue, strings.Repeat("x", 1<<20), time.Second, time.Second)
		record := r.Record()
		assert.Assert(t, proto.Size(record) <= predictor.MaxRecordBytes, "%d bytes", proto.Size(record))
		assert.Assert(t, len(record.GetRatios()) > 150, "%d kinds", len(record.GetRatios()))
		assert.Assert(t, r.Kinds() <= 512)
		assert.Equal(t, record.GetRatios()[0].GetImage(), fmt.Sprintf("%0*d", nameBytes, 2999))
	}
}

// Guards against learned run times that change when they are stored and restored,
// and against records with impossible values.
func TestRestore(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 1))
	r := &predictor.RunTimes{}
	for i := range 100 {
		r.Observe(queue, fmt.Sprint(i%7), time.Second, runTimeOf(random, time.Second, 1.5))
	}
	restored := &predictor.RunTimes{}
	restored.Observe("gone", image, time.Second, 3*time.Second)
	restored.Restore(r.Record())
	assert.Assert(t, proto.Equal(restored.Record(), r.Record()))
	assert.Equal(t, restored.Duration(queue, "3", time.Hour), r.Duration(queue, "3", time.Hour))
	assert.Equal(t, restored.Duration("gone", image, time.Hour), time.Hour)

	for _, ratio := range []*wire.RunTimeRatio{
		{Queue: queue, Image: image, Weight: -1, Mean: 1},
		{Queue: queue, Image: image, Weight: math.NaN(), Mean: 1},
		{Queue: queue, Image: image, Weight: math.Inf(1), Mean: 1},
		{Queue: queue, Image: image, Weight: 1, Mean: math.NaN()},
		{Queue: queue, Image: image, Weight: 1, Mean: math.Inf(-1)},
	} {
		restored.Restore(&wire.RunTimes{Ratios: []*wire.RunTimeRatio{ratio}})
		assert.Equal(t, restored.Kinds(), 0)
	}
	restored.Restore(&wire.RunTimes{Ratios: []*wire.RunTimeRatio{{Queue: queue, Image: image, Weight: 1e300, Mean: 1e300}}})
	for range 200 {
		restored.Observe(queue, image, time.Second, time.Second)
	}
	assertRatio(t, restored, 1, 20)
}
