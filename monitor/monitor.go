// Package monitor serves health, readiness, metrics and profiles of a process
// and sets up its log lines.
//
// It owns the metrics set of the process and starts no goroutine; the caller
// serves the handlers. /healthz answers as long as the process serves HTTP,
// /readyz with 503 and the reasons while any check fails.
//
// Open questions: none.
package monitor

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// Check is one condition of readiness.
type Check struct {
	// Name is snake_case, e.g. configuration_current.
	Name string
	// Failing returns the reason while the process is not ready, else "".
	Failing func() string
}

// Monitor serves the state of one process.
type Monitor struct {
	Checks []Check
	// Metrics holds the metrics of the process; nil serves those of the Go
	// runtime only.
	Metrics *metrics.Set
}

// Readiness is the response of /readyz.
type Readiness struct {
	Ready   bool              `json:"ready"`
	Reasons map[string]string `json:"reasons,omitempty"`
}

// Readiness runs every check.
func (m *Monitor) Readiness() Readiness {
	readiness := Readiness{
		Ready: true,
	}
	for _, check := range m.Checks {
		reason := check.Failing()
		if reason == "" {
			continue
		}
		if readiness.Reasons == nil {
			readiness.Reasons = map[string]string{}
		}
		readiness.Ready = false
		readiness.Reasons[check.Name] = reason
	}
	return readiness
}

// Handler serves /healthz, /readyz and /metrics.
func (m *Monitor) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]string{
			"status": "ok",
		})
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		readiness := m.Readiness()
		status := http.StatusOK
		if !readiness.Ready {
			status = http.StatusServiceUnavailable
		}
		writeJSON(w, status, readiness)
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		if m.Metrics != nil {
			m.Metrics.WritePrometheus(w)
		}
		metrics.WriteProcessMetrics(w)
	})
	return mux
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// Pprof serves /debug/pprof/. It is kept apart from Handler because a profile
// shows memory contents and costs processor time.
func Pprof() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return mux
}

// NotLoopbackError means that an address for pprof is reachable from outside.
type NotLoopbackError struct {
	Address string
}

func (e *NotLoopbackError) Error() string {
	return fmt.Sprintf("%s is not a loopback address and port", e.Address)
}

// ListenLoopback listens on a loopback address.
func ListenLoopback(address string) (net.Listener, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !parsed.Addr().IsLoopback() {
		return nil, &NotLoopbackError{
			Address: address,
		}
	}
	return net.Listen("tcp", address)
}

// Name writes a metric name with labels, e.g. Name("requests_total",
// "outcome", "ran"). Values are escaped.
func Name(name string, labels ...string) string {
	if len(labels) < 2 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	separator := "{"
	for i := 0; i+1 < len(labels); i += 2 {
		fmt.Fprintf(&b, "%s%s=%s", separator, labels[i], quote(labels[i+1]))
		separator = ","
	}
	b.WriteString("}")
	return b.String()
}

var escaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func quote(value string) string { return `"` + escaper.Replace(value) + `"` }
