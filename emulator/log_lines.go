package emulator

import (
	"bytes"
	"slices"
	"sync"

	"damaskspread.example/damaskspread/tracer"
)

// LogLines is a writer of a logger that keeps the lines. It is safe for concurrent
// use.
type LogLines struct {
	mu    sync.Mutex
	lines []*tracer.Line
}

// Write implements io.Writer for one line a call.
func (l *LogLines) Write(text []byte) (int, error) {
	line, ok := tracer.ParseLine(bytes.Clone(text))
	l.mu.Lock()
	defer l.mu.Unlock()
	if ok {
		l.lines = append(l.lines, line)
	}
	return len(text), nil
}

// All returns the lines so far.
func (l *LogLines) All() []*tracer.Line {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.lines)
}

// Of returns the lines of one kind of event so far.
func (l *LogLines) Of(kind tracer.Kind) []*tracer.Line {
	return slices.DeleteFunc(l.All(), func(line *tracer.Line) bool { return line.Message() != string(kind) })
}
