package monitor

import (
	"io"

	"github.com/phuslu/log"
)

// Names of the log fields that identify a request, a task or a host.
const (
	FieldRequest = "request_id"
	FieldTask    = "task"
	FieldHost    = "host"
)

// LoggerConfig configures the logger of a process. Process, Role and Zone are
// fields of every line.
type LoggerConfig struct {
	Writer io.Writer
	// Level is debug, info, warn or error.
	Level   string
	Process string
	Role    string
	Zone    string
}

// NewLogger returns a logger that writes JSON lines. It does not buffer them
// itself, so the last lines before a crash reach config.Writer.
func NewLogger(config LoggerConfig) *log.Logger {
	return &log.Logger{
		Level:   log.ParseLevel(config.Level),
		Context: log.NewContext(nil).Str("process", config.Process).Str("role", config.Role).Str("zone", config.Zone).Value(),
		Writer: &log.IOWriter{
			Writer: config.Writer,
		},
	}
}

// Subject identifies the request, task or host of a log line. Empty fields are
// omitted.
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
