package coordinator_test

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

const sessionKeyPrefix = ".session."

// appendFault is a fault of the appends of an entry to one topic.
type appendFault struct {
	topic string
	// hangs makes the appends wait for their deadline. Otherwise they fail at once.
	hangs bool
	// leadersOnly is set if it is that of appends under the epoch of a leader.
	leadersOnly bool
}

// writeFilter changes what an entry appends.
type writeFilter struct {
	// earlierVersion leaves out what leaders of earlier versions don't write.
	earlierVersion atomic.Bool
	// silenceDelay delays the next record of a silent session by so many nanoseconds;
	// silences counts these records.
	silenceDelay, silences atomic.Int64
	fault                  atomic.Pointer[appendFault]
	// unreadable makes the reads of jobs fail.
	unreadable atomic.Bool
}

// failure returns the error of a faulty append, nil without a fault.
func (f *writeFilter) failure(ctx context.Context, topic string, condition *wire.AppendCondition) error {
	fault := f.fault.Load()
	if fault == nil || fault.topic != topic || (fault.leadersOnly && condition.GetProducer() == nil) {
		return nil
	}
	if fault.hangs {
		<-ctx.Done()
		return &damaskspread.AppendUnknownError{Cause: ctx.Err()}
	}
	return &damaskspread.LogUnavailableError{Cause: errDown}
}

// filteredLog is the log of an entry whose writes are filtered.
type filteredLog struct {
	*emulator.KeyedLogClient

	filter *writeFilter
}

func (l *filteredLog) Append(ctx context.Context, topic string, records []*wire.KeyedRecord, condition *wire.AppendCondition) (*wire.AppendResult, error) {
	if err := l.filter.failure(ctx, topic, condition); err != nil {
		return nil, err
	}
	if slices.ContainsFunc(records, isSilence) {
		l.filter.silences.Add(1)
		time.Sleep(time.Duration(l.filter.silenceDelay.Swap(0)))
	}
	if l.filter.earlierVersion.Load() {
		records = asEarlierVersion(records)
	}
	return l.KeyedLogClient.Append(ctx, topic, records, condition)
}

func (l *filteredLog) Read(ctx context.Context, topic string, from int64, wait time.Duration) (*wire.KeyedPage, error) {
	if l.filter.unreadable.Load() {
		return nil, &damaskspread.LogUnavailableError{Cause: errDown}
	}
	return l.KeyedLogClient.Read(ctx, topic, from, wait)
}

func isSilence(record *wire.KeyedRecord) bool {
	session := &wire.ExecutorSession{}
	return strings.HasPrefix(record.GetKey(), sessionKeyPrefix) &&
		proto.Unmarshal(record.GetValue(), session) == nil && session.GetSilentSince() > 0
}

// asEarlierVersion returns the records as a leader of an earlier version writes them.
func asEarlierVersion(records []*wire.KeyedRecord) []*wire.KeyedRecord {
	var changed []*wire.KeyedRecord
	for _, record := range records {
		leadership := &wire.Leadership{}
		switch {
		case strings.HasPrefix(record.GetKey(), sessionKeyPrefix):
			continue
		case record.GetKey() == "leader" && proto.Unmarshal(record.GetValue(), leadership) == nil:
			leadership.StoresSessions = false
			value, _ := proto.Marshal(leadership)
			record = &wire.KeyedRecord{Key: record.GetKey(), Value: value}
		}
		changed = append(changed, record)
	}
	return changed
}

// pass lets time pass in which the executors notice the ends of their leases.
func (f *testFleet) pass(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		f.noticeLeaseEnds()
	}
}

// Guards against a session that is opened while the silence of the one before is being
// stored and gets leases without a record: the next leader would consider them over.
func TestReopenedWhileItsSilenceIsStored(t *testing.T) {
	t.Parallel()
	f, busy := newLastingTask(t)
	leader := f.leader()
	leader.writes.silenceDelay.Store(int64(800 * time.Millisecond))
	f.killAgent(busy)
	f.waitFor("record of the silence", func() bool { return leader.writes.silences.Load() > 0 })
	f.startAgent(busy)
	f.pass(2 * lease)
	f.killEntry(leader)
	f.killAgent(busy)
	f.pass(2 * lease)
	f.assertNoDuplicateRuns()
}

// Guards against a lease that a leader of an earlier version granted, after a leader that
// stored the session of the executor.
func TestLeaseOfAnEarlierVersionInBetween(t *testing.T) {
	t.Parallel()
	f, busy := newLastingTask(t)
	first := f.leader()
	for _, e := range f.entries {
		e.writes.earlierVersion.Store(e != first)
	}
	f.pass(time.Second)
	f.killEntry(first)
	f.leader()
	f.pass(5 * time.Second)
	f.startEntry(first)
	f.pass(time.Second)
	for _, e := range f.entries {
		if e != first {
			f.killEntry(e)
		}
	}
	f.killAgent(busy)
	f.pass(2 * lease)
	f.assertNoDuplicateRuns()
}

// Guards against an agent that polls without a pause, because a lease is due that its
// executor can't get.
func TestUnreachableExecutorAfterAnOutageOfTheLog(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 0, fixedRunTime(-1))
	leader := f.leader()
	agent, info := newManualAgent(t, leader, "host-0"), executorInfo("executor-0", 1)
	agent.open(f, "s.1", info)
	poll := func(reachable bool) {
		request := agent.request("s.1", info)
		request.ExecutorReachable = reachable
		request.WaitMs = 750
		agent.send(request)
	}
	poll(true)
	leader.client.SetDown(true)
	poll(false)
	poll(false)
	leader.client.SetDown(false)
	polls := 0
	for end := time.Now().Add(time.Second); time.Now().Before(end); polls++ {
		poll(false)
	}
	assert.Assert(t, polls < 5, "%d polls", polls)
}

// Guards against session records of hosts that are gone, which would stay for ever.
func TestSessionsOfLostHostsAreRemoved(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 2, 2, fixedRunTime(-1))
	leader := f.leader()
	f.waitFor("sessions", func() bool { return leader.coordinator.Sessions() == 2 })
	f.pass(time.Second)
	f.hosts[0].executor.Crash()
	f.killAgent(f.hosts[0])
	f.killEntry(leader)
	reader := &emulator.KeyedLogClient{Log: f.log}
	f.waitFor("removal", func() bool {
		page, err := reader.Newest(t.Context(), "progress", "")
		return err == nil && !slices.ContainsFunc(page.GetRecords(), func(record *wire.KeyedRecord) bool {
			return record.GetKey() == sessionKeyPrefix+f.hosts[0].name
		})
	})
}
