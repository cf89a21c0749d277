package tracer_test

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/monitor"
	"damaskspread.example/damaskspread/tracer"
)

// capture redirects the default logger to a buffer until the test ends.
func capture(t *testing.T) *bytes.Buffer {
	var out bytes.Buffer
	previous := log.DefaultLogger
	log.DefaultLogger = *monitor.NewLogger(monitor.LoggerConfig{
		Writer:  &out,
		Level:   "info",
		Process: "entry-1",
		Role:    "job_entry",
		Zone:    "gaspe",
	})
	t.Cleanup(func() { log.DefaultLogger = previous })
	return &out
}

// fill sets the fields of an event to nonzero values that differ for most fields.
func fill(event tracer.Event) {
	value := reflect.ValueOf(event).Elem()
	for i := range value.NumField() {
		field := value.Field(i)
		switch field.Kind() {
		case reflect.String:
			field.SetString("value " + value.Type().Field(i).Name)
		case reflect.Int, reflect.Int32, reflect.Int64:
			field.SetInt(int64(time.Millisecond) * int64(i+1) / 10)
		case reflect.Float64:
			field.SetFloat(0.25)
		case reflect.Bool:
			field.SetBool(true)
		case reflect.Map:
			field.Set(reflect.ValueOf(map[string]int{"processors": 3}))
		}
	}
}

// Guards against a field that ParseLine loses or confuses with another one.
func TestEventsAreReadAsWritten(t *testing.T) {
	for _, kind := range tracer.Kinds() {
		out := capture(t)
		event := tracer.New(kind)
		assert.Equal(t, tracer.KindOf(event), kind)
		fill(event)
		tracer.Write(event)
		line, ok := tracer.ParseLine(out.Bytes())
		assert.Assert(t, ok, "%s", out)
		assert.Equal(t, line.Process(), "entry-1")
		assert.Equal(t, line.Zone(), "gaspe")
		assert.DeepEqual(t, line.Event(), event)
	}
}

// Guards against rejecting lines that a log collector has prefixed, and against
// accepting text of other programs.
func TestParseLine(t *testing.T) {
	prefixed := `   1.25 entry-1 {"time":"2026-01-02T03:04:05.006Z","level":"warn","process":"entry-1","topic":"jobs","message":"log unreachable"}`
	line, ok := tracer.ParseLine([]byte(prefixed))
	assert.Assert(t, ok)
	assert.Assert(t, line.Event() == nil)
	assert.DeepEqual(t, line.Fields(), map[string]any{"topic": "jobs"})
	for _, text := range []string{"", "text", "{", `{"level":"info"}`, `{"process":3}`, `{"process":"a","message":"task assigned","run":"x"}`} {
		_, ok := tracer.ParseLine([]byte(text))
		assert.Assert(t, !ok, "%q", text)
	}
}

// Guards against log volume that grows with the load without limit, and against
// lines that are dropped without a warning.
func TestRateLimit(t *testing.T) {
	out := capture(t)
	clock := clockwork.NewFakeClock()
	tr := &tracer.Tracer{Clock: clock}
	const events = 5000
	for range events {
		tr.Write(&tracer.TaskStarted{Task: "a"})
	}
	tr.Write(&tracer.RunEnded{Task: "b"})
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	written := len(lines) - 1
	assert.Assert(t, written < events/2, "%d lines", written)
	last, ok := tracer.ParseLine(lines[written])
	assert.Assert(t, ok)
	assert.Equal(t, last.Message(), string(tracer.KindRunEnded))

	clock.Advance(time.Second)
	out.Reset()
	tr.Write(&tracer.TaskStarted{Task: "a"})
	warning, ok := tracer.ParseLine(bytes.Split(out.Bytes(), []byte("\n"))[0])
	assert.Assert(t, ok)
	assert.DeepEqual(t, warning.Fields(), map[string]any{
		"kind":  string(tracer.KindTaskStarted),
		"count": float64(events - written),
	})
}

// BenchmarkWrite measures writing one event.
func BenchmarkWrite(b *testing.B) {
	previous := log.DefaultLogger
	defer func() { log.DefaultLogger = previous }()
	log.DefaultLogger = *monitor.NewLogger(monitor.LoggerConfig{Writer: &bytes.Buffer{}, Level: "info"})
	event := &tracer.TaskAssigned{Job: "517f50f645ca478b", Task: "517f50f645ca478b.0.0.3", Host: "side-1"}
	for b.Loop() {
		tracer.Write(event)
	}
}
