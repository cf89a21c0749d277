package runner

import "time"

const (
	// lateStartPeriod is how long after a start without response the waits for renewals are
	// short: another incarnation with the same id may carry out the call until it is renewed.
	lateStartPeriod = 5 * time.Second
	// fullMarginInterval makes one of this many renewals without response wait for the full
	// margin, so that an executor which responds slowly has one that succeeds.
	fullMarginInterval = 3
)

// watchLateStart begins the period in which a start may be carried out late. The caller
// holds the mutex unless the runner is not shared yet.
func (r *Runner) watchLateStart() {
	r.lateStartUntil = r.Elapsed.Elapsed() + lateStartPeriod
}

// expectsLateStart reports whether a start may be carried out late, so that a silent
// executor has to be called again soon. Shorter waits don't help with an executor that
// responds slowly. The caller holds the mutex.
func (r *Runner) expectsLateStart() bool {
	return r.Elapsed.Elapsed() < r.lateStartUntil && !r.respondsSlowly
}

// renewMargin returns the margin of the next renewal. If it fails, an announced candidate
// replaces the present executor, so that takes the full margin. The caller holds the mutex.
func (r *Runner) renewMargin() time.Duration {
	isFull := r.renewFailures%fullMarginInterval == fullMarginInterval-1
	if isFull || r.candidate != nil || !r.expectsLateStart() {
		return renewTimeoutMargin
	}
	return shortRenewMargin
}

// isSilent reports whether the executor does not respond. One that responds slowly is not
// silent after a short margin. The caller holds the mutex.
func (r *Runner) isSilent() bool {
	if r.expectsLateStart() && r.renewFailures < fullMarginInterval {
		return r.crashes.down()
	}
	return r.renewFailures > 0 || r.crashes.down()
}
