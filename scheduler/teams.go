package scheduler

import (
	"fmt"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// Team is what the configuration grants a team.
type Team struct {
	// Quota limits what the team's tasks hold at once; a zero resource has
	// no limit.
	Quota *wire.Resources
	// Weight divides the team's share; 0 means 1.
	Weight float64
}

func (t Team) limited() bool {
	return t.Quota.GetMillicores() > 0 || t.Quota.GetMemoryBytes() > 0 || t.Quota.GetAccelerators() > 0
}

type team struct {
	name  string
	grant Team
	used  wire.Resources
}

func (t *team) charge(need *wire.Resources, sign int64) {
	t.used.Millicores += sign * need.GetMillicores()
	t.used.MemoryBytes += sign * need.GetMemoryBytes()
	t.used.Accelerators += sign * need.GetAccelerators()
}

// share is the dominant share of the cluster that the team holds, divided by
// its weight.
func (t *team) share(total *wire.Resources) float64 {
	weight := t.grant.Weight
	if weight <= 0 {
		weight = 1
	}
	return max(
		ratio(t.used.GetMillicores(), total.GetMillicores()),
		ratio(t.used.GetMemoryBytes(), total.GetMemoryBytes()),
		ratio(t.used.GetAccelerators(), total.GetAccelerators()),
	) / weight
}

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// overQuota returns a refusal if a task would exceed the team's quota.
func (t *team) overQuota(need *wire.Resources) *damaskspread.PlacementRefusedError {
	q := t.grant.Quota
	for _, r := range []struct {
		name              string
		need, used, quota int64
	}{
		{"millicores", need.GetMillicores(), t.used.GetMillicores(), q.GetMillicores()},
		{"memory_bytes", need.GetMemoryBytes(), t.used.GetMemoryBytes(), q.GetMemoryBytes()},
		{"accelerators", need.GetAccelerators(), t.used.GetAccelerators(), q.GetAccelerators()},
	} {
		if r.quota > 0 && r.need > 0 && r.used+r.need > r.quota {
			return &damaskspread.PlacementRefusedError{
				Binding: damaskspread.BindingQuota,
				Detail:  fmt.Sprintf("team %s uses %d of %d %s and the task needs %d", t.name, r.used, r.quota, r.name, r.need),
				Never:   r.need > r.quota,
			}
		}
	}
	return nil
}
