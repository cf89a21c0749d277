package tracker

import "damaskspread.example/damaskspread/wire"

// Work returns the estimated work of the group's occurrence in core-seconds: of
// the tasks of all steps that have no run yet, and of all tasks. Tasks in progress
// hold their processors however the waiting ones are ordered, so pending leaves
// them out.
func (g *Group) Work() (pending, total float64) {
	o := g.job.occurrences[g.occurrence]
	for s, step := range g.job.spec.GetSteps() {
		perTask := taskWork(step)
		pending += float64(o.pending(s)) * perTask
		total += float64(len(o.steps[s])) * perTask
	}
	return pending, total
}

// DoneShare returns the share of the tasks of t's step, in its occurrence, that
// are done.
func (t *Task) DoneShare() float64 {
	return float64(t.counts().done) / float64(len(t.siblings()))
}

// taskWork returns the estimated core-seconds of one task of a step.
func taskWork(step *wire.JobStep) float64 {
	const perCoreSecond = 1000 * 1000
	return float64(step.GetResources().GetMillicores()) * float64(step.GetEstimateMs()) / perCoreSecond
}
