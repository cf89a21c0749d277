package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/dispatcher"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/router"
	"damaskspread.example/damaskspread/wire"
)

// currentState is a Follower whose state is always current.
type currentState struct {
	state *replayer.State
}

func (s currentState) View(read func(*replayer.State)) { read(s.state) }

func (s currentState) Age() time.Duration { return 0 }

// Guards against refusals for want of an endpoint that the entry knows, and against
// requests to endpoints that left, until the next periodic refresh.
func TestRequestsFollowRoutes(t *testing.T) {
	c := newTestCluster(t, 0)
	apply := func(record *wire.Record) {
		_, err := c.AppendRecords(t.Context(), []*wire.Record{record})
		assert.NilError(t, err)
	}
	expect := func(endpoint, reason string) {
		t.Helper()
		for range 10 {
			a := c.post(t, c.client, target, "", nil)
			assert.Equal(t, a.Header.Get("X-Endpoint"), endpoint, a.body)
			assert.Equal(t, a.refusal.Error.Reason, reason)
		}
	}
	c.addAgent(t, "h0", c.client)
	expect("h0", "")
	c.addAgent(t, "h1", c.client)
	apply(&wire.Record{Body: &wire.Record_HostLeaving{HostLeaving: &wire.HostLeaving{
		Host: &wire.HostRef{Host: "h0", Incarnation: "1"},
	}}})
	expect("h1", "")
	apply(&wire.Record{Body: &wire.Record_SectionPublished{SectionPublished: &wire.SectionPublished{
		Section: "zone z0",
		Text:    "in_service = false",
	}}})
	expect("", "no_endpoint")
}

// Guards against an entry that is not ready although requests would find endpoints.
func TestReadyOnceReplayed(t *testing.T) {
	d := &dispatcher.Dispatcher{
		Follower: currentState{state: replayer.New()},
	}
	assert.Assert(t, d.Ready())
}

// BenchmarkRefresh measures Refresh with 7,400 endpoints after a batch of
// heartbeats, which changes no route.
func BenchmarkRefresh(b *testing.B) {
	state := replayer.New()
	var joins []*wire.Record
	for i := range 7_400 {
		joins = append(joins, &wire.Record{
			Body: &wire.Record_HostJoined{
				HostJoined: &wire.HostJoined{
					Spec: &wire.HostSpec{
						Host:        fmt.Sprint("h", i),
						Incarnation: "i",
						Zone:        fmt.Sprint("z", i%10),
						Endpoint: &wire.EndpointSpec{
							Service: fmt.Sprint("s", i%100),
							Slots:   8,
						},
					},
				},
			},
		})
	}
	state.Apply(0, &wire.RecordBatch{
		Records: joins,
	})
	clock := clockwork.NewRealClock()
	d := &dispatcher.Dispatcher{
		Follower: currentState{state: state},
		Router: &router.Router{
			Clock: clock,
		},
		Clock: clock,
	}
	d.Refresh()
	alive := &wire.RecordBatch{
		Records: []*wire.Record{{
			Body: &wire.Record_HostsAlive{
				HostsAlive: &wire.HostsAlive{
					Hosts: []*wire.HostRef{{Host: "h1", Incarnation: "i"}},
				},
			},
		}},
	}
	for offset := int64(1); b.Loop(); offset++ {
		state.Apply(offset, alive)
		d.Refresh()
	}
}
