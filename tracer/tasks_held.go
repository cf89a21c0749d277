package tracer

// HoldReason says why the leader plans no start of tasks that are ready.
type HoldReason string

// Values of HoldReason.
const (
	// HoldUndecoded means that stored progress of the job can't be decoded: runs of an
	// earlier leader may be in progress.
	HoldUndecoded HoldReason = "progress_undecoded"
	// HoldRejected means that the log rejects the progress of the job.
	HoldRejected HoldReason = "progress_rejected"
	// HoldOlderRun means that an older run of the task is in progress.
	HoldOlderRun HoldReason = "older_run"
	// HoldRecovery means that the log was unavailable until lately and the job can't be in
	// time any more: callers that were refused meanwhile return and find room.
	HoldRecovery HoldReason = "outage_recovery"
)

// TasksHeld means that ready tasks of a job are left out of the plan.
type TasksHeld struct {
	Job    string       `json:"job"`
	Reason HoldReason   `json:"reason"`
	Waited Milliseconds `json:"waited_ms"`
	Epoch  int64        `json:"epoch"`
	// Left is the time until the hold ends by itself; 0 if it doesn't.
	Left Milliseconds `json:"left_ms,omitempty"`
	// Step has the tasks that recovery holds back, and Tasks is their number. Outage is
	// how long the log was unavailable.
	Step   string       `json:"step,omitempty"`
	Tasks  int          `json:"tasks,omitempty"`
	Outage Milliseconds `json:"outage_ms,omitempty"`
	// Task, Run, Executor and Born are those of the older run.
	Task     string `json:"task,omitempty"`
	Run      int32  `json:"run,omitempty"`
	Executor string `json:"executor,omitempty"`
	Born     int64  `json:"born,omitempty"`
}

func (*TasksHeld) kind() Kind    { return KindTasksHeld }
func (e *TasksHeld) job() string { return e.Job }
