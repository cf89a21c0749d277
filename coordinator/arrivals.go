package coordinator

// arrivals is what arrived since the last cycle began.
type arrivals struct {
	// changedJobs are the ids of jobs that changed in the index.
	changedJobs map[string]bool
	// lostExecutors are executor incarnations that have left or were replaced.
	lostExecutors []lostExecutor
	// witnessedEnds are those of lostExecutors whose agent has outlived them.
	witnessedEnds []witnessedEnd
	// absences are the reports without a session.
	absences []*absence
}

// addChangedJobs adds ids of jobs.
func (a *arrivals) addChangedJobs(ids []string) {
	if a.changedJobs == nil {
		a.changedJobs = map[string]bool{}
	}
	for _, id := range ids {
		a.changedJobs[id] = true
	}
}

// take returns what has arrived, and begins anew.
func (a *arrivals) take() arrivals {
	taken := *a
	*a = arrivals{}
	return taken
}
