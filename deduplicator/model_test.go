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

var errLost = errors.New("the message or its answer was lost")

// keysOfShard0 lets the model follow a single shard.
var keysOfShard0 = func() []string {
	var keys []string
	for i := 0; len(keys) < 3; i++ {
		if key := fmt.Sprintf("key-%d", i); replayer.ShardOf(key) == 0 {
			keys = append(keys, key)
		}
	}
	return keys
}()

// model runs agents on a real replayed log. Agents see the log late and may
// skip assignments; messages are lost, answered without the answer arriving,
// or delivered late; other steps happen while a message is under way.
type model struct {
	t      *rapid.T
	clock  *clockwork.FakeClock
	log    *replayer.State
	offset int64
	// The epochs of shard 0 in their order.
	epochs  []*wire.Position
	agents  map[string]*agent
	late    []func()
	runs    map[string]int
	sent    map[string]bool
	depth   int
	started int
	answers map[string]int
}

// agent is one process; a restart replaces it.
type agent struct {
	model   *model
	spec    *wire.HostSpec
	keys    *deduplicator.Deduplicator
	seen    int64
	leaving bool
}

func (m *model) apply(body *wire.Record) {
	m.offset++
	m.log.Apply(m.offset, &wire.RecordBatch{
		Records: []*wire.Record{body},
	})
	if shards := m.log.Shards(service); len(shards) > 0 {
		epoch := shards[0].GetEpoch()
		if n := len(m.epochs); n == 0 || !proto.Equal(m.epochs[n-1], epoch) {
			m.epochs = append(m.epochs, epoch)
		}
	}
}

