package tailer_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/tailer"
	"damaskspread.example/damaskspread/wire"
)

const topic = "topic"

type elapsedClock struct{ start time.Time }

func (e elapsedClock) Elapsed() time.Duration { return time.Since(e.start) + time.Hour }

// reader follows a topic and keeps the value of each key.
type reader struct {
	tail   *tailer.Tailer
	client *emulator.KeyedLogClient
	log    *emulator.KeyedLog

	mu     sync.Mutex
	values map[string]string
}

func (r *reader) apply(records []*wire.KeyedRecord, reset bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reset {
		r.values = map[string]string{}
	}
	for _, record := range records {
		if len(record.GetValue()) == 0 {
			delete(r.values, record.GetKey())
			continue
		}
		r.values[record.GetKey()] = string(record.GetValue())
	}
}

func (r *reader) value(key string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.values[key]
}

func (r *reader) put(t *testing.T, key, value string) {
	t.Helper()
	writer := &emulator.KeyedLogClient{Log: r.log}
	_, err := writer.Append(context.Background(), topic, []*wire.KeyedRecord{{Key: key, Value: []byte(value)}}, nil)
	assert.NilError(t, err)
}

func (r *reader) refresh(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	assert.NilError(t, r.tail.Refresh(ctx))
}

func startReader(t *testing.T, wait time.Duration) *reader {
	r := newReader(t, wait)
	r.start(t)
	return r
}

// newReader returns a reader that has not started.
func newReader(t *testing.T, wait time.Duration) *reader {
	clock := clockwork.NewRealClock()
	r := &reader{log: &emulator.KeyedLog{Clock: clock}}
	r.client = &emulator.KeyedLogClient{Log: r.log}
	r.tail = &tailer.Tailer{
		Log:      r.client,
		Topic:    topic,
		Clock:    clock,
		Elapsed:  elapsedClock{start: time.Now()},
		ReadWait: wait,
		Apply:    r.apply,
	}
	r.put(t, "before", "1")
	return r
}

// start follows the topic until the test ends.
func (r *reader) start(t *testing.T) {
	tb := &tomb.Tomb{}
	tb.Go(func() error { return r.tail.Run(tb) })
	t.Cleanup(func() {
		tb.Kill(nil)
		_ = tb.Wait()
	})
}

// Guards against a reader that misses records from before or after its start.
func TestFollow(t *testing.T) {
	r := startReader(t, 100*time.Millisecond)
	r.refresh(t)
	assert.Equal(t, r.value("before"), "1")
	r.put(t, "after", "2")
	r.put(t, "before", "")
	r.refresh(t)
	assert.Equal(t, r.value("after"), "2")
	assert.Equal(t, r.value("before"), "")
}

// Guards against a refresh that waits until a read at the end of the topic times
// out. A new leader waits for a refresh.
func TestRefreshCancelsRead(t *testing.T) {
	r := startReader(t, 5*time.Second)
	r.refresh(t)
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	r.refresh(t)
	assert.Assert(t, time.Since(began) < time.Second, "%s", time.Since(began))
}

// Guards against a refresh that comes while a read begins and waits for that read.
func TestRefreshWhileReadBegins(t *testing.T) {
	r := startReader(t, 10*time.Second)
	r.refresh(t)
	var callers sync.WaitGroup
	for range 2 {
		callers.Go(func() {
			for range 2000 {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				err := r.tail.Refresh(ctx)
				cancel()
				if !assert.Check(t, err) {
					return
				}
			}
		})
	}
	callers.Wait()
}

// Guards against keys that a reader keeps after their removal record expired
// unread.
func TestUnreadRecordsExpire(t *testing.T) {
	r := startReader(t, 50*time.Millisecond)
	r.refresh(t)
	r.client.SetDown(true)
	time.Sleep(100 * time.Millisecond)
	r.put(t, "before", "")
	r.put(t, "after", "2")
	r.log.ExpireTopic(topic)
	r.client.SetDown(false)
	r.refresh(t)
	assert.Equal(t, r.value("after"), "2")
	assert.Equal(t, r.value("before"), "")
}

// changingLog appends records after the first page of newest records.
type changingLog struct {
	damaskspread.KeyedLog
	records []*wire.KeyedRecord
}

