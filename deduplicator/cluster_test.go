package deduplicator_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/deduplicator"
	"damaskspread.example/damaskspread/wire"
)

// fakeCluster is a set of agents that call each other directly. It implements
// their Currency, Appender and Peers.
type fakeCluster struct {
	clock         *clockwork.FakeClock
	agents        map[string]*deduplicator.Deduplicator
	currencyAge   time.Duration
	afterDelivery func()        // runs once, between the next message and its response
	delay         time.Duration // of each message
	readyAppends  int
}

func (cluster *fakeCluster) Age() time.Duration { return cluster.currencyAge }

func (cluster *fakeCluster) AppendRecords(context.Context, []*wire.Record) (int64, error) {
	cluster.readyAppends++
	return 0, nil
}

func (cluster *fakeCluster) Replicate(ctx context.Context, address string, request *wire.ReplicateRequest) (*wire.ReplicateResponse, error) {
	if cluster.delay > 0 {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(cluster.delay):
		}
	}
	response := cluster.agents[address].HandleReplicate(request)
	if afterDelivery := cluster.afterDelivery; afterDelivery != nil {
		cluster.afterDelivery = nil
		afterDelivery()
	}
	return response, nil
}

func newFakeCluster(names ...string) *fakeCluster {
	cluster := &fakeCluster{
		clock:  clockwork.NewFakeClock(),
		agents: map[string]*deduplicator.Deduplicator{},
	}
	for _, name := range names {
		cluster.agents[name] = &deduplicator.Deduplicator{
			Clock:       cluster.clock,
			Currency:    cluster,
			Peers:       cluster,
			Appender:    cluster,
			KeyLifetime: time.Minute,
			MaxBytes:    1 << 20,
		}
	}
	return cluster
}

func hostRef(name string) *wire.HostRef {
	return &wire.HostRef{Host: name, Incarnation: "1"}
}

func epochAt(epoch int64) *wire.Position { return &wire.Position{Offset: epoch} }

// assign passes the roles of a new epoch to the agents in receivers. founded means
// that the primary has held the shard since its creation.
func (cluster *fakeCluster) assign(previous, epoch int64, primary, secondary string, founded bool, receivers ...string) {
	for _, name := range receivers {
		var assignments []deduplicator.Assignment
		if name == primary || name == secondary {
			assignments = append(assignments, deduplicator.Assignment{
				State: &wire.ShardState{
					Service: service, Primary: hostRef(primary), Secondary: hostRef(secondary), Epoch: epochAt(epoch), Founded: founded,
				},
				Previous: epochAt(previous), PrimaryAddress: primary, SecondaryAddress: secondary,
			})
		}
		cluster.agents[name].Assign(hostRef(name), assignments)
	}
}

func call(epoch int64, key string) deduplicator.Request {
	return deduplicator.Request{Service: service, Epoch: epochAt(epoch), Key: key, BodyHash: []byte("h")}
}

func canceledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func (cluster *fakeCluster) synchronize(t *testing.T, names ...string) {
	t.Helper()
	for _, name := range names {
		assert.NilError(t, cluster.agents[name].Synchronize(context.Background()))
	}
}

// run sends a request to an agent and does not wait for other attempts. It reports
// whether the request ran or has a stored response, and otherwise returns the
// refusal.
func (cluster *fakeCluster) run(name string, c deduplicator.Request, resultSize int) (bool, *damaskspread.RefusalError) {
	reservation, stored, refusal := cluster.agents[name].Begin(canceledContext(), c)
	if reservation == nil {
		return stored != nil, refusal
	}
	if refusal := reservation.Commit(context.Background()); refusal != nil {
		return false, reservation.Refuse(canceledContext(), refusal)
	}
	reservation.Finish(&wire.ExecuteResponse{Outcome: wire.Outcome_OUTCOME_RAN, Body: make([]byte, resultSize)})
	return true, nil
}

func assertRefusal(t *testing.T, refusal *damaskspread.RefusalError, outcome wire.Outcome, reason damaskspread.Reason) {
	t.Helper()
	assert.Assert(t, refusal != nil)
	assert.Equal(t, refusal.Outcome, outcome, refusal.Error())
	assert.Equal(t, refusal.Reason, reason, refusal.Error())
}
