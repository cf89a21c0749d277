package launcher

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/monitor"
	"damaskspread.example/damaskspread/tailer"
)

func (e *Entry) observeRequest(method string, status int, elapsed time.Duration) {
	e.process.metricsSet.GetOrCreateCounter(monitor.MetricName("damaskspread_caller_requests_total",
		"method", method, "status", http.StatusText(status))).Inc()
	e.process.metricsSet.GetOrCreateHistogram(monitor.MetricName("damaskspread_caller_request_seconds", "method", method)).Update(elapsed.Seconds())
}

func (e *Entry) checks() []monitor.Check {
	return []monitor.Check{
		{
			Name: "configuration_current",
			Failing: func() string {
				config, age := e.config.Config()
				if config == nil || age > e.currencyLimit() {
					return "the configuration is " + damaskspread.AgeText(age)
				}
				return ""
			},
		},
		{
			Name: "jobs_current",
			Failing: func() string {
				if age := e.jobsTail.Age(); age > e.Settings.Bounds().VisibleWithin() {
					return "the list of jobs is " + damaskspread.AgeText(age)
				}
				return ""
			},
		},
		{
			Name: "accepting",
			Failing: func() string {
				if e.process.stopping.Load() {
					return "the process is stopping"
				}
				return ""
			},
		},
	}
}

func (e *Entry) metrics() *metrics.Set {
	age := func(tail *tailer.Tailer) func() float64 {
		return func() float64 { return min(tail.Age(), time.Hour).Seconds() }
	}
	e.process.metricsSet.NewGauge("damaskspread_configuration_age_seconds", age(e.operationsTail))
	e.process.metricsSet.NewGauge("damaskspread_jobs_age_seconds", age(e.jobsTail))
	e.process.metricsSet.NewGauge("damaskspread_leader_epoch", func() float64 { return float64(e.elector.Epoch()) })
	e.process.metricsSet.NewGauge("damaskspread_open_jobs", func() float64 { return float64(e.coordinator.OpenJobs()) })
	e.process.metricsSet.NewGauge("damaskspread_cycle_seconds", func() float64 { return e.coordinator.CycleTime().Seconds() })
	e.process.metricsSet.NewGauge("damaskspread_agent_sessions", func() float64 { return float64(e.coordinator.Sessions()) })
	e.process.metricsSet.NewGauge("damaskspread_paced_steps", func() float64 { return float64(e.coordinator.PacedSteps()) })
	e.process.metricsSet.NewGauge("damaskspread_waiting_steps", func() float64 { return float64(e.coordinator.WaitingSteps()) })
	e.process.metricsSet.NewGauge("damaskspread_advised_steps", func() float64 { return float64(e.coordinator.AdvisedSteps()) })
	e.process.metricsSet.NewGauge("damaskspread_log_calls_relayed_total", func() float64 { return float64(e.logRelayer.RelayedCalls()) })
	e.process.metricsSet.NewGauge("damaskspread_requests_in_flight", func() float64 { return float64(e.inFlight.Load()) })
	e.process.metricsSet.NewGauge("damaskspread_pending_cancellations", func() float64 { return float64(e.submitter.PendingCancellations()) })
	if e.Settings.Scheduling().LearnedRunTimes() {
		e.addRunTimeMetrics()
	}
	if e.loadPoller != nil {
		e.process.metricsSet.NewGauge("damaskspread_load_estimate_age_seconds", e.loadPoller.AgeSeconds)
		e.process.metricsSet.NewGauge("damaskspread_load_estimate_failed_calls_total", func() float64 { return float64(e.loadPoller.FailedCalls()) })
	}
	e.process.metricsSet.NewGauge("damaskspread_admission_without_estimate", func() float64 {
		if e.submitter.EstimateMissing() {
			return 1
		}
		return 0
	})
	return e.process.metricsSet
}

func (e *Entry) addRunTimeMetrics() {
	stats := e.coordinator.RunTimeStats
	set := e.process.metricsSet
	set.NewGauge("damaskspread_run_times_observed_total", func() float64 { return float64(stats().Observed) })
	set.NewGauge("damaskspread_run_time_kinds", func() float64 { return float64(stats().Kinds) })
	set.NewGauge(monitor.MetricName("damaskspread_run_time_error", "estimate", "declared"), func() float64 { return stats().DeclaredError })
	set.NewGauge(monitor.MetricName("damaskspread_run_time_error", "estimate", "predicted"), func() float64 { return stats().PredictedError })
}
