package scheduler

import (
	"fmt"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// Team is the scheduling configuration of a team.
type Team struct {
	// Quota limits the resources that the team's tasks hold at the same time. A
	// resource that is zero has no limit.
	Quota *wire.Resources
	// Weight is the team's weight in fair sharing: the team's share is divided by
	// it. Zero or less means 1.
	Weight float64
}

func (t Team) limited() bool {
	return t.Quota.GetMillicores() > 0 || t.Quota.GetMemoryBytes() > 0 || t.Quota.GetAccelerators() > 0
}

// team is a team's configuration and the resources that its tasks use.
type team struct {
	name   string
	config Team
	used   wire.Resources
}

func (t *team) addUsage(need *wire.Resources, sign int64) {
	t.used.Millicores += sign * need.GetMillicores()
	t.used.MemoryBytes += sign * need.GetMemoryBytes()
	t.used.Accelerators += sign * need.GetAccelerators()
}

// weightedShare returns the team's dominant share of the cluster (the largest of
// its shares of each resource), divided by its weight.
func (t *team) weightedShare(total *wire.Resources) float64 {
	weight := t.config.Weight
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

// checkQuota returns a refusal if a task would exceed the team's quota, else nil.
func (t *team) checkQuota(need *wire.Resources) *damaskspread.PlacementRefusedError {
	q := t.config.Quota
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
