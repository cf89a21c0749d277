package monitor

import (
	"io"

	"github.com/phuslu/log"
)

// Fields of log lines that concern a request, a task or a host.
const (
	FieldRequest = "request_id"
	FieldTask    = "task"
	FieldHost    = "host"
)

// LoggerConfig describes the log lines of a process.
type LoggerConfig struct {
	Writer io.Writer
	// Level is debug, info, warn or error.
	Level   string
	Process string
	Role    string
	Zone    string
}

// NewLogger returns a logger of JSON lines that carry the process. Writes are
// not buffered, so the last lines before a crash are kept.
func NewLogger(config LoggerConfig) *log.Logger {
	return &log.Logger{
		Level:   log.ParseLevel(config.Level),
		Context: log.NewContext(nil).Str("process", config.Process).Str("role", config.Role).Str("zone", config.Zone).Value(),
		Writer: &log.IOWriter{
			Writer: config.Writer,
		},
	}
}

// Subject names what a log line concerns; empty fields are left out.
type Subject struct {
	Request string
	Task    string
	Host    string
}

// MarshalObject implements log.ObjectMarshaler.
func (s Subject) MarshalObject(e *log.Entry) {
	for _, field := range []struct{ name, value string }{
		{FieldRequest, s.Request},
		{FieldTask, s.Task},
		{FieldHost, s.Host},
	} {
		if field.value != "" {
			e.Str(field.name, field.value)
		}
	}
}
