package tracker

import "damaskspread.example/damaskspread/wire"

// StepWork is a step of one occurrence, and how many of its tasks wait for a run or are
// assigned. The others are done.
type StepWork struct {
	Step              *wire.JobStep
	Group             *Group
	Pending, Assigned int
}

// EachDueStep calls visit for every step that isn't done of the occurrences that are
// due at nowUnixMs, also for steps that wait for others. It calls nothing for a job
// that is over.
func (j *Job) EachDueStep(nowUnixMs int64, visit func(StepWork)) {
	if j.Over() {
		return
	}
	for k := j.firstOpen; k < len(j.occurrences) && j.due(k, nowUnixMs); k++ {
		for s, step := range j.spec.GetSteps() {
			state := j.step(k, s)
			if state == doneStep {
				continue
			}
			work := StepWork{
				Step:    step,
				Group:   j.group(k, s),
				Pending: j.pending(k, s),
			}
			if state != nil {
				work.Assigned = state.assigned
			}
			visit(work)
		}
	}
}

// Work returns the predicted work of the group's occurrence in core-seconds: of
// the tasks of all steps that have no run yet, and of all tasks. Tasks in progress
// hold their processors however the waiting ones are ordered, so pending leaves
// them out.
func (g *Group) Work() (pending, total float64) {
	for s, step := range g.job.spec.GetSteps() {
		perTask := taskWork(step, g.job.TaskMs(s))
		pending += float64(g.job.pending(g.occurrence, s)) * perTask
		total += float64(g.job.stepSize(s)) * perTask
	}
	return pending, total
}

// DoneShare returns the share of the tasks of t's step, in its occurrence, that
// are done.
func (t *Task) DoneShare() float64 { return float64(t.step.done) / float64(t.step.size()) }

// taskWork returns the core-seconds of one task of a step that runs for the given
// time, in milliseconds.
func taskWork(step *wire.JobStep, runMs int64) float64 {
	const perCoreSecond = 1000 * 1000
	return float64(step.GetResources().GetMillicores()) * float64(runMs) / perCoreSecond
}
