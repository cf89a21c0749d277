package server

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/monitor"
)

// outcomeWriter remembers the status of a response.
type outcomeWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *outcomeWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *outcomeWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// countOutcomes counts the requests of callers by outcome and measures how
// long they took at this entry.
func countOutcomes(set *metrics.Set, clock damaskspread.Clock, next http.Handler) http.Handler {
	seconds := set.NewHistogram("damaskspread_request_seconds")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begin := clock.Now()
		writer := &outcomeWriter{
			ResponseWriter: w,
		}
		next.ServeHTTP(writer, r)
		seconds.Update(clock.Since(begin).Seconds())
		outcome := w.Header().Get(client.HeaderOutcome)
		if outcome == "" {
			outcome = "none"
		}
		set.GetOrCreateCounter(monitor.Name("damaskspread_requests_total", "outcome", outcome)).Inc()
	})
}
