package tracer

// TaskAssigned means that the leader assigned a run of a task to a host. The
// ages are those of the state that the decision is based on.
type TaskAssigned struct {
	Job           string       `json:"job"`
	Task          string       `json:"task"`
	Run           int32        `json:"run"`
	Host          string       `json:"host"`
	Executor      string       `json:"executor"`
	Born          int64        `json:"born"`
	Session       string       `json:"session"`
	Epoch         int64        `json:"epoch"`
	ConfigVersion int64        `json:"config_version"`
	ConfigAge     Milliseconds `json:"config_age_ms"`
	JobsAge       Milliseconds `json:"jobs_age_ms"`
}

// TasksWaiting means that tasks of a step wait for a host. Obstacles counts the
// hosts by the reason why they cannot take a task.
type TasksWaiting struct {
	Job       string         `json:"job"`
	Step      string         `json:"step"`
	Tasks     int            `json:"tasks"`
	Waited    Milliseconds   `json:"waited_ms"`
	Epoch     int64          `json:"epoch"`
	Obstacles map[string]int `json:"obstacles"`
	// Cost is set if steps are ordered by their cost of waiting. First is then the
	// step of the service that was started first in the latest cycle with a start.
	Cost  *WaitCost `json:"cost,omitempty"`
	First *WaitCost `json:"first,omitempty"`
}

// WaitCost is the cost of waiting of a step, with its inputs: the priority of its
// queue, the slack of its job (negative if late) and the core-seconds that the job
// still needs. Steps start by class and amount; see planner.Cost.
type WaitCost struct {
	Step     string       `json:"step"`
	Priority int32        `json:"priority"`
	Class    string       `json:"class"`
	Amount   float64      `json:"amount"`
	Slack    Milliseconds `json:"slack_ms"`
	Work     float64      `json:"core_s"`
}

// StartRepeated means that the leader sends a start order again because the
// agent of the host does not list the run.
type StartRepeated struct {
	Job  string `json:"job"`
	Task string `json:"task"`
	Run  int32  `json:"run"`
	Host string `json:"host"`
}

// StopReason says why a run is stopped.
type StopReason string

// Values of StopReason.
const (
	// StopJobOver: the job succeeded, failed or was canceled.
	StopJobOver StopReason = "job_over"
	// StopPreempted: the run is preempted to free capacity for another task.
	StopPreempted StopReason = "room_for_urgent"
	// StopSlowRun: the best-effort run has been too slow for some time, and
	// another host would run the task faster.
	StopSlowRun StopReason = "slow_moves"
	// StopDraining: the executor ends soon.
	StopDraining StopReason = "executor_leaves"
	// StopNotAssigned: the leader did not assign this run to the executor.
	StopNotAssigned StopReason = "not_assigned"
	// StopCopyDone: the speculative copy of the run is done.
	StopCopyDone StopReason = "copy_done"
	// StopCopyYields: a task that no run was started for waits for the room of the
	// speculative copy.
	StopCopyYields StopReason = "copy_yields"
	// StopRepeated: an earlier session of the agent had an order to stop the run.
	StopRepeated StopReason = "repeated"
	// StopRefused: the agent stops the run by itself because it refuses the order
	// and an earlier call may have started the run.
	StopRefused StopReason = "start_refused"
	// StopNotPermitted: the start was ordered, perhaps by an earlier leader, and the task
	// may not start on the host any more.
	StopNotPermitted StopReason = "start_not_permitted"
)

// StopOrdered means that a run is to be stopped.
type StopOrdered struct {
	Job    string     `json:"job"`
	Task   string     `json:"task"`
	Run    int32      `json:"run"`
	Host   string     `json:"host"`
	Reason StopReason `json:"reason"`
	// For is the task that preempts this one, if Reason is StopPreempted.
	For string `json:"for,omitempty"`
	// Millicores is the processor use of the run, if Reason is StopSlowRun.
	Millicores int64 `json:"millicores,omitempty"`
	// Refusal is the reason for which the start is refused, if Reason is StopRefused.
	Refusal string `json:"refusal,omitempty"`
	// Obstacle is what keeps the task from starting, if Reason is StopNotPermitted.
	Obstacle string `json:"obstacle,omitempty"`
	// Executor, Born and Session name the executor of the run, Session is empty for
	// stops that the agent orders.
	Executor string `json:"executor,omitempty"`
	Born     int64  `json:"born,omitempty"`
	Session  string `json:"session,omitempty"`
	// Latest is the latest run of the task if Reason is StopNotAssigned, LatestState
	// its state, and LatestExecutor and LatestBorn the executor to which it is
	// assigned. They are empty if the job is not open.
	Latest         int32  `json:"latest_run,omitempty"`
	LatestState    string `json:"latest_state,omitempty"`
	LatestExecutor string `json:"latest_executor,omitempty"`
	LatestBorn     int64  `json:"latest_born,omitempty"`
}

