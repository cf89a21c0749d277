package runner

import (
	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// An executor may answer renewals and no orders. A start without a response may be carried
// out seconds later, and a stop without one does not show whether the run can still start.
// An executor that has seen a newer token refuses the start, so a list that was read with
// one settles a run that it doesn't show, unless it leaves out ends.

// fenceStart lets the next renewal settle a run whose stop got no response. A run that is
// listed needs the stop.
func (r *Runner) fenceStart(info *wire.ExecutorInfo, key runKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isPresent(info) || r.token == 0 || r.isRunning(key) || r.unrecordedEnds.has(key) {
		return
	}
	if r.renewFailures > 0 {
		// No renewal settles anything for now. The stop is repeated.
		return
	}
	if r.tokens.last == r.token {
		// Leaders of earlier versions give a session one token, the next one may get the same.
		return
	}
	if token, due := r.fencesDue[key]; due && token < r.tokens.present {
		return
	}
	r.fencesDue[key] = r.tokens.present
	if r.tokens.present == r.tokens.last {
		// Only a leader gives out newer tokens, with another session.
		r.resetSession()
		signal(r.reportWake)
		return
	}
	r.tokens.used = true
	r.unanswered = true
	if r.cancelRenewal != nil {
		r.cancelRenewal()
	}
	signal(r.renewWake)
}

// fenceLater makes a fence that is due wait for a token newer than that of a further start.
// The caller holds the mutex.
func (r *Runner) fenceLater(key runKey) {
	if _, due := r.fencesDue[key]; due {
		r.fencesDue[key] = r.tokens.present
	}
}

// resolveFences settles the runs whose starts had earlier tokens than the lists that were
// read now, and reports whether one of them can't start any more. The caller holds the mutex.
func (r *Runner) resolveFences(token int64) bool {
	updated := false
	for key, startToken := range r.fencesDue {
		switch {
		case token <= startToken:
		case r.isRunning(key) || r.unrecordedEnds.has(key):
			delete(r.fencesDue, key)
		case r.unrecordedEnds.rulesOut(key):
			delete(r.fencesDue, key)
			delete(r.checksDue, key)
			r.addRefusal(key, damaskspread.RefusedUnanswered)
			updated = true
		}
	}
	return updated
}

// isSettled reports whether a run has ended or can't start any more.
func (r *Runner) isSettled(key runKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unrecordedEnds.has(key) || r.refusedRuns[key].reason != ""
}
