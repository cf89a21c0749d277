package submitter_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

func submitLarge(ctx context.Context, t *testing.T, e *testEntry, id string, bytes int) error {
	t.Helper()
	job := &wire.Job{Id: id, Steps: []*wire.JobStep{{Count: 1, RequiredLabel: strings.Repeat("l", bytes)}}}
	return e.submitter.Submit(ctx, &wire.Queue{Name: "batch", Service: "s"}, job)
}

// Guards against a job above the limit of a record, whose append an entry repeats for good:
// no other job would be accepted there any more.
func TestOversizedJobIsRefused(t *testing.T) {
	e := newEntry(t, &emulator.KeyedLog{Clock: clockwork.NewRealClock(), MaxRecordBytes: 256 << 10}, false, 0)
	err := submitLarge(t.Context(), t, e, "00000000000000a1", 300<<10)
	assert.Equal(t, reasonOf(err), damaskspread.ReasonTooLarge)
	assert.NilError(t, submitLarge(t.Context(), t, e, "00000000000000b2", 10))
}

// Guards against a record that the log rejects and that takes the jobs of its batch along.
func TestRejectedRecordRefusesOneJob(t *testing.T) {
	e := newEntry(t, &emulator.KeyedLog{Clock: clockwork.NewRealClock(), MaxRecordBytes: 1000}, false, 0)
	errs := make([]error, 40)
	var calls sync.WaitGroup
	for i := range errs {
		calls.Go(func() {
			bytes := 10
			if i%10 == 3 {
				bytes = 2000
			}
			errs[i] = submitLarge(t.Context(), t, e, fmt.Sprintf("%016x", i+1), bytes)
		})
	}
	calls.Wait()
	for i, err := range errs {
		if i%10 == 3 {
			assert.Equal(t, reasonOf(err), damaskspread.ReasonTooLarge, "job %d", i)
		} else {
			assert.NilError(t, err, "job %d", i)
		}
	}
}

// Guards against jobs that are never accepted because their append times out on a slow link and
// is repeated with as many, also beside cancellations.
func TestLargeJobsOnASlowLinkAreAccepted(t *testing.T) {
	t.Parallel()
	t.Run("alone", func(t *testing.T) { acceptLargeJobs(t, 0) })
	t.Run("beside cancellations", func(t *testing.T) { acceptLargeJobs(t, 500*time.Millisecond) })
}

// acceptLargeJobs submits large jobs over a slow link, while one cancellation after the other
// is stored.
func acceptLargeJobs(t *testing.T, cancelInterval time.Duration) {
	t.Parallel()
	e := newEntry(t, &emulator.KeyedLog{Clock: clockwork.NewRealClock()}, false, 0)
	e.client.SetUploadRate(100 << 10)
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	if cancelInterval > 0 {
		go cancelRepeatedly(ctx, e, cancelInterval)
	}
	var calls sync.WaitGroup
	for i := range 16 {
		calls.Go(func() { assert.Check(t, submitLarge(ctx, t, e, fmt.Sprintf("%016x", i+1), 20<<10)) })
	}
	calls.Wait()
}

// cancelRepeatedly cancels another job in each interval, until the context ends.
func cancelRepeatedly(ctx context.Context, e *testEntry, interval time.Duration) {
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(interval)
		_ = e.submitter.CancelLater(fmt.Sprintf("ff%014x", i))
	}
}

// scriptedLog answers its first appends with the errors, and the later ones after the pause.
type scriptedLog struct {
	damaskspread.KeyedLog
	errs  []error
	pause time.Duration
	calls atomic.Int64
}

func (l *scriptedLog) Append(ctx context.Context, topic string, records []*wire.KeyedRecord, condition *wire.AppendCondition) (*wire.AppendResult, error) {
	if call := int(l.calls.Add(1)); call <= len(l.errs) {
		return nil, l.errs[call-1]
	}
	time.Sleep(l.pause)
	return l.KeyedLog.Append(ctx, topic, records, condition)
}

// Guards against a record whose outcome is unknown when the log rejects it, and which is
// then repeated without a pause, ahead of all other jobs.
func TestRejectedRecordOfUnknownOutcomeIsNotRepeated(t *testing.T) {
	e := newEntry(t, &emulator.KeyedLog{Clock: clockwork.NewRealClock()}, false, 0)
	scripted := &scriptedLog{KeyedLog: e.client, errs: []error{&damaskspread.AppendUnknownError{Cause: errors.New("no response")}}}
	for range 1000 {
		scripted.errs = append(scripted.errs, &damaskspread.AppendRejectedError{Cause: errors.New("too large")})
	}
	e.counted.KeyedLog = scripted
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	assert.Equal(t, reasonOf(e.submit(ctx, id)), damaskspread.ReasonAppendUnknown)
	assert.Equal(t, scripted.calls.Load(), int64(2))
}

// Guards against a log that counts as unavailable because it has rejected a record: the
// jobs that arrive during the next append would be refused.
func TestRejectionIsNoOutage(t *testing.T) {
	e := newEntry(t, &emulator.KeyedLog{Clock: clockwork.NewRealClock()}, true, 0)
	e.counted.KeyedLog = &scriptedLog{
		KeyedLog: e.client,
		errs:     []error{&damaskspread.AppendRejectedError{Cause: errors.New("too large")}},
		pause:    200 * time.Millisecond,
	}
	assert.Equal(t, reasonOf(e.submit(t.Context(), id)), damaskspread.ReasonTooLarge)
	time.Sleep(1100 * time.Millisecond)
	first := make(chan error, 1)
	go func() { first <- e.submit(t.Context(), "00000000000000aa") }()
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, e.submit(t.Context(), "00000000000000bb"))
	assert.NilError(t, <-first)
}
