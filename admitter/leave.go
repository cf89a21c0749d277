package admitter

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/phuslu/log"
	"gopkg.in/tomb.v2"
)

const (
	probeInterval = time.Second
	probeTimeout  = time.Second
	// unhealthyThreshold is the number of consecutive failed probes that makes
	// the endpoint unhealthy. A loaded endpoint may fail a single probe.
	unhealthyThreshold = 3
	leaveTimeout       = 5 * time.Second // of OnLeave
)

func (a *Admitter) beginRequest() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight++
}

func (a *Admitter) endRequest() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight--
	a.signalIdle()
}

// signalIdle ends the wait of Drain if no request is in progress. The caller
// holds a.mu.
func (a *Admitter) signalIdle() {
	if a.idle != nil && a.inFlight == 0 {
		close(a.idle)
		a.idle = nil
	}
}

// Drain refuses new requests with damaskspread.ReasonLeaving and waits until
// those in progress have been answered. It returns the error of ctx if ctx ends
// first; it may be called again.
func (a *Admitter) Drain(ctx context.Context) error {
	a.draining.Store(true)
	if err := a.Limiter.Drain(ctx); err != nil {
		return err
	}
	a.mu.Lock()
	if a.idle == nil {
		a.idle = make(chan struct{})
	}
	idle := a.idle
	a.signalIdle()
	a.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Leaving reports whether the agent refuses new requests because of Drain, of
// POST /leave, or of a record in the log that the host leaves.
func (a *Admitter) Leaving() bool { return a.draining.Load() || a.Feed.Leaving() }

// Healthy reports whether the endpoint passes its health checks. It is true
// before the first check.
func (a *Admitter) Healthy() bool { return !a.unhealthy.Load() }

// LeaveHandler serves POST /leave, with which the endpoint announces its leave.
// It responds 403 to callers that are not on a loopback address, and 503 with the
// error if OnLeave fails; new requests are refused even if it fails.
func (a *Admitter) LeaveHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /leave", func(w http.ResponseWriter, r *http.Request) {
		if !isFromLoopback(r) {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		a.draining.Store(true)
		ctx, cancel := context.WithTimeout(r.Context(), leaveTimeout)
		defer cancel()
		if err := a.recordLeave(ctx); err != nil {
			log.Warn().Err(err).Msg("leave not recorded; new requests are refused all the same")
			http.Error(w, "the leave is not recorded: "+err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusAccepted)
	})
	return mux
}

func (a *Admitter) recordLeave(ctx context.Context) error {
	if a.OnLeave == nil {
		return nil
	}
	return a.OnLeave(ctx)
}

func isFromLoopback(r *http.Request) bool {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	address, err := netip.ParseAddr(host)
	return err == nil && address.IsLoopback()
}

// Run checks the endpoint's health periodically until the tomb dies.
func (a *Admitter) Run(t *tomb.Tomb) error {
	ticker := a.Clock.NewTicker(probeInterval)
	defer ticker.Stop()
	failures := 0
	for {
		select {
		case <-t.Dying():
			return nil
		case <-ticker.Chan():
		}
		if a.HealthPath == "" {
			continue
		}
		ctx, cancel := context.WithTimeout(t.Context(context.Background()), probeTimeout)
		if a.Forwarder.Probe(ctx, a.HealthPath) {
			failures = 0
		} else {
			failures++
		}
		cancel()
		a.unhealthy.Store(failures >= unhealthyThreshold)
	}
}
