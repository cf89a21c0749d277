package submitter_test

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

// Guards against a job that runs for good although its caller was told that its
// cancellation is done: the submission is still on its way when the caller cancels the
// job, so that no entry knows it.
func TestSubmissionAfterItsCancellation(t *testing.T) {
	t.Parallel()
	keyed := &emulator.KeyedLog{Clock: clockwork.NewRealClock()}
	e, other := newEntry(t, keyed, false, 0), newEntry(t, keyed, false, 0)
	for range 2 {
		err := other.submitter.Cancel(t.Context(), nil, id)
		assert.Equal(t, reasonOf(err), damaskspread.ReasonNotFound)
	}
	assert.Equal(t, other.counted.appends.Load(), int64(1), "a repeated cancellation is stored again")
	_, err := other.submitter.Status(t.Context(), nil, id)
	assert.Equal(t, reasonOf(err), damaskspread.ReasonNotFound)

	assert.NilError(t, e.submit(t.Context(), id))
	assert.NilError(t, e.tail.Refresh(t.Context()))
	state, err := e.submitter.Status(t.Context(), nil, id)
	assert.NilError(t, err)
	assert.Equal(t, state, wire.JobState_JOB_STATE_CANCELED)
	count, err := e.submitter.QueuedCount(t.Context(), &wire.Queue{Name: "batch"})
	assert.NilError(t, err)
	assert.Equal(t, count, 0)
	assert.NilError(t, other.submitter.Cancel(t.Context(), nil, id), "a job that is known by now")
}
