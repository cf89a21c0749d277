package placer

import (
	"math/rand/v2"

	"damaskspread.example/damaskspread/wire"
)

// CandidateHost is a host that could hold a task if other tasks were evicted.
type CandidateHost struct {
	Host string
	// Free is the capacity minus commitments and reservations for urgent tasks.
	// Its values are negative while reserved capacity is still in use. Measured
	// use beyond the commitments is not subtracted: measurements lag behind, so
	// evicting tasks because of them would evict too many.
	Free *wire.Resources
}

// Candidates returns up to limit hosts that take new tasks and whose total capacity
// could hold a task, with their free capacity. The search starts at a random host.
func (x *Index) Candidates(spec *wire.TaskSpec, limit int, random *rand.Rand) []CandidateHost {
	if len(x.hostList) == 0 {
		return nil
	}
	need := amountOf(spec.GetResources())
	var candidates []CandidateHost
	start := random.IntN(len(x.hostList))
	for i := range x.hostList {
		h := x.hostList[(start+i)%len(x.hostList)]
		if !h.available() || !h.zone.inService || !allows(spec, h.zone.name) || !h.capacity.covers(need) {
			continue
		}
		candidates = append(candidates, CandidateHost{
			Host: h.id,
			Free: h.capacity.minus(h.used).minus(h.urgentReserved).wire(),
		})
		if len(candidates) == limit {
			break
		}
	}
	return candidates
}
