package coordinator

import (
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tailer"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
)

// recovery is the time after an outage of the log in which late jobs leave room for the
// callers that were refused and return. The zero value means that there is none.
type recovery struct {
	outage tailer.Outage
	// paced are the groups of which the cycle holds tasks back, by name.
	paced map[string]planner.PacedGroup
	// pacedCycles counts the cycles that held tasks back.
	pacedCycles int
}

// holds reports whether tasks of the group are held back.
func (r *recovery) holds(group *tracker.Group) bool {
	_, held := r.paced[group.Name()]
	return held
}

// paceLate returns the groups to plan. It leaves out late tasks while callers return
// after an outage of the log.
func (c *Coordinator) paceLate(groups []*tracker.Group, cycle *cycleState, epoch int64) []*tracker.Group {
	outage, known := c.JobsTail.LastOutage()
	share := 0.0
	if known {
		share = planner.ReturningShare(cycle.now-outage.EndedAt, c.RecoveryTime)
	}
	c.beginRecovery(outage, share, epoch)
	if share == 0 {
		c.endRecovery(epoch)
		return groups
	}
	planned, paced := planner.PaceLate(groups, cycle.hosts, share, c.Clock.Now().UnixMilli())
	c.recovery.paced = map[string]planner.PacedGroup{}
	for _, group := range paced {
		c.recovery.paced[group.Group.Name()] = group
	}
	if len(paced) > 0 {
		c.recovery.pacedCycles++
	}
	c.gauges.pacedSteps.Store(int64(len(paced)))
	return planned
}

// beginRecovery begins the recovery from an outage, unless it has begun before.
func (c *Coordinator) beginRecovery(outage tailer.Outage, share float64, epoch int64) {
	if share == 0 || c.recovery.outage == outage {
		return
	}
	c.recovery = recovery{
		outage: outage,
	}
	log.Info().Int64("epoch", epoch).Dur("outage", outage.Length).Dur("recovery", c.RecoveryTime).
		Msg("log available again; late jobs leave room for callers that return")
}

// endRecovery ends the recovery in progress, if there is one.
func (c *Coordinator) endRecovery(epoch int64) {
	if c.recovery.outage == (tailer.Outage{}) {
		return
	}
	log.Info().Int64("epoch", epoch).Int("paced_cycles", c.recovery.pacedCycles).
		Msg("callers have returned; late jobs are not held back any more")
	c.recovery = recovery{}
	c.gauges.pacedSteps.Store(0)
}

// reportPaced reports the steps of which late tasks are held back.
func (c *Coordinator) reportPaced(cycle *cycleState, report func(name string, describe func() *tracer.TasksHeld)) {
	for name, paced := range c.recovery.paced {
		report(name, func() *tracer.TasksHeld {
			return &tracer.TasksHeld{
				Job:    paced.Group.Job().Spec().GetId(),
				Reason: tracer.HoldRecovery,
				Step:   name,
				Tasks:  paced.Held,
				Outage: tracer.Milliseconds(c.recovery.outage.Length),
				Left:   tracer.Milliseconds(c.recoveryLeft(cycle.now)),
			}
		})
	}
}

// recoveryLeft returns the time until callers have returned.
func (c *Coordinator) recoveryLeft(now time.Duration) time.Duration {
	return max(0, c.recovery.outage.EndedAt+c.RecoveryTime-now)
}
