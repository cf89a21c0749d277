package tracer

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

func (*TaskStarted) kind() Kind  { return KindTaskStarted }
func (*StartRefused) kind() Kind { return KindStartRefused }
func (*TaskPaced) kind() Kind    { return KindTaskPaced }
func (*TaskStopped) kind() Kind  { return KindTaskStopped }

func (e *TaskStarted) job() string  { return e.Job }
func (e *StartRefused) job() string { return e.Job }
func (e *TaskPaced) job() string    { return e.Job }
func (e *TaskStopped) job() string  { return e.Job }