// RunEnded means that the end of a run is recorded in the job's progress.
type RunEnded struct {
	Job   string `json:"job"`
	Task  string `json:"task"`
	Run   int32  `json:"run"`
	Host  string `json:"host"`
	Cause string `json:"cause"`
	// Failures counts the failed runs of the task so far.
	Failures int32 `json:"failures"`
	// Executor, Born and Session name the incarnation that listed the end.
	Executor string `json:"executor"`
	Born     int64  `json:"born"`
	Session  string `json:"session"`
}

// RunLost means that a run no longer exists because its executor has certainly
// ended.
type RunLost struct {
	Job      string `json:"job"`
	Task     string `json:"task"`
	Run      int32  `json:"run"`
	Host     string `json:"host"`
	Executor string `json:"executor"`
	Born     int64  `json:"born"`
	// Session is that of the executor, empty if it had none with this leader.
	Session string    `json:"session,omitempty"`
	Cause   LossCause `json:"cause"`
	// ReplacedBy is the session of the executor that replaced this one, if Cause is
	// LossReplaced.
	ReplacedBy string `json:"replaced_by,omitempty"`
}

// RunAdopted means that the leader found the latest run of a task in progress on an
// executor to which it was not assigned, and assigned it.
type RunAdopted struct {
	Job      string `json:"job"`
	Task     string `json:"task"`
	Run      int32  `json:"run"`
	Host     string `json:"host"`
	Executor string `json:"executor"`
	Born     int64  `json:"born"`
	Session  string `json:"session"`
	// From and FromBorn name the executor to which the run was assigned before,
	// empty if it was considered over.
	From     string `json:"from,omitempty"`
	FromBorn int64  `json:"from_born,omitempty"`
}

// CrashCounted means that an executor crashed shortly after it had started the
// run, so that the task is suspected to be the cause.
type CrashCounted struct {
	Job  string `json:"job"`
	Task string `json:"task"`
	Run  int32  `json:"run"`
	Host string `json:"host"`
	// Crashes counts the crashes under the task so far, for a gang under all its
	// members.
	Crashes int32 `json:"crashes"`
	// Unreported is set if no crash was reported and the run counts as one of the
	// limited starts only.
	Unreported bool `json:"unreported,omitempty"`
	// Chance is the probability of such a crash by chance, as other executors of the
	// service have crashed lately. ByChance is that of all crashes under the task.
	Chance   float64 `json:"chance"`
	ByChance float64 `json:"by_chance"`
	// StartsLeft is how often the task may be started yet; nil if that is not limited.
	StartsLeft *int32 `json:"starts_left,omitempty"`
	// Verdict is the conclusion: undecided, improbable_by_chance or starts_used_up.
	Verdict string `json:"verdict"`
	// GivenUp is set if the task is not started again and its job fails.
	GivenUp bool `json:"given_up"`
}

// CrashesCleared means that a run of the task has outlived its start, so that the
// crashes before it were by chance.
type CrashesCleared struct {
	Job  string `json:"job"`
	Task string `json:"task"`
	Run  int32  `json:"run"`
	Host string `json:"host"`
	// Crashes counts the crashes that are no longer held against the task.
	Crashes int32 `json:"crashes"`
}

func (*TaskAssigned) kind() Kind   { return KindTaskAssigned }
func (*TasksWaiting) kind() Kind   { return KindTasksWaiting }
func (*StartRepeated) kind() Kind  { return KindStartRepeated }
func (*StopOrdered) kind() Kind    { return KindStopOrdered }
func (*RunEnded) kind() Kind       { return KindRunEnded }
func (*RunLost) kind() Kind        { return KindRunLost }
func (*RunAdopted) kind() Kind     { return KindRunAdopted }
func (*CrashCounted) kind() Kind   { return KindCrashCounted }
func (*CrashesCleared) kind() Kind { return KindCrashesCleared }

func (e *TaskAssigned) job() string   { return e.Job }
func (e *TasksWaiting) job() string   { return e.Job }
func (e *StartRepeated) job() string  { return e.Job }
func (e *StopOrdered) job() string    { return e.Job }
func (e *RunEnded) job() string       { return e.Job }
func (e *RunLost) job() string        { return e.Job }
func (e *RunAdopted) job() string     { return e.Job }
func (e *CrashCounted) job() string   { return e.Job }
func (e *CrashesCleared) job() string { return e.Job }
