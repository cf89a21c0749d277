package tracker_test

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

func acceptedBy(version int64) *wire.Job {
	job := jobWith(&wire.JobStep{Count: 1})
	job.Service = "reserve"
	job.ConfigVersion = version
	return job
}

func queueOf(service string) *wire.Queue { return &wire.Queue{Service: service} }

// Guards against a destination by a configuration that is older than another one that is
// known to have been in force.
func TestRedirectIgnoresOlderConfigurations(t *testing.T) {
	j := tracker.New(acceptedBy(5))
	assert.Assert(t, !j.Redirect(tracker.DestinationOf(queueOf("old"), 3)))
	assert.Equal(t, j.Service(), "reserve")
	assert.Equal(t, len(j.TakeChangedParts()), 0)

	assert.Assert(t, j.Redirect(tracker.DestinationOf(queueOf("planning"), 7)))
	assert.Assert(t, !j.Redirect(tracker.DestinationOf(queueOf("reserve"), 5)))
	assert.Equal(t, j.Service(), "planning")
	assert.Equal(t, j.Spec().GetService(), "reserve")
	assert.DeepEqual(t, j.TakeChangedParts(), []int{0})

	assert.Assert(t, !j.Redirect(tracker.DestinationOf(queueOf("planning"), 9)), "the same service")
	assert.Equal(t, len(j.TakeChangedParts()), 0)
	advice := queueOf("planning")
	advice.Advice = &wire.AdvicePolicy{}
	assert.Assert(t, j.Redirect(tracker.DestinationOf(advice, 11)))
	assert.Assert(t, j.NeedsAdvice())

	earlier := tracker.New(acceptedBy(0))
	assert.Assert(t, earlier.Redirect(tracker.DestinationOf(queueOf("planning"), 1)), "a record of an earlier version")
}

// Guards against a destination that is lost with a leader: the next one may not know the
// configuration, because the queue has been removed, or may know an older one.
func TestDestinationIsStored(t *testing.T) {
	restored := func(j *tracker.Job) *tracker.Job {
		value, err := proto.Marshal(j.Progress(0))
		assert.NilError(t, err)
		progress := &wire.JobProgress{}
		assert.NilError(t, proto.Unmarshal(value, progress))
		return tracker.Restore(acceptedBy(5), progress)
	}
	j := tracker.New(acceptedBy(5))
	assert.Assert(t, j.Progress(0).GetDestination() == nil)
	j.Redirect(tracker.DestinationOf(queueOf("planning"), 7))
	j = restored(j)
	assert.Equal(t, j.Service(), "planning")
	assert.Assert(t, !j.Redirect(tracker.DestinationOf(queueOf("other"), 6)))

	j.Redirect(tracker.DestinationOf(queueOf("reserve"), 9))
	j = restored(j)
	assert.Equal(t, j.Service(), "reserve")
	assert.Assert(t, !j.Redirect(tracker.DestinationOf(queueOf("planning"), 7)), "back to an older configuration")
}
