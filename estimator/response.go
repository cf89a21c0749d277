package estimator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// Action is what to do with one task because of the slowdown of the service on
// its host.
type Action int

// Actions by rising cost. New tasks need no action, because Cost already steers
// them to other hosts.
const (
	// Restore ends the throttling of a task.
	Restore Action = iota
	Throttle
	Evict
)

const (
	// A host becomes hot above hotSlowdown and stops being hot below coolSlowdown.
	// The difference keeps noise from switching it back and forth.
	hotSlowdown  = 0.25
	coolSlowdown = 0.10
	// settleTime is the time until measurements, which arrive late, show the
	// effect of an action. Until then they would call for the same action again.
	settleTime = 10 * time.Second
	// restoreAfter is longer than settleTime, so that a task that interferes is
	// not restored and throttled in turn at every measurement.
	restoreAfter = time.Minute
	// throttlePermille halves the processors of a task. A higher value hardly helps
	// the service; a lower one delays the task as much as an eviction.
	throttlePermille = 500
	// latencyWeight weighs a slowdown of the service against lost batch work: a
	// slowdown by a quarter weighs as much as one stopped task.
	latencyWeight = 4.0
	// evictionCost accounts for the checkpoint and the restart, which each occupy
	// a host without progress. At 1, equal objective weights would evict tasks for
	// which throttling is enough.
	evictionCost = 2.0
	// restartCost is the work lost by any restart. A task without checkpoints also
	// loses the minutes that it ran, of which at most maxLostMinutes count.
	restartCost    = 0.2
	maxLostMinutes = 5.0
)

// Response is a decision about one task, because of the slowdown of the service
// on its host. Permille is the part of its processors that the task may use.
type Response struct {
	Host     string
	Task     string
	Action   Action
	Permille int
	Reason   string
}

// Respond returns at most one response for each host, sorted by host. Later
// estimates assume that the caller carries the responses out.
func (e *Estimator) Respond() []Response {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	now := e.Clock.Now()
	var responses []Response
	for id, h := range e.hosts {
		if h.slowdown > hotSlowdown {
			h.hot = true
		} else if h.slowdown < coolSlowdown {
			h.hot = false
		}
		wait := settleTime
		if !h.hot {
			wait = restoreAfter
		}
		if h.service == "" || now.Sub(h.lastActionAt) < wait {
			continue
		}
		response, ok := e.respond(id, h)
		if !ok {
			continue
		}
		h.lastActionAt = now
		h.tasks[response.Task].processorPermille = response.Permille
		h.recordMix(now)
		responses = append(responses, response)
	}
	slices.SortFunc(responses, func(a, b Response) int { return strings.Compare(a.Host, b.Host) })
	return responses
}

// respond chooses the response for a host. On a hot host it is the action with
// the largest gain, otherwise the end of the throttling of a task.
func (e *Estimator) respond(id string, h *hostView) (Response, bool) {
	if !h.hot {
		return restoreOne(id, h)
	}
	var best Response
	gain := 0.0
	for _, task := range sortedKeys(h.tasks) {
		r := h.tasks[task]
		if !r.mayChange() {
			continue
		}
		effect := e.publishedSlowdown(h.service, r.spec.GetKind(), h.loadLevel)
		action, permille, taskGain := bestAction(e.Objective, effect, r, e.Clock.Since(r.startedAt))
		if taskGain > gain {
			gain = taskGain
			best = Response{
				Host:     id,
				Task:     task,
				Action:   action,
				Permille: permille,
				Reason:   fmt.Sprintf("kind %s slows service %s by %.0f%%", r.spec.GetKind(), h.service, 100*effect),
			}
		}
	}
	return best, gain > 0
}

// restoreOne ends the throttling of the first throttled task of a host, if there is one.
func restoreOne(id string, h *hostView) (Response, bool) {
	for _, task := range sortedKeys(h.tasks) {
		if r := h.tasks[task]; r.mayChange() && r.throttled() {
			return Response{
				Host:     id,
				Task:     task,
				Action:   Restore,
				Permille: fullPermille,
				Reason:   fmt.Sprintf("service %s is slowed by %.0f%% only", h.service, 100*h.slowdown),
			}, true
		}
	}
	return Response{}, false
}

// mayChange reports whether the task may be throttled, restored or evicted: it is a
// batch task that is not being evicted already.
func (r *runningTask) mayChange() bool {
	return r.spec.GetClass() != wire.TaskClass_TASK_CLASS_LATENCY_CRITICAL && r.processorPermille > 0
}

// sortedKeys returns the keys of a map in order, so that sums and choices do not
// depend on the order of the map.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// bestAction returns the better of throttling and evicting a task, the permille of
// its processors that the task keeps, and the gain under the operators' objective.
// ran is how long the attempt has run.
func bestAction(o damaskspread.Objective, effect float64, r *runningTask, ran time.Duration) (Action, int, float64) {
	if o == (damaskspread.Objective{}) {
		o = damaskspread.Objective{
			TailLatency:     1,
			BatchThroughput: 1,
			Evictions:       1,
		}
	}
	currentSlowdown := effect * float64(r.processorPermille) / fullPermille
	lostWork := restartCost
	if !r.spec.GetCanCheckpoint() {
		lostWork += min(ran.Minutes(), maxLostMinutes)
	}
	evict := o.TailLatency*latencyWeight*currentSlowdown - o.Evictions*evictionCost - o.BatchThroughput*lostWork
	if r.throttled() {
		return Evict, 0, evict
	}
	removed := 1 - float64(throttlePermille)/fullPermille
	throttle := o.TailLatency*latencyWeight*currentSlowdown*removed - o.BatchThroughput*removed
	if evict > throttle {
		return Evict, 0, evict
	}
	return Throttle, throttlePermille, throttle
}
