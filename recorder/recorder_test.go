package recorder_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/follower"
	"damaskspread.example/damaskspread/recorder"
	"damaskspread.example/damaskspread/wire"
)

// fakeLog is an in-memory log whose appends can fail.
type fakeLog struct {
	mu      sync.Mutex
	entries []*wire.LogEntry
	// fail decides on an append: whether it takes effect and its error.
	fail func() (taken bool, err error)
	// hold, if set, delays appends until it is closed.
	hold chan struct{}
	// appending receives when a held append begins.
	appending chan struct{}
}

func (l *fakeLog) Append(ctx context.Context, _ string, data []byte) (int64, error) {
	if l.hold != nil {
		l.appending <- struct{}{}
		select {
		case <-l.hold:
		case <-ctx.Done():
			return 0, &damaskspread.AppendUnknownError{
				Cause: ctx.Err(),
			}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	taken, err := true, error(nil)
	if l.fail != nil {
		taken, err = l.fail()
	}
	if taken {
		l.entries = append(l.entries, &wire.LogEntry{
			Offset: int64(len(l.entries)),
			Data:   data,
		})
	}
	return int64(len(l.entries)) - 1, err
}

func (l *fakeLog) Read(_ context.Context, stream string, from int64, _ int, _ time.Duration) (*wire.ReadEntriesResponse, error) {
	time.Sleep(time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	response := &wire.ReadEntriesResponse{}
	if stream == "state.r" && from <= int64(len(l.entries)) {
		response.Entries = l.entries[from:]
		response.NextOffset = int64(len(l.entries))
	}
	return response, nil
}

func start(t *testing.T, log *fakeLog, configure func(*recorder.Recorder)) *recorder.Recorder {
	t.Helper()
	clock := clockwork.NewRealClock()
	f := &follower.Follower{
		Log:    log,
		Clock:  clock,
		Region: "r",
	}
	r := &recorder.Recorder{
		Log:            log,
		Clock:          clock,
		Region:         "r",
		Applied:        f,
		ResolveTimeout: 300 * time.Millisecond,
	}
	if configure != nil {
		configure(r)
	}
	var running tomb.Tomb
	running.Go(func() error {
		running.Go(func() error { return f.Run(&running) })
		return r.Run(&running)
	})
	t.Cleanup(func() {
		running.Kill(nil)
		assert.NilError(t, running.Wait())
	})
	return r
}

func record(task string) *wire.Record {
	return &wire.Record{
		Body: &wire.Record_CancelRequested{
			CancelRequested: &wire.CancelRequested{
				Task: task,
			},
		},
	}
}

func checkRefusal(t *testing.T, err error, outcome wire.Outcome, reason damaskspread.Reason) {
	t.Helper()
	var refusal *damaskspread.RefusalError
	assert.Assert(t, errors.As(err, &refusal), "%v", err)
	assert.Equal(t, refusal.Outcome, outcome)
	assert.Equal(t, refusal.Reason, reason)
}

// Guards against an append per call and against records of one call that are
// spread over batches.
func TestGroupCommit(t *testing.T) {
	log := &fakeLog{}
	r := start(t, log, func(r *recorder.Recorder) { r.Interval = 50 * time.Millisecond })
	var callers sync.WaitGroup
	for range 100 {
		callers.Go(func() {
			records := []*wire.Record{record("a"), record("b")}
			offset, err := r.AppendRecords(t.Context(), records)
			assert.Check(t, err)
			log.mu.Lock()
			defer log.mu.Unlock()
			batch, err := follower.DecodeBatch(log.entries[offset].GetData())
			assert.Check(t, err)
			found := 0
			for _, got := range batch.GetRecords() {
				if got.GetId() == records[0].GetId() || got.GetId() == records[1].GetId() {
					found++
				}
			}
			assert.Check(t, found == 2)
		})
	}
	callers.Wait()
	assert.Assert(t, len(log.entries) < 50, "%d appends", len(log.entries))
}

// Guards against untrue outcomes of an append.
func TestOutcomes(t *testing.T) {
	lost := &damaskspread.AppendUnknownError{
		Cause: context.DeadlineExceeded,
	}
	down := &damaskspread.LogUnavailableError{
		Cause: context.DeadlineExceeded,
	}
	for name, tc := range map[string]struct {
		taken   bool
		err     error
		outcome wire.Outcome
		reason  damaskspread.Reason
	}{
		"taken":                    {taken: true},
		"taken, response lost":     {taken: true, err: lost},
		"not taken, response lost": {err: lost, outcome: wire.Outcome_OUTCOME_UNKNOWN, reason: damaskspread.ReasonAppendUnknown},
		"log down":                 {err: down, outcome: wire.Outcome_OUTCOME_NOT_RUN, reason: damaskspread.ReasonLogUnavailable},
		"untyped error":            {err: context.DeadlineExceeded, outcome: wire.Outcome_OUTCOME_UNKNOWN, reason: damaskspread.ReasonAppendUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			log := &fakeLog{
				fail: func() (bool, error) { return tc.taken, tc.err },
			}
			r := start(t, log, func(r *recorder.Recorder) {
				if tc.taken {
					r.ResolveTimeout = 20 * time.Second
				}
			})
			offset, err := r.AppendRecords(t.Context(), []*wire.Record{record("a")})
			if tc.outcome != wire.Outcome_OUTCOME_UNSPECIFIED {
				checkRefusal(t, err, tc.outcome, tc.reason)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, offset, int64(0))
		})
	}
}

// Guards against a lost batch that is taken for recorded because one of its
// records repeats a record of an earlier batch.
func TestRepeatedRecordDoesNotVouchForItsBatch(t *testing.T) {
	fail := false
	log := &fakeLog{}
	log.fail = func() (bool, error) {
		if fail {
			return false, &damaskspread.AppendUnknownError{
				Cause: context.DeadlineExceeded,
			}
		}
		return true, nil
	}
	r := start(t, log, nil)
	repeated := record("a")
	_, err := r.AppendRecords(t.Context(), []*wire.Record{repeated})
	assert.NilError(t, err)
	log.mu.Lock()
	fail = true
	log.mu.Unlock()
	_, err = r.AppendRecords(t.Context(), []*wire.Record{repeated, record("b")})
	checkRefusal(t, err, wire.Outcome_OUTCOME_UNKNOWN, damaskspread.ReasonAppendUnknown)
	_, err = r.AppendRecords(t.Context(), []*wire.Record{repeated})
	assert.NilError(t, err)
}

// Guards against a deadline or a full queue that is reported as the wrong
// outcome: queued records did not run, records in an append may have.
func TestDeadlinesAndFullQueue(t *testing.T) {
	log := &fakeLog{
		hold:      make(chan struct{}),
		appending: make(chan struct{}, 1),
	}
	stuck := start(t, log, func(r *recorder.Recorder) {
		r.QueueCapacity = 1
		r.Interval = time.Hour
	})
	// The recorder keeps the first request for its interval, and one more
	// fills the queue.
	var refusal *damaskspread.RefusalError
	for refusal == nil || refusal.Reason != damaskspread.ReasonOverloaded {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		_, err := stuck.AppendRecords(ctx, []*wire.Record{record("queued")})
		cancel()
		assert.Assert(t, errors.As(err, &refusal), "%v", err)
		assert.Equal(t, refusal.Outcome, wire.Outcome_OUTCOME_NOT_RUN)
	}

	slow := start(t, log, func(r *recorder.Recorder) { r.AppendTimeout = time.Minute })
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-log.appending
		cancel()
	}()
	_, err := slow.AppendRecords(ctx, []*wire.Record{record("in flight")})
	checkRefusal(t, err, wire.Outcome_OUTCOME_UNKNOWN, damaskspread.ReasonAppendUnknown)
	_, err = slow.AppendRecords(t.Context(), make([]*wire.Record, damaskspread.MaxBatchRecords))
	checkRefusal(t, err, wire.Outcome_OUTCOME_NOT_RUN, damaskspread.ReasonInvalid)
}
