package tracer

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
	// Append is the time from the request until the record was in the log.
	Append Milliseconds `json:"append_ms"`
	// GaveUp is set if a caller got no confirmation.
	GaveUp bool `json:"gave_up,omitempty"`
}

// CancelPending means that a caller of a cancellation has given up before its record
// is in the log. JobCanceled follows once it is.
type CancelPending struct {
	Job string `json:"job"`
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

func (*JobAccepted) kind() Kind    { return KindJobAccepted }
func (*JobRefused) kind() Kind     { return KindJobRefused }
func (*JobRepeated) kind() Kind    { return KindJobRepeated }
func (*JobCanceled) kind() Kind    { return KindJobCanceled }
func (*CancelPending) kind() Kind  { return KindCancelPending }
func (*JobState) kind() Kind       { return KindJobState }
func (*RequestRefused) kind() Kind { return KindRequestRefused }

func (e *JobAccepted) job() string    { return e.Job }
func (e *JobRefused) job() string     { return e.Job }
func (e *JobRepeated) job() string    { return e.Job }
func (e *JobCanceled) job() string    { return e.Job }
func (e *CancelPending) job() string  { return e.Job }
func (e *JobState) job() string       { return e.Job }
func (e *RequestRefused) job() string { return e.Job }
