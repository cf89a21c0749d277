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
	KindCancelPending   Kind = "cancellation pending"
	KindJobState        Kind = "job state changed"
	KindJobRedirected   Kind = "job redirected by the configuration"
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

// newEventByKind maps each kind to the constructor of an empty event.
var newEventByKind = map[Kind]func() Event{
	KindJobAccepted:     func() Event { return &JobAccepted{} },
	KindJobRefused:      func() Event { return &JobRefused{} },
	KindJobRepeated:     func() Event { return &JobRepeated{} },
	KindJobCanceled:     func() Event { return &JobCanceled{} },
	KindCancelPending:   func() Event { return &CancelPending{} },
	KindJobState:        func() Event { return &JobState{} },
	KindJobRedirected:   func() Event { return &JobRedirected{} },
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
