package runner

import (
	"maps"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// runTrace is what the runner remembers to write each line about a run once. No
// decision depends on it. The runner's mutex guards it.
type runTrace struct {
	// shown has the listed runs that the opening of the session or a line about an
	// unexpected run has shown.
	shown map[runKey]bool
	// stoppedAt is when the executor accepted the stops whose outcome no list has
	// shown.
	stoppedAt map[runKey]time.Duration
	// overlapping has the listed runs for which an earlier run of their task was
	// listed too; overlaps counts them.
	overlapping map[runKey]bool
	overlaps    int
}

// reset begins with a new incarnation of the executor.
func (w *runTrace) reset() {
	w.stoppedAt = map[runKey]time.Duration{}
	w.overlapping = map[runKey]bool{}
}

// Overlaps returns how often this process has seen two runs of one task in progress.
func (r *Runner) Overlaps() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.trace.overlaps
}

// traceShutdown writes what the agent leaves behind: nobody can stop these runs before the next
// process has opened a session, or their lease is over.
func (r *Runner) traceShutdown() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.info == nil {
		return
	}
	log.Info().Str("executor", r.info.GetId()).Int64("born", r.info.GetBornUnixMs()).Bool("draining", r.info.GetDraining()).
		Int("running", len(r.running)).Dur("lease_left", max(0, r.renewedUntil-r.Elapsed.Elapsed())).
		Msg("agent ends; runs in progress go on under their lease")
}

// traceOpening writes the opening of the session and the runs that the leader got
// with it. The caller holds the mutex.
func (r *Runner) traceOpening(request *wire.ExchangeRequest) {
	log.Info().Int64("epoch", r.epoch).Int64("token", r.token).Str("session", r.session).Str("executor", r.info.GetId()).Int64("born", r.info.GetBornUnixMs()).
		Int("running", len(request.GetRunning())).Int("ends", len(request.GetEnds())).Msg("session opened")
	for _, run := range request.GetRunning() {
		key := runKey{run.GetTask(), run.GetRun()}
		r.trace.shown[key] = true
		tracer.Write(&tracer.RunListed{
			Job:      tracker.JobOf(key.task),
			Task:     key.task,
			Run:      key.run,
			Executor: r.info.GetId(),
			Born:     r.info.GetBornUnixMs(),
			Session:  r.session,
			Ordered:  r.startOwners[key] != nil,
		})
	}
}

// traceLists writes what lists that were requested at startedAt show for the first
// time: runs that were not expected, two runs of one task, and the outcome of stops.
// The caller holds the mutex.
func (r *Runner) traceLists(startedAt time.Duration) {
	listed := map[runKey]bool{}
	latest := map[string]int32{}
	for _, run := range r.running {
		key := runKey{run.GetTask(), run.GetRun()}
		listed[key] = true
		if other := latest[key.task]; other != 0 {
			r.traceOverlap(runKey{key.task, max(key.run, other)}, min(key.run, other))
		}
		latest[key.task] = max(latest[key.task], key.run)
		if r.sessionOpen && r.startOwners[key] == nil && !r.trace.shown[key] {
			r.trace.shown[key] = true
			r.traceUnexpected(key)
		}
	}
	unlisted := func(key runKey, _ bool) bool { return !listed[key] }
	maps.DeleteFunc(r.trace.shown, unlisted)
	maps.DeleteFunc(r.trace.overlapping, unlisted)
	for key := range r.trace.stoppedAt {
		if !listed[key] {
			r.traceStopOutcome(key, startedAt)
		}
	}
}

func (r *Runner) traceOverlap(key runKey, other int32) {
	if r.trace.overlapping[key] {
		return
	}
	r.trace.overlapping[key] = true
	r.trace.overlaps++
	tracer.Write(&tracer.RunsOverlap{
		Job:      tracker.JobOf(key.task),
		Task:     key.task,
		Run:      key.run,
		Other:    other,
		Executor: r.info.GetId(),
		Born:     r.info.GetBornUnixMs(),
		Session:  r.session,
	})
}

func (r *Runner) traceUnexpected(key runKey) {
	tracer.Write(&tracer.RunUnexpected{
		Job:      tracker.JobOf(key.task),
		Task:     key.task,
		Run:      key.run,
		Executor: r.info.GetId(),
		Born:     r.info.GetBornUnixMs(),
		Session:  r.session,
	})
}

// traceStopOutcome writes the outcome of an accepted stop of a run that is not listed
// as running. Lists that were requested before the stop was accepted, or that leave out
// ends, only count if they have the end.
func (r *Runner) traceStopOutcome(key runKey, startedAt time.Duration) {
	acceptedAt := r.trace.stoppedAt[key]
	cause := ""
	switch {
	case r.unrecordedEnds.has(key):
		cause = r.unrecordedEnds.cause(key).String()
	case startedAt < acceptedAt || !r.unrecordedEnds.rulesOut(key):
		return
	}
	delete(r.trace.stoppedAt, key)
	tracer.Write(&tracer.StopCompleted{
		Job:      tracker.JobOf(key.task),
		Task:     key.task,
		Run:      key.run,
		Executor: r.info.GetId(),
		Born:     r.info.GetBornUnixMs(),
		Took:     tracer.Milliseconds(r.Elapsed.Elapsed() - acceptedAt),
		Cause:    cause,
	})
}

// traceOwnStop writes that the agent stops a run without an order of the leader.
// refusal is the reason for which a start is refused, empty for other stops.
func (r *Runner) traceOwnStop(info *wire.ExecutorInfo, key runKey, reason tracer.StopReason, refusal string) {
	tracer.Write(&tracer.StopOrdered{
		Job:      tracker.JobOf(key.task),
		Task:     key.task,
		Run:      key.run,
		Host:     r.Host,
		Reason:   reason,
		Refusal:  refusal,
		Executor: info.GetId(),
		Born:     info.GetBornUnixMs(),
	})
}

// traceStop writes that the executor accepted a stop, and remembers when.
func (r *Runner) traceStop(info *wire.ExecutorInfo, key runKey, token int64) {
	tracer.Write(&tracer.TaskStopped{
		Job:      tracker.JobOf(key.task),
		Task:     key.task,
		Run:      key.run,
		Executor: info.GetId(),
		Born:     info.GetBornUnixMs(),
		Token:    token,
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.trace.stoppedAt[key]; !known && r.isPresent(info) {
		r.trace.stoppedAt[key] = r.Elapsed.Elapsed()
	}
}
