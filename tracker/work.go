package tracker

import "damaskspread.example/damaskspread/wire"

// StepWork is a step of one occurrence with its tasks, and how many of these wait for
// a run or are assigned. The others are done.
type StepWork struct {
	Step              *wire.JobStep
	Tasks             []*Task
	Pending, Assigned int
}

// EachDueStep calls visit for every step that isn't done of the occurrences that are
// due at nowUnixMs, also for steps that wait for others. It calls nothing for a job
// that is over.
func (j *Job) EachDueStep(nowUnixMs int64, visit func(StepWork)) {
	if j.Over() {
		return
	}
	for _, o := range j.occurrences {
		if !j.due(o, nowUnixMs) {
			return
		}
		for s, tasks := range o.steps {
			if o.stepDone(s) {
				continue
			}
			visit(StepWork{
				Step:     j.spec.GetSteps()[s],
				Tasks:    tasks,
				Pending:  o.pending(s),
				Assigned: o.counts[s].assigned,
			})
		}
	}
}

// Work returns the predicted work of the group's occurrence in core-seconds: of
// the tasks of all steps that have no run yet, and of all tasks. Tasks in progress
// hold their processors however the waiting ones are ordered, so pending leaves
// them out.
func (g *Group) Work() (pending, total float64) {
	o := g.job.occurrences[g.occurrence]
	for s, step := range g.job.spec.GetSteps() {
		perTask := taskWork(step, g.job.TaskMs(s))
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

// taskWork returns the core-seconds of one task of a step that runs for the given
// time, in milliseconds.
func taskWork(step *wire.JobStep, runMs int64) float64 {
	const perCoreSecond = 1000 * 1000
	return float64(step.GetResources().GetMillicores()) * float64(runMs) / perCoreSecond
}
