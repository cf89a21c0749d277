package server

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/monitor"
)

// instrumentRequests counts the callers' requests by outcome and records their
// duration at this entry process.
func instrumentRequests(set *metrics.Set, clock damaskspread.Clock, next http.Handler) http.Handler {
	durations := set.NewHistogram("damaskspread_request_seconds")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := clock.Now()
		next.ServeHTTP(w, r)
		durations.Update(clock.Since(start).Seconds())
		outcome := w.Header().Get(client.HeaderOutcome)
		if outcome == "" {
			outcome = "none"
		}
		set.GetOrCreateCounter(monitor.MetricName("damaskspread_requests_total", "outcome", outcome)).Inc()
	})
}
