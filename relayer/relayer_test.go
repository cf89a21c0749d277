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
	// patience is the time that a caller of the platform waits for a response.
	patience = 3 * time.Second
)

type elapsed struct{ start time.Time }

func (e elapsed) Elapsed() time.Duration { return time.Since(e.start) + time.Hour }

// process is an entry process with its own way to the log.
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
		Elapsed: elapsed{start: time.Now()},
		Process: name,
	}
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewKeyedLogServiceHandler(&relayer.Server{
		Log:  p.client,
		Away: p.relay.Away,
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

// newProcesses starts processes that know each other.
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
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err := p.relay.Append(ctx, topic, record(key), nil)
	return err
}

func (p *process) read(t *testing.T, wait time.Duration) *wire.KeyedPage {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	page, err := p.relay.Read(ctx, topic, 0, wait)
	assert.NilError(t, err)
	return page
}

// Guards against jobs that are refused by a host that the log turns away, while
// the log serves other hosts.
func TestRelay(t *testing.T) {
	for name, fault := range map[string]func(*emulator.KeyedLogClient, bool){
		"refused": (*emulator.KeyedLogClient).SetDown,
		"silent":  (*emulator.KeyedLogClient).SetSilent,
	} {
		t.Run(name, func(t *testing.T) {
			_, processes := newProcesses(t, "a", "b", "c")
			cut := processes[0]
			fault(cut.client, true)
			assert.NilError(t, cut.append("one"))
			assert.Equal(t, len(cut.read(t, 0).GetRecords()), 1)
			assert.Assert(t, cut.relay.Away())
			assert.Equal(t, cut.relay.Relayed(), int64(2))

			// Once the log is known to be away, nothing waits for it.
			began := time.Now()
			assert.NilError(t, cut.append("two"))
			assert.Assert(t, time.Since(began) < 250*time.Millisecond, "%s", time.Since(began))

			fault(cut.client, false)
			deadline := time.Now().Add(2 * time.Second)
			for cut.relay.Away() && time.Now().Before(deadline) {
				assert.NilError(t, cut.append("three"))
				time.Sleep(20 * time.Millisecond)
			}
			assert.Assert(t, !cut.relay.Away())
		})
	}
}

// Guards against calls that go from one cut-off process to the next, and
// against a long wait when no process reaches the log.
func TestAllAway(t *testing.T) {
	_, processes := newProcesses(t, "a", "b", "c")
	for _, p := range processes {
		p.client.SetDown(true)
	}
	for _, p := range processes {
		assert.ErrorType(t, p.append("one"), &damaskspread.LogUnavailableError{})
	}
	began := time.Now()
	err := processes[0].append("two")
	var unavailable *damaskspread.LogUnavailableError
	assert.Assert(t, errors.As(err, &unavailable), "%v", err)
	assert.Assert(t, time.Since(began) < 250*time.Millisecond, "%s", time.Since(began))
}

// Guards against an append that is called refused although it may have taken
// effect.
func TestUnknownOutcome(t *testing.T) {
	keyed, processes := newProcesses(t, "a", "b")
	processes[0].client.LoseAnswers(1)
	processes[1].client.SetDown(true)
	var unknown *damaskspread.AppendUnknownError
	err := processes[0].append("one")
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	page, err := (&emulator.KeyedLogClient{Log: keyed}).Newest(context.Background(), topic, "")
	assert.NilError(t, err)
	assert.Equal(t, len(page.GetRecords()), 1)
}

// Guards against a claim of leadership by a process that the log doesn't serve.
func TestConditionalAppendsAreNotRelayed(t *testing.T) {
	_, processes := newProcesses(t, "a", "b")
	processes[0].client.SetDown(true)
	end := int64(0)
	_, err := processes[0].relay.Append(context.Background(), topic, record("claim"), &wire.AppendCondition{End: &end})
	assert.ErrorType(t, err, &damaskspread.LogUnavailableError{})
	assert.Equal(t, len(processes[1].read(t, 0).GetRecords()), 0)
}

// Guards against a reader that waits out a long read at a silent log before it
// asks a peer: its view would be too old to serve callers by then.
func TestSilentRead(t *testing.T) {
	_, processes := newProcesses(t, "a", "b")
	processes[0].client.SetSilent(true)
	began := time.Now()
	processes[0].read(t, 300*time.Millisecond)
	assert.Assert(t, time.Since(began) < time.Second, "%s", time.Since(began))
	began = time.Now()
	processes[0].read(t, 300*time.Millisecond)
	assert.Assert(t, time.Since(began) < 500*time.Millisecond, "%s", time.Since(began))
}

// Guards against a peer that hides that records have expired.
func TestRetentionPassesThroughPeers(t *testing.T) {
	keyed, processes := newProcesses(t, "a", "b")
	keyed.Keep = 1
	for _, key := range []string{"one", "two", "three"} {
		assert.NilError(t, processes[1].append(key))
	}
	processes[0].client.SetDown(true)
	_, err := processes[0].relay.Read(context.Background(), topic, 0, 0)
	var passed *damaskspread.RetentionPassedError
	assert.Assert(t, errors.As(err, &passed), "%v", err)
	assert.Assert(t, passed.First > 0)
}
