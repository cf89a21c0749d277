package elector_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/elector"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/tailer"
	"damaskspread.example/damaskspread/timekeeper"
	"damaskspread.example/damaskspread/wire"
)

// slowLog delays the response to each read and to each append.
type slowLog struct {
	damaskspread.KeyedLog
	delay, appendDelay time.Duration
}

func (l *slowLog) Append(ctx context.Context, topic string, records []*wire.KeyedRecord, condition *wire.AppendCondition) (*wire.AppendResult, error) {
	result, err := l.KeyedLog.Append(ctx, topic, records, condition)
	time.Sleep(l.appendDelay)
	return result, err
}

func (l *slowLog) Read(ctx context.Context, topic string, from int64, wait time.Duration) (*wire.KeyedPage, error) {
	page, err := l.KeyedLog.Read(ctx, topic, from, wait)
	time.Sleep(l.delay)
	return page, err
}

// candidate is a process that reads the leader topic, and doesn't lead at first.
type candidate struct {
	t *testing.T
	// store has what the leader appends, client is the link of the candidate to it.
	store, client *emulator.KeyedLogClient
	won           chan int64
}

func startCandidate(t *testing.T, delay, appendDelay time.Duration) *candidate {
	log := &emulator.KeyedLog{Clock: clockwork.NewRealClock()}
	c := &candidate{
		t:      t,
		store:  &emulator.KeyedLogClient{Log: log},
		client: &emulator.KeyedLogClient{Log: log},
		won:    make(chan int64, 1),
	}
	link := &slowLog{
		KeyedLog:    c.client,
		delay:       delay,
		appendDelay: appendDelay,
	}
	e := &elector.Elector{
		Log:              link,
		Clock:            clockwork.NewRealClock(),
		Elapsed:          timekeeper.BootClock{},
		Process:          "candidate",
		OnLeadershipWon:  func(epoch int64) { c.won <- epoch },
		OnLeadershipLost: func() {},
		WaitingSince:     func() (time.Duration, bool) { return 0, true },
	}
	e.Tail = &tailer.Tailer{
		Log:      link,
		Topic:    elector.Topic,
		Clock:    clockwork.NewRealClock(),
		Elapsed:  timekeeper.BootClock{},
		ReadWait: 400 * time.Millisecond,
		Apply:    e.Apply,
	}
	var tb tomb.Tomb
	tb.Go(func() error { return e.Tail.Run(&tb) })
	tb.Go(func() error { return e.Run(&tb) })
	t.Cleanup(func() {
		tb.Kill(nil)
		assert.NilError(t, tb.Wait())
	})
	return c
}

// lead appends the records of another leader for a while, each 200 ms.
func (c *candidate) lead(lasting time.Duration) {
	value, err := proto.Marshal(&wire.Leadership{Process: "other", Epoch: 1})
	assert.NilError(c.t, err)
	for ended := time.After(lasting); ; {
		_, err = c.store.Append(c.t.Context(), elector.Topic, []*wire.KeyedRecord{{Key: "leader", Value: value}}, nil)
		assert.NilError(c.t, err)
		select {
		case <-ended:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// Guards against a leader that is gone and that no process replaces while reads of the log
// take long: the time since its last record began again with each read.
func TestLeaderIsReplacedWhileReadsAreSlow(t *testing.T) {
	c := startCandidate(t, 600*time.Millisecond, 0)
	c.lead(3 * time.Second)
	assert.Equal(t, len(c.won), 0, "the leadership was claimed while the leader renewed it")
	select {
	case <-c.won:
	case <-time.After(6 * time.Second):
		t.Fatal("no process claimed the leadership within 6s")
	}
}

// Guards against a change of leader after each outage of the log, in which the leader could
// not renew.
func TestLeaderIsKeptAfterAnOutage(t *testing.T) {
	c := startCandidate(t, 0, 0)
	c.lead(time.Second)
	c.client.SetDown(true)
	time.Sleep(2500 * time.Millisecond)
	c.client.SetDown(false)
	time.Sleep(400 * time.Millisecond)
	c.lead(time.Second)
	assert.Equal(t, len(c.won), 0, "the leadership was claimed after an outage")
}

// stalled reports whether the latest record of the topic says that the leader is stalled.
func (c *candidate) stalled() bool {
	page, err := c.store.Newest(c.t.Context(), elector.Topic, "")
	assert.NilError(c.t, err)
	leadership, err := elector.Decode(page.GetRecords()[0])
	assert.NilError(c.t, err)
	return leadership.GetStalled()
}

// Guards against a leader that makes no progress and is not replaced while its renewals take
// long: the time for which it waits began again with each of them.
func TestLeaderWithSlowRenewalsIsStalled(t *testing.T) {
	c := startCandidate(t, 0, 700*time.Millisecond)
	<-c.won
	for deadline := time.Now().Add(6 * time.Second); !c.stalled(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the leader is not stalled after 6s")
		}
	}
}
