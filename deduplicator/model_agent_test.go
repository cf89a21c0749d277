package deduplicator_test

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/deduplicator"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

// agent is one agent process. A restart replaces it by a new agent.
type agent struct {
	model      *model
	spec       *wire.HostSpec
	dedup      *deduplicator.Deduplicator
	seenOffset int64
	leaving    bool
}

func (a *agent) ref() *wire.HostRef {
	return &wire.HostRef{
		Host:        a.spec.GetHost(),
		Incarnation: a.spec.GetIncarnation(),
	}
}

// Age implements damaskspread.Currency. It is 0 if the agent has read the whole
// log.
func (a *agent) Age() time.Duration {
	if a.seenOffset == a.model.offset {
		return 0
	}
	return time.Second
}

// withinCurrencyLimit reports whether the agent may run requests. The currency
// limit is shorter than member_hold, so it has passed for an agent that expired
// and has not read that record yet.
func (a *agent) withinCurrencyLimit() bool {
	state, ok := a.model.replayed.Host(a.spec.GetHost())
	return ok && !a.leaving && (a.seenOffset == a.model.offset ||
		state.GetSpec().GetIncarnation() == a.spec.GetIncarnation() && replayer.IsMember(state))
}

func (a *agent) sync() {
	a.seenOffset = a.model.offset
	var assignments []deduplicator.Assignment
	if shards := a.model.replayed.Shards(service); len(shards) > 0 {
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
			assignments = append(assignments, assignment)
		}
	}
	a.dedup.Assign(a.ref(), assignments)
}

// AppendRecords implements damaskspread.Appender.
func (a *agent) AppendRecords(_ context.Context, records []*wire.Record) (int64, error) {
	if rapid.IntRange(0, 3).Draw(a.model.t, "append") == 0 {
		return 0, errMessageLost
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
			return peer.dedup.HandleReplicate(proto.CloneOf(request))
		}
		return &wire.ReplicateResponse{}
	}
	m.interleave()
	switch rapid.IntRange(0, 11).Draw(m.t, "message") {
	case 0:
		return nil, errMessageLost
	case 1:
		deliver()
		return nil, errMessageLost
	case 2:
		m.delayed = append(m.delayed, func() { deliver() })
		return nil, errMessageLost
	}
	response := deliver()
	m.interleave()
	return response, nil
}

func (a *agent) execute(call deduplicator.Request) (*damaskspread.RefusalError, *wire.ExecuteResponse) {
	m := a.model
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // the model is single-threaded, so nothing may wait
	if !a.withinCurrencyLimit() {
		return damaskspread.Unknown(damaskspread.ReasonStaleConfiguration, "past the currency limit"), nil
	}
	reservation, stored, refusal := a.dedup.Begin(ctx, call)
	if reservation == nil {
		return refusal, stored
	}
	m.interleave()
	if rapid.IntRange(0, 5).Draw(m.t, "shed") == 0 {
		return reservation.Refuse(ctx, damaskspread.NotRun(damaskspread.ReasonOverloaded, "shed")), nil
	}
	if refusal := reservation.Commit(ctx); refusal != nil {
		return reservation.Refuse(ctx, refusal), nil
	}
	if !a.withinCurrencyLimit() {
		return reservation.Refuse(ctx, damaskspread.NotRun(damaskspread.ReasonStaleConfiguration, "past the currency limit")), nil
	}
	// The process may be paused or replaced between the check and the run.
	m.interleave()
	m.runs[call.Key]++
	if m.runs[call.Key] > 1 {
		m.t.Fatalf("%s ran twice", call.Key)
	}
	m.interleave()
	reservation.Finish(&wire.ExecuteResponse{
		Outcome: wire.Outcome_OUTCOME_RAN,
		Status:  200,
	})
	return nil, nil
}
