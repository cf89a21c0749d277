package tracer

import (
	"encoding/json"
	"strconv"
	"time"
)

// Milliseconds is a duration that the log shows in milliseconds.
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

// Kind is the stable name of an event; it is the message of its line.
type Kind string

// Event is one decision about a request, a job or a task. Only this package has
// events.
type Event interface {
	kind() Kind
	subject() string
}

// KindOf is the stable name of an event.
func KindOf(event Event) Kind { return event.kind() }

// JobOf is the job that an event is about; empty where a request names none.
func JobOf(event Event) string { return event.subject() }

// Kinds of events.
const (
	KindJobAccepted    Kind = "job accepted"
	KindJobRepeated    Kind = "job was accepted before"
	KindJobCanceled    Kind = "job canceled"
	KindJobState       Kind = "job state changed"
	KindRequestRefused Kind = "request refused"
	KindTaskAssigned   Kind = "task assigned"
	KindTasksWaiting   Kind = "tasks wait for a host"
	KindStartRepeated  Kind = "start repeated"
	KindStopOrdered    Kind = "stop ordered"
	KindTaskStarted    Kind = "task started"
	KindStartRefused   Kind = "start refused"
	KindTaskPaced      Kind = "pace set"
	KindTaskStopped    Kind = "task stopped"
	KindRunEnded       Kind = "run ended"
	KindRunLost        Kind = "run lost with its executor"
)

// JobAccepted says that the log has a job.
type JobAccepted struct {
	Job    string       `json:"job"`
	Queue  string       `json:"queue"`
	Offset int64        `json:"offset"`
	Steps  int          `json:"steps"`
	Append Milliseconds `json:"append_ms"`
}

// JobRepeated is a submission of a job that the log has already.
type JobRepeated struct {
	Job string `json:"job"`
}

// JobCanceled says that the log has a cancellation.
type JobCanceled struct {
	Job    string `json:"job"`
	Offset int64  `json:"offset"`
}

// JobState is a change of what callers are told.
type JobState struct {
	Job   string `json:"job"`
	State string `json:"state"`
}

// RequestRefused is an answer without the requested effect.
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

// TaskAssigned gives the next run of a task to a host.
type TaskAssigned struct {
	Job           string       `json:"job"`
	Task          string       `json:"task"`
	Run           int32        `json:"run"`
	Host          string       `json:"host"`
	Executor      string       `json:"executor"`
	Epoch         int64        `json:"epoch"`
	ConfigVersion int64        `json:"config_version"`
	ConfigAge     Milliseconds `json:"config_age_ms"`
	JobsAge       Milliseconds `json:"jobs_age_ms"`
}

// TasksWaiting counts, for the tasks of a step that wait, the hosts by what
// keeps them from taking one.
type TasksWaiting struct {
	Job       string         `json:"job"`
	Step      string         `json:"step"`
	Tasks     int            `json:"tasks"`
	Waited    Milliseconds   `json:"waited_ms"`
	Epoch     int64          `json:"epoch"`
	Obstacles map[string]int `json:"obstacles"`
}

// StartRepeated is a start that the agent of the host doesn't list.
type StartRepeated struct {
	Job  string `json:"job"`
	Task string `json:"task"`
	Run  int32  `json:"run"`
	Host string `json:"host"`
}

// StopReason is why a run is stopped.
type StopReason string

// Reasons of stops.
const (
	StopJobOver  StopReason = "job_over"
	StopForRoom  StopReason = "room_for_urgent"
	StopSlow     StopReason = "slow_moves"
	StopDraining StopReason = "executor_leaves"
	// StopUnknown: the leader assigned no such run.
	StopUnknown StopReason = "not_assigned"
)

// StopOrdered is the decision to stop a run.
type StopOrdered struct {
	Job    string     `json:"job"`
	Task   string     `json:"task"`
	Run    int32      `json:"run"`
	Host   string     `json:"host"`
	Reason StopReason `json:"reason"`
	// For is the task that gets the room.
	For string `json:"for,omitempty"`
	// Millicores in use, where the run is slow.
	Millicores int64 `json:"millicores,omitempty"`
}

