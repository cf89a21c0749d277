package tracker

import (
	"iter"
	"strconv"

	"damaskspread.example/damaskspread/wire"
)

// occurrence is one scheduled repetition of a job of which a step was ready.
type occurrence struct {
	job   *Job
	index int
	// steps are nil before the step was ready, and doneStep once all its tasks are done.
	steps []*stepState
}

// stepState is the state of one step in one occurrence.
type stepState struct {
	occurrence *occurrence
	index      int
	groupName  string
	// tasks are nil before they are first needed: the tasks of a step that never ran are
	// alike. The slice is nil before the first of them.
	tasks []*Task
	// assigned and done are numbers of tasks. The others are pending.
	assigned, done int
	// begun is set once a task of the step has had a run.
	begun bool
	// checkpoint is that of a gang, whose members all resume from the same one.
	checkpoint string
	wait       stepWait
}

// doneOccurrence and doneStep stand for those that are done, which need no state.
var (
	doneOccurrence = &occurrence{}
	doneStep       = &stepState{}
)

// openOccurrence returns the occurrence with the given index, which is not done.
func (j *Job) openOccurrence(index int) *occurrence {
	if j.occurrences[index] == nil {
		j.occurrences[index] = &occurrence{
			job:   j,
			index: index,
			steps: make([]*stepState, len(j.spec.GetSteps())),
		}
	}
	return j.occurrences[index]
}

// openStep returns a step, which is not done.
func (j *Job) openStep(occurrence, step int) *stepState {
	o := j.openOccurrence(occurrence)
	if o.steps[step] == nil {
		o.steps[step] = &stepState{
			occurrence: o,
			index:      step,
			groupName:  groupName(j.spec.GetId(), occurrence, step),
		}
	}
	return o.steps[step]
}

func groupName(job string, occurrence, step int) string {
	return job + "." + strconv.Itoa(occurrence) + "." + strconv.Itoa(step)
}

// step returns the state of a step: nil if it was never ready, doneStep if it is done.
func (j *Job) step(occurrence, step int) *stepState {
	o := j.occurrences[occurrence]
	switch {
	case o == doneOccurrence || j.stepSize(step) == 0:
		return doneStep
	case o == nil:
		return nil
	default:
		return o.steps[step]
	}
}

func (j *Job) stepDone(occurrence, step int) bool { return j.step(occurrence, step) == doneStep }

// pending returns the number of tasks of a step that wait for a run.
func (j *Job) pending(occurrence, step int) int {
	switch state := j.step(occurrence, step); state {
	case nil:
		return j.stepSize(step)
	case doneStep:
		return 0
	default:
		return state.pending()
	}
}

func (s *stepState) job() *Job { return s.occurrence.job }

func (s *stepState) spec() *wire.JobStep { return s.job().spec.GetSteps()[s.index] }

func (s *stepState) size() int { return s.job().stepSize(s.index) }

func (s *stepState) pending() int { return s.size() - s.assigned - s.done }

// task returns the task with the given index.
func (s *stepState) task(index int) *Task {
	if s.tasks == nil {
		s.tasks = make([]*Task, s.size())
	}
	if s.tasks[index] == nil {
		s.tasks[index] = &Task{
			step:  s,
			index: index,
		}
	}
	return s.tasks[index]
}

// isPending reports whether the task with the given index waits for a run. All tasks of a
// step without a state do.
func (s *stepState) isPending(index int) bool {
	return s == nil || s.tasks == nil || s.tasks[index] == nil || s.tasks[index].Pending()
}

// known iterates over the tasks that were needed so far. All others are pending and never
// had a run.
func (s *stepState) known() iter.Seq[*Task] {
	return func(yield func(*Task) bool) {
		for _, t := range s.tasks {
			if t != nil && !yield(t) {
				return
			}
		}
	}
}

// add changes the number of tasks in a state.
func (s *stepState) add(state wire.JobTaskState, change int) {
	switch state {
	case wire.JobTaskState_JOB_TASK_STATE_ASSIGNED:
		s.assigned += change
	case wire.JobTaskState_JOB_TASK_STATE_DONE:
		s.done += change
	}
}

// finish frees the state of a step that is done, and that of its occurrence once all steps
// are done.
func (s *stepState) finish() {
	o := s.occurrence
	if o.steps[s.index] == doneStep {
		return
	}
	o.steps[s.index] = doneStep
	o.job.doneGroups = append(o.job.doneGroups, s.groupName)
	for step := range o.steps {
		if !o.job.stepDone(o.index, step) {
			return
		}
	}
	o.job.finishOccurrence(o.index)
}

func (j *Job) finishOccurrence(index int) {
	j.occurrences[index] = doneOccurrence
	j.doneOccurrences++
	for j.firstOpen < len(j.occurrences) && j.occurrences[j.firstOpen] == doneOccurrence {
		j.firstOpen++
	}
}

// Task returns the task with the given indexes, or nil if there is none. It
// ignores id.Job. A task of a step that is done has no run.
func (j *Job) Task(id TaskID) *Task {
	if id.Occurrence >= len(j.occurrences) || id.Step >= len(j.spec.GetSteps()) || id.Index >= j.stepSize(id.Step) {
		return nil
	}
	if j.stepDone(id.Occurrence, id.Step) {
		return j.doneTask(id)
	}
	return j.openStep(id.Occurrence, id.Step).task(id.Index)
}

// doneTask returns a task of a step whose state was freed.
func (j *Job) doneTask(id TaskID) *Task {
	o := &occurrence{
		job:   j,
		index: id.Occurrence,
	}
	return &Task{
		step: &stepState{
			occurrence: o,
			index:      id.Step,
			groupName:  groupName(j.spec.GetId(), id.Occurrence, id.Step),
			done:       j.stepSize(id.Step),
		},
		index: id.Index,
		state: wire.JobTaskState_JOB_TASK_STATE_DONE,
	}
}

// eachOpenStep calls visit for each step that has a state.
func (j *Job) eachOpenStep(visit func(*stepState)) {
	for _, o := range j.occurrences[j.firstOpen:] {
		if o == nil || o == doneOccurrence {
			continue
		}
		for _, state := range o.steps {
			if state != nil && state != doneStep {
				visit(state)
			}
		}
	}
}

// EachTask calls visit for the tasks that were needed so far, without those of steps that
// are done. All others are pending and never had a run, or are done.
func (j *Job) EachTask(visit func(*Task)) {
	j.eachOpenStep(func(state *stepState) {
		for t := range state.known() {
			visit(t)
		}
	})
}

// GroupNames returns the names of the groups that were ready and are not done.
func (j *Job) GroupNames() []string {
	var names []string
	j.eachOpenStep(func(state *stepState) { names = append(names, state.groupName) })
	return names
}

// TakeDoneGroups returns the names of the groups that were done since the last call.
func (j *Job) TakeDoneGroups() []string {
	names := j.doneGroups
	j.doneGroups = nil
	return names
}
