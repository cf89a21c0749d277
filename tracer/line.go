package tracer

import (
	"bytes"
	"encoding/json"
	"time"
)

// Line is one line of a process's log.
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

// Time is the time of day at the process.
func (l *Line) Time() time.Time { return l.time }

// Level is the level of the line.
func (l *Line) Level() string { return l.level }

// Process is the process that wrote the line.
func (l *Line) Process() string { return l.process }

// Zone is the availability zone of the process.
func (l *Line) Zone() string { return l.zone }

// Message says what happened.
func (l *Line) Message() string { return l.message }

// Event is the typed event, or nil for other lines.
func (l *Line) Event() Event { return l.event }

// Fields are the fields of a line without a typed event.
func (l *Line) Fields() map[string]any { return l.fields }

type lineHeader struct {
	Time    time.Time `json:"time"`
	Level   string    `json:"level"`
	Process string    `json:"process"`
	Role    string    `json:"role"`
	Zone    string    `json:"zone"`
	Message string    `json:"message"`
}

// headerFields are the fields that every line has.
var headerFields = []string{"time", "level", "process", "role", "zone", "message"}

// ParseLine decodes a line; what stands before its first brace is ignored, as
// collectors put a time or a host there. It reports false for other text.
func ParseLine(text []byte) (*Line, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return nil, false
	}
	text = text[begin:]
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