// TaskStarted says that the executor took a start.
type TaskStarted struct {
	Job        string `json:"job"`
	Task       string `json:"task"`
	Run        int32  `json:"run"`
	Token      int64  `json:"token"`
	DeadlineMs int64  `json:"deadline_ms"`
	// Age is the time since the decision.
	Age Milliseconds `json:"age_ms"`
}

// StartRefused says that a run won't start.
type StartRefused struct {
	Job    string `json:"job"`
	Task   string `json:"task"`
	Run    int32  `json:"run"`
	Host   string `json:"host,omitempty"`
	Reason string `json:"reason"`
}

// TaskPaced limits a run for the sake of the serving tasks beside it.
type TaskPaced struct {
	Job     string `json:"job"`
	Task    string `json:"task"`
	Run     int32  `json:"run"`
	Percent int    `json:"percent"`
	// Load is the largest latency on the host as a share of its target.
	Load float64 `json:"load"`
}

// TaskStopped says that the executor took a stop.
type TaskStopped struct {
	Job  string `json:"job"`
	Task string `json:"task"`
	Run  int32  `json:"run"`
}

// RunEnded is the recorded end of a run.
type RunEnded struct {
	Job      string `json:"job"`
	Task     string `json:"task"`
	Run      int32  `json:"run"`
	Host     string `json:"host"`
	Cause    string `json:"cause"`
	Failures int32  `json:"failures"`
}

// RunLost is a run whose executor has certainly ended.
type RunLost struct {
	Job      string `json:"job"`
	Task     string `json:"task"`
	Run      int32  `json:"run"`
	Executor string `json:"executor"`
}

func (*JobAccepted) kind() Kind    { return KindJobAccepted }
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

func (e *JobAccepted) subject() string    { return e.Job }
func (e *JobRepeated) subject() string    { return e.Job }
func (e *JobCanceled) subject() string    { return e.Job }
func (e *JobState) subject() string       { return e.Job }
func (e *RequestRefused) subject() string { return e.Job }
func (e *TaskAssigned) subject() string   { return e.Job }
func (e *TasksWaiting) subject() string   { return e.Job }
func (e *StartRepeated) subject() string  { return e.Job }
func (e *StopOrdered) subject() string    { return e.Job }
func (e *TaskStarted) subject() string    { return e.Job }
func (e *StartRefused) subject() string   { return e.Job }
func (e *TaskPaced) subject() string      { return e.Job }
func (e *TaskStopped) subject() string    { return e.Job }
func (e *RunEnded) subject() string       { return e.Job }
func (e *RunLost) subject() string        { return e.Job }

// factories make an empty event of each kind.
var factories = map[Kind]func() Event{
	KindJobAccepted:    func() Event { return &JobAccepted{} },
	KindJobRepeated:    func() Event { return &JobRepeated{} },
	KindJobCanceled:    func() Event { return &JobCanceled{} },
	KindJobState:       func() Event { return &JobState{} },
	KindRequestRefused: func() Event { return &RequestRefused{} },
	KindTaskAssigned:   func() Event { return &TaskAssigned{} },
	KindTasksWaiting:   func() Event { return &TasksWaiting{} },
	KindStartRepeated:  func() Event { return &StartRepeated{} },
	KindStopOrdered:    func() Event { return &StopOrdered{} },
	KindTaskStarted:    func() Event { return &TaskStarted{} },
	KindStartRefused:   func() Event { return &StartRefused{} },
	KindTaskPaced:      func() Event { return &TaskPaced{} },
	KindTaskStopped:    func() Event { return &TaskStopped{} },
	KindRunEnded:       func() Event { return &RunEnded{} },
	KindRunLost:        func() Event { return &RunLost{} },
}

// Kinds returns the kinds of all events.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(factories))
	for kind := range factories {
		kinds = append(kinds, kind)
	}
	return kinds
}

// New returns an empty event of a kind, or nil for an unknown one.
func New(kind Kind) Event {
	if make := factories[kind]; make != nil {
		return make()
	}
	return nil
}
