package tracer

import (
	"encoding/json"
	"strconv"
	"time"
)

// Milliseconds is a duration that JSON shows in milliseconds, to a tenth.
type Milliseconds time.Duration

// MarshalJSON implements json.Marshaler.
func (m Milliseconds) MarshalJSON() ([]byte, error) {
	ms := float64(m) / float64(time.Millisecond)
	return strconv.AppendFloat(nil, ms, 'f', 1, 64), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *Milliseconds) UnmarshalJSON(data []byte) error {
	var ms float64
	if err := json.Unmarshal(data, &ms); err != nil {
		return err
	}
	*m = Milliseconds(ms * float64(time.Millisecond))
	return nil
}

// String implements fmt.Stringer.
func (m Milliseconds) String() string { return time.Duration(m).String() }

// Kind identifies the type of an event. It is the message of the event's log
// line and must not change.
type Kind string

// Event records one decision about a request, a job or a task. Only types of
// this package implement it.
type Event interface {
	kind() Kind
	job() string
}

// KindOf returns the kind of an event.
func KindOf(event Event) Kind { return event.kind() }

// JobOf returns the ID of the job that an event concerns, or "" for a refused
// request that names no job.
func JobOf(event Event) string { return event.job() }

// Kinds of events.
const (
	KindJobAccepted     Kind = "job accepted"
	KindJobRefused      Kind = "job refused: it would end too late"
	KindJobRepeated     Kind = "job was accepted before"
	KindJobCanceled     Kind = "job canceled"
	KindJobState        Kind = "job state changed"
	KindRequestRefused  Kind = "request refused"
	KindTaskAssigned    Kind = "task assigned"
	KindStartLimited    Kind = "start at a limited pace"
	KindTasksWaiting    Kind = "tasks wait for a host"
	KindTasksHeld       Kind = "tasks held back"
	KindStartRepeated   Kind = "start repeated"
	KindStopOrdered     Kind = "stop ordered"
	KindTaskStarted     Kind = "task started"
	KindStartRefused    Kind = "start refused"
	KindTaskPaced       Kind = "pace set"
	KindTaskStopped     Kind = "task stopped"
	KindRunEnded        Kind = "run ended"
	KindRunLost         Kind = "run lost with its executor"
	KindRunAdopted      Kind = "run adopted"
	KindCrashCounted    Kind = "crash of executor counted for task"
	KindTaskCopied      Kind = "task copied"
	KindCopyDone        Kind = "copy was first"
	KindCopyLost        Kind = "copy lost"
	KindRunEndIgnored   Kind = "run end ignored"
	KindGangRunReleased Kind = "run released: another member of its gang is done"
	KindRunListed       Kind = "run in the list that opens the session"
	KindRunUnexpected   Kind = "run in progress without an order of this process"
	KindRunsOverlap     Kind = "two runs of one task in progress"
	KindStopCompleted   Kind = "stop completed"
	KindCrashesCleared  Kind = "crashes of executors no longer held against task"
)

// JobAccepted means that the record of a new job is in the log.
type JobAccepted struct {
	Job    string `json:"job"`
	Queue  string `json:"queue"`
	Offset int64  `json:"offset"`
	Steps  int    `json:"steps"`
	// Append is the duration of the append.
	Append Milliseconds `json:"append_ms"`
	// Confirm is the time until the index showed that no other entry has refused
	// the job; 0 without admission.
	Confirm Milliseconds `json:"confirm_ms,omitempty"`
}

// JobRefused means that admission decided to refuse a job, as it is predicted to end
// too late to be of use.
type JobRefused struct {
	Job   string `json:"job"`
	Queue string `json:"queue"`
	// Recorded is false if the log could not record the refusal, so that the job
	// is accepted.
	Recorded bool  `json:"recorded"`
	Offset   int64 `json:"offset"`
	// Wait and Path are the predicted wait and the run time that counts; Limit is
	// the largest sum of both that is admitted.
	Wait       Milliseconds `json:"predicted_wait_ms"`
	Path       Milliseconds `json:"path_ms"`
	Limit      Milliseconds `json:"limit_ms"`
	RetryAfter Milliseconds `json:"retry_after_ms"`
	// EstimateAge and Epoch are those of the load estimate.
	EstimateAge Milliseconds `json:"estimate_age_ms"`
	Epoch       int64        `json:"epoch"`
	// Append is the time that recording took.
	Append Milliseconds `json:"append_ms"`
}

