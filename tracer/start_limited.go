package tracer

// StartLimited means that a best-effort task starts at a limited pace because it has
// waited: on a host where it is predicted to be slow, or, if Forced is set, at the
// bound of its wait on a host that would get no best-effort task otherwise.
type StartLimited struct {
	Job    string       `json:"job"`
	Task   string       `json:"task"`
	Run    int32        `json:"run"`
	Host   string       `json:"host"`
	Forced bool         `json:"forced"`
	Waited Milliseconds `json:"waited_ms"`
	Bound  Milliseconds `json:"bound_ms"`
	// Margin is how far the latency of the host's serving tasks is below their target,
	// as a share of it. LatencyAge is the age of the latest report on it.
	Margin     float64      `json:"margin"`
	LatencyAge Milliseconds `json:"latency_age_ms"`
	// Speed is the share of its requested processors that the task is predicted to
	// get, and Percent the pace at which it begins.
	Speed   float64 `json:"speed"`
	Percent int     `json:"percent"`
}

func (*StartLimited) kind() Kind    { return KindStartLimited }
func (e *StartLimited) job() string { return e.Job }
