package tracker

import (
	"iter"
	"time"

	"damaskspread.example/damaskspread/wire"
)

// Group is a step in one occurrence with tasks that wait for a run.
type Group struct {
	job        *Job
	occurrence int
	step       int
	// excluded has the indexes of waiting tasks that Without has taken out.
	excluded map[int]bool
	// limit is the largest number of waiting tasks; 0 means that there is none.
	limit  int
	waited time.Duration
}

func (j *Job) group(occurrence, step int) *Group {
	return &Group{
		job:        j,
		occurrence: occurrence,
		step:       step,
	}
}

// Job returns the job of the tasks.
func (g *Group) Job() *Job { return g.job }

// Step returns the specification of the tasks.
func (g *Group) Step() *wire.JobStep { return g.job.spec.GetSteps()[g.step] }

// StepIndex returns the index of the step in the job, from 0.
func (g *Group) StepIndex() int { return g.step }

// Occurrence returns the index of the tasks' occurrence, from 0.
func (g *Group) Occurrence() int { return g.occurrence }

// Size returns the number of tasks of the step, whatever their state.
func (g *Group) Size() int { return g.job.stepSize(g.step) }

// Pending returns the number of tasks that wait for a run now.
func (g *Group) Pending() int {
	pending := g.job.pending(g.occurrence, g.step) - len(g.excluded)
	if g.limit > 0 {
		return min(pending, g.limit)
	}
	return pending
}

// Done returns the number of tasks of a step that is not done yet that are done.
func (g *Group) Done() int {
	if state := g.state(); state != nil {
		return state.done
	}
	return 0
}

// Name returns "JOB.OCCURRENCE.STEP", which identifies the group.
func (g *Group) Name() string {
	if state := g.state(); state != nil {
		return state.groupName
	}
	return groupName(g.job.spec.GetId(), g.occurrence, g.step)
}

// state returns the state of the step, nil before it is ready and once it is done.
func (g *Group) state() *stepState {
	if state := g.job.step(g.occurrence, g.step); state != doneStep {
		return state
	}
	return nil
}

// EachPending iterates over the tasks that wait for a run. Tasks that never had one take
// memory only once the iteration has reached them.
func (g *Group) EachPending() iter.Seq[*Task] {
	return func(yield func(*Task) bool) {
		left := g.Pending()
		if left == 0 {
			return
		}
		state := g.job.openStep(g.occurrence, g.step)
		for i := 0; i < state.size() && left > 0; i++ {
			if g.excluded[i] || !state.isPending(i) {
				continue
			}
			if !yield(state.task(i)) {
				return
			}
			left--
		}
	}
}

// EachKnownPending iterates over the waiting tasks that had a run, and some that had none.
func (g *Group) EachKnownPending() iter.Seq[*Task] {
	return func(yield func(*Task) bool) {
		left := g.Pending()
		for t := range g.eachKnown(func(t *Task) bool { return t.Pending() && !g.excluded[t.index] }) {
			if left == 0 || !yield(t) {
				return
			}
			left--
		}
	}
}

// EachAssigned iterates over the tasks that are assigned.
func (g *Group) EachAssigned() iter.Seq[*Task] { return g.eachKnown((*Task).Assigned) }

// eachKnown iterates over the tasks of the step that were needed so far and are accepted.
func (g *Group) eachKnown(accept func(*Task) bool) iter.Seq[*Task] {
	return func(yield func(*Task) bool) {
		state := g.state()
		if state == nil {
			return
		}
		for t := range state.known() {
			if accept(t) && !yield(t) {
				return
			}
		}
	}
}

// First returns the first task that waits for a run, nil if there is none.
func (g *Group) First() *Task {
	for t := range g.EachPending() {
		return t
	}
	return nil
}

// Without returns the group without the tasks with the given names, or nil if none of
// its tasks is left. Of a gang, which starts as a whole, none is left without any one.
func (g *Group) Without(names map[string]bool) *Group {
	rest := *g
	rest.excluded = map[int]bool{}
	for name := range names {
		if GroupOf(name) != g.Name() {
			continue
		}
		id, err := ParseTaskID(name)
		if err == nil && id.Index < g.Size() && g.state().isPending(id.Index) {
			rest.excluded[id.Index] = true
		}
	}
	if rest.Pending() == 0 || g.Step().GetGang() && len(rest.excluded) > 0 {
		return nil
	}
	return &rest
}

// AtMost returns the group with at most limit of its waiting tasks, or nil if none is
// left. Of a gang, which starts as a whole, either all are left or none.
func (g *Group) AtMost(limit int) *Group {
	if limit >= g.Pending() {
		return g
	}
	if limit <= 0 || g.Step().GetGang() {
		return nil
	}
	fewer := *g
	fewer.limit = limit
	return &fewer
}

// Limited reports whether AtMost has held tasks of the group back.
func (g *Group) Limited() bool { return g.limit > 0 }

// NextRun returns the run number for the next start of a gang, which all its
// tasks share.
func (g *Group) NextRun() int32 {
	run := int32(0)
	if state := g.state(); state != nil {
		for t := range state.known() {
			run = max(run, t.run)
		}
	}
	return run + 1
}

// Group returns the group of the task, whatever its state.
func (t *Task) Group() *Group { return t.Job().group(t.step.occurrence.index, t.step.index) }
