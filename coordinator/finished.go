package coordinator

import (
	"github.com/phuslu/log"

	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
)

// stopFinishedJobs orders the stop of runs that belong to finished jobs.
func (c *Coordinator) stopFinishedJobs(cycle *cycleState) {
	withoutSession := 0
	for _, job := range c.jobs {
		if job.AssignedTasks() > 0 && job.Over() {
			withoutSession += c.stopJob(cycle, job)
		}
	}
	c.reportUnstoppable(withoutSession)
}

// stopJob orders the stop of the runs of a finished job, and returns the number of those on
// executors without a session.
func (c *Coordinator) stopJob(cycle *cycleState, job *tracker.Job) (withoutSession int) {
	job.EachTask(func(t *tracker.Task) {
		view := cycle.byKey[t.Executor()]
		switch {
		case !t.Assigned():
		case view == nil:
			withoutSession++
		case !t.Stopping():
			t.MarkStopping()
			view.addStopOrder(t.ID().String(), t.Run(), tracer.StopOrdered{
				Reason: tracer.StopJobOver,
			})
		}
	})
	return withoutSession
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