func (m *model) start(host string) {
	m.started++
	a := &agent{
		model: m,
		seen:  -1,
		spec: &wire.HostSpec{
			Host:        host,
			Incarnation: fmt.Sprint(m.started),
			Zone:        "z" + host,
			Endpoint: &wire.EndpointSpec{
				Service: service,
			},
		},
	}
	a.keys = &deduplicator.Deduplicator{
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

func (a *agent) ref() *wire.HostRef {
	return &wire.HostRef{
		Host:        a.spec.GetHost(),
		Incarnation: a.spec.GetIncarnation(),
	}
}

// Age implements damaskspread.Currency.
func (a *agent) Age() time.Duration {
	if a.seen == a.model.offset {
		return 0
	}
	return time.Second
}

// member reports whether the agent is within its currency limit: it is less
// than the member hold, so an agent that expired unnoticed is past it.
func (a *agent) member() bool {
	state, ok := a.model.log.Host(a.spec.GetHost())
	return ok && !a.leaving && (a.seen == a.model.offset ||
		state.GetSpec().GetIncarnation() == a.spec.GetIncarnation() && replayer.IsMember(state))
}

func (a *agent) sync() {
	a.seen = a.model.offset
	var mine []deduplicator.Assignment
	if shards := a.model.log.Shards(service); len(shards) > 0 {
		state := shards[0]
		if proto.Equal(state.GetPrimary(), a.ref()) || proto.Equal(state.GetSecondary(), a.ref()) {
			assignment := deduplicator.Assignment{
				State:            state,
				PrimaryAddress:   state.GetPrimary().GetHost(),
				SecondaryAddress: state.GetSecondary().GetHost(),
			}
			if n := len(a.model.epochs); n > 1 {
				assignment.Previous = a.model.epochs[n-2]
			}
			mine = append(mine, assignment)
		}
	}
	a.keys.Assign(a.ref(), mine)
}

// AppendRecords implements damaskspread.Appender.
func (a *agent) AppendRecords(_ context.Context, records []*wire.Record) (int64, error) {
	if rapid.IntRange(0, 3).Draw(a.model.t, "append") == 0 {
		return 0, errLost
	}
	for _, record := range records {
		a.model.apply(record)
	}
	return a.model.offset, nil
}

// Replicate implements deduplicator.Peers.
func (a *agent) Replicate(_ context.Context, address string, request *wire.ReplicateRequest) (*wire.ReplicateResponse, error) {
	m := a.model
	request = proto.CloneOf(request)
	deliver := func() *wire.ReplicateResponse {
		if peer := m.agents[address]; peer != nil {
			return peer.keys.Accept(proto.CloneOf(request))
		}
		return &wire.ReplicateResponse{}
	}
	m.interleave()
	switch rapid.IntRange(0, 11).Draw(m.t, "message") {
	case 0:
		return nil, errLost
	case 1:
		deliver()
		return nil, errLost
	case 2:
		m.late = append(m.late, func() { deliver() })
		return nil, errLost
	}
	answer := deliver()
	m.interleave()
	return answer, nil
}

// interleave lets other things happen while a message is under way.
func (m *model) interleave() {
	if m.depth < 3 && rapid.IntRange(0, 2).Draw(m.t, "interleave") == 0 {
		m.depth++
		m.step()
		m.depth--
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
		_ = a.keys.Synchronize(context.Background())
	case n < 36:
		if len(m.late) > 0 {
			i := rapid.IntRange(0, len(m.late)-1).Draw(m.t, "late")
			deliver := m.late[i]
			m.late = slices.Delete(m.late, i, i+1)
			deliver()
		}
	case n < 38:
		if state, _ := m.log.Host(a.spec.GetHost()); replayer.IsMember(state) {
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
		state, _ := m.log.Host(a.spec.GetHost())
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

// request sends a key with the epoch and to the agent of the present or an
// earlier view; at times it arrives late.
func (m *model) request(key string) {
	first := !m.sent[key] && rapid.Bool().Draw(m.t, "first")
	m.sent[key] = true
	host := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "target")
	back := max(0, rapid.IntRange(-4, 2).Draw(m.t, "lag"))
	epoch := m.epochs[max(0, len(m.epochs)-1-back)]
	state := m.log.Shards(service)[0]
	for _, role := range []*wire.HostRef{state.GetPrimary(), state.GetSecondary()} {
		if role != nil && rapid.IntRange(0, 2).Draw(m.t, "to_role") > 0 {
			host = role.GetHost()
			break
		}
	}
	call := deduplicator.Call{
		Service:      service,
		Epoch:        epoch,
		Key:          key,
		BodyHash:     []byte("hash"),
		FirstAttempt: first,
	}
	if rapid.IntRange(0, 5).Draw(m.t, "delayed") == 0 {
		// The promise of a first attempt holds when the caller sends it, so
		// its not_run may cross a run of a retry that overtook it.
		sentBefore := m.runs[key]
		m.late = append(m.late, func() {
			if first {
				m.execute(host, call, sentBefore)
				return
			}
			m.execute(host, call, m.runs[key])
		})
		return
	}
	m.execute(host, call, m.runs[key])
}

// execute fails the test on a not_run for a key that had run before: for one
// that runs meanwhile, under another request, it was true of this request.
func (m *model) execute(host string, call deduplicator.Call, before int) {
	a := m.agents[host]
	refusal, known := a.execute(call)
	switch {
	case refusal != nil:
		m.answers[damaskspread.OutcomeName(refusal.Outcome)]++
		if refusal.Outcome == wire.Outcome_OUTCOME_NOT_RUN && before > 0 {
			m.t.Fatalf("not_run was said of %s, which had run: %v", call.Key, refusal)
		}
	case known != nil && m.runs[call.Key] == 0:
		m.t.Fatalf("a result was returned for %s, which has not run", call.Key)
	default:
		m.answers["ran"]++
	}
}

func (a *agent) execute(call deduplicator.Call) (*damaskspread.RefusalError, *wire.ExecuteResponse) {
	m := a.model
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // nothing waits in the model
	if !a.member() {
		return damaskspread.Unknown(damaskspread.ReasonStaleConfiguration, "past the currency limit"), nil
	}
	ticket, known, refusal := a.keys.Begin(ctx, call)
	if ticket == nil {
		return refusal, known
	}
	m.interleave()
	if rapid.IntRange(0, 5).Draw(m.t, "shed") == 0 {
		return ticket.Refuse(ctx, damaskspread.NotRun(damaskspread.ReasonOverloaded, "shed")), nil
	}
	if refusal := ticket.Commit(ctx); refusal != nil {
		return ticket.Refuse(ctx, refusal), nil
	}
	if !a.member() {
		return ticket.Refuse(ctx, damaskspread.NotRun(damaskspread.ReasonStaleConfiguration, "past the currency limit")), nil
	}
	// The process may be paused or replaced between the last check and the run.
	m.interleave()
	m.runs[call.Key]++
	if m.runs[call.Key] > 1 {
		m.t.Fatalf("%s ran twice", call.Key)
	}
	m.interleave()
	ticket.Finish(&wire.ExecuteResponse{
		Outcome: wire.Outcome_OUTCOME_RAN,
		Status:  200,
	})
	return nil, nil
}

// Guards against a key that runs twice and against a not_run that is untrue of
// the key, with lost, repeated and late messages, epochs that move and are
// skipped, restarts with empty memory, and requests with an old view.
func TestModel(t *testing.T) {
	total := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t:       t,
			clock:   clockwork.NewFakeClock(),
			log:     replayer.New(),
			agents:  map[string]*agent{},
			runs:    map[string]int{},
			sent:    map[string]bool{},
			answers: map[string]int{},
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
		for name, n := range m.answers {
			total[name] += n
		}
	})
	t.Logf("answers: %v", total)
	// A model in which nearly nothing runs or is refused would prove nothing.
	for _, name := range []string{"ran", "not_run", "unknown"} {
		assert.Assert(t, total[name] > 20, "%s: %d", name, total[name])
	}
}
