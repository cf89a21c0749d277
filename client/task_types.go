package client

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	Millicores   int64 `json:"millicores"`
	MemoryBytes  int64 `json:"memory_bytes"`
	Accelerators int64 `json:"accelerators"`
}

// TaskRequest submits a task. Fields for which the section of the task's kind
// declares a value may be left empty.
type TaskRequest struct {
	Task               string            `json:"task,omitempty"`
	Team               string            `json:"team"`
	Kind               string            `json:"kind"`
	Class              string            `json:"class,omitempty"`
	Resources          Resources         `json:"resources"`
	ExpectedDurationMs int64             `json:"expected_duration_ms,omitempty"`
	MaxWaitMs          int64             `json:"max_wait_ms,omitempty"`
	CanCheckpoint      bool              `json:"can_checkpoint,omitempty"`
	Zones              []string          `json:"zones,omitempty"`
	Parameters         map[string]string `json:"parameters,omitempty"`
}

// Task is a task with its state.
type Task struct {
	TaskRequest
	Phase             string   `json:"phase"`
	Attempt           int32    `json:"attempt"`
	Host              string   `json:"host,omitempty"`
	Result            string   `json:"result,omitempty"`
	Detail            string   `json:"detail,omitempty"`
	Reason            string   `json:"reason,omitempty"`
	Checkpoint        string   `json:"checkpoint,omitempty"`
	CancelRequested   bool     `json:"cancel_requested"`
	EvictionRequested bool     `json:"eviction_requested"`
	Evictions         int32    `json:"evictions"`
	Failures          int32    `json:"failures"`
	Submitted         Position `json:"submitted"`
	SubmittedUnixMs   int64    `json:"submitted_unix_ms"`
	PhaseUnixMs       int64    `json:"phase_unix_ms"`
	// Replayed is set if the idempotency key was already known, so that the
	// request submitted nothing.
	Replayed bool `json:"replayed,omitempty"`
}

// TaskFilter selects tasks. An empty string selects all; a Limit of 0 leaves the
// page size to the server.
type TaskFilter struct {
	Team, Kind, Phase, Host string
	// After is the Next of the previous page; empty for the first page.
	After string
	Limit int
}

// TaskList is one page of tasks, ordered by ID. Total counts the tasks of all
// pages. Next is empty on the last page.
type TaskList struct {
	Tasks []Task `json:"tasks"`
	Total int    `json:"total"`
	Next  string `json:"next,omitempty"`
}

// Decision is the scheduler's latest decision on a task.
type Decision struct {
	// Reason says why the task runs where it does or what it waits for.
	Reason string `json:"reason"`
	// Binding is the constraint that a pending task waits for, if one is known.
	Binding string `json:"binding,omitempty"`
	// Never is set if no known host could hold the task even without other
	// tasks, or if the task alone exceeds the quota of its team.
	Never bool `json:"never"`
	// Owned is false if another entry process places the task; that process
	// knows more about the decision.
	Owned bool `json:"owned"`
	// StartBeforeUnixMs is the end of the task's maximum wait.
	StartBeforeUnixMs int64 `json:"start_before_unix_ms"`
}

// Explanation is a task with the scheduler's decision on it. Decision is nil while
// the scheduler of the entry process does not know the task.
type Explanation struct {
	Task     Task      `json:"task"`
	Decision *Decision `json:"decision"`
}
