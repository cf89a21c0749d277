package tracer

import (
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"damaskspread.example/damaskspread/monitor"
)

// Counters updates metrics for events, including events whose log lines are
// dropped. No label holds the ID of a job or task. Set must be set before use.
// Counters is safe for concurrent use.
type Counters struct {
	Set *metrics.Set
}

// Observe updates the metrics for one event.
func (c *Counters) Observe(event Event) {
	c.count("damaskspread_events_total", "kind", strings.ReplaceAll(string(event.kind()), " ", "_"))
	switch e := event.(type) {
	case *JobAccepted:
		c.observe("damaskspread_append_seconds", e.Append)
	case *JobRefused:
		// The queue is configured by operators, so the label has few values.
		if e.Recorded {
			c.count("damaskspread_jobs_refused_total", "queue", e.Queue)
			c.observe("damaskspread_refusal_seconds", e.Append)
		} else {
			c.count("damaskspread_refusals_not_recorded_total", "queue", e.Queue)
		}
	case *TaskStarted:
		c.observe("damaskspread_start_order_seconds", e.Age)
	case *RequestRefused:
		c.count("damaskspread_refusals_total", "reason", e.Reason)
	case *StartRefused:
		c.count("damaskspread_start_refusals_total", "reason", e.Reason)
	case *StopOrdered:
		c.count("damaskspread_stops_total", "reason", string(e.Reason))
	case *RunEnded:
		c.count("damaskspread_runs_ended_total", "cause", strings.ToLower(strings.TrimPrefix(e.Cause, "END_CAUSE_")))
	case *TaskCopied:
		c.count("damaskspread_copies_total", "outcome", "ordered")
	case *CopyDone:
		c.count("damaskspread_copies_total", "outcome", "first")
	case *CopyLost:
		c.count("damaskspread_copies_total", "outcome", string(e.Cause))
	case *TasksWaiting:
		c.observe("damaskspread_task_wait_seconds", e.Waited)
	}
}

func (c *Counters) count(name, label, value string) {
	c.Set.GetOrCreateCounter(monitor.MetricName(name, label, value)).Inc()
}

func (c *Counters) observe(name string, duration Milliseconds) {
	c.Set.GetOrCreateHistogram(name).Update(time.Duration(duration).Seconds())
}
