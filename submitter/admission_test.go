package submitter_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/screener"
	"damaskspread.example/damaskspread/submitter"
	"damaskspread.example/damaskspread/tailer"
	"damaskspread.example/damaskspread/wire"
)

type elapsedClock struct{ start time.Time }

func (e elapsedClock) Elapsed() time.Duration { return time.Since(e.start) + time.Hour }

// loadView is an estimate that a test sets.
type loadView struct {
	estimate atomic.Pointer[wire.LoadEstimate]
}

func (l *loadView) Load() (*wire.LoadEstimate, time.Duration) { return l.estimate.Load(), 0 }

// setWait makes the queue wait for a number of seconds at one core.
func (l *loadView) setWait(seconds float64) {
	l.estimate.Store(&wire.LoadEstimate{Queues: []*wire.QueueLoad{{
		Queue:        "batch",
		Priority:     2,
		Service:      "s",
		WaitingCoreS: seconds,
		RateCores:    1,
		OldestWaitMs: int64(1000 * seconds),
	}}})
}

// testEntry is an entry with the real tailer, index and submitter.
type testEntry struct {
	submitter *submitter.Submitter
	index     *indexer.Index
	tail      *tailer.Tailer
	client    *emulator.KeyedLogClient
	counted   *countingLog
	load      *loadView
}

// countingLog counts appends. Each takes effect after a delay.
type countingLog struct {
	damaskspread.KeyedLog
	delay   time.Duration
	appends atomic.Int64
}

func (c *countingLog) Append(ctx context.Context, topic string, records []*wire.KeyedRecord, condition *wire.AppendCondition) (*wire.AppendResult, error) {
	c.appends.Add(1)
	time.Sleep(c.delay)
	return c.KeyedLog.Append(ctx, topic, records, condition)
}

func newEntry(t *testing.T, keyed *emulator.KeyedLog, admission bool, pause time.Duration) *testEntry {
	t.Helper()
	clock := clockwork.NewRealClock()
	e := &testEntry{
		index:  &indexer.Index{},
		client: &emulator.KeyedLogClient{Log: keyed},
		load:   &loadView{},
	}
	e.counted = &countingLog{KeyedLog: e.client}
	e.tail = &tailer.Tailer{
		Log:      e.client,
		Topic:    indexer.Topic,
		Clock:    clock,
		Elapsed:  elapsedClock{start: time.Now()},
		ReadWait: 300 * time.Millisecond,
		Pause:    func() time.Duration { return pause },
		Apply:    e.index.Apply,
	}
	e.submitter = &submitter.Submitter{
		Log:           e.counted,
		Index:         e.index,
		Tail:          e.tail,
		Clock:         clock,
		VisibleWithin: 3 * time.Second,
	}
	if admission {
		e.submitter.Load = e.load
		e.submitter.Random = rand.Float64
		e.submitter.Screener = &screener.Screener{
			FromPriority: 1,
			Random:       func() float64 { return 0 },
		}
	}
	e.submitter.Init()
	tb := &tomb.Tomb{}
	tb.Go(func() error { return e.tail.Run(tb) })
	tb.Go(func() error { return e.submitter.Run(tb) })
	t.Cleanup(func() {
		tb.Kill(nil)
		_ = tb.Wait()
	})
	assert.NilError(t, e.tail.Refresh(t.Context()))
	return e
}

// submit submits a job with a run time of 1 s and an objective of 2 s.
func (e *testEntry) submit(ctx context.Context, id string) error {
	queue := &wire.Queue{
		Name:     "batch",
		Service:  "s",
		Priority: 2,
		Stretch:  2,
	}
	return e.submitter.Submit(ctx, queue, &wire.Job{
		Id: id,
		Steps: []*wire.JobStep{{
			Count:      1,
			EstimateMs: 1000,
			Resources:  &wire.Resources{Millicores: 1000},
		}},
	})
}

func reasonOf(err error) damaskspread.Reason {
	var refusal *damaskspread.RefusalError
	if !errors.As(err, &refusal) {
		return ""
	}
	return refusal.Reason
}

const id = "517f50f645ca478b"

