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

func startFollower(t *testing.T, log damaskspread.LogClient, configure func(*follower.Follower)) *follower.Follower {
	t.Helper()
	f := &follower.Follower{
		Log:            log,
		Clock:          clockwork.NewRealClock(),
		Region:         "r",
		SnapshotEvery:  1 << 40,
		PeerFetchAfter: 100 * time.Millisecond,
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

func eventually(t *testing.T, awaited string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", awaited)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(2*time.Millisecond))
}

func hasTask(f *follower.Follower, task string) bool {
	found := false
	f.View(func(state *replayer.State) { _, found = state.Task(task) })
	return found
}

// Checks that the age counts from the start of a read. Counted from its end,
// the state would look current after a slow read, although entries may have
// been appended in the meantime.
func TestAgeCountsFromReadStart(t *testing.T) {
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
	f := startFollower(t, log, func(f *follower.Follower) { f.Clock = clock })
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

// Checks that a subscriber receives each change or is told to reload, and that
// applied records are found by their id.
func TestSubscriptionAndFindRecord(t *testing.T) {
	log := newLog()
	log.appendTask("t0")
	f := startFollower(t, log, nil)
	subscription := f.Subscribe()
	_, reload, err := subscription.Next(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, reload)
	assert.NilError(t, f.Wait(t.Context(), 0))
	offset := log.appendTask("t1")
	assert.NilError(t, f.Wait(t.Context(), offset))
	found, ok := f.FindRecord("record t1")
	assert.Assert(t, ok)
	assert.Equal(t, found, offset)
	for received := false; !received; {
		changes, _, err := subscription.Next(t.Context())
		assert.NilError(t, err)
		for _, change := range changes {
			received = received || change.Subject() == "t1"
		}
	}
	// More changes than a subscription holds: the reader must reload.
	for i := range 1500 {
		offset = log.appendTask(fmt.Sprintf("more %d", i))
	}
	assert.NilError(t, f.Wait(t.Context(), offset))
	_, reload, err = subscription.Next(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, reload)
}

// Checks the start of a process for each state of the log: it becomes ready, or
// reports lost history if expired records are not covered by a snapshot.
func TestStart(t *testing.T) {
	for name, tc := range map[string]struct {
		prepare     func(log *fakeLog)
		historyLost bool
	}{
		"fresh empty log":                         {prepare: func(*fakeLog) {}},
		"batches only":                            {prepare: func(log *fakeLog) { log.appendTask("t0") }},
		"all records expired and no snapshot":     {prepare: func(log *fakeLog) { log.appendTask("t0"); log.expire("state.r", 1) }, historyLost: true},
		"first records expired and no snapshot":   {prepare: func(log *fakeLog) { log.appendTask("t0"); log.appendTask("t1"); log.expire("state.r", 1) }, historyLost: true},
		"snapshot and batches after it":           {prepare: func(log *fakeLog) { appendSnapshot(log, 0); log.appendTask("t9") }},
		"snapshot of the last record":             {prepare: func(log *fakeLog) { appendSnapshot(log, 0) }},
		"incomplete snapshot and expired records": {prepare: func(log *fakeLog) { appendSnapshot(log, 1) }, historyLost: true},
		"damaged snapshot and expired records":    {prepare: func(log *fakeLog) { appendSnapshot(log, -1) }, historyLost: true},
	} {
		t.Run(name, func(t *testing.T) {
			log := newLog()
			tc.prepare(log)
			f := startFollower(t, log, nil)
			eventually(t, "the follower to be ready or to fail", func() bool { return f.Ready() || f.Err() != nil })
			var historyLost *damaskspread.HistoryLostError
			assert.Equal(t, errors.As(f.Err(), &historyLost), tc.historyLost)
			assert.Equal(t, f.Ready(), !tc.historyLost)
			if !tc.historyLost {
				assert.Equal(t, f.Offset(), log.nextOffset("state.r")-1)
			}
		})
	}
}

// appendSnapshot appends tasks and a snapshot of them, and expires the tasks'
// records. Of the snapshot's chunks it leaves out the first missing ones; if
// missing is negative, all chunks are damaged.
func appendSnapshot(log *fakeLog, missing int) {
	state := replayer.New()
	for i := range 4 {
		offset := log.appendTask(fmt.Sprintf("t%d", i))
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

// Checks that history is not lost when all records expire: a process that has
// applied them writes a snapshot at once, which a later start restores. If the
// snapshot expires too, it is written again.
func TestSnapshotWhenAllRecordsExpire(t *testing.T) {
	log := newLog()
	offset := log.appendTask("t0")
	f := startFollower(t, log, nil)
	assert.NilError(t, f.Wait(t.Context(), offset))
	assert.Equal(t, log.nextOffset("snapshot.r"), int64(0))
	log.expire("state.r", 1)
	eventually(t, "a snapshot", func() bool { return log.nextOffset("snapshot.r") > 0 })
	assert.NilError(t, f.Err())
	second := startFollower(t, log, nil)
	eventually(t, "the second process", second.Ready)
	assert.Assert(t, hasTask(second, "t0"))
	written := log.nextOffset("snapshot.r")
	log.expire("snapshot.r", written)
	eventually(t, "another snapshot", func() bool { return log.nextOffset("snapshot.r") > written })
}

// Checks that only one process writes a snapshot: the others see it during
// their delay and write none.
func TestOneProcessWritesTheSnapshot(t *testing.T) {
	log := newLog()
	withoutDelay := func(f *follower.Follower) { f.SnapshotEvery, f.SnapshotDelay = 3, time.Nanosecond }
	withDelay := func(f *follower.Follower) { f.SnapshotEvery, f.SnapshotDelay = 3, time.Hour }
	waiting := startFollower(t, log, withDelay)
	for i := range 3 {
		log.appendTask(fmt.Sprintf("t%d", i))
	}
	assert.NilError(t, waiting.Wait(t.Context(), 2))
	writer := startFollower(t, log, withoutDelay)
	eventually(t, "a snapshot", func() bool { return log.nextOffset("snapshot.r") == 1 })
	assert.NilError(t, writer.Wait(t.Context(), log.appendTask("t3")))
	assert.NilError(t, waiting.Wait(t.Context(), 3))
	assert.Equal(t, log.nextOffset("snapshot.r"), int64(1))
}
