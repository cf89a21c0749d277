package feeder_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/encoding/prototext"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/feeder"
	"damaskspread.example/damaskspread/follower"
	"damaskspread.example/damaskspread/recorder"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/subscriber"
	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

// fakeLog is an in-memory log that several entry processes share.
type fakeLog struct {
	mu            sync.Mutex
	streams       map[string][]*wire.LogEntry
	firstRetained int64
}

func newLog() *fakeLog {
	return &fakeLog{
		streams: map[string][]*wire.LogEntry{},
	}
}

// connection is the log client of one entry process. While it is partitioned,
// each call fails.
type connection struct {
	*fakeLog
	mu          sync.Mutex
	partitioned bool
}

func (c *connection) setPartitioned(partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned = partitioned
}

func (c *connection) checkReachable() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.partitioned {
		return &damaskspread.LogUnavailableError{
			Cause: errors.New("network partition"),
		}
	}
	return nil
}

func (c *connection) Append(_ context.Context, stream string, data []byte) (int64, error) {
	if err := c.checkReachable(); err != nil {
		return 0, err
	}
	c.fakeLog.mu.Lock()
	defer c.fakeLog.mu.Unlock()
	offset := int64(len(c.streams[stream]))
	c.streams[stream] = append(c.streams[stream], &wire.LogEntry{
		Offset: offset,
		Data:   data,
	})
	return offset, nil
}

func (c *connection) Read(_ context.Context, stream string, from int64, limit int, wait time.Duration) (*wire.ReadEntriesResponse, error) {
	if wait > 0 {
		time.Sleep(2 * time.Millisecond)
	}
	if err := c.checkReachable(); err != nil {
		return nil, err
	}
	c.fakeLog.mu.Lock()
	defer c.fakeLog.mu.Unlock()
	entries := c.streams[stream]
	response := &wire.ReadEntriesResponse{
		NextOffset: int64(len(entries)),
	}
	if stream == "state.r" {
		response.FirstOffset = c.firstRetained
	}
	if from < response.GetFirstOffset() {
		return nil, &damaskspread.RetentionPassedError{
			From:  from,
			First: response.GetFirstOffset(),
			Next:  response.GetNextOffset(),
		}
	}
	if from < response.GetNextOffset() {
		response.Entries = entries[from:min(int64(len(entries)), from+int64(limit))]
	}
	return response, nil
}

// expireAll makes the entries of the state stream expire.
func (l *fakeLog) expireAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.firstRetained = int64(len(l.streams["state.r"]))
}

// entry is one entry process on a loopback server.
type entry struct {
	log      *connection
	follower *follower.Follower
	recorder *recorder.Recorder
	feeder   *feeder.Feeder
	address  string
	stop     func()
}

func startEntry(t *testing.T, log *fakeLog, name string, partitioned bool, peers ...*entry) *entry {
	t.Helper()
	clock := clockwork.NewRealClock()
	e := &entry{
		log: &connection{
			fakeLog:     log,
			partitioned: partitioned,
		},
	}
	e.follower = &follower.Follower{
		Log:            e.log,
		Clock:          clock,
		Region:         "r",
		SnapshotEvery:  1 << 40,
		PeerFetchAfter: 100 * time.Millisecond,
		ReadWait:       50 * time.Millisecond,
		Peers: func() []string {
			var addresses []string
			for _, peer := range peers {
				addresses = append(addresses, peer.address)
			}
			return addresses
		},
	}
	e.recorder = &recorder.Recorder{
		Log:              e.log,
		Clock:            clock,
		Region:           "r",
		Follower:         e.follower,
		AppendsPerSecond: 1000,
	}
	e.feeder = &feeder.Feeder{
		Follower:   e.follower,
		Recorder:   e.recorder,
		Clock:      clock,
		MemberHold: time.Second,
		EntryHold:  time.Second,
		AliveEvery: 100 * time.Millisecond,
		// Long enough for tests to observe an expired host before it is deleted.
		ForgetAfter: 3 * time.Second,
		Entry: &wire.EntryAlive{
			Entry: name,
		},
	}
	var running tomb.Tomb
	running.Go(func() error {
		running.Go(func() error { return e.follower.Run(&running) })
		running.Go(func() error { return e.recorder.Run(&running) })
		return e.feeder.Run(&running)
	})
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewEntryServiceHandler(e.feeder))
	server := httptest.NewServer(mux)
	e.address = server.Listener.Addr().String()
	e.stop = sync.OnceFunc(func() {
		server.CloseClientConnections()
		running.Kill(nil)
		server.Close()
		assert.Check(t, running.Wait())
	})
	t.Cleanup(e.stop)
	return e
}

func startAgent(t *testing.T, host string, entries ...*entry) (*subscriber.Subscriber, func()) {
	t.Helper()
	s := &subscriber.Subscriber{
		Clock:       clockwork.NewRealClock(),
		SyncWait:    100 * time.Millisecond,
		CallTimeout: 5 * time.Second,
		Spec: &wire.HostSpec{
			Host:       host,
			WorkerBoot: "b1",
			Zone:       "z1",
			Capacity: &wire.Resources{
				Millicores: 10,
			},
			Endpoint: &wire.EndpointSpec{
				Service: "tags",
			},
		},
	}
	for _, e := range entries {
		s.Entries = append(s.Entries, e.address)
	}
	var running tomb.Tomb
	running.Go(func() error { return s.Run(&running) })
	stop := sync.OnceFunc(func() {
		running.Kill(nil)
		assert.Check(t, running.Wait())
	})
	t.Cleanup(stop)
	return s, stop
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
}

func (e *entry) append(t *testing.T, records ...*wire.Record) int64 {
	t.Helper()
	offset, err := e.recorder.AppendRecords(t.Context(), records)
	assert.NilError(t, err)
	assert.NilError(t, e.follower.Wait(t.Context(), offset))
	return offset
}

// host returns a host's incarnation, its entry process and whether it is a member,
// from the replayed state of this entry process.
func (e *entry) host(id string) (incarnation, attached string, member bool) {
	e.follower.View(func(state *replayer.State) {
		if host, ok := state.Host(id); ok {
			incarnation, attached = host.GetSpec().GetIncarnation(), host.GetEntry()
			member = replayer.IsMember(host)
		}
	})
	return incarnation, attached, member
}

// record parses a record in the protobuf text format.
func record(format string, args ...any) *wire.Record {
	parsed := &wire.Record{}
	if err := prototext.Unmarshal(fmt.Appendf(nil, format, args...), parsed); err != nil {
		panic(err)
	}
	return parsed
}

func taskSubmitted(task string) *wire.Record { return record(`task_submitted {spec {task: %q}}`, task) }

func taskClaimed(task, host string) *wire.Record {
	return record(`task_claimed {task: %q attempt: 1 host: %q worker_boot: "b1"}`, task, host)
}
