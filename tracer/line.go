package tracer

import (
	"bytes"
	"encoding/json"
	"time"
)

// Line is a decoded line of the log of a process, with or without a typed event.
type Line struct {
	time    time.Time
	level   string
	process string
	role    string
	zone    string
	message string
	event   Event
	fields  map[string]any
}

// Time returns when the line was written, by the clock of the process's host.
func (l *Line) Time() time.Time { return l.time }

// Level returns debug, info, warn or error.
func (l *Line) Level() string { return l.level }

// Process returns the ID of the process that wrote the line.
func (l *Line) Process() string { return l.process }

// Zone returns the availability zone of the process.
func (l *Line) Zone() string { return l.zone }

// Message returns the message of the line; for a typed event it is the kind.
func (l *Line) Message() string { return l.message }

// Event returns the typed event, or nil for other lines.
func (l *Line) Event() Event { return l.event }

// Fields returns the fields of a line without a typed event, except those that
// every line has. It returns nil for a line with a typed event.
func (l *Line) Fields() map[string]any { return l.fields }

type lineHeader struct {
	Time    time.Time `json:"time"`
	Level   string    `json:"level"`
	Process string    `json:"process"`
	Role    string    `json:"role"`
	Zone    string    `json:"zone"`
	Message string    `json:"message"`
}

// headerFields are the names of the fields of lineHeader.
var headerFields = []string{"time", "level", "process", "role", "zone", "message"}

// ParseLine decodes a log line. It ignores text before the first brace, where
// log collectors put a time or a host. It returns false for text that is not a
// log line of this project's processes.
func ParseLine(text []byte) (*Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return nil, false
	}
	text = text[start:]
	var header lineHeader
	if err := json.Unmarshal(text, &header); err != nil || header.Process == "" {
		return nil, false
	}
	line := &Line{
		time:    header.Time,
		level:   header.Level,
		process: header.Process,
		role:    header.Role,
		zone:    header.Zone,
		message: header.Message,
	}
	if event := New(Kind(header.Message)); event != nil {
		if err := json.Unmarshal(text, event); err != nil {
			return nil, false
		}
		line.event = event
		return line, true
	}
	if err := json.Unmarshal(text, &line.fields); err != nil {
		return nil, false
	}
	for _, name := range headerFields {
		delete(line.fields, name)
	}
	return line, true
}
