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
	// maxBufferedBytes limits the log lines that are not yet written out.
	maxBufferedBytes = 512 << 10
	flushInterval    = 100 * time.Millisecond
)

// LineWriter buffers log lines so that Write never blocks. Run writes them to
// Out. While Out is blocked and the buffer is full, lines are dropped and
// counted. A LineWriter is safe for concurrent use.
type LineWriter struct {
	Out   io.Writer
	Clock damaskspread.Clock

	mu      sync.Mutex
	pending []byte
	// unreported counts the dropped lines that no warning has reported yet.
	unreported int
	// droppedTotal counts the lines dropped since the process started.
	droppedTotal int
}

// Write implements io.Writer. It never fails; a dropped line counts as written.
func (w *LineWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > maxBufferedBytes {
		w.unreported++
		w.droppedTotal++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	return len(line), nil
}

// DroppedCount returns the number of lines dropped since the process started.
func (w *LineWriter) DroppedCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.droppedTotal
}

// Run flushes the buffer every 100 ms until the tomb dies. Lines that are left
// then need a call of Flush.
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

// Flush writes the buffered lines to Out, and a warning with the number of
// lines dropped since the previous flush. It may block.
func (w *LineWriter) Flush() {
	w.mu.Lock()
	lines, unreported := w.pending, w.unreported
	w.pending = nil
	w.unreported = 0
	w.mu.Unlock()
	if unreported > 0 {
		lines = fmt.Appendf(lines, `{"level":"warn","message":"log lines dropped: output blocked","count":%d}`+"\n", unreported)
	}
	if len(lines) > 0 {
		// A failure of the log output cannot be logged.
		_, _ = w.Out.Write(lines)
	}
}
