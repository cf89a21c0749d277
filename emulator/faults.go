package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	"damaskspread.example/damaskspread"
)

// Fault is the body of POST /faults. It replaces the earlier faults of its
// target, so a Fault with only a target clears them.
type Fault struct {
	// Target is log or worker; a worker also needs Host.
	Target string `json:"target"`
	Host   string `json:"host,omitempty"`
	// DelayMs delays each call before it takes effect, in milliseconds.
	DelayMs int64 `json:"delay_ms,omitempty"`
	// Down refuses each call without effect.
	Down bool `json:"down,omitempty"`
	// LoseResponses is the number of calls that take effect without a response.
	// Reads of the log and of a worker's status keep theirs.
	LoseResponses int `json:"lose_answers,omitempty"`
	// Paused holds calls until the pause ends; they take effect then.
	Paused bool `json:"paused,omitempty"`
	// FailStarts makes every task of the worker fail when it starts.
	FailStarts bool `json:"fail_starts,omitempty"`
	// UsageLagMs is added to the age of usage samples, in milliseconds.
	UsageLagMs int64 `json:"usage_lag_ms,omitempty"`
	// Restart gives the worker a new boot without tasks, once: its running tasks
	// are lost.
	Restart bool `json:"restart,omitempty"`
	// ExpireRetention drops all log entries, once.
	ExpireRetention bool `json:"expire_retention,omitempty"`
}

// faultInjector applies the current Fault to the calls of one target.
type faultInjector struct {
	clock   damaskspread.Clock
	mu      sync.Mutex
	fault   Fault
	changed chan struct{}
	closed  chan struct{}
}

func newFaultInjector(clock damaskspread.Clock) *faultInjector {
	return &faultInjector{
		clock:   clock,
		changed: make(chan struct{}),
		closed:  make(chan struct{}),
	}
}

func (g *faultInjector) set(fault Fault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fault = fault
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *faultInjector) get() (Fault, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fault, g.changed
}

func (g *faultInjector) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.closed:
	default:
		close(g.closed)
	}
}

// takeResponseLoss reports whether the response of a call is to be dropped, and
// counts it down. Calls without effect keep their responses.
func (g *faultInjector) takeResponseLoss(path string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if strings.HasSuffix(path, "/ReadEntries") || strings.HasSuffix(path, "/Status") || g.fault.LoseResponses == 0 {
		return false
	}
	g.fault.LoseResponses--
	return true
}

// holdCall waits while the target is paused, and for the delay. It doesn't end
// with the caller, since the call has already reached the target. It returns
// false if the platform stops.
func (g *faultInjector) holdCall() (Fault, bool) {
	delayed := false
	for {
		fault, changed := g.get()
		var wait <-chan time.Time
		switch {
		case fault.Paused:
		case fault.DelayMs > 0 && !delayed:
			wait = g.clock.After(time.Duration(fault.DelayMs) * time.Millisecond)
		default:
			return fault, true
		}
		select {
		case <-wait:
			delayed = true
		case <-changed:
		case <-g.closed:
			return fault, false
		}
	}
}

// wrap adds fault injection to a handler.
func (g *faultInjector) wrap(next http.Handler) http.Handler {
	errorWriter := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		fault, ok := g.holdCall()
		if !ok {
			panic(http.ErrAbortHandler)
		}
		if fault.Down {
			_ = errorWriter.Write(w, r, connect.NewError(connect.CodeUnavailable, errors.New("down")))
			return
		}
		// Reads have no effect, so they may end with their caller.
		if !strings.HasSuffix(r.URL.Path, "/ReadEntries") && !strings.HasSuffix(r.URL.Path, "/Status") {
			r = r.WithContext(context.WithoutCancel(r.Context()))
		}
		if g.takeResponseLoss(r.URL.Path) {
			next.ServeHTTP(&discardingWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// discardingWriter is an http.ResponseWriter that drops the response.
type discardingWriter struct {
	header http.Header
}

func (l *discardingWriter) Header() http.Header         { return l.header }
func (l *discardingWriter) Write(b []byte) (int, error) { return len(b), nil }
func (l *discardingWriter) WriteHeader(int)             {}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.SetFault(fault) {
		http.Error(w, "unknown target", http.StatusNotFound)
	}
}

// SetResponsesDropped says whether the network drops the responses of a host's
// worker, so that their callers read no results.
func (p *Platform) SetResponsesDropped(host string, dropped bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers[host].responsesDropped = dropped
}

// SetFault does what POST /faults does. It reports whether the target exists.
func (p *Platform) SetFault(fault Fault) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advanceAll()
	if fault.Target == "log" {
		if fault.ExpireRetention {
			p.log.dropAll()
		}
		p.logFaults.set(fault)
		return true
	}
	worker, ok := p.workers[fault.Host]
	if !ok || fault.Target != "worker" {
		return false
	}
	if fault.Restart {
		worker.restart()
	}
	worker.faults.set(fault)
	return true
}
