package submitter_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/indexer"
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

// Guards against a job that runs for good because the log did not respond until the caller
// of its cancellation gave up, and against a refusal that is untrue by then.
func TestCancellationIsKeptForACallerThatGaveUp(t *testing.T) {
	t.Parallel()
	for _, submitted := range []bool{true, false} {
		for _, set := range []func(*emulator.KeyedLogClient, bool){(*emulator.KeyedLogClient).SetDown, (*emulator.KeyedLogClient).SetUnresponsive} {
			keyed := &emulator.KeyedLog{Clock: clockwork.NewRealClock()}
			e := newEntry(t, keyed, false, 0)
			if submitted {
				assert.NilError(t, e.submit(t.Context(), id))
				assert.NilError(t, e.tail.Refresh(t.Context()))
			}
			set(e.client, true)
			for range 3 {
				ctx, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
				var refusal *damaskspread.RefusalError
				assert.Assert(t, errors.As(e.submitter.Cancel(ctx, nil, id), &refusal))
				assert.Equal(t, refusal.Outcome, wire.Outcome_OUTCOME_UNKNOWN)
				cancel()
			}
			assert.NilError(t, e.submitter.CancelLater(id))
			assert.Equal(t, e.submitter.PendingCancellations(), 1)
			set(e.client, false)
			for started := time.Now(); !e.index.Canceled(id) || e.submitter.PendingCancellations() > 0; time.Sleep(10 * time.Millisecond) {
				assert.Assert(t, time.Since(started) < 5*time.Second, "submitted %v: not canceled", submitted)
			}
			page, err := e.client.Read(t.Context(), indexer.Topic, 0, 0)
			assert.NilError(t, err)
			records := slices.DeleteFunc(page.GetRecords(), func(r *wire.KeyedRecord) bool { return r.GetKey() == id })
			assert.Equal(t, len(records), 1, "a pending cancellation is stored twice")
		}
	}
}

// Guards against a cancellation that is lost because nobody waits for it.
func TestCancellationWithoutAWaitingCaller(t *testing.T) {
	t.Parallel()
	e := newEntry(t, &emulator.KeyedLog{Clock: clockwork.NewRealClock()}, false, 0)
	assert.NilError(t, e.submitter.CancelLater(id))
	for started := time.Now(); !e.index.Canceled(id); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Since(started) < 5*time.Second)
	}
}

// Guards against a cancellation that is not recorded because the jobs of its batch take the
// link longer than an append may last.
func TestCancellationBesideLargeJobsOnASlowLink(t *testing.T) {
	t.Parallel()
	e := newEntry(t, &emulator.KeyedLog{Clock: clockwork.NewRealClock()}, false, 0)
	e.client.SetUploadRate(100 << 10)
	var callers sync.WaitGroup
	defer callers.Wait()
	ctx, stop := context.WithTimeout(t.Context(), 4*time.Second)
	defer stop()
	for i := range 12 {
		callers.Go(func() { _ = submitLarge(ctx, t, e, fmt.Sprintf("%016x", i+1), 30<<10) })
	}
	// The first append of several jobs is in progress.
	time.Sleep(600 * time.Millisecond)
	assert.Equal(t, reasonOf(e.submitter.Cancel(ctx, nil, id)), damaskspread.ReasonNotFound)
}

// Guards against jobs that are never accepted because a cancellation is pending after each
// append.
func TestJobsAreAcceptedBesideFrequentCancellations(t *testing.T) {
	t.Parallel()
	e := newEntry(t, &emulator.KeyedLog{Clock: clockwork.NewRealClock()}, false, 0)
	e.counted.KeyedLog = &scriptedLog{KeyedLog: e.client, pause: 100 * time.Millisecond}
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	go cancelRepeatedly(ctx, e, 20*time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	assert.NilError(t, e.submit(ctx, id))
}

// Guards against a cancellation that waits for a read although the log takes appends.
func TestCancellationWhileReadsGetNoResponse(t *testing.T) {
	t.Parallel()
	keyed := &emulator.KeyedLog{Clock: clockwork.NewRealClock()}
	e, other := newEntry(t, keyed, false, 0), newEntry(t, keyed, false, 0)
	e.counted.KeyedLog = other.client
	e.client.SetUnresponsive(true)
	// Ends the read in progress, which may respond.
	time.Sleep(400 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	assert.NilError(t, e.submitter.Cancel(ctx, nil, "00000000000000cc"))
	assert.NilError(t, other.tail.Refresh(t.Context()))
	assert.Assert(t, other.index.Canceled("00000000000000cc"))
}

// Guards against memory that grows with each cancellation during an outage of the log.
func TestPendingCancellationsAreLimited(t *testing.T) {
	t.Parallel()
	e := newEntry(t, &emulator.KeyedLog{Clock: clockwork.NewRealClock()}, false, 0)
	e.client.SetDown(true)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var last error
	for i := range 5000 {
		last = e.submitter.Cancel(ctx, nil, fmt.Sprintf("%016x", i+1))
	}
	assert.Equal(t, e.submitter.PendingCancellations(), 4096)
	assert.Equal(t, reasonOf(last), damaskspread.ReasonLogUnavailable)
}

// Guards against a job that is recorded although its caller had given up before it was queued, and
// may have canceled it long ago.
func TestSubmissionOfACallerThatGaveUpIsNotAppended(t *testing.T) {
	t.Parallel()
	e := newEntry(t, &emulator.KeyedLog{Clock: clockwork.NewRealClock()}, false, 0)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for i := range 200 {
		assert.Equal(t, reasonOf(e.submit(ctx, fmt.Sprintf("%016x", i+1))), damaskspread.ReasonLogUnavailable)
	}
	assert.Equal(t, e.counted.appends.Load(), int64(0))
}
