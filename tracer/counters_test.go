package tracer_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/tracer"
)

// Guards against metrics that miss events whose log lines are dropped, and
// against metric labels that hold the ID of a job.
func TestCounters(t *testing.T) {
	capture(t)
	set := metrics.NewSet()
	tr := &tracer.Tracer{
		Clock:    clockwork.NewFakeClock(),
		Counters: &tracer.Counters{Set: set},
	}
	const events = 5000
	for range events {
		tr.Write(&tracer.TaskStarted{
			Task: "517f50f645ca478b.0.0.1",
			Age:  tracer.Milliseconds(20 * time.Millisecond),
		})
	}
	tr.Write(&tracer.RunEnded{Cause: "END_CAUSE_LEASE_EXPIRED"})
	tr.Write(&tracer.RequestRefused{Reason: "log_unavailable"})
	var out bytes.Buffer
	set.WritePrometheus(&out)
	for _, want := range []string{
		`damaskspread_events_total{kind="task_started"} 5000`,
		`damaskspread_start_order_seconds_count 5000`,
		`damaskspread_runs_ended_total{cause="lease_expired"} 1`,
		`damaskspread_refusals_total{reason="log_unavailable"} 1`,
	} {
		assert.Assert(t, strings.Contains(out.String(), want), "%s lacks %s", out.String(), want)
	}
	assert.Assert(t, !strings.Contains(out.String(), "517f50f645ca478b"))
}
