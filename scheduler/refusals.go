package scheduler

import (
	"slices"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

// refusalKey identifies tasks that share refusals: they may differ only in
// processors, memory and kind.
type refusalKey struct {
	accelerators      int64
	zones             string
	nonCheckpointable bool
}

// refusalSet holds the smallest refused resource needs of tasks with the same
// refusalKey.
type refusalSet struct {
	needs []refusedNeed
}

type refusedNeed struct {
	need    *wire.Resources
	refusal *damaskspread.PlacementRefusedError
}

func (c *classQueue) refusalsFor(s shape) *refusalSet {
	key := refusalKey{
		accelerators:      s.accelerators,
		zones:             s.zones,
		nonCheckpointable: s.nonCheckpointable,
	}
	r := c.refusals[key]
	if r == nil {
		r = &refusalSet{}
		c.refusals[key] = r
	}
	return r
}

// clearRefusals empties the refusal sets in place, because the queues point to
// them.
func (c *classQueue) clearRefusals() {
	for _, r := range c.refusals {
		r.needs = r.needs[:0]
	}
}

// find returns the refusal of a task that needed no more of any resource than
// need, or nil. It avoids calling the placement policy, which is too slow to be
// called for each waiting task.
func (r *refusalSet) find(need *wire.Resources) *damaskspread.PlacementRefusedError {
	for _, refused := range r.needs {
		if replayer.Fits(refused.need, need) {
			return refused.refusal
		}
	}
	return nil
}

func (r *refusalSet) add(need *wire.Resources, refusal *damaskspread.PlacementRefusedError) {
	r.needs = slices.DeleteFunc(r.needs, func(refused refusedNeed) bool {
		return replayer.Fits(need, refused.need)
	})
	r.needs = append(r.needs, refusedNeed{
		need:    need,
		refusal: refusal,
	})
}
