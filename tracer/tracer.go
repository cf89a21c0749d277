// Package tracer writes decisions about jobs and tasks to the process's log as
// typed events, one JSON line each, and parses such lines. Package explainer
// evaluates the parsed lines of one job.
//
// The struct of an event defines its JSON fields for writing and for parsing.
// The lines of each kind are limited in rate. Lines above the limit are dropped
// and counted; a warning with the count precedes the next line of that kind.
//
// A Tracer owns the token buckets of the kinds. The package starts no goroutine
// and does not block as long as the writer of the logger does not block.
package tracer

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
)

const (
	// linesPerSecond limits the lines of one kind. It exceeds the rate of task
	// starts that the leader must support.
	linesPerSecond = 500
	// burstLines is the number of lines of one kind that may be written at once.
	burstLines     = 1000
	droppedMessage = "log lines dropped: event rate above the limit"
)

// Tracer writes events to the default logger of the process. It is safe for
// concurrent use once its fields are set.
type Tracer struct {
	Clock damaskspread.Clock
	// Counters receives every event, also if its line is dropped; nil disables
	// the metrics.
	Counters *Counters

	mu      sync.Mutex
	buckets map[Kind]*bucket
}

// bucket is the token bucket of one kind of event.
type bucket struct {
	tokens     float64
	refilledAt time.Time
	// dropped counts the lines dropped since the last one that was written.
	dropped int
}

var installed struct {
	sync.RWMutex
	tracer *Tracer
}

// Install sets the tracer that the function Write uses.
func Install(t *Tracer) {
	installed.Lock()
	defer installed.Unlock()
	installed.tracer = t
}

// Write writes an event with the installed tracer. Without an installed tracer,
// as in tests, it writes every event.
func Write(event Event) {
	installed.RLock()
	t := installed.tracer
	installed.RUnlock()
	if t == nil {
		writeLine(event)
		return
	}
	t.Write(event)
}

// Write writes an event unless the rate limit of its kind is exceeded.
func (t *Tracer) Write(event Event) {
	if t.Counters != nil {
		t.Counters.Observe(event)
	}
	allowed, dropped := t.take(event.kind())
	if dropped > 0 {
		log.Warn().Str("kind", string(event.kind())).Int("count", dropped).Msg(droppedMessage)
	}
	if allowed {
		writeLine(event)
	}
}

// take takes a token from the bucket of a kind and reports whether there was
// one. If so, it also returns and resets the number of lines dropped before.
func (t *Tracer) take(kind Kind) (allowed bool, dropped int) {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.buckets == nil {
		t.buckets = map[Kind]*bucket{}
	}
	b := t.buckets[kind]
	if b == nil {
		b = &bucket{tokens: burstLines, refilledAt: now}
		t.buckets[kind] = b
	}
	// The system clock may be set back.
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 {
		b.tokens = min(burstLines, b.tokens+elapsed*linesPerSecond)
	}
	b.refilledAt = now
	if b.tokens < 1 {
		b.dropped++
		return false, 0
	}
	b.tokens--
	dropped = b.dropped
	b.dropped = 0
	return true, dropped
}

func writeLine(event Event) {
	entry := log.Info()
	if event.kind() == KindRunsOverlap {
		entry = log.Error()
	}
	if entry == nil {
		return
	}
	fields, err := json.Marshal(event)
	if err != nil {
		log.Error().Str("kind", string(event.kind())).Err(err).Msg("event not written: JSON encoding failed")
		return
	}
	// The logger expects the fields as JSON without braces, each preceded by a
	// comma.
	fields[0] = ','
	entry.Context(fields[:len(fields)-1]).Msg(string(event.kind()))
}
