package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

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