// JobRepeated means that a submitted job is already in the log, so nothing was
// appended.
type JobRepeated struct {
	Job string `json:"job"`
}

// JobCanceled means that the record of a cancellation is in the log.
type JobCanceled struct {
	Job    string `json:"job"`
	Offset int64  `json:"offset"`
}

// JobState means that the job state that callers see has changed.
type JobState struct {
	Job   string `json:"job"`
	State string `json:"state"`
}

// RequestRefused means that a request of a caller got an error response.
type RequestRefused struct {
	Job           string       `json:"job,omitempty"`
	Method        string       `json:"method"`
	Path          string       `json:"path"`
	Status        int          `json:"status"`
	Outcome       string       `json:"outcome"`
	Reason        string       `json:"reason"`
	Error         string       `json:"error"`
	ConfigVersion int64        `json:"config_version"`
	ConfigAge     Milliseconds `json:"config_age_ms"`
}

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

// TaskStarted means that the executor accepted a start order.
type TaskStarted struct {
	Job        string `json:"job"`
	Task       string `json:"task"`
	Run        int32  `json:"run"`
	Executor   string `json:"executor"`
	Born       int64  `json:"born"`
	Token      int64  `json:"token"`
	DeadlineMs int64  `json:"deadline_ms"`
	// Age is the time since the leader's decision.
	Age Milliseconds `json:"age_ms"`
}

// StartRefused means that a run will not start.
type StartRefused struct {
	Job    string `json:"job"`
	Task   string `json:"task"`
	Run    int32  `json:"run"`
	Host   string `json:"host,omitempty"`
	Reason string `json:"reason"`
	// Executor and Born name the incarnation that the order was for, Session that
	// of the report; the agent leaves Session empty.
	Executor string `json:"executor"`
	Born     int64  `json:"born"`
	Session  string `json:"session,omitempty"`
}

// TaskPaced means that the pace of a run changed, to protect the latency of
// serving tasks on the same host.
type TaskPaced struct {
	Job  string `json:"job"`
	Task string `json:"task"`
	Run  int32  `json:"run"`
	// Percent is the share of the requested processors that the run may use.
	Percent int `json:"percent"`
	// Load is the largest ratio of latency to target latency among the serving
	// tasks on the host; 1 is at the target.
	Load float64 `json:"load"`
	// Initial means that the run begins at this pace, by the leader's order.
	Initial bool `json:"initial,omitempty"`
}

