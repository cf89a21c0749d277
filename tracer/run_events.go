package tracer

// LossCause says why a run is considered over together with its executor.
type LossCause string

// Values of LossCause.
const (
	// LossLeft: the agent reported that the executor has left.
	LossLeft LossCause = "left"
	// LossReplaced: another executor, or another incarnation with the same id, opened
	// a session for the host.
	LossReplaced LossCause = "replaced"
	// LossLeaseExpired: the lease of the executor is over.
	LossLeaseExpired LossCause = "lease_expired"
)

// RunEndIgnored means that the end of a run changed nothing, because the task has
// another run or is not assigned any more.
type RunEndIgnored struct {
	Job      string `json:"job"`
	Task     string `json:"task"`
	Run      int32  `json:"run"`
	Host     string `json:"host"`
	Executor string `json:"executor"`
	Born     int64  `json:"born"`
	Session  string `json:"session"`
	Cause    string `json:"cause"`
	// Latest is the latest run of the task.
	Latest int32 `json:"latest_run"`
}

// GangRunReleased means that a run of a gang is considered over because another
// member is done.
type GangRunReleased struct {
	Job      string `json:"job"`
	Task     string `json:"task"`
	Run      int32  `json:"run"`
	Host     string `json:"host"`
	Executor string `json:"executor"`
	Born     int64  `json:"born"`
	// Member is the task that is done.
	Member string `json:"member"`
}

// RunListed means that the list with which an agent opened its session shows the run
// in progress.
type RunListed struct {
	Job      string `json:"job"`
	Task     string `json:"task"`
	Run      int32  `json:"run"`
	Executor string `json:"executor"`
	Born     int64  `json:"born"`
	Session  string `json:"session"`
	// Ordered means that this process has ordered the start on this incarnation.
	Ordered bool `json:"ordered"`
}

// RunUnexpected means that the executor lists a run in progress that neither the list
// at the opening of the session showed nor this process ordered on this incarnation.
type RunUnexpected struct {
	Job      string `json:"job"`
	Task     string `json:"task"`
	Run      int32  `json:"run"`
	Executor string `json:"executor"`
	Born     int64  `json:"born"`
	Session  string `json:"session"`
}

// RunsOverlap means that the executor lists two runs of one task in progress, which
// breaks the rule that a task has at most one. Its line has the level error.
type RunsOverlap struct {
	Job      string `json:"job"`
	Task     string `json:"task"`
	Run      int32  `json:"run"`
	Other    int32  `json:"other_run"`
	Executor string `json:"executor"`
	Born     int64  `json:"born"`
	Session  string `json:"session"`
}

// StopCompleted means that the executor's lists show the outcome of an accepted stop.
type StopCompleted struct {
	Job      string `json:"job"`
	Task     string `json:"task"`
	Run      int32  `json:"run"`
	Executor string `json:"executor"`
	Born     int64  `json:"born"`
	// Took is the time from the response to the stop until the outcome was listed.
	Took Milliseconds `json:"took_ms"`
	// Cause is that of the listed end, empty if the run is listed neither as running
	// nor as ended.
	Cause string `json:"cause,omitempty"`
}

func (*RunEndIgnored) kind() Kind   { return KindRunEndIgnored }
func (*GangRunReleased) kind() Kind { return KindGangRunReleased }
func (*RunListed) kind() Kind       { return KindRunListed }
func (*RunUnexpected) kind() Kind   { return KindRunUnexpected }
func (*RunsOverlap) kind() Kind     { return KindRunsOverlap }
func (*StopCompleted) kind() Kind   { return KindStopCompleted }

func (e *RunEndIgnored) job() string   { return e.Job }
func (e *GangRunReleased) job() string { return e.Job }
func (e *RunListed) job() string       { return e.Job }
func (e *RunUnexpected) job() string   { return e.Job }
func (e *RunsOverlap) job() string     { return e.Job }
func (e *StopCompleted) job() string   { return e.Job }
