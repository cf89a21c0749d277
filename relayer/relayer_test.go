package relayer_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/connector"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/locator"
	"damaskspread.example/damaskspread/relayer"
	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

const (
	topic = "jobs"
	// callTimeout is the time that a caller of the platform waits for a response.
	callTimeout = 3 * time.Second
)

type testElapsedClock struct{ start time.Time }

func (e testElapsedClock) Elapsed() time.Duration { return time.Since(e.start) + time.Hour }

// process is an entry process with its own connection to the log.
type process struct {
	client *emulator.KeyedLogClient
	relay  *relayer.Relayer
	server *httptest.Server
}

func newProcess(t *testing.T, keyed *emulator.KeyedLog, name string) *process {
	p := &process{client: &emulator.KeyedLogClient{Log: keyed}}
	p.relay = &relayer.Relayer{
		Direct:  p.client,
		HTTP:    connector.NewHTTPClient(),
		Clock:   clockwork.NewRealClock(),
		Elapsed: testElapsedClock{start: time.Now()},
		Process: name,
	}
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewKeyedLogServiceHandler(&relayer.Server{
		Log:            p.client,
		LogUnreachable: p.relay.LogUnreachable,
	}))
	p.server = httptest.NewServer(mux)
	t.Cleanup(p.server.Close)
	presence := &wire.EntryPresence{
		Process: name,
		Address: strings.TrimPrefix(p.server.URL, "http://"),
	}
	assert.NilError(t, locator.Announce(context.Background(), p.client, presence))
	return p
}

// newProcesses starts entry processes that have each other as peers.
func newProcesses(t *testing.T, names ...string) (*emulator.KeyedLog, []*process) {
	keyed := &emulator.KeyedLog{Clock: clockwork.NewRealClock()}
	var processes []*process
	for _, name := range names {
		processes = append(processes, newProcess(t, keyed, name))
	}
	for _, p := range processes {
		tb := &tomb.Tomb{}
		tb.Go(func() error { return p.relay.Run(tb) })
		t.Cleanup(func() {
			tb.Kill(nil)
			_ = tb.Wait()
		})
	}
	time.Sleep(50 * time.Millisecond)
	return keyed, processes
}

func record(key string) []*wire.KeyedRecord {
	return []*wire.KeyedRecord{{
		Key:   key,
		Value: []byte("value"),
	}}
}

func (p *process) append(key string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := p.relay.Append(ctx, topic, record(key), nil)
	return err
}

func (p *process) read(t *testing.T, wait time.Duration) *wire.KeyedPage {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	page, err := p.relay.Read(ctx, topic, 0, wait)
	assert.NilError(t, err)
	return page
}

// Guards against calls that fail on a host from which the log is unreachable,
// although other hosts reach it.
func TestRelay(t *testing.T) {
	for name, fault := range map[string]func(*emulator.KeyedLogClient, bool){
		"refused": (*emulator.KeyedLogClient).SetDown,
		"silent":  (*emulator.KeyedLogClient).SetUnresponsive,
	} {
		t.Run(name, func(t *testing.T) {
			_, processes := newProcesses(t, "a", "b", "c")
			unreachable := processes[0]
			fault(unreachable.client, true)
			assert.NilError(t, unreachable.append("one"))
			assert.Equal(t, len(unreachable.read(t, 0).GetRecords()), 1)
			assert.Assert(t, unreachable.relay.LogUnreachable())
			assert.Equal(t, unreachable.relay.RelayedCalls(), int64(2))

			// Once the log is known to be unreachable, calls do not wait for it.
			start := time.Now()
			assert.NilError(t, unreachable.append("two"))
			assert.Assert(t, time.Since(start) < 250*time.Millisecond, "%s", time.Since(start))

			fault(unreachable.client, false)
			deadline := time.Now().Add(2 * time.Second)
			for unreachable.relay.LogUnreachable() && time.Now().Before(deadline) {
				assert.NilError(t, unreachable.append("three"))
				time.Sleep(20 * time.Millisecond)
			}
			assert.Assert(t, !unreachable.relay.LogUnreachable())
		})
	}
}

// Guards against calls that are relayed from one process to the next without
// end, and against a long wait when no process reaches the log.
func TestAllAway(t *testing.T) {
	_, processes := newProcesses(t, "a", "b", "c")
	for _, p := range processes {
		p.client.SetDown(true)
	}
	for _, p := range processes {
		assert.ErrorType(t, p.append("one"), &damaskspread.LogUnavailableError{})
	}
	start := time.Now()
	err := processes[0].append("two")
	var unavailable *damaskspread.LogUnavailableError
	assert.Assert(t, errors.As(err, &unavailable), "%v", err)
	assert.Assert(t, time.Since(start) < 250*time.Millisecond, "%s", time.Since(start))
}

// Guards against an append that is reported as without effect although it may
// have taken effect.
func TestUnknownOutcome(t *testing.T) {
	keyed, processes := newProcesses(t, "a", "b")
	processes[0].client.LoseResponses(1)
	processes[1].client.SetDown(true)
	var unknown *damaskspread.AppendUnknownError
	err := processes[0].append("one")
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	page, err := (&emulator.KeyedLogClient{Log: keyed}).Newest(context.Background(), topic, "")
	assert.NilError(t, err)
	assert.Equal(t, len(page.GetRecords()), 1)
}

// Guards against a record that the log rejects and that an entry, which reaches the log
// through a peer, takes for one to repeat.
func TestRejectionPassesThroughPeers(t *testing.T) {
	keyed, processes := newProcesses(t, "a", "b")
	keyed.MaxRecordBytes = 1
	processes[0].client.SetDown(true)
	assert.ErrorType(t, processes[0].append("one"), &damaskspread.AppendRejectedError{})
}

// Guards against a claim of the leadership by a process that cannot reach the
// log itself.
func TestConditionalAppendsAreNotRelayed(t *testing.T) {
	_, processes := newProcesses(t, "a", "b")
	processes[0].client.SetDown(true)
	end := int64(0)
	_, err := processes[0].relay.Append(context.Background(), topic, record("claim"), &wire.AppendCondition{End: &end})
	assert.ErrorType(t, err, &damaskspread.LogUnavailableError{})
	assert.Equal(t, len(processes[1].read(t, 0).GetRecords()), 0)
}

// Guards against a read that waits for its deadline at an unresponsive log
// before it is sent to a peer: the reader's state would then be too old to serve
// callers.
func TestSilentRead(t *testing.T) {
	_, processes := newProcesses(t, "a", "b")
	processes[0].client.SetUnresponsive(true)
	start := time.Now()
	processes[0].read(t, 300*time.Millisecond)
	assert.Assert(t, time.Since(start) < time.Second, "%s", time.Since(start))
	start = time.Now()
	processes[0].read(t, 300*time.Millisecond)
	assert.Assert(t, time.Since(start) < 500*time.Millisecond, "%s", time.Since(start))
}

// Guards against a relayed read that does not report expired records.
func TestRetentionPassesThroughPeers(t *testing.T) {
	keyed, processes := newProcesses(t, "a", "b")
	keyed.RetainRecords = 1
	for _, key := range []string{"one", "two", "three"} {
		assert.NilError(t, processes[1].append(key))
	}
	processes[0].client.SetDown(true)
	_, err := processes[0].relay.Read(context.Background(), topic, 0, 0)
	var passed *damaskspread.RetentionPassedError
	assert.Assert(t, errors.As(err, &passed), "%v", err)
	assert.Assert(t, passed.First > 0)
}