// TaskStopped means that the executor accepted a stop order.
type TaskStopped struct {
	Job      string `json:"job"`
	Task     string `json:"task"`
	Run      int32  `json:"run"`
	Executor string `json:"executor"`
	Born     int64  `json:"born"`
	Token    int64  `json:"token"`
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

func (*JobAccepted) kind() Kind    { return KindJobAccepted }
func (*JobRefused) kind() Kind     { return KindJobRefused }
func (*JobRepeated) kind() Kind    { return KindJobRepeated }
func (*JobCanceled) kind() Kind    { return KindJobCanceled }
func (*JobState) kind() Kind       { return KindJobState }
func (*RequestRefused) kind() Kind { return KindRequestRefused }
func (*TaskAssigned) kind() Kind   { return KindTaskAssigned }
func (*TasksWaiting) kind() Kind   { return KindTasksWaiting }
func (*StartRepeated) kind() Kind  { return KindStartRepeated }
func (*StopOrdered) kind() Kind    { return KindStopOrdered }
func (*TaskStarted) kind() Kind    { return KindTaskStarted }
func (*StartRefused) kind() Kind   { return KindStartRefused }
func (*TaskPaced) kind() Kind      { return KindTaskPaced }
func (*TaskStopped) kind() Kind    { return KindTaskStopped }
func (*RunEnded) kind() Kind       { return KindRunEnded }
func (*RunLost) kind() Kind        { return KindRunLost }
func (*RunAdopted) kind() Kind     { return KindRunAdopted }
func (*CrashCounted) kind() Kind   { return KindCrashCounted }
func (*CrashesCleared) kind() Kind { return KindCrashesCleared }

func (e *JobAccepted) job() string    { return e.Job }
func (e *JobRefused) job() string     { return e.Job }
func (e *JobRepeated) job() string    { return e.Job }
func (e *JobCanceled) job() string    { return e.Job }
func (e *JobState) job() string       { return e.Job }
func (e *RequestRefused) job() string { return e.Job }
func (e *TaskAssigned) job() string   { return e.Job }
func (e *TasksWaiting) job() string   { return e.Job }
func (e *StartRepeated) job() string  { return e.Job }
func (e *StopOrdered) job() string    { return e.Job }
func (e *TaskStarted) job() string    { return e.Job }
func (e *StartRefused) job() string   { return e.Job }
func (e *TaskPaced) job() string      { return e.Job }
func (e *TaskStopped) job() string    { return e.Job }
func (e *RunEnded) job() string       { return e.Job }
func (e *RunLost) job() string        { return e.Job }
func (e *RunAdopted) job() string     { return e.Job }
func (e *CrashCounted) job() string   { return e.Job }
func (e *CrashesCleared) job() string { return e.Job }

// newEventByKind maps each kind to the constructor of an empty event.
var newEventByKind = map[Kind]func() Event{
	KindJobAccepted:     func() Event { return &JobAccepted{} },
	KindJobRefused:      func() Event { return &JobRefused{} },
	KindJobRepeated:     func() Event { return &JobRepeated{} },
	KindJobCanceled:     func() Event { return &JobCanceled{} },
	KindJobState:        func() Event { return &JobState{} },
	KindRequestRefused:  func() Event { return &RequestRefused{} },
	KindTaskAssigned:    func() Event { return &TaskAssigned{} },
	KindStartLimited:    func() Event { return &StartLimited{} },
	KindTasksWaiting:    func() Event { return &TasksWaiting{} },
	KindTasksHeld:       func() Event { return &TasksHeld{} },
	KindStartRepeated:   func() Event { return &StartRepeated{} },
	KindStopOrdered:     func() Event { return &StopOrdered{} },
	KindTaskStarted:     func() Event { return &TaskStarted{} },
	KindStartRefused:    func() Event { return &StartRefused{} },
	KindTaskPaced:       func() Event { return &TaskPaced{} },
	KindTaskStopped:     func() Event { return &TaskStopped{} },
	KindRunEnded:        func() Event { return &RunEnded{} },
	KindRunLost:         func() Event { return &RunLost{} },
	KindRunAdopted:      func() Event { return &RunAdopted{} },
	KindCrashCounted:    func() Event { return &CrashCounted{} },
	KindTaskCopied:      func() Event { return &TaskCopied{} },
	KindCopyDone:        func() Event { return &CopyDone{} },
	KindCopyLost:        func() Event { return &CopyLost{} },
	KindRunEndIgnored:   func() Event { return &RunEndIgnored{} },
	KindGangRunReleased: func() Event { return &GangRunReleased{} },
	KindRunListed:       func() Event { return &RunListed{} },
	KindRunUnexpected:   func() Event { return &RunUnexpected{} },
	KindRunsOverlap:     func() Event { return &RunsOverlap{} },
	KindStopCompleted:   func() Event { return &StopCompleted{} },
	KindCrashesCleared:  func() Event { return &CrashesCleared{} },
}

// Kinds returns all kinds of events, in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(newEventByKind))
	for kind := range newEventByKind {
		kinds = append(kinds, kind)
	}
	return kinds
}

// New returns an empty event of a kind, or nil for an unknown kind.
func New(kind Kind) Event {
	if newEvent := newEventByKind[kind]; newEvent != nil {
		return newEvent()
	}
	return nil
}
