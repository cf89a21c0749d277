package tracker

import "damaskspread.example/damaskspread/wire"

// Group is the tasks of one step of one occurrence that wait for a run.
type Group struct {
	job        *Job
	occurrence int
	step       int
	tasks      []*Task
	all        []*Task
}

// Job is the job of the tasks.
func (g *Group) Job() *Job { return g.job }

// Step describes the tasks.
func (g *Group) Step() *wire.JobStep { return g.job.job.GetSteps()[g.step] }

// StepIndex is the position of the step in the job.
func (g *Group) StepIndex() int { return g.step }

// Occurrence is the repetition of the job that the tasks belong to.
func (g *Group) Occurrence() int { return g.occurrence }

// Tasks are the waiting tasks.
func (g *Group) Tasks() []*Task { return g.tasks }

// All are all tasks of the step in this occurrence.
func (g *Group) All() []*Task { return g.all }

// Name identifies the step of the occurrence.
func (g *Group) Name() string { return g.all[0].GroupName() }

// NextRun is the run number that tasks of a gang share.
func (g *Group) NextRun() int32 {
	run := int32(0)
	for _, t := range g.all {
		run = max(run, t.run)
	}
	return run + 1
}

// Group returns the step of the task's occurrence, with the task as the only
// one that waits.
func (t *Task) Group() *Group {
	return &Group{
		job:        t.job,
		occurrence: t.id.Occurrence,
		step:       t.id.Step,
		tasks:      []*Task{t},
		all:        t.siblings(),
	}
}

// Ready returns the tasks that may start at a time of day.
func (j *Job) Ready(nowUnixMs int64) []*Group {
	if j.Over() {
		return nil
	}
	var groups []*Group
	for _, o := range j.occurrences {
		if !j.due(o, nowUnixMs) {
			break
		}
		groups = j.readySteps(o, groups)
	}
	return groups
}

func (j *Job) due(o *Occurrence, nowUnixMs int64) bool {
	if j.job.GetRepeatCount() <= 0 {
		return true
	}
	return nowUnixMs >= j.job.GetFirstStartUnixMs()+int64(o.index)*j.job.GetIntervalMs()
}

func (j *Job) readySteps(o *Occurrence, groups []*Group) []*Group {
	for s, tasks := range o.steps {
		if !o.unblocked(j.job.GetSteps()[s]) {
			continue
		}
		group := &Group{
			job:        j,
			occurrence: o.index,
			step:       s,
			all:        tasks,
		}
		for _, t := range tasks {
			if t.Pending() {
				group.tasks = append(group.tasks, t)
			}
		}
		if len(group.tasks) > 0 {
			groups = append(groups, group)
		}
	}
	return groups
}

func (o *Occurrence) unblocked(step *wire.JobStep) bool {
	for _, earlier := range step.GetAfter() {
		if !o.stepDone(int(earlier)) {
			return false
		}
	}
	return true
}
