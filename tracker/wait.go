package tracker

import "time"

// stepWait is since when the tasks of a step wait for a run.
type stepWait struct {
	// readyUnixMs is stored with the progress; 0 if no wait was counted.
	readyUnixMs int64
	// since is the beginning of the wait on the leader's ElapsedClock, so that steps
	// of the system clock don't change a wait that this leader counts. It is valid
	// while counting is set.
	since    time.Duration
	counting bool
}

// begin continues a stored wait, or begins a new one. A stored time in the future
// comes from a clock that was set back since, so the wait begins anew. One far in
// the past may come from a clock that was set forward and counts as limit at most.
// It reports whether the time to store changed.
func (w *stepWait) begin(nowUnixMs int64, now, limit time.Duration) bool {
	stored := nowUnixMs - w.readyUnixMs
	changed := w.readyUnixMs == 0 || stored < 0
	if changed {
		w.readyUnixMs = nowUnixMs
		stored = 0
	}
	// Compared in milliseconds, because the conversion of a very old time to a
	// duration would overflow.
	w.since = now - time.Duration(min(stored, limit.Milliseconds()))*time.Millisecond
	w.counting = true
	return changed
}

// CountWait counts how long the step has waited at now: since its first call, since
// the time that an earlier leader stored (at most limit ago), or since the latest
// end of a run of the step other than its success.
func (g *Group) CountWait(nowUnixMs int64, now, limit time.Duration) {
	state := g.job.openStep(g.occurrence, g.step)
	wait := &state.wait
	if !wait.counting && wait.begin(nowUnixMs, now, limit) {
		state.markChanged(0)
	}
	g.waited = max(0, now-wait.since)
}

// Waited returns the result of CountWait, 0 before its first call.
func (g *Group) Waited() time.Duration { return g.waited }

// endWait ends the wait of the task's step, because a run of it has ended. The next
// CountWait begins a new one.
func (t *Task) endWait() {
	t.step.wait = stepWait{}
}
