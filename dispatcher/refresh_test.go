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

// followed is a state that is always current.
type followed struct {
	state *replayer.State
}

func (f followed) View(read func(*replayer.State)) { read(f.state) }

func (f followed) Age() time.Duration { return 0 }

// BenchmarkRefresh is a refresh after a batch of heartbeats, which changes no
// route, with 7,400 endpoints.
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
		Follower: followed{state: state},
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
