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

// Fault is the body of POST /faults. It replaces the faults of its target, so
// one without switches clears them.
type Fault struct {
	// Target is log or worker.
	Target string `json:"target"`
	Host   string `json:"host,omitempty"`
	// DelayMs delays each call before it takes effect.
	DelayMs int64 `json:"delay_ms,omitempty"`
	// Down refuses each call without effect.
	Down bool `json:"down,omitempty"`
	// LoseAnswers drops that many answers of calls that took effect.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// Paused holds calls until the pause ends; they take effect then.
	Paused bool `json:"paused,omitempty"`
	// FailStarts lets every task of a worker fail as it starts.
	FailStarts bool `json:"fail_starts,omitempty"`
	// UsageLagMs adds to the age of usage samples.
	UsageLagMs int64 `json:"usage_lag_ms,omitempty"`
	// Restart gives the worker a new boot without tasks, once.
	Restart bool `json:"restart,omitempty"`
	// ExpireRetention drops all log entries, once.
	ExpireRetention bool `json:"expire_retention,omitempty"`
}

// gate applies faults to the calls of one target.
type gate struct {
	clock   damaskspread.Clock
	mu      sync.Mutex
	fault   Fault
	changed chan struct{}
	done    chan struct{}
}

func newGate(clock damaskspread.Clock) *gate {
	return &gate{
		clock:   clock,
		changed: make(chan struct{}),
		done:    make(chan struct{}),
	}
}

func (g *gate) set(fault Fault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fault = fault
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *gate) get() (Fault, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fault, g.changed
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.done:
	default:
		close(g.done)
	}
}

// takeLoss reports whether the answer of a call is to be dropped. Reads have
// no effect and keep their answers.
func (g *gate) takeLoss(path string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if strings.HasSuffix(path, "/ReadEntries") || strings.HasSuffix(path, "/Status") || g.fault.LoseAnswers == 0 {
		return false
	}
	g.fault.LoseAnswers--
	return true
}

// hold waits while the target is paused or slow, whether or not the caller
// still waits, since the call has already reached the target.
func (g *gate) hold() (Fault, bool) {
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
		case <-g.done:
			return fault, false
		}
	}
}

func (g *gate) wrap(next http.Handler) http.Handler {
	refuse := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		fault, ok := g.hold()
		if !ok {
			panic(http.ErrAbortHandler)
		}
		if fault.Down {
			_ = refuse.Write(w, r, connect.NewError(connect.CodeUnavailable, errors.New("down")))
			return
		}
		if !strings.HasSuffix(r.URL.Path, "/ReadEntries") {
			r = r.WithContext(context.WithoutCancel(r.Context()))
		}
		if g.takeLoss(r.URL.Path) {
			next.ServeHTTP(&lostAnswer{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// lostAnswer is an http.ResponseWriter that drops the answer.
type lostAnswer struct {
	header http.Header
}

func (l *lostAnswer) Header() http.Header         { return l.header }
func (l *lostAnswer) Write(b []byte) (int, error) { return len(b), nil }
func (l *lostAnswer) WriteHeader(int)             {}

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

// SetFault switches faults as POST /faults does. It reports whether the
// target exists.
func (p *Platform) SetFault(fault Fault) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settleAll()
	if fault.Target == "log" {
		if fault.ExpireRetention {
			p.log.expire()
		}
		p.logGate.set(fault)
		return true
	}
	worker, ok := p.workers[fault.Host]
	if !ok || fault.Target != "worker" {
		return false
	}
	if fault.Restart {
		worker.restart()
	}
	worker.gate.set(fault)
	return true
}