// Guards against an id that stays unusable after a refusal, against a refusal that
// costs more than one append, and against a new process that decides differently.
func TestRefusalAndReadmission(t *testing.T) {
	keyed := &emulator.KeyedLog{Clock: clockwork.NewRealClock()}
	e, other := newEntry(t, keyed, true, 0), newEntry(t, keyed, true, 0)
	e.load.setWait(100)
	started := time.Now()
	err := e.submit(t.Context(), id)
	var refusal *damaskspread.RefusalError
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Reason, damaskspread.ReasonOverloaded)
	assert.Equal(t, refusal.Outcome, wire.Outcome_OUTCOME_NOT_RUN)
	assert.Equal(t, refusal.RetryAfter, 97*time.Second)
	assert.Assert(t, time.Since(started) < 300*time.Millisecond)
	assert.Equal(t, e.counted.appends.Load(), int64(1))

	// A late append of an earlier attempt, at another entry.
	late, err := indexer.JobRecord(&wire.Job{Id: id, Steps: []*wire.JobStep{{Count: 1}}})
	assert.NilError(t, err)
	_, err = other.client.Append(t.Context(), indexer.Topic, []*wire.KeyedRecord{late}, nil)
	assert.NilError(t, err)
	assert.NilError(t, other.tail.Refresh(t.Context()))
	_, known := other.index.Lookup(id)
	assert.Assert(t, !known)

	other.load.setWait(0)
	assert.NilError(t, other.submit(t.Context(), id))
	for _, entry := range []*testEntry{e, other, newEntry(t, keyed, true, 0)} {
		assert.NilError(t, entry.tail.Refresh(t.Context()))
		_, known := entry.index.Lookup(id)
		assert.Assert(t, known)
	}
	// Accepted jobs are never refused.
	assert.NilError(t, e.submit(t.Context(), id))

	_, err = e.client.Append(t.Context(), indexer.Topic, e.index.RemovalRecords(id), nil)
	assert.NilError(t, err)
	page, err := e.client.Newest(t.Context(), indexer.Topic, "")
	assert.NilError(t, err)
	assert.Equal(t, len(page.GetRecords()), 0)
}

// Guards against a caller that is told of an acceptance which a refusal by another
// entry, not yet read, leaves without effect.
func TestAcceptanceBesideUnreadRefusal(t *testing.T) {
	for _, admission := range []bool{true, false} {
		keyed := &emulator.KeyedLog{Clock: clockwork.NewRealClock()}
		const pause = 3 * time.Second
		e, other := newEntry(t, keyed, admission, pause), newEntry(t, keyed, true, 0)
		other.load.setWait(100)
		// Without admission, a refusal that the entry knows tells it that others refuse.
		assert.Equal(t, reasonOf(other.submit(t.Context(), "00000000000000aa")), damaskspread.ReasonOverloaded)
		assert.NilError(t, e.tail.Refresh(t.Context()))
		// A read that may follow at once ends; then the entry pauses.
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, reasonOf(other.submit(t.Context(), id)), damaskspread.ReasonOverloaded)
		e.load.setWait(0)
		refusal, _ := e.index.Refusal(id)
		assert.Assert(t, refusal == nil)
		ctx, cancel := context.WithTimeout(t.Context(), 2*pause)
		defer cancel()
		assert.Equal(t, reasonOf(e.submit(ctx, id)), damaskspread.ReasonOverloaded)
		assert.NilError(t, other.tail.Refresh(t.Context()))
		_, known := other.index.Lookup(id)
		assert.Assert(t, !known)
		// The entry knows the refusal now, so it can override it.
		assert.NilError(t, e.submit(ctx, id))
	}
}

// Guards against refusals that fail each other: of a burst, all are refused.
func TestBurstOfRefusals(t *testing.T) {
	keyed := &emulator.KeyedLog{Clock: clockwork.NewRealClock()}
	e := newEntry(t, keyed, true, 80*time.Millisecond)
	e.load.setWait(100)
	const jobs = 200
	results := make(chan error, jobs)
	for i := range jobs {
		go func() { results <- e.submit(t.Context(), fmt.Sprintf("%016x", i)) }()
	}
	for range jobs {
		assert.Equal(t, reasonOf(<-results), damaskspread.ReasonOverloaded)
	}
	assert.Assert(t, e.counted.appends.Load() < jobs)
}

