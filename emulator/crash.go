package emulator

import (
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// crashDelay is the time from the start of a task that crashes the executor to
// the crash, so that the start is acknowledged first.
const crashDelay = 10 * time.Millisecond

// Crash ends the executor at once: its runs are over, held calls break off and
// further ones are refused until Boot. Runs are reported to Observe with the
// cause LEASE_EXPIRED.
func (e *JobExecutor) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// Down reports whether the executor has crashed and was not booted since.
func (e *JobExecutor) Down() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	return e.down
}

// scheduleCrash schedules the crash if the task that has just started causes one.
// It requires the lock.
func (e *JobExecutor) scheduleCrash(task string) {
	if e.Crashes == nil || !e.Crashes(task) || !e.crashAt.IsZero() {
		return
	}
	e.crashAt = e.Clock.Now().Add(crashDelay)
}

// crash requires the lock.
func (e *JobExecutor) crash() {
	e.loseRuns()
	e.ended = nil
	e.down = true
	e.crashAt = time.Time{}
	e.signal()
}

// loseRuns ends all runs without listing their ends. It requires the lock.
func (e *JobExecutor) loseRuns() {
	for id := range e.runs {
		e.observe(id, wire.EndCause_END_CAUSE_LEASE_EXPIRED)
	}
	e.runs = map[runID]*jobRun{}
}

// lostResponse is the error of a call that took effect before its connection
// broke off.
func lostResponse() error {
	return &damaskspread.WorkerUnknownError{Cause: &damaskspread.ConnectionLostError{Cause: errInjected}}
}
