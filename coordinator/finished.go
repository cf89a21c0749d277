package coordinator

import (
	"github.com/phuslu/log"

	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
)

// stopFinishedJobs orders the stop of runs that belong to finished jobs.
func (c *Coordinator) stopFinishedJobs(cycle *cycleState) {
	withoutSession := 0
	defer func() { c.reportUnstoppable(withoutSession) }()
	for _, job := range c.jobs {
		if job.AssignedTasks() == 0 || !job.Over() {
			continue
		}
		job.EachTask(func(t *tracker.Task) {
			if !t.Assigned() {
				return
			}
			view := cycle.byKey[t.Executor()]
			if view == nil {
				withoutSession++
			}
			if t.Stopping() || view == nil {
				return
			}
			t.MarkStopping()
			view.addStopOrder(t.ID().String(), t.Run(), tracer.StopOrdered{
				Reason: tracer.StopJobOver,
			})
		})
	}
}

// reportUnstoppable writes a line when the number of runs of finished jobs changes that can't be
// stopped for now, because no agent has a session for their executors.
func (c *Coordinator) reportUnstoppable(runs int) {
	if runs == c.unstoppable {
		return
	}
	c.unstoppable = runs
	log.Info().Int("runs", runs).Msg("runs of finished jobs on executors without a session")
}
