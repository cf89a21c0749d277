package tracer

// TaskCopied means that a run is predicted to hold its job back, so that a speculative copy
// of it is started on another host. The copy is the next run of the task.
type TaskCopied struct {
	Job       string `json:"job"`
	Task      string `json:"task"`
	Run       int32  `json:"run"`
	Host      string `json:"host"`
	OlderRun  int32  `json:"older_run"`
	OlderHost string `json:"older_host"`
	// Percent is the progress of the older run after Elapsed, and Remaining how long it is
	// predicted to take yet. NewRun is how long the copy is predicted to take.
	Percent   int32        `json:"percent"`
	Elapsed   Milliseconds `json:"elapsed_ms"`
	Remaining Milliseconds `json:"remaining_ms"`
	NewRun    Milliseconds `json:"new_run_ms"`
}

// CopyDone means that a speculative copy has completed its task before the copied run.
type CopyDone struct {
	Job  string `json:"job"`
	Task string `json:"task"`
	Run  int32  `json:"run"`
}

// CopyLossCause says why a speculative copy was of no use.
type CopyLossCause string

// Values of CopyLossCause.
const (
	// CopyOlderRunDone: the copied run was done first.
	CopyOlderRunDone CopyLossCause = "older_run_done"
	// CopyEnded: the copy failed, was refused, stopped or lost, and the copied run goes on.
	CopyEnded CopyLossCause = "ended"
)

// CopyLost means that a speculative copy was of no use.
type CopyLost struct {
	Job   string        `json:"job"`
	Task  string        `json:"task"`
	Run   int32         `json:"run"`
	Cause CopyLossCause `json:"cause"`
}

func (*TaskCopied) kind() Kind { return KindTaskCopied }
func (*CopyDone) kind() Kind   { return KindCopyDone }
func (*CopyLost) kind() Kind   { return KindCopyLost }

func (e *TaskCopied) job() string { return e.Job }
func (e *CopyDone) job() string   { return e.Job }
func (e *CopyLost) job() string   { return e.Job }
