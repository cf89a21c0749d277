// Package explainer tells from the logs of all processes what happened to one
// job and why.
//
// A Gatherer reads logs in any order and keeps the lines about the job and the
// changes of state around them. Explain puts the lines in an order that follows
// causes, not clocks, and names the findings. Nothing here starts a goroutine.
package explainer

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"

	"damaskspread.example/damaskspread/tracer"
)

const (
	// maxLineBytes bounds a line; longer ones are skipped.
	maxLineBytes = 1 << 20
	// contextLines is the number of changes of state kept before the first line
	// about the job in each process.
	contextLines = 6
)

// gzipMagic begins compressed files.
var gzipMagic = []byte{0x1f, 0x8b}

// taskField marks lines about tasks; those of other jobs are skipped unread.
var (
	taskField = []byte(`"task":`)
	jobField  = []byte(`"job":`)
)

// UnreadableError means that a log can't be read.
type UnreadableError struct {
	Name  string
	Cause error
}

func (e *UnreadableError) Error() string { return fmt.Sprintf("log %s: %v", e.Name, e.Cause) }

func (e *UnreadableError) Unwrap() error { return e.Cause }

// NoTraceError means that no log mentions the job.
type NoTraceError struct {
	Job     string
	Lines   int
	Skipped int
}

func (e *NoTraceError) Error() string {
	return fmt.Sprintf("none of %d log lines is about job %s (%d lines skipped as unreadable); check that the logs of all entries cover the time of the request", e.Lines, e.Job, e.Skipped)
}

// Gatherer collects what logs say about one job. Its field is set before use.
type Gatherer struct {
	// Job is the id of the job.
	Job string

	lines     int
	skipped   int
	order     []string
	processes map[string]*process
}

// process is what one process wrote, in its order.
type process struct {
	name string
	// lines are those about the job and the changes of state between them.
	lines []*tracer.Line
	// recent are changes of state since the last line about the job.
	recent []*tracer.Line
}

// Read takes one log, which may be compressed and may hold the lines of several
// processes.
func (g *Gatherer) Read(name string, log io.Reader) error {
	buffered := bufio.NewReaderSize(log, maxLineBytes)
	magic, err := buffered.Peek(len(gzipMagic))
	if err == nil && bytes.Equal(magic, gzipMagic) {
		unzipped, err := gzip.NewReader(buffered)
		if err != nil {
			return &UnreadableError{Name: name, Cause: err}
		}
		buffered = bufio.NewReaderSize(unzipped, maxLineBytes)
	}
	for {
		text, err := buffered.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			g.skipped++
		case err != nil && !errors.Is(err, io.EOF):
			return &UnreadableError{Name: name, Cause: err}
		case len(text) > 0:
			g.take(text)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
	}
}

// take keeps a line if it is about the job, or a change of state.
func (g *Gatherer) take(text []byte) {
	g.lines++
	about := bytes.Contains(text, []byte(g.Job))
	if !about && (bytes.Contains(text, taskField) || bytes.Contains(text, jobField)) {
		return
	}
	line, ok := tracer.ParseLine(text)
	if !ok {
		g.skipped++
		return
	}
	if event := line.Event(); event != nil && tracer.JobOf(event) != g.Job {
		return
	}
	p := g.process(line.Process())
	if line.Event() == nil {
		if p.repeats(line) {
			return
		}
		p.recent = append(p.recent, line)
		if len(p.lines) == 0 && len(p.recent) > contextLines {
			p.recent = p.recent[1:]
		}
		return
	}
	p.lines = append(append(p.lines, p.recent...), line)
	p.recent = nil
}

func (g *Gatherer) process(name string) *process {
	if g.processes == nil {
		g.processes = map[string]*process{}
	}
	p := g.processes[name]
	if p == nil {
		p = &process{name: name}
		g.processes[name] = p
		g.order = append(g.order, name)
	}
	return p
}

// repeats reports whether the previous change of state was the same one.
func (p *process) repeats(line *tracer.Line) bool {
	kept := p.recent
	if len(kept) == 0 {
		kept = p.lines
	}
	if len(kept) == 0 {
		return false
	}
	last := kept[len(kept)-1]
	return last.Event() == nil && last.Message() == line.Message()
}

// Explain returns what the logs read so far tell about the job.
func (g *Gatherer) Explain() (*Explanation, error) {
	var involved []*process
	for _, name := range g.order {
		if p := g.processes[name]; len(p.lines) > 0 {
			involved = append(involved, p)
		}
	}
	if len(involved) == 0 {
		return nil, &NoTraceError{
			Job:     g.Job,
			Lines:   g.lines,
			Skipped: g.skipped,
		}
	}
	lines := merge(involved)
	return &Explanation{
		job:      g.Job,
		lines:    lines,
		findings: find(lines),
		skipped:  g.skipped,
	}, nil
}

// Explanation is the story of one job.
type Explanation struct {
	job      string
	lines    []*tracer.Line
	findings []Finding
	skipped  int
}

// Job is the id of the job.
func (e *Explanation) Job() string { return e.job }

// Lines are the lines about the job and the changes of state around them, in
// the order of causes.
func (e *Explanation) Lines() []*tracer.Line { return e.lines }

// Findings are what kept the job from being served at once.
func (e *Explanation) Findings() []Finding { return e.findings }

// Skipped is the number of log lines that could not be read.
func (e *Explanation) Skipped() int { return e.skipped }
