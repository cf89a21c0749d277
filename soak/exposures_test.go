package soak_test

import "time"

// givenUpAfter is the number of runs of a task that are lost in a crash of their
// executors after which the system gives up the job: the task may be the cause.
const givenUpAfter = 3

// blamedTime is longer than the time after its start in which a run may be blamed. It
// bounds the exposure of runs that don't end by themselves.
const blamedTime = 3 * time.Second

// exposures are the runs of which the system may blame a crash. Series of crashes hit a
// task that often by chance, so a crash that would be the last one of a task is left out.
type exposures struct {
	// called has the runs called at the present incarnation of each executor whose ends
	// were not acknowledged, and when; crashes the numbers of such runs in crashes by task.
	called  map[string]map[run]time.Time
	crashes map[string]int
}

func newExposures() exposures {
	return exposures{
		called:  map[string]map[run]time.Time{},
		crashes: map[string]int{},
	}
}

func (e *exposures) add(executor string, r run) {
	if e.called[executor] == nil {
		e.called[executor] = map[run]time.Time{}
	}
	e.called[executor][r] = time.Now()
}

func (e *exposures) forget(r run) {
	for _, called := range e.called {
		delete(called, r)
	}
}

// crash reports whether no task would reach givenUpAfter crashes by one of the executor,
// and counts it if so.
func (e *exposures) crash(executor string) bool {
	for r, calledAt := range e.called[executor] {
		if isLasting(r.task) && time.Since(calledAt) > blamedTime {
			delete(e.called[executor], r)
			continue
		}
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
