package admitter

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"gopkg.in/tomb.v2"
)

const (
	probeEvery   = time.Second
	probeTimeout = time.Second
	// probeFailures tolerates a single slow answer of a loaded endpoint.
	probeFailures = 3
	leaveTimeout  = 5 * time.Second
)

func (a *Admitter) enter() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active++
}

func (a *Admitter) exit() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active--
	a.signalIdle()
}

func (a *Admitter) signalIdle() {
	if a.idle != nil && a.active == 0 {
		close(a.idle)
		a.idle = nil
	}
}

// Drain refuses new work with leaving and waits until the requests in progress
// have been answered.
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

// Leaving reports that the agent takes no new work, before or after the leave
// is in the log.
func (a *Admitter) Leaving() bool { return a.draining.Load() || a.Feed.Leaving() }

// Healthy reports whether the endpoint answers its probes.
func (a *Admitter) Healthy() bool { return !a.failing.Load() }

// LocalHandler serves POST /leave for the endpoint on a loopback listener. New
// work is refused from the first call on, also if the others can't be told.
func (a *Admitter) LocalHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /leave", func(w http.ResponseWriter, r *http.Request) {
		if !fromLoopback(r) {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		a.draining.Store(true)
		ctx, cancel := context.WithTimeout(r.Context(), leaveTimeout)
		defer cancel()
		if a.OnLeave != nil && a.OnLeave(ctx) != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusAccepted)
	})
	return mux
}

func fromLoopback(r *http.Request) bool {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	address, err := netip.ParseAddr(host)
	return err == nil && address.IsLoopback()
}

// Run probes the endpoint until the tomb dies.
func (a *Admitter) Run(t *tomb.Tomb) error {
	ticker := a.Clock.NewTicker(probeEvery)
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
		a.failing.Store(failures >= probeFailures)
	}
}