func (l *changingLog) Newest(ctx context.Context, topic, after string) (*wire.KeyedPage, error) {
	page, err := l.KeyedLog.Newest(ctx, topic, after)
	if after == "" && l.records != nil {
		_, err = l.Append(ctx, topic, l.records, nil)
		l.records = nil
	}
	return page, err
}

// Guards against a job that seems open and not canceled, because its records were removed
// while the pages of the newest records were read.
func TestPagesAreNoViewUntilLaterRecordsAreRead(t *testing.T) {
	r := newReader(t, 50*time.Millisecond)
	for i := range 49 {
		r.put(t, fmt.Sprintf("j%02d", i), "job")
	}
	r.put(t, "j48.cancel", "1")
	r.tail.Log = &changingLog{KeyedLog: r.client, records: []*wire.KeyedRecord{{Key: "j48"}, {Key: "j48.cancel"}}}
	applies := 0
	r.tail.Apply = func(records []*wire.KeyedRecord, reset bool) {
		r.apply(records, reset)
		applies++
		assert.Check(t, r.value("j48") == "" || r.value("j48.cancel") != "", "without its cancellation after %d", applies)
	}
	r.start(t)
	r.refresh(t)
	assert.Equal(t, r.value("j47"), "job")
	assert.Equal(t, r.value("j48"), "")
}

// Guards against an age that stays low while the log doesn't respond.
func TestAge(t *testing.T) {
	r := startReader(t, 50*time.Millisecond)
	assert.Assert(t, r.tail.Age() == damaskspread.MaxAge || r.tail.Age() < time.Minute)
	r.refresh(t)
	r.client.SetUnresponsive(true)
	time.Sleep(400 * time.Millisecond)
	assert.Assert(t, r.tail.Age() >= 300*time.Millisecond, "%s", r.tail.Age())
}

// Guards against an outage that goes unnoticed or is forgotten for a short failure, and
// against one that counts although the log only had nothing new.
func TestLastOutage(t *testing.T) {
	r := startReader(t, 50*time.Millisecond)
	r.refresh(t)
	_, known := r.tail.LastOutage()
	assert.Assert(t, !known)
	r.client.SetDown(true)
	time.Sleep(1100 * time.Millisecond)
	_, known = r.tail.LastOutage()
	assert.Assert(t, !known, "the outage has not ended")
	r.client.SetDown(false)
	r.refresh(t)
	outage, known := r.tail.LastOutage()
	assert.Assert(t, known)
	assert.Assert(t, outage.Length >= time.Second, "%s", outage.Length)
	assert.Assert(t, r.tail.Elapsed.Elapsed()-outage.EndedAt < time.Second)

	r.client.SetDown(true)
	time.Sleep(100 * time.Millisecond)
	r.client.SetDown(false)
	r.refresh(t)
	latest, _ := r.tail.LastOutage()
	assert.Equal(t, latest, outage, "a short failure replaces the outage")

	quiet := startReader(t, 1200*time.Millisecond)
	quiet.refresh(t)
	time.Sleep(1300 * time.Millisecond)
	quiet.refresh(t)
	_, known = quiet.tail.LastOutage()
	assert.Assert(t, !known, "a read that waits for records is no outage")
}

// Guards against a view that stays old after an outage for as long as a read waits for new
// records, in which a leader starts nothing.
func TestViewIsCurrentOnceTheLogIsBack(t *testing.T) {
	const wait = 2 * time.Second
	r := startReader(t, wait)
	r.refresh(t)
	r.client.SetDown(true)
	time.Sleep(wait + 200*time.Millisecond)
	assert.Assert(t, r.tail.Age() > wait, "%s", r.tail.Age())
	r.client.SetDown(false)
	back := time.Now()
	for r.tail.Age() > wait/2 {
		assert.Assert(t, time.Since(back) < wait/2, "%s", r.tail.Age())
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against the view of a process that needs it recent, such as a leader, growing as
// old as that of the others while nothing is appended.
func TestAgeOfAnIdleTopicFollowsTheWaitLimit(t *testing.T) {
	r := newReader(t, 3*time.Second)
	r.tail.WaitLimit = func() time.Duration { return 100 * time.Millisecond }
	r.start(t)
	r.refresh(t)
	for began := time.Now(); time.Since(began) < 2*time.Second; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, r.tail.Age() < time.Second, "%s", r.tail.Age())
	}
}
