package tracker

import (
	"slices"
	"time"

	"damaskspread.example/damaskspread/wire"
)

// Group holds the tasks of one step in one occurrence that wait for a run. It is
// a snapshot: later changes of the tasks don't change the group.
type Group struct {
	job        *Job
	occurrence int
	step       int
	// The waiting tasks.
	tasks    []*Task
	allTasks []*Task
	waited   time.Duration
}

// Job returns the job of the tasks.
func (g *Group) Job() *Job { return g.job }

// Step returns the specification of the tasks.
func (g *Group) Step() *wire.JobStep { return g.job.spec.GetSteps()[g.step] }

// StepIndex returns the index of the step in the job, from 0.
func (g *Group) StepIndex() int { return g.step }

// Occurrence returns the index of the tasks' occurrence, from 0.
func (g *Group) Occurrence() int { return g.occurrence }

// Tasks returns only the tasks that waited for a run when the group was made.
func (g *Group) Tasks() []*Task { return g.tasks }

// All returns all tasks of the step in this occurrence, whatever their state.
func (g *Group) All() []*Task { return g.allTasks }

// Name returns "JOB.OCCURRENCE.STEP", which identifies the group.
func (g *Group) Name() string { return g.allTasks[0].GroupName() }

// Without returns the group without the tasks with the given names, or nil if none of
// its tasks is left. Of a gang, which starts as a whole, none is left without any one.
func (g *Group) Without(names map[string]bool) *Group {
	rest := *g
	rest.tasks = slices.DeleteFunc(slices.Clone(g.tasks), func(t *Task) bool { return names[t.id.String()] })
	if len(rest.tasks) == 0 || g.Step().GetGang() && len(rest.tasks) < len(g.tasks) {
		return nil
	}
	return &rest
}

// NextRun returns the run number for the next start of a gang, which all its
// tasks share.
func (g *Group) NextRun() int32 {
	run := int32(0)
	for _, t := range g.allTasks {
		run = max(run, t.run)
	}
	return run + 1
}

// GroupNames returns the names of all groups of the job.
func (j *Job) GroupNames() []string {
	var names []string
	for _, o := range j.occurrences {
		for _, tasks := range o.steps {
			if len(tasks) > 0 {
				names = append(names, tasks[0].groupName)
			}
		}
	}
	return names
}

// Group returns the group of the task. Its Tasks returns this task only, whatever
// the task's state.
func (t *Task) Group() *Group {
	return &Group{
		job:        t.job,
		occurrence: t.id.Occurrence,
		step:       t.id.Step,
		tasks:      []*Task{t},
		allTasks:   t.siblings(),
	}
}

// MayBeStopped reports whether the step of a running task tolerates that it is
// stopped at now. A step with max_unavailable does while fewer of its other tasks
// are not at work. A task that was assigned less than startup ago may not be yet.
func (t *Task) MayBeStopped(now, startup time.Duration) bool {
	limit := int(t.Step().GetMaxUnavailable())
	if limit <= 0 {
		return true
	}
	unavailable := 0
	for _, other := range t.siblings() {
		starting := other.assignedAt > 0 && now-other.assignedAt < startup
		if other != t && (!other.Assigned() || other.Stopping() || starting) {
			unavailable++
		}
	}
	return unavailable < limit
}

// Ready returns the tasks that may start at nowUnixMs: their occurrence is due
// and the steps before theirs are done.
func (j *Job) Ready(nowUnixMs int64) []*Group {
	if j.Over() {
		return nil
	}
	var groups []*Group
	for _, o := range j.occurrences {
		if !j.due(o, nowUnixMs) {
			break
		}
		groups = j.appendReady(o, groups)
	}
	return groups
}

func (j *Job) due(o *Occurrence, nowUnixMs int64) bool {
	if j.spec.GetRepeatCount() <= 0 {
		return true
	}
	return nowUnixMs >= j.spec.GetFirstStartUnixMs()+int64(o.index)*j.spec.GetIntervalMs()
}

// appendReady appends the groups of an occurrence that have tasks to start.
func (j *Job) appendReady(o *Occurrence, groups []*Group) []*Group {
	for s, tasks := range o.steps {
		if o.pending(s) == 0 || !o.dependenciesDone(j.spec.GetSteps()[s]) {
			continue
		}
		group := &Group{
			job:        j,
			occurrence: o.index,
			step:       s,
			allTasks:   tasks,
			tasks:      make([]*Task, 0, o.pending(s)),
		}
		for _, t := range tasks {
			if t.Pending() {
				group.tasks = append(group.tasks, t)
			}
		}
		groups = append(groups, group)
	}
	return groups
}

func (o *Occurrence) pending(step int) int {
	return len(o.steps[step]) - o.counts[step].assigned - o.counts[step].done
}

func (o *Occurrence) dependenciesDone(step *wire.JobStep) bool {
	for _, earlier := range step.GetAfter() {
		if !o.stepDone(int(earlier)) {
			return false
		}
	}
	return true
}
