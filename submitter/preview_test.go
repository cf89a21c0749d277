package submitter_test

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/screener"
	"damaskspread.example/damaskspread/wire"
)

// Guards against a job that doesn't say by which configuration it was accepted, so that a
// leader which is behind starts its tasks by an older one.
func TestJobNamesItsConfiguration(t *testing.T) {
	e := newEntry(t, &emulator.KeyedLog{Clock: clockwork.NewRealClock()}, false, 0)
	queue := &wire.Queue{Name: "batch", Service: "s", ConfigVersion: 7}
	job := &wire.Job{Id: id, Steps: []*wire.JobStep{{Count: 1}}}
	_, err := e.submitter.Preview(queue, job)
	assert.NilError(t, err)
	assert.Equal(t, job.GetService(), "s")
	assert.Equal(t, job.GetConfigVersion(), int64(7))
}

// Guards against a preview that has an effect on the jobs submitted after it: it counts
// neither as admitted work nor as a refusal, and stores nothing.
func TestPreviewHasNoEffect(t *testing.T) {
	keyed := &emulator.KeyedLog{Clock: clockwork.NewRealClock()}
	e := newEntry(t, keyed, true, 0)
	queue := &wire.Queue{Name: "batch", Service: "s", Priority: 2, Stretch: 2}
	job := func(count int32) *wire.Job {
		return &wire.Job{Id: id, Steps: []*wire.JobStep{{Count: count, EstimateMs: 1000, Resources: &wire.Resources{Millicores: 1000}}}}
	}
	// The objective is 2 s, so the limit is 6 s, and 4 s for jobs of a kind that is
	// being refused.
	e.load.setWait(100)
	decision, err := e.submitter.Preview(queue, job(1))
	assert.NilError(t, err)
	assert.Assert(t, decision.Refused())
	e.load.setWait(3.5)
	for range 5 {
		decision, err = e.submitter.Preview(queue, job(100))
		assert.NilError(t, err)
		assert.Assert(t, !decision.Refused())
	}
	assert.Equal(t, decision.Reason, screener.ReasonInTime)
	assert.Equal(t, e.counted.appends.Load(), int64(0))
	assert.NilError(t, e.submit(t.Context(), id))

	_, err = e.submitter.Preview(queue, job(0))
	assert.Equal(t, reasonOf(err), damaskspread.ReasonBadRequest)
	off := newEntry(t, keyed, false, 0)
	decision, err = off.submitter.Preview(queue, job(1))
	assert.NilError(t, err)
	assert.Assert(t, decision == nil)
}
