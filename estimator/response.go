package estimator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// Action is a response to interference on a host.
type Action int

// Actions by rising cost. Placing elsewhere needs no action: Cost already
// steers new tasks away.
const (
	// Restore ends the throttling of a task.
	Restore Action = iota
	Throttle
	Evict
)

const (
	// hotSlowdown and coolSlowdown are apart so that a host does not switch
	// with the noise between them.
	hotSlowdown  = 0.25
	coolSlowdown = 0.10
	// settle is the time until the effect of an action shows in the late
	// measurements; acting earlier would act twice on the same cause.
	settle = 10 * time.Second
	// restoreAfter is longer than settle, so that a kind that interferes is
	// not restored and throttled in turn at every measurement.
	restoreAfter = time.Minute
	// throttlePermille halves a task: less relieves a service hardly, more
	// makes the task as slow as an eviction.
	throttlePermille = 500
	// relief scales a slowdown of the service against lost batch work. A
	// service slowed by a quarter weighs as much as one task at rest.
	relief = 4.0
	// evictionCost counts the checkpoint and the restart, which each occupy a
	// host without progress. At 1, balanced objectives would evict tasks that
	// throttling is enough for.
	evictionCost = 2.0
	// restartCost is the share of a task's work that a restart repeats.
	restartCost = 0.2
)

// Response is one decision about a task on a host whose service is slowed.
type Response struct {
	Host     string
	Task     string
	Action   Action
	Permille int
	Reason   string
}

// Respond returns at most one response for each host and assumes that it is
// carried out.
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
		wait := settle
		if !h.hot {
			wait = restoreAfter
		}
		if h.service == "" || now.Sub(h.acted) < wait {
			continue
		}
		response, ok := e.respond(id, h)
		if !ok {
			continue
		}
		h.acted = now
		h.tasks[response.Task].permille = response.Permille
		h.note(now)
		responses = append(responses, response)
	}
	slices.SortFunc(responses, func(a, b Response) int { return strings.Compare(a.Host, b.Host) })
	return responses
}

func (e *Estimator) respond(id string, h *hostView) (Response, bool) {
	var best Response
	gain := 0.0
	for _, task := range sortedKeys(h.tasks) {
		r := h.tasks[task]
		if r.spec.GetClass() == wire.TaskClass_TASK_CLASS_LATENCY_CRITICAL || r.permille == 0 {
			continue
		}
		if !h.hot {
			if r.permille < 1000 {
				return Response{
					Host:     id,
					Task:     task,
					Action:   Restore,
					Permille: 1000,
					Reason:   fmt.Sprintf("service %s is slowed by %.0f%% only", h.service, 100*h.slowdown),
				}, true
			}
			continue
		}
		influence := e.published(h.service, r.spec.GetKind(), h.level)
		action, permille, g := weigh(e.Objective, influence, r, e.Clock.Since(r.since))
		if g > gain {
			gain = g
			best = Response{
				Host:     id,
				Task:     task,
				Action:   action,
				Permille: permille,
				Reason:   fmt.Sprintf("kind %s slows service %s by %.0f%%", r.spec.GetKind(), h.service, 100*influence),
			}
		}
	}
	return best, gain > 0
}

// sortedKeys fixes the order of sums and choices, so that equal inputs lead to
// equal results.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// weigh returns the better of throttling and evicting a task and its gain, by
// the operators' objective.
func weigh(o damaskspread.Objective, influence float64, r *running, ran time.Duration) (Action, int, float64) {
	if o == (damaskspread.Objective{}) {
		o = damaskspread.Objective{
			TailLatency:     1,
			BatchThroughput: 1,
			Evictions:       1,
		}
	}
	present := influence * float64(r.permille) / 1000
	lost := restartCost
	if !r.spec.GetCanCheckpoint() {
		lost += min(ran.Minutes(), 5)
	}
	evict := o.TailLatency*relief*present - o.Evictions*evictionCost - o.BatchThroughput*lost
	if r.permille < 1000 {
		return Evict, 0, evict
	}
	slowed := 1 - float64(throttlePermille)/1000
	throttle := o.TailLatency*relief*present*slowed - o.BatchThroughput*slowed
	if evict > throttle {
		return Evict, 0, evict
	}
	return Throttle, throttlePermille, throttle
}
