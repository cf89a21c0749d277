package runner

import (
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// resolveChecks looks up the runs that were stopped or refused as old in lists
// requested at startedAt. A run that is neither running nor ended never started
// on this executor and is reported as refused. Lists that leave out ends settle
// only the runs that they show. The result is whether a run is refused.
func (r *Runner) resolveChecks(startedAt time.Duration) bool {
	updated := false
	for key, dueAt := range r.checksDue {
		if startedAt < dueAt || r.isRunning(key) {
			continue
		}
		switch {
		case r.unrecordedEnds.has(key):
			delete(r.checksDue, key)
		case r.unrecordedEnds.rulesOut(key):
			delete(r.checksDue, key)
			r.addRefusal(key, damaskspread.RefusedOldRun)
			updated = true
		}
	}
	return updated
}

// addRefusal queues the report that a run does not start here. The leader then
// gives the task to another executor, so repeated orders for the run are refused
// too.
func (r *Runner) addRefusal(key runKey, reason damaskspread.StartRefusal) {
	r.rememberRefusal(key, reason)
	r.pendingRefusals = append(r.pendingRefusals, &wire.StartRefusal{
		Task:   key.task,
		Run:    key.run,
		Reason: string(reason),
	})
	tracer.Write(&tracer.StartRefused{
		Job:      tracker.JobOf(key.task),
		Task:     key.task,
		Run:      key.run,
		Host:     r.Host,
		Reason:   string(reason),
		Executor: r.info.GetId(),
		Born:     r.info.GetBornUnixMs(),
	})
}

func (r *Runner) rememberRefusal(key runKey, reason damaskspread.StartRefusal) {
	r.refusedRuns[key] = refusedRun{
		reason: reason,
		at:     r.Elapsed.Elapsed(),
	}
	r.forgetRun(key)
}

// forgetEndedRuns deletes what the runner holds of ended runs and of refusals
// that no order can concern any more.
func (r *Runner) forgetEndedRuns() {
	for key := range r.unrecordedEnds.byRun {
		r.forgetRun(key)
		delete(r.drainStops, key)
	}
	r.forgetUnusedSteps()
	now := r.Elapsed.Elapsed()
	for key, refused := range r.refusedRuns {
		if now-refused.at > r.refusalRetention() {
			delete(r.refusedRuns, key)
		}
	}
}

// forgetRun deletes what the runner holds of a run that has ended or does not
// start.
func (r *Runner) forgetRun(key runKey) {
	r.disown(key)
	delete(r.fencesDue, key)
	if r.listed[key] {
		r.occupancy = nil
	}
	delete(r.stopOrders, key)
	delete(r.steps, key)
	delete(r.paces, key)
	delete(r.ramps, key)
	r.crashes.forget(key)
}

func (r *Runner) refusalRetention() time.Duration {
	if r.RefusalRetention > 0 {
		return r.RefusalRetention
	}
	return defaultRefusalRetention
}

// RememberedRuns returns the number of runs that the runner holds in memory: those
// in progress and those refused lately.
func (r *Runner) RememberedRuns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.steps) + len(r.refusedRuns) + len(r.drainStops) + len(r.stopOrders)
}

// reportRefusal reports that a run does not start on an executor, unless that
// executor has ended meanwhile.
func (r *Runner) reportRefusal(info *wire.ExecutorInfo, key runKey, reason damaskspread.StartRefusal) {
	r.mu.Lock()
	present := r.isPresent(info)
	if present {
		r.addRefusal(key, reason)
	}
	r.mu.Unlock()
	if !present {
		return
	}
	signal(r.reportWake)
}

// scheduleCheck looks the run up in the first lists that are requested from the
// executor after a delay, unless the executor has ended meanwhile.
func (r *Runner) scheduleCheck(info *wire.ExecutorInfo, key runKey, delay time.Duration) {
	r.mu.Lock()
	if r.isPresent(info) {
		r.checksDue[key] = r.Elapsed.Elapsed() + delay
	}
	r.mu.Unlock()
	signal(r.renewWake)
}

// dropStopOrder lets the order of a later session decide about a run that the leader has
// ordered to stop and that could not be stopped.
func (r *Runner) dropStopOrder(info *wire.ExecutorInfo, key runKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isPresent(info) {
		delete(r.stopOrders, key)
		r.disown(key)
	}
}

// dropOwner lets the order of a later session decide about a run that could not be
// stopped.
func (r *Runner) dropOwner(info *wire.ExecutorInfo, key runKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isPresent(info) {
		r.disown(key)
	}
}
