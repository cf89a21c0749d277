package tracker

import "damaskspread.example/damaskspread/wire"

// Assignments holds the assigned tasks of several jobs by executor. The jobs keep
// it up to date. The zero value is empty. It is not safe for concurrent use.
type Assignments struct {
	byExecutor map[ExecutorKey][]*Task
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

// stepCounts counts the tasks of a step by state. The others are pending.
type stepCounts struct {
	assigned, done int
}

func (c *stepCounts) add(state wire.JobTaskState, change int) {
	switch state {
	case wire.JobTaskState_JOB_TASK_STATE_ASSIGNED:
		c.assigned += change
	case wire.JobTaskState_JOB_TASK_STATE_DONE:
		c.done += change
	}
}

// setState changes the state of the task and its executor, which is zero unless the
// task is assigned, and updates the counts and indexes of both.
func (t *Task) setState(state wire.JobTaskState, executor ExecutorKey) {
	counts := t.counts()
	if t.Assigned() {
		t.job.assignments.remove(t)
		t.job.assigned--
	}
	counts.add(t.state, -1)
	t.state = state
	t.executor = executor
	counts.add(t.state, 1)
	if t.Assigned() {
		t.job.assignments.insert(t)
		t.job.assigned++
	}
}

func (t *Task) counts() *stepCounts { return &t.job.occurrences[t.id.Occurrence].counts[t.id.Step] }
