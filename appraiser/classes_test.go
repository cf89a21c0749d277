package appraiser_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/appraiser"
	"damaskspread.example/damaskspread/wire"
)

// Guards against work that is counted for the wrong class or deadline, so that entries
// refuse jobs because of work that they would overtake, or accept them although the work
// goes first. A job of 1 s has an objective of 10 s and is overdue after 30 s.
func TestWaitingWorkByClass(t *testing.T) {
	for age, want := range map[time.Duration]*wire.WaitingWork{
		0:                       {OnTimeCoreS: []float32{0, 0, 0, 0, 2}},
		2 * time.Second:         {OnTimeCoreS: []float32{0, 0, 0, 2}},
		6 * time.Second:         {OnTimeCoreS: []float32{0, 0, 2}},
		9 * time.Second:         {OnTimeCoreS: []float32{2}},
		9001 * time.Millisecond: {LateCoreS: 2},
		29 * time.Second:        {LateCoreS: 2},
		30 * time.Second:        {OverdueCoreS: 2},
		3 * time.Minute:         {OnTimeCoreS: []float32{2}},
	} {
		for _, bestEffort := range []bool{false, true} {
			l := newLeader()
			step := newStep(2, 1, time.Second)
			step.FillsIdle = bestEffort
			l.add(&wire.Job{
				Id:             "a",
				Queue:          "q",
				AcceptedUnixMs: nowMs - age.Milliseconds(),
				ObjectiveMs:    10_000,
				Steps:          []*wire.JobStep{step},
			})
			load := l.queue(t, "q")
			got, other := load.GetWaiting(), load.GetWaitingBestEffort()
			if bestEffort {
				got, other = other, got
			}
			assert.Assert(t, other == nil)
			assert.Assert(t, proto.Equal(got, want), "age %s: got %v\nwant %v", age, got, want)
		}
	}
}

// Guards against work that counts as ahead of a new job although its deadline is later,
// and against a share that leaves 0 to 1.
func TestShareBefore(t *testing.T) {
	for _, test := range []struct {
		bucket int
		left   time.Duration
		want   float64
	}{
		{bucket: 0, left: 0, want: 0},
		{bucket: 0, left: 500 * time.Millisecond, want: 0.5},
		{bucket: 0, left: time.Minute, want: 1},
		{bucket: 3, left: 4 * time.Second, want: 0},
		{bucket: 3, left: 7 * time.Second, want: 0.75},
		{bucket: 6, left: 32 * time.Second, want: 0},
		{bucket: 6, left: time.Hour, want: 1},
	} {
		assert.Equal(t, appraiser.ShareBefore(test.bucket, test.left), test.want, "%+v", test)
	}
	for bucket := range appraiser.DeadlineBuckets {
		assert.Equal(t, appraiser.DeadlineBucket(time.Second<<bucket), bucket)
	}
}

// Guards against entries that take two estimates for one, or one for two.
func TestNumberRisesWithinAnEpoch(t *testing.T) {
	l := newLeader()
	assert.Equal(t, l.estimate().GetNumber(), int64(1))
	assert.Equal(t, l.appraiser.Estimate(epoch, l.now).GetNumber(), int64(1))
	assert.Equal(t, l.estimate().GetNumber(), int64(2))
	l.appraiser.Begin(epoch+1, l.now)
	assert.Equal(t, l.estimate(), (*wire.LoadEstimate)(nil))
	assert.Equal(t, l.appraiser.Estimate(epoch+1, l.now).GetNumber(), int64(1))
}
