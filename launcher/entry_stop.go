package launcher

import (
	"context"
	"net/http"
	"time"

	"github.com/phuslu/log"
)

// closeWhileStopping adds "Connection: close" to responses while the process
// stops, so that callers open their next connection elsewhere. Idle connections
// stay open: closing them would break off requests that callers are sending. It
// also counts the requests in progress.
func (e *Entry) closeWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.inFlight.Add(1)
		defer e.inFlight.Add(-1)
		if e.process.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// stop turns readiness off, resigns the leadership and keeps serving until the
// load balancer sends no more new connections, no request is in progress and the log
// has all cancellations, at most for the grace period without stopMargin. Then it closes
// the listener for callers.
func (e *Entry) stop() {
	log.Info().Int64("in_flight", e.inFlight.Load()).Msg("process stopping")
	e.process.stopping.Store(true)
	start := e.process.elapsed.Elapsed()
	resignCtx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	e.elector.Resign(resignCtx)
	cancel()
	limit := e.Settings.Bounds().Grace() - stopMargin
	for {
		waited := e.process.elapsed.Elapsed() - start
		finished := e.inFlight.Load() == 0 && e.submitter.PendingCancellations() == 0
		if waited > limit || (waited > unreadyDelay && finished) {
			break
		}
		e.Clock.Sleep(20 * time.Millisecond)
	}
	remaining := limit - (e.process.elapsed.Elapsed() - start)
	shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), max(remaining, 100*time.Millisecond))
	defer cancelShutdown()
	if err := e.process.servers[0].Shutdown(shutdownCtx); err != nil {
		log.Warn().Err(err).Msg("requests still running at the end of the grace period")
	}
	if pending := e.submitter.PendingCancellations(); pending > 0 {
		log.Warn().Int("cancellations", pending).Msg("cancellations not recorded at the end of the grace period")
	}
}
