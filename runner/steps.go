package runner

import (
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// keptStepRetention is how long a step is kept after the last order for it. If the
// leader refers to it later, the order is refused and repeated in full.
const keptStepRetention = 2 * time.Minute

// keptStep is what the orders for the tasks of one step have in common. The leader
// sends it once in a session.
type keptStep struct {
	spec   string
	step   *wire.JobStep
	usedAt time.Duration
}

// completeOrder adds the step to an order that refers to it, and keeps the step of
// any other order. It returns false if the step is not known. The caller holds the
// mutex.
func (r *Runner) completeOrder(order *wire.StartOrder) bool {
	group := tracker.GroupOf(order.GetTask())
	kept := r.keptSteps[group]
	switch {
	case !order.GetStepKnown():
		kept = &keptStep{
			spec: order.GetSpec(),
			step: order.GetStep(),
		}
		r.keptSteps[group] = kept
	case kept == nil:
		return false
	default:
		order.Spec = kept.spec
		order.Step = kept.step
	}
	kept.usedAt = r.Elapsed.Elapsed()
	return true
}

// refuseUnknownStep reports that a run does not start because its step is not
// known. The caller holds the mutex.
func (r *Runner) refuseUnknownStep(order *wire.StartOrder) {
	r.addRefusal(runKey{order.GetTask(), order.GetRun()}, damaskspread.RefusedUnknownStep)
	signal(r.reportWake)
}

func (r *Runner) forgetUnusedSteps() {
	now := r.Elapsed.Elapsed()
	for group, kept := range r.keptSteps {
		if now-kept.usedAt > keptStepRetention {
			delete(r.keptSteps, group)
		}
	}
}
