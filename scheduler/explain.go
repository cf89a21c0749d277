package scheduler

import (
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

// Explanation describes where a task is and why.
type Explanation struct {
	Task    string
	Phase   wire.TaskPhase
	Attempt int32
	// Host is the task's host in the replayed state, or empty.
	Host string
	// Reason is a sentence for operators: why the host was chosen, why the task
	// waits, or how it ended.
	Reason string
	// Binding is the binding constraint: the one that keeps a pending task waiting.
	// It is empty if none is known.
	Binding damaskspread.Binding
	// Never is set if no known host could hold the task, even when empty.
	Never bool
	// Owned is false if another entry process schedules the task. Only that process
	// knows why the task waits.
	Owned bool
	// Deadline is when the task becomes overdue.
	Deadline time.Time
}

// Explain returns where a task is and why, from the planner and the state. The
// second result is false if the task is unknown.
func (p *Planner) Explain(s *replayer.State, id string) (Explanation, bool) {
	p.ensureInitialized()
	state, ok := s.Task(id)
	if !ok {
		return Explanation{}, false
	}
	e := Explanation{
		Task:     id,
		Phase:    state.GetPhase(),
		Attempt:  state.GetAttempt(),
		Host:     state.GetHost(),
		Reason:   state.GetReason(),
		Owned:    p.OwnsTask(state.GetSpec()),
		Deadline: deadlineOf(state.GetSpec()),
	}
	if state.GetPhase() == wire.TaskPhase_TASK_PHASE_FINISHED {
		e.Reason = state.GetDetail()
		return e, true
	}
	task := p.pending[id]
	if state.GetPhase() != wire.TaskPhase_TASK_PHASE_PENDING || task == nil {
		return e, true
	}
	e.Reason = pendingReason(task)
	if task.refusal != nil {
		e.Binding, e.Never = task.refusal.Binding, task.refusal.Never
	}
	return e, true
}

func pendingReason(task *pendingTask) string {
	switch {
	case task.state == notOwned:
		return "another entry places this task"
	case task.state == claimed:
		return "claimed on " + task.host + ", not yet in the log: " + task.claimReason
	case task.state == delayed:
		return "the latest claim had no effect; retrying after a back-off"
	case task.state == reserved:
		return "waiting for reserved capacity on a host to become free"
	case task.refusal != nil:
		return task.refusal.Error()
	}
	return "queued behind tasks of a higher class or of teams with a smaller share"
}