// Guards against refusals of several entries that fail each other: each append moves the
// end of the topic, which is the condition of all others.
func TestRefusalsOfSeveralEntries(t *testing.T) {
	const (
		entries       = 10
		jobsPerEntry  = 20
		interval      = 100 * time.Millisecond
		appendLatency = 4 * time.Millisecond
	)
	keyed := &emulator.KeyedLog{Clock: clockwork.NewRealClock()}
	var all []*testEntry
	for range entries {
		e := newEntry(t, keyed, true, 80*time.Millisecond)
		e.counted.delay = appendLatency
		e.load.setWait(100)
		all = append(all, e)
	}
	results := make(chan error, entries*jobsPerEntry)
	for job := range jobsPerEntry {
		for i, e := range all {
			go func() { results <- e.submit(t.Context(), fmt.Sprintf("%016x", entries*job+i)) }()
		}
		time.Sleep(interval)
	}
	accepted, appends := 0, int64(0)
	for range entries * jobsPerEntry {
		if <-results == nil {
			accepted++
		}
	}
	for _, e := range all {
		appends += e.counted.appends.Load()
	}
	t.Logf("%d accepted, %d appends for %d refusals", accepted, appends, entries*jobsPerEntry)
	assert.Assert(t, accepted <= entries*jobsPerEntry/20)
}

// Guards against a job that is lost because the refusal could not be recorded: it is
// accepted, or refused if the append took effect without a response.
func TestRefusalWithUnknownOutcome(t *testing.T) {
	keyed := &emulator.KeyedLog{Clock: clockwork.NewRealClock()}
	e := newEntry(t, keyed, true, 0)
	e.load.setWait(100)
	e.client.LoseResponses(1)
	err := e.submit(t.Context(), id)
	assert.NilError(t, e.tail.Refresh(t.Context()))
	_, known := e.index.Lookup(id)
	assert.Equal(t, known, err == nil)
	if err != nil {
		assert.Equal(t, reasonOf(err), damaskspread.ReasonOverloaded)
	}
}

// Guards against callers that are held until their deadline while the log is known to
// be unavailable, and against an entry that doesn't recover from it.
func TestUnavailableLogIsToldAtOnce(t *testing.T) {
	keyed := &emulator.KeyedLog{Clock: clockwork.NewRealClock()}
	e := newEntry(t, keyed, true, 0)
	e.client.SetDown(true)
	held := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer cancel()
		held <- e.submit(ctx, id)
	}()
	time.Sleep(1600 * time.Millisecond)
	started := time.Now()
	err := e.submit(t.Context(), "517f50f645ca478c")
	assert.Equal(t, reasonOf(err), damaskspread.ReasonLogUnavailable)
	assert.Assert(t, time.Since(started) < 200*time.Millisecond)
	e.client.SetDown(false)
	assert.NilError(t, <-held)
	assert.NilError(t, e.submit(t.Context(), "517f50f645ca478c"))
}

// Guards against a cost of admission where it is off: an acceptance is one append and
// doesn't wait for a read.
func TestWithoutAdmission(t *testing.T) {
	keyed := &emulator.KeyedLog{Clock: clockwork.NewRealClock()}
	e := newEntry(t, keyed, false, 5*time.Second)
	// The tailer pauses after this read.
	assert.NilError(t, e.tail.Refresh(t.Context()))
	started := time.Now()
	assert.NilError(t, e.submit(t.Context(), id))
	assert.Assert(t, time.Since(started) < time.Second)
	assert.Equal(t, e.counted.appends.Load(), int64(1))
}

// Guards against an untrue refusal: the job was accepted, ran and was removed before the
// entry has read its record back.
func TestRemovedBeforeReadBack(t *testing.T) {
	keyed := &emulator.KeyedLog{Clock: clockwork.NewRealClock()}
	e, other := newEntry(t, keyed, true, 2*time.Second), newEntry(t, keyed, true, 0)
	e.load.setWait(0)
	// A read that may follow at once ends; then the entry pauses.
	time.Sleep(500 * time.Millisecond)
	result := make(chan error, 1)
	go func() { result <- e.submit(t.Context(), id) }()
	for known := false; !known; {
		assert.NilError(t, other.tail.Refresh(t.Context()))
		_, known = other.index.Lookup(id)
	}
	_, err := other.client.Append(t.Context(), indexer.Topic, other.index.RemovalRecords(id), nil)
	assert.NilError(t, err)
	assert.Equal(t, reasonOf(<-result), damaskspread.ReasonAppendUnknown)
}
