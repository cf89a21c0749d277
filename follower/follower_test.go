package follower_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/follower"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

func start(t *testing.T, log damaskspread.LogClient, configure func(*follower.Follower)) *follower.Follower {
	t.Helper()
	f := &follower.Follower{
		Log:           log,
		Clock:         clockwork.NewRealClock(),
		Region:        "r",
		SnapshotEvery: 1 << 40,
		RelayAfter:    100 * time.Millisecond,
	}
	if configure != nil {
		configure(f)
	}
	var running tomb.Tomb
	running.Go(func() error { return f.Run(&running) })
	t.Cleanup(func() {
		running.Kill(nil)
		assert.NilError(t, running.Wait())
	})
	return f
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(2*time.Millisecond))
}

func knows(f *follower.Follower, task string) bool {
	known := false
	f.View(func(state *replayer.State) { _, known = state.Task(task) })
	return known
}

// Guards against a process that takes itself for current because a read that
// began long ago has just ended.
func TestAgeCountsFromTheBeginOfTheRead(t *testing.T) {
	clock := clockwork.NewFakeClock()
	log := newLog()
	reads := make(chan struct{})
	proceed := make(chan struct{})
	log.onRead = func(stream string) {
		if stream == "state.r" {
			reads <- struct{}{}
			<-proceed
		}
	}
	f := start(t, log, func(f *follower.Follower) { f.Clock = clock })
	t.Cleanup(func() { close(proceed) })
	<-reads
	assert.Assert(t, !f.Ready())
	assert.Equal(t, f.Age(), damaskspread.MaxAge)
	clock.Advance(7 * time.Second)
	proceed <- struct{}{}
	<-reads
	assert.Assert(t, f.Ready())
	assert.Equal(t, f.Age(), 7*time.Second)
	proceed <- struct{}{}
	<-reads
	assert.Equal(t, f.Age(), time.Duration(0))
	t.Cleanup(func() {
		go func() {
			for range reads {
			}
		}()
	})
}

// Guards against changes that a subscriber misses and records that the
// recorder can't find.
func TestSubscriptionAndRecords(t *testing.T) {
	log := newLog()
	log.submit("t0")
	f := start(t, log, nil)
	changes := f.Subscribe()
	_, reload, err := changes.Next(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, reload)
	assert.NilError(t, f.Wait(t.Context(), 0))
	offset := log.submit("t1")
	assert.NilError(t, f.Wait(t.Context(), offset))
	found, ok := f.FindRecord("record t1")
	assert.Assert(t, ok)
	assert.Equal(t, found, offset)
	for seen := false; !seen; {
		batch, _, err := changes.Next(t.Context())
		assert.NilError(t, err)
		for _, change := range batch {
			seen = seen || change.Subject() == "t1"
		}
	}
	// A reader that stops reading is told to reload and gets no partial list.
	for i := range 1500 {
		offset = log.submit(fmt.Sprintf("more %d", i))
	}
	assert.NilError(t, f.Wait(t.Context(), offset))
	_, reload, err = changes.Next(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, reload)
}

// Guards the start of a process in each condition that the log may be in.
func TestStart(t *testing.T) {
	for name, tc := range map[string]struct {
		prepare func(log *fakeLog)
		lost    bool
	}{
		"fresh empty log":                         {prepare: func(*fakeLog) {}},
		"batches only":                            {prepare: func(log *fakeLog) { log.submit("t0") }},
		"all records expired and no snapshot":     {prepare: func(log *fakeLog) { log.submit("t0"); log.expire("state.r", 1) }, lost: true},
		"first records expired and no snapshot":   {prepare: func(log *fakeLog) { log.submit("t0"); log.submit("t1"); log.expire("state.r", 1) }, lost: true},
		"snapshot and batches after it":           {prepare: func(log *fakeLog) { withSnapshot(log, 0); log.submit("t9") }},
		"snapshot of the last record":             {prepare: func(log *fakeLog) { withSnapshot(log, 0) }},
		"incomplete snapshot and expired records": {prepare: func(log *fakeLog) { withSnapshot(log, 1) }, lost: true},
		"damaged snapshot and expired records":    {prepare: func(log *fakeLog) { withSnapshot(log, -1) }, lost: true},
	} {
		t.Run(name, func(t *testing.T) {
			log := newLog()
			tc.prepare(log)
			f := start(t, log, nil)
			eventually(t, "the start to end", func() bool { return f.Ready() || f.Err() != nil })
			var lost *damaskspread.HistoryLostError
			assert.Equal(t, errors.As(f.Err(), &lost), tc.lost)
			assert.Equal(t, f.Ready(), !tc.lost)
			if !tc.lost {
				assert.Equal(t, f.Offset(), log.next("state.r")-1)
			}
		})
	}
}

