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
