package tracer

// JobRedirected means that the configuration in force gives the queue of an accepted job
// another service, or begins or ceases to require admission advice. Its tasks start by that
// from then on.
type JobRedirected struct {
	Job   string `json:"job"`
	Queue string `json:"queue"`
	// From and To are services, the same if only NeedsAdvice has changed.
	From          string `json:"from"`
	To            string `json:"to"`
	NeedsAdvice   bool   `json:"needs_advice"`
	ConfigVersion int64  `json:"config_version"`
	Epoch         int64  `json:"epoch"`
}

func (*JobRedirected) kind() Kind    { return KindJobRedirected }
func (e *JobRedirected) job() string { return e.Job }
