package scheduler

import (
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

// Explanation says where a task is and why.
type Explanation struct {
	Task    string
	Phase   wire.TaskPhase
	Attempt int32
	Host    string
	Reason  string
	// Binding is the constraint that a pending task waits for, if one is known.
	Binding damaskspread.Binding
	// Never is set if no known host could hold the task.
	Never bool
	// Owned is false if another entry places the task and knows more.
	Owned    bool
	Deadline time.Time
}

// Explain returns what the planner and the state know about a task. The second
// result is false for an unknown task.
func (p *Planner) Explain(s *replayer.State, id string) (Explanation, bool) {
	p.reset()
	task, ok := s.Task(id)
	if !ok {
		return Explanation{}, false
	}
	e := Explanation{
		Task:     id,
		Phase:    task.GetPhase(),
		Attempt:  task.GetAttempt(),
		Host:     task.GetHost(),
		Reason:   task.GetReason(),
		Owned:    p.Owned(task.GetSpec()),
		Deadline: deadlineOf(task.GetSpec()),
	}
	if task.GetPhase() == wire.TaskPhase_TASK_PHASE_FINISHED {
		e.Reason = task.GetDetail()
		return e, true
	}
	i := p.pending[id]
	if task.GetPhase() != wire.TaskPhase_TASK_PHASE_PENDING || i == nil {
		return e, true
	}
	e.Reason = pendingReason(i)
	if i.refusal != nil {
		e.Binding, e.Never = i.refusal.Binding, i.refusal.Never
	}
	return e, true
}

func pendingReason(i *item) string {
	switch {
	case i.location == foreign:
		return "another entry places this task"
	case i.location == claimed:
		return "claimed on " + i.host + ", not yet in the log: " + i.chosen
	case i.location == delayed:
		return "the latest claim had no effect; the next try follows a pause"
	case i.location == reserved:
		return "room on a host is being made for this task"
	case i.refusal != nil:
		return i.refusal.Error()
	}
	return "waits behind tasks of a higher class or of teams with a smaller share"
}
