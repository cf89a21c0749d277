package placer

import (
	"math/rand/v2"

	"damaskspread.example/damaskspread/wire"
)

// Room is a host that could hold a task if other tasks left it.
type Room struct {
	Host string
	// Free is what commitments and reservations for urgent tasks leave; values
	// are negative if reserved room is still in use. Measured use beyond the commitments is
	// not subtracted: it lags behind, so evicting for it evicts too much.
	Free *wire.Resources
}

// Capable samples up to limit hosts that take new tasks and are large enough
// for a task, from a random host on.
func (x *Index) Capable(spec *wire.TaskSpec, limit int, random *rand.Rand) []Room {
	if len(x.ordered) == 0 {
		return nil
	}
	need := amountOf(spec.GetResources())
	var rooms []Room
	start := random.IntN(len(x.ordered))
	for i := range x.ordered {
		h := x.ordered[(start+i)%len(x.ordered)]
		if !h.available() || !h.zone.inService || !allows(spec, h.zone.name) || !h.capacity.holds(need) {
			continue
		}
		rooms = append(rooms, Room{
			Host: h.id,
			Free: h.capacity.minus(h.used).minus(h.held).wire(),
		})
		if len(rooms) == limit {
			break
		}
	}
	return rooms
}
