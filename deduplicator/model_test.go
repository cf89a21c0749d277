package deduplicator_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/deduplicator"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

const service = "s"

var errMessageLost = errors.New("the message or its response was lost")

// keysOfShard0 are keys of one shard, because the model tracks only shard 0.
var keysOfShard0 = func() []string {
	var keys []string
	for i := 0; len(keys) < 3; i++ {
		if key := fmt.Sprintf("key-%d", i); replayer.ShardOf(key) == 0 {
			keys = append(keys, key)
		}
	}
	return keys
}()

// model runs agents on a log that is replayed by package replayer. Agents read
// the log with a delay and may skip assignments. Messages or their responses are
// lost, or messages are delivered late. Other steps run between a message and
// its response.
type model struct {
	t        *rapid.T
	clock    *clockwork.FakeClock
	replayed *replayer.State
	offset   int64
	// The epochs of shard 0 in log order.
	epochs     []*wire.Position
	agents     map[string]*agent
	delayed    []func()       // late deliveries of messages and requests
	runs       map[string]int // by key
	sentKeys   map[string]bool
	nesting    int
	startCount int
	outcomes   map[string]int // number of requests by outcome
}

func (m *model) apply(record *wire.Record) {
	m.offset++
	m.replayed.Apply(m.offset, &wire.RecordBatch{
		Records: []*wire.Record{record},
	})
	if shards := m.replayed.Shards(service); len(shards) > 0 {
		epoch := shards[0].GetEpoch()
		if n := len(m.epochs); n == 0 || !proto.Equal(m.epochs[n-1], epoch) {
			m.epochs = append(m.epochs, epoch)
		}
	}
}

func (m *model) start(host string) {
	m.startCount++
	a := &agent{
		model:      m,
		seenOffset: -1,
		spec: &wire.HostSpec{
			Host:        host,
			Incarnation: fmt.Sprint(m.startCount),
			Zone:        "z" + host,
			Endpoint: &wire.EndpointSpec{
				Service: service,
			},
		},
	}
	a.dedup = &deduplicator.Deduplicator{
		Clock:       m.clock,
		Currency:    a,
		Peers:       a,
		Appender:    a,
		KeyLifetime: time.Hour,
	}
	m.agents[host] = a
	m.apply(&wire.Record{
		Body: &wire.Record_HostJoined{
			HostJoined: &wire.HostJoined{
				Spec: a.spec,
			},
		},
	})
}

// interleave may run another step, at most three nested, while a message or a
// request is in progress.
func (m *model) interleave() {
	if m.nesting < 3 && rapid.IntRange(0, 2).Draw(m.t, "interleave") == 0 {
		m.nesting++
		m.step()
		m.nesting--
	}
}

func (m *model) step() {
	a := m.agents[rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "host")]
	switch n := rapid.IntRange(0, 39).Draw(m.t, "step"); {
	case n < 14:
		m.request(rapid.SampledFrom(keysOfShard0).Draw(m.t, "key"))
	case n < 24:
		a.sync()
	case n < 33:
		_ = a.dedup.Synchronize(context.Background())
	case n < 36:
		if len(m.delayed) > 0 {
			i := rapid.IntRange(0, len(m.delayed)-1).Draw(m.t, "late")
			deliver := m.delayed[i]
			m.delayed = slices.Delete(m.delayed, i, i+1)
			deliver()
		}
	case n < 38:
		if state, _ := m.replayed.Host(a.spec.GetHost()); replayer.IsMember(state) {
			m.leave(a)
			return
		}
		m.start(a.spec.GetHost())
	default:
		if rapid.IntRange(0, 3).Draw(m.t, "crash") == 0 {
			m.start(a.spec.GetHost())
		}
	}
}

func (m *model) leave(a *agent) {
	if rapid.Bool().Draw(m.t, "expired") {
		state, _ := m.replayed.Host(a.spec.GetHost())
		m.apply(&wire.Record{
			Body: &wire.Record_HostExpired{
				HostExpired: &wire.HostExpired{
					Host:  a.ref(),
					Alive: state.GetAlive(),
				},
			},
		})
		return
	}
	a.leaving = true
	m.apply(&wire.Record{
		Body: &wire.Record_HostLeaving{
			HostLeaving: &wire.HostLeaving{
				Host: a.ref(),
			},
		},
	})
}

// request sends a key with the current or an earlier epoch, mostly to the primary
// or the secondary. Some requests arrive late.
func (m *model) request(key string) {
	first := !m.sentKeys[key] && rapid.Bool().Draw(m.t, "first")
	m.sentKeys[key] = true
	host := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "target")
	epochLag := max(0, rapid.IntRange(-4, 2).Draw(m.t, "lag"))
	epoch := m.epochs[max(0, len(m.epochs)-1-epochLag)]
	state := m.replayed.Shards(service)[0]
	for _, role := range []*wire.HostRef{state.GetPrimary(), state.GetSecondary()} {
		if role != nil && rapid.IntRange(0, 2).Draw(m.t, "to_role") > 0 {
			host = role.GetHost()
			break
		}
	}
	call := deduplicator.Request{
		Service:      service,
		Epoch:        epoch,
		Key:          key,
		BodyHash:     []byte("hash"),
		FirstAttempt: first,
	}
	if rapid.IntRange(0, 5).Draw(m.t, "delayed") == 0 {
		// FirstAttempt is true as of the time of sending. A retry may overtake
		// the request and run, and not_run is still correct for the request.
		runsAtSending := m.runs[key]
		m.delayed = append(m.delayed, func() {
			if first {
				m.execute(host, call, runsAtSending)
				return
			}
			m.execute(host, call, m.runs[key])
		})
		return
	}
	m.execute(host, call, m.runs[key])
}

// execute fails the test if the refusal is not_run for a key that had run before.
// If the key runs meanwhile for another request, not_run is correct for this one.
func (m *model) execute(host string, call deduplicator.Request, runsBefore int) {
	a := m.agents[host]
	refusal, stored := a.execute(call)
	switch {
	case refusal != nil:
		m.outcomes[damaskspread.OutcomeName(refusal.Outcome)]++
		if refusal.Outcome == wire.Outcome_OUTCOME_NOT_RUN && runsBefore > 0 {
			m.t.Fatalf("not_run was answered for %s, which had run before: %v", call.Key, refusal)
		}
	case stored != nil && m.runs[call.Key] == 0:
		m.t.Fatalf("a result was returned for %s, which has not run", call.Key)
	default:
		m.outcomes["ran"]++
	}
}

// Guards against a key that runs twice and against not_run for a key that has
// run, with lost, repeated and late messages, changed and skipped epochs,
// restarts with empty memory, and requests with an old epoch.
func TestRandomInterleavings(t *testing.T) {
	totals := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t:        t,
			clock:    clockwork.NewFakeClock(),
			replayed: replayer.New(),
			agents:   map[string]*agent{},
			runs:     map[string]int{},
			sentKeys: map[string]bool{},
			outcomes: map[string]int{},
		}
		for _, host := range []string{"a", "b", "c"} {
			m.start(host)
		}
		for _, host := range []string{"a", "b", "c"} {
			m.agents[host].sync()
		}
		for range rapid.IntRange(40, 200).Draw(t, "steps") {
			m.step()
		}
		for name, n := range m.outcomes {
			totals[name] += n
		}
	})
	t.Logf("outcomes: %v", totals)
	// Each outcome must occur often enough for the run to be meaningful.
	for _, name := range []string{"ran", "not_run", "unknown"} {
		assert.Assert(t, totals[name] > 20, "%s: %d", name, totals[name])
	}
}
