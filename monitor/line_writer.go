package monitor

import (
	"fmt"
	"io"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
)

const (
	// maxBufferedBytes bounds the lines that wait for the output.
	maxBufferedBytes = 512 << 10
	flushInterval    = 100 * time.Millisecond
)

// LineWriter passes log lines on without ever blocking the writer. Lines that
// exceed the buffer while the output is blocked are counted and left out.
type LineWriter struct {
	Out   io.Writer
	Clock damaskspread.Clock

	mu      sync.Mutex
	buffer  []byte
	dropped int
	// total is the lines left out since the start.
	total int
}

// Write implements io.Writer.
func (w *LineWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > maxBufferedBytes {
		w.dropped++
		w.total++
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	return len(line), nil
}

// Dropped is the number of lines left out since the start.
func (w *LineWriter) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Run writes the lines out until the tomb dies.
func (w *LineWriter) Run(tb *tomb.Tomb) error {
	ticker := w.Clock.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-tb.Dying():
			return nil
		case <-ticker.Chan():
			w.Flush()
		}
	}
}

// Flush writes out what is buffered.
func (w *LineWriter) Flush() {
	w.mu.Lock()
	lines, dropped := w.buffer, w.dropped
	w.buffer = nil
	w.dropped = 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, `{"level":"warn","message":"log lines left out: the output was blocked","count":%d}`+"\n", dropped)
	}
	if len(lines) > 0 {
		// There is nowhere left to report a failure of the log's own output.
		_, _ = w.Out.Write(lines)
	}
}
