package tracker

import "damaskspread.example/damaskspread/wire"

// Assignments holds the assigned tasks of several jobs by executor. The jobs keep
// it up to date. The zero value is empty. It is not safe for concurrent use.
type Assignments struct {
	byExecutor map[ExecutorKey][]*Task
	// Responds reports whether an executor responds; with nil all do. The tasks of others
	// may be away, although they stay assigned until the leases there are over.
	Responds func(executor ExecutorKey) bool
}

func (a *Assignments) responds(executor ExecutorKey) bool {
	return a == nil || a.Responds == nil || a.Responds(executor)
}

// On returns the tasks that are assigned to an executor, in no particular order.
// Changes of tasks change the slice.
func (a *Assignments) On(executor ExecutorKey) []*Task { return a.byExecutor[executor] }

// Add makes the job keep its assigned tasks in a.
func (a *Assignments) Add(j *Job) {
	j.assignments = a
	j.EachTask(func(t *Task) {
		if t.Assigned() {
			a.insert(t)
		}
	})
}

func (a *Assignments) insert(t *Task) {
	if a == nil {
		return
	}
	if a.byExecutor == nil {
		a.byExecutor = map[ExecutorKey][]*Task{}
	}
	t.position = len(a.byExecutor[t.executor])
	a.byExecutor[t.executor] = append(a.byExecutor[t.executor], t)
}

// remove moves the executor's last task to the position of t.
func (a *Assignments) remove(t *Task) {
	if a == nil {
		return
	}
	tasks := a.byExecutor[t.executor]
	last := tasks[len(tasks)-1]
	tasks[t.position] = last
	last.position = t.position
	tasks[len(tasks)-1] = nil
	tasks = tasks[:len(tasks)-1]
	if len(tasks) == 0 {
		delete(a.byExecutor, t.executor)
		return
	}
	a.byExecutor[t.executor] = tasks
}

// setState changes the state of the task and its executor, which is zero unless the
// task is assigned, and updates the counts and indexes of both.
func (t *Task) setState(state wire.JobTaskState, executor ExecutorKey) {
	job := t.Job()
	if t.Assigned() {
		job.assignments.remove(t)
		job.assigned--
	}
	t.step.add(t.state, -1)
	t.state = state
	t.executor = executor
	t.step.add(t.state, 1)
	if t.Assigned() {
		job.assignments.insert(t)
		job.assigned++
	}
	if t.step.done == t.step.size() {
		t.step.finish()
	}
}
