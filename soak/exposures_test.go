package soak_test

// givenUpAfter is the number of runs of a task that are lost in a crash of their
// executors after which the system gives up the job: the task may be the cause.
const givenUpAfter = 3

// exposures are the runs of which the system may blame a crash. Series of crashes hit a
// task that often by chance, so a crash that would be the last one of a task is left out.
type exposures struct {
	// called has the runs called at the present incarnation of each executor whose ends
	// were not acknowledged, crashes the numbers of such runs in crashes by task.
	called  map[string]map[run]bool
	crashes map[string]int
}

func newExposures() exposures {
	return exposures{
		called:  map[string]map[run]bool{},
		crashes: map[string]int{},
	}
}

func (e *exposures) add(executor string, r run) {
	if e.called[executor] == nil {
		e.called[executor] = map[run]bool{}
	}
	e.called[executor][r] = true
}

func (e *exposures) forget(r run) {
	for _, called := range e.called {
		delete(called, r)
	}
}

// crash reports whether no task would reach givenUpAfter crashes by one of the executor,
// and counts it if so.
func (e *exposures) crash(executor string) bool {
	for r := range e.called[executor] {
		if e.crashes[r.task] == givenUpAfter-1 {
			return false
		}
	}
	for r := range e.called[executor] {
		e.crashes[r.task]++
	}
	delete(e.called, executor)
	return true
}