// withSnapshot appends many tasks, a snapshot of several chunks, of which some
// are missing or, below zero, damaged, and expires the records.
func withSnapshot(log *fakeLog, missing int) {
	state := replayer.New()
	for i := range 4 {
		offset := log.submit(fmt.Sprintf("t%d", i))
		state.Apply(offset, &wire.RecordBatch{
			Records: []*wire.Record{{
				Body: &wire.Record_TaskSubmitted{
					TaskSubmitted: &wire.TaskSubmitted{
						Spec: &wire.TaskSpec{
							Task:           fmt.Sprintf("t%d", i),
							IdempotencyKey: string(make([]byte, 100<<10)),
						},
					},
				},
			}},
		})
	}
	chunks, _ := follower.Chunks("s1", state.Snapshot())
	for _, chunk := range chunks[max(missing, 0):] {
		if missing < 0 {
			chunk.Data = make([]byte, len(chunk.GetData()))
		}
		data, _ := proto.Marshal(chunk)
		_, _ = log.Append(context.Background(), "snapshot.r", data)
		// A repeated chunk has no effect.
		_, _ = log.Append(context.Background(), "snapshot.r", data)
	}
	log.expire("state.r", 4)
}

// Guards against a history that ends with the retention period: with nothing
// missed the reader writes a snapshot at once, and a later start finds it.
func TestRetentionPassedWithNothingMissed(t *testing.T) {
	log := newLog()
	offset := log.submit("t0")
	f := start(t, log, nil)
	assert.NilError(t, f.Wait(t.Context(), offset))
	assert.Equal(t, log.next("snapshot.r"), int64(0))
	log.expire("state.r", 1)
	eventually(t, "a snapshot", func() bool { return log.next("snapshot.r") > 0 })
	assert.NilError(t, f.Err())
	second := start(t, log, nil)
	eventually(t, "the second process", second.Ready)
	assert.Assert(t, knows(second, "t0"))
	// The snapshot itself expires: it is written again.
	written := log.next("snapshot.r")
	log.expire("snapshot.r", written)
	eventually(t, "another snapshot", func() bool { return log.next("snapshot.r") > written })
}

// Guards against several processes that write the same snapshot: the others
// see it during their delay.
func TestSnapshotDelayIsCanceled(t *testing.T) {
	log := newLog()
	quick := func(f *follower.Follower) { f.SnapshotEvery, f.SnapshotDelay = 3, time.Nanosecond }
	slow := func(f *follower.Follower) { f.SnapshotEvery, f.SnapshotDelay = 3, time.Hour }
	waiting := start(t, log, slow)
	for i := range 3 {
		log.submit(fmt.Sprintf("t%d", i))
	}
	assert.NilError(t, waiting.Wait(t.Context(), 2))
	writer := start(t, log, quick)
	eventually(t, "a snapshot", func() bool { return log.next("snapshot.r") == 1 })
	assert.NilError(t, writer.Wait(t.Context(), log.submit("t3")))
	assert.NilError(t, waiting.Wait(t.Context(), 3))
	assert.Equal(t, log.next("snapshot.r"), int64(1))
}
