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
	// fail returns whether an append takes effect and the error that it returns.
	fail func() (appended bool, err error)
	// hold, unless nil, delays appends until it is closed.
	hold chan struct{}
	// appendStarted receives an item when a delayed append starts.
	appendStarted chan struct{}
}

func (l *fakeLog) Append(ctx context.Context, _ string, data []byte) (int64, error) {
	if l.hold != nil {
		l.appendStarted <- struct{}{}
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
	appended, err := true, error(nil)
	if l.fail != nil {
		appended, err = l.fail()
	}
	if appended {
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

func startRecorder(t *testing.T, log *fakeLog, configure func(*recorder.Recorder)) *recorder.Recorder {
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
		Follower:       f,
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

func assertRefusal(t *testing.T, err error, outcome wire.Outcome, reason damaskspread.Reason) {
	t.Helper()
	var refusal *damaskspread.RefusalError
	assert.Assert(t, errors.As(err, &refusal), "%v", err)
	assert.Equal(t, refusal.Outcome, outcome)
	assert.Equal(t, refusal.Reason, reason)
}

// Checks that concurrent calls share appends and that all records of one call
// are in one batch.
func TestGroupCommit(t *testing.T) {
	log := &fakeLog{}
	r := startRecorder(t, log, func(r *recorder.Recorder) { r.Interval = 50 * time.Millisecond })
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

// Checks the outcome that a call reports for each result of the append.
func TestOutcomes(t *testing.T) {
	responseLost := &damaskspread.AppendUnknownError{
		Cause: context.DeadlineExceeded,
	}
	unavailable := &damaskspread.LogUnavailableError{
		Cause: context.DeadlineExceeded,
	}
	for name, tc := range map[string]struct {
		appended bool
		err      error
		outcome  wire.Outcome
		reason   damaskspread.Reason
	}{
		"appended":                    {appended: true},
		"appended, response lost":     {appended: true, err: responseLost},
		"not appended, response lost": {err: responseLost, outcome: wire.Outcome_OUTCOME_UNKNOWN, reason: damaskspread.ReasonAppendUnknown},
		"log unavailable":             {err: unavailable, outcome: wire.Outcome_OUTCOME_NOT_RUN, reason: damaskspread.ReasonLogUnavailable},
		"untyped error":               {err: context.DeadlineExceeded, outcome: wire.Outcome_OUTCOME_UNKNOWN, reason: damaskspread.ReasonAppendUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			log := &fakeLog{
				fail: func() (bool, error) { return tc.appended, tc.err },
			}
			r := startRecorder(t, log, func(r *recorder.Recorder) {
				if tc.appended {
					r.ResolveTimeout = 20 * time.Second
				}
			})
			offset, err := r.AppendRecords(t.Context(), []*wire.Record{record("a")})
			if tc.outcome != wire.Outcome_OUTCOME_UNSPECIFIED {
				assertRefusal(t, err, tc.outcome, tc.reason)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, offset, int64(0))
		})
	}
}

// Checks that a batch that was not appended is not taken as appended because one
// of its records is also in an earlier batch.
func TestRepeatedRecordDoesNotResolveItsBatch(t *testing.T) {
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
	r := startRecorder(t, log, nil)
	repeated := record("a")
	_, err := r.AppendRecords(t.Context(), []*wire.Record{repeated})
	assert.NilError(t, err)
	log.mu.Lock()
	fail = true
	log.mu.Unlock()
	_, err = r.AppendRecords(t.Context(), []*wire.Record{repeated, record("b")})
	assertRefusal(t, err, wire.Outcome_OUTCOME_UNKNOWN, damaskspread.ReasonAppendUnknown)
	_, err = r.AppendRecords(t.Context(), []*wire.Record{repeated})
	assert.NilError(t, err)
}

// Checks the outcomes after a deadline and with a full queue: queued records are
// not_run, records of an append in flight are unknown.
func TestDeadlinesAndFullQueue(t *testing.T) {
	log := &fakeLog{
		hold:          make(chan struct{}),
		appendStarted: make(chan struct{}, 1),
	}
	waiting := startRecorder(t, log, func(r *recorder.Recorder) {
		r.QueueCapacity = 1
		r.Interval = time.Hour
	})
	// The first request waits for Interval outside the queue, and the second one
	// fills the queue.
	var refusal *damaskspread.RefusalError
	for refusal == nil || refusal.Reason != damaskspread.ReasonOverloaded {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		_, err := waiting.AppendRecords(ctx, []*wire.Record{record("queued")})
		cancel()
		assert.Assert(t, errors.As(err, &refusal), "%v", err)
		assert.Equal(t, refusal.Outcome, wire.Outcome_OUTCOME_NOT_RUN)
	}

	slow := startRecorder(t, log, func(r *recorder.Recorder) { r.AppendTimeout = time.Minute })
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-log.appendStarted
		cancel()
	}()
	_, err := slow.AppendRecords(ctx, []*wire.Record{record("in flight")})
	assertRefusal(t, err, wire.Outcome_OUTCOME_UNKNOWN, damaskspread.ReasonAppendUnknown)
	_, err = slow.AppendRecords(t.Context(), make([]*wire.Record, damaskspread.MaxBatchRecords))
	assertRefusal(t, err, wire.Outcome_OUTCOME_NOT_RUN, damaskspread.ReasonInvalid)
}
