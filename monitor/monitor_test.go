package monitor_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/monitor"
)

func get(handler http.Handler, path string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	return recorder
}

// Guards against a process that reports ready while a check fails, and against
// a failing check without a reason in the response.
func TestReadiness(t *testing.T) {
	reason := "currency age 4s is above 3s"
	m := &monitor.Monitor{
		Checks: []monitor.Check{
			{Name: "configuration_current", Failing: func() string { return reason }},
			{Name: "replayed", Failing: func() string { return "" }},
		},
	}
	response := get(m.Handler(), "/readyz")
	assert.Equal(t, response.Code, http.StatusServiceUnavailable)
	assert.Equal(t, strings.TrimSpace(response.Body.String()), `{"ready":false,"reasons":{"configuration_current":"currency age 4s is above 3s"}}`)
	reason = ""
	assert.Equal(t, get(m.Handler(), "/readyz").Code, http.StatusOK)
	assert.Equal(t, get(m.Handler(), "/healthz").Code, http.StatusOK)
}

// Guards against unescaped label values, which break the metrics format.
func TestMetrics(t *testing.T) {
	m := &monitor.Monitor{
		Metrics: metrics.NewSet(),
	}
	name := monitor.MetricName("requests_total", "service", "a\"b\\c\n", "outcome", "ran")
	m.Metrics.NewCounter(name).Inc()
	body := get(m.Handler(), "/metrics").Body.String()
	assert.Assert(t, strings.Contains(body, `requests_total{service="a\"b\\c\n",outcome="ran"} 1`), body[:200])
	assert.Assert(t, strings.Contains(body, "go_goroutines"))
}

// Guards against serving profiles to other hosts.
func TestListenLoopback(t *testing.T) {
	for _, address := range []string{"0.0.0.0:0", "10.0.0.1:0", "localhost:0", ":0"} {
		_, err := monitor.ListenLoopback(address)
		assert.ErrorType(t, err, &monitor.NotLoopbackError{})
	}
	listener, err := monitor.ListenLoopback("127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	assert.Equal(t, get(monitor.PprofHandler(), "/debug/pprof/cmdline").Code, http.StatusOK)
}

// Guards against lines that are not valid JSON or lack the fields of the process
// or the subject, and against lines below the configured level.
func TestLogger(t *testing.T) {
	var out bytes.Buffer
	logger := monitor.NewLogger(monitor.LoggerConfig{
		Writer:  &out,
		Level:   "info",
		Process: "entry-1",
		Role:    "entry",
		Zone:    "gaspe",
	})
	logger.Debug().Msg("dropped")
	logger.Info().EmbedObject(monitor.Subject{Request: "r1", Task: "t1"}).Msg("claimed")
	var line map[string]string
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
	delete(line, "time")
	assert.DeepEqual(t, line, map[string]string{
		"level":      "info",
		"process":    "entry-1",
		"role":       "entry",
		"zone":       "gaspe",
		"request_id": "r1",
		"task":       "t1",
		"message":    "claimed",
	})
}
