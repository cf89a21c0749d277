// Package monitor provides the HTTP handlers for health, readiness, metrics
// and profiles of a process, and its JSON logger. Package tracer builds on it
// and defines the typed events of jobs and tasks.
//
// /healthz responds with 200 as long as the process serves HTTP. /readyz
// responds with 503 and the reasons while any check fails.
//
// The package starts no goroutine: the caller serves the handlers and runs
// LineWriter.Run. The state consists of the lines that LineWriter buffers; the
// metrics set belongs to the caller.
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

// Check is one readiness check.
type Check struct {
	// Name is snake_case, e.g. configuration_current.
	Name string
	// Failing returns the reason why the check fails, or "" while it passes.
	// Concurrent requests call it concurrently.
	Failing func() string
}

// Monitor serves the health, readiness and metrics of one process.
type Monitor struct {
	Checks []Check
	// Metrics holds the metrics of the process. With nil, only those of the Go
	// runtime are served.
	Metrics *metrics.Set
}

// Readiness is the response of /readyz. Reasons is keyed by the names of the
// failing checks.
type Readiness struct {
	Ready   bool              `json:"ready"`
	Reasons map[string]string `json:"reasons,omitempty"`
}

// Readiness runs all checks.
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

// Handler returns a handler for /healthz, /readyz and /metrics.
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

// PprofHandler returns a handler for /debug/pprof/. It is separate from Handler
// because a profile exposes memory contents and costs processor time.
func PprofHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return mux
}

// NotLoopbackError means that the address for pprof is not a loopback IP address
// with a port.
type NotLoopbackError struct {
	Address string
}

func (e *NotLoopbackError) Error() string {
	return fmt.Sprintf("%s is not a loopback IP address with a port, such as 127.0.0.1:6060", e.Address)
}

// ListenLoopback listens on a loopback IP address with a port. For any other
// address, and for host names, it returns a NotLoopbackError.
func ListenLoopback(address string) (net.Listener, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !parsed.Addr().IsLoopback() {
		return nil, &NotLoopbackError{
			Address: address,
		}
	}
	return net.Listen("tcp", address)
}

// MetricName returns a metric name with labels in the Prometheus text format.
// Labels alternate names and values: Name("requests_total", "outcome", "ran")
// returns requests_total{outcome="ran"}. Values are escaped.
func MetricName(name string, labels ...string) string {
	if len(labels) < 2 {
		return name
	}
	var builder strings.Builder
	builder.WriteString(name)
	separator := "{"
	for i := 0; i+1 < len(labels); i += 2 {
		fmt.Fprintf(&builder, "%s%s=%s", separator, labels[i], quoteLabelValue(labels[i+1]))
		separator = ","
	}
	builder.WriteString("}")
	return builder.String()
}

var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func quoteLabelValue(value string) string { return `"` + labelEscaper.Replace(value) + `"` }
