package poller_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
)

// syncBuffer collects log lines.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *syncBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.buffer.String(), text)
}

// Guards against a line for each poll while the leader is gone, and against changes
// that are not logged.
func TestLogsOncePerChange(t *testing.T) {
	lines := &syncBuffer{}
	previous := log.DefaultLogger
	log.DefaultLogger = log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: lines}}
	t.Cleanup(func() { log.DefaultLogger = previous })
	e := newTestEntry(t)
	wait := func(text string, count int) {
		t.Helper()
		deadline := time.Now().Add(10 * time.Second)
		for lines.count(text) != count {
			assert.Assert(t, time.Now().Before(deadline), "%d lines %q instead of %d", lines.count(text), text, count)
			time.Sleep(time.Millisecond)
		}
	}
	e.setLeader("a", 5)
	e.poll()
	wait("missing", 1)
	e.respond("a", estimateOf(5, 0))
	e.poll()
	wait("in use", 1)
	e.respondWith("a", nil)
	e.elapsed.advance(4 * time.Second)
	for i := range int64(5) {
		e.poll()
		e.waitFailed(2 + i)
	}
	wait("stale", 1)
	e.respond("a", estimateOf(5, 0))
	e.poll()
	wait("in use", 2)
	assert.Equal(t, lines.count("\n"), 4)
}
