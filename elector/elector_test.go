package elector_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/elector"
	"damaskspread.example/damaskspread/wire"
)

// manualClock is an ElapsedClock that a test sets.
type manualClock struct{ now time.Duration }

func (c *manualClock) Elapsed() time.Duration { return c.now }

// follower is an elector that reads the records of other processes.
type follower struct {
	t     *testing.T
	clock *manualClock
	*elector.Elector
}

func newFollower(t *testing.T) *follower {
	clock := &manualClock{now: time.Hour}
	return &follower{
		t:       t,
		clock:   clock,
		Elector: &elector.Elector{Elapsed: clock},
	}
}

// read applies a record of the leader of an epoch at a second of the test.
func (f *follower) read(second int, offset, epoch int64) {
	f.t.Helper()
	value, err := proto.Marshal(&wire.Leadership{Process: "other", Epoch: epoch})
	assert.NilError(f.t, err)
	f.clock.now = f.at(second)
	f.Apply([]*wire.KeyedRecord{{Key: "leader", Value: value, Offset: offset}}, false)
}

func (f *follower) at(second int) time.Duration {
	return time.Hour + time.Duration(second)*time.Second
}

// Guards against a lease that is considered over too early or late: the last record of its
// leader bounds it, or a later record if this one was not read.
func TestLastRecordOfALeader(t *testing.T) {
	f := newFollower(t)
	f.read(1, 10, 11)
	f.read(2, 11, 11)
	f.read(5, 12, 13)
	f.read(6, 14, 13)
	f.read(9, 17, 17)
	assert.Equal(t, f.LastHeardBy(11), f.at(2))
	// Records 15 and 16, of the leader of epoch 13, were not read.
	assert.Equal(t, f.LastHeardBy(13), f.at(9))
	assert.Equal(t, f.LastHeardBy(4), f.at(1))
}

// Guards against a time that is earlier than the append of a record.
func TestRecordIsHeardWithTheNextOne(t *testing.T) {
	f := newFollower(t)
	f.read(1, 10, 11)
	f.read(3, 12, 11)
	assert.Equal(t, f.HeardBy(10), f.at(1))
	assert.Equal(t, f.HeardBy(11), f.at(3))
	assert.Equal(t, f.HeardBy(12), f.at(3))
	f.clock.now = f.at(8)
	assert.Equal(t, f.HeardBy(13), f.at(8))
}
