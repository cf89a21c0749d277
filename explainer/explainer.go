// Package explainer reconstructs the history of one job from the logs of all
// processes and lists the causes of delays, refusals and failures. Package
// tracer defines the events and parses the lines.
//
// A Gatherer reads logs in any order. It keeps the events of the job and, as
// context, log lines of the same processes that are not typed events and concern
// no other job, such as changes of the leader.
// Explain orders the lines by cause and effect rather than by the clocks of the
// processes, and derives findings from the events.
//
// The state is what a Gatherer has kept. The package starts no goroutine.
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
	// maxLineBytes limits the length of a line; longer lines are skipped.
	maxLineBytes = 1 << 20
	// contextLines is the number of context lines of each process that are kept
	// before its first event of the job.
	contextLines = 6
)

// gzipMagic is the start of a gzip file.
var gzipMagic = []byte{0x1f, 0x8b}

// Lines with one of these fields that do not mention the job concern other jobs.
// They are skipped without being parsed.
var (
	taskField = []byte(`"task":`)
	jobField  = []byte(`"job":`)
)

// UnreadableError means that reading or decompressing a log failed.
type UnreadableError struct {
	Name  string
	Cause error
}

func (e *UnreadableError) Error() string {
	return fmt.Sprintf("cannot read log %s: %v", e.Name, e.Cause)
}

func (e *UnreadableError) Unwrap() error { return e.Cause }

// NoEventsError means that the logs hold no event of the job.
type NoEventsError struct {
	Job     string
	Lines   int
	Skipped int
}

func (e *NoEventsError) Error() string {
	return fmt.Sprintf("none of %d log lines is an event of job %s (%d unreadable lines skipped); check that the logs cover all entry processes and the time of the request", e.Lines, e.Job, e.Skipped)
}

// Gatherer collects the log lines that concern one job. Job must be set before
// use. A Gatherer is not safe for concurrent use.
type Gatherer struct {
	// Job is the ID of the job.
	Job string

	lineCount    int
	skippedCount int
	// processNames are the keys of processes in the order of their first lines.
	processNames []string
	processes    map[string]*processLog
}

// processLog holds the lines of one process in the order of its log.
type processLog struct {
	name string
	// kept holds the events of the job and the context lines before each of them.
	kept []*tracer.Line
	// context holds the context lines since the last event of the job.
	context []*tracer.Line
}

// Read reads one log, which may be compressed with gzip and may hold the lines of
// several processes. It returns an UnreadableError, in which name identifies the
// log; the lines read until then are kept.
func (g *Gatherer) Read(name string, log io.Reader) error {
	buffered := bufio.NewReaderSize(log, maxLineBytes)
	magic, err := buffered.Peek(len(gzipMagic))
	if err == nil && bytes.Equal(magic, gzipMagic) {
		decompressed, err := gzip.NewReader(buffered)
		if err != nil {
			return &UnreadableError{Name: name, Cause: err}
		}
		buffered = bufio.NewReaderSize(decompressed, maxLineBytes)
	}
	for {
		text, err := buffered.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			g.skippedCount++
		case err != nil && !errors.Is(err, io.EOF):
			return &UnreadableError{Name: name, Cause: err}
		case len(text) > 0:
			g.addLine(text)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
	}
}

// addLine keeps a line if it is an event of the job or a context line.
func (g *Gatherer) addLine(text []byte) {
	g.lineCount++
	mentionsJob := bytes.Contains(text, []byte(g.Job))
	if !mentionsJob && (bytes.Contains(text, taskField) || bytes.Contains(text, jobField)) {
		return
	}
	line, ok := tracer.ParseLine(text)
	if !ok {
		g.skippedCount++
		return
	}
	if event := line.Event(); event != nil && tracer.JobOf(event) != g.Job {
		return
	}
	p := g.processLog(line.Process())
	if line.Event() == nil {
		if p.repeatsContext(line) {
			return
		}
		p.context = append(p.context, line)
		if len(p.kept) == 0 && len(p.context) > contextLines {
			p.context = p.context[1:]
		}
		return
	}
	p.kept = append(append(p.kept, p.context...), line)
	p.context = nil
}

func (g *Gatherer) processLog(name string) *processLog {
	if g.processes == nil {
		g.processes = map[string]*processLog{}
	}
	p := g.processes[name]
	if p == nil {
		p = &processLog{name: name}
		g.processes[name] = p
		g.processNames = append(g.processNames, name)
	}
	return p
}

// repeatsContext reports whether the previous line of the process is a context
// line with the same message.
func (p *processLog) repeatsContext(line *tracer.Line) bool {
	previous := p.context
	if len(previous) == 0 {
		previous = p.kept
	}
	if len(previous) == 0 {
		return false
	}
	latest := previous[len(previous)-1]
	return latest.Event() == nil && latest.Message() == line.Message()
}

// Explain evaluates the logs read so far. It returns a NoEventsError if they hold
// no event of the job.
func (g *Gatherer) Explain() (*Explanation, error) {
	var involved []*processLog
	for _, name := range g.processNames {
		if p := g.processes[name]; len(p.kept) > 0 {
			involved = append(involved, p)
		}
	}
	if len(involved) == 0 {
		return nil, &NoEventsError{
			Job:     g.Job,
			Lines:   g.lineCount,
			Skipped: g.skippedCount,
		}
	}
	lines := mergeByCause(involved)
	return &Explanation{
		job:      g.Job,
		lines:    lines,
		findings: collectFindings(lines),
		skipped:  g.skippedCount,
	}, nil
}

// Explanation is the history of one job with its findings.
type Explanation struct {
	job      string
	lines    []*tracer.Line
	findings []Finding
	skipped  int
}

// Job returns the ID of the job.
func (e *Explanation) Job() string { return e.job }

// Lines returns the events of the job and the context lines, each line after
// those that caused it.
func (e *Explanation) Lines() []*tracer.Line { return e.lines }

// Findings returns the causes of delays, refusals and failures, in the order of
// their kinds.
func (e *Explanation) Findings() []Finding { return e.findings }

// Skipped returns the number of log lines that were too long or could not be
// parsed.
func (e *Explanation) Skipped() int { return e.skipped }
