// Package tracer writes decisions about jobs and tasks as typed events, one
// JSON line each, and reads them back.
//
// The struct of an event defines its fields for the writer and for the reader.
// Each kind has a rate; lines above it are counted and left out, and the count
// follows with the first line that is written again. A Tracer owns these
// counts. It starts no goroutine and doesn't block: the logger's writer buffers.
package tracer

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
)

const (
	// linesPerSecond bounds the lines of one kind. It is above the starts per
	// second that the leader has to bear.
	linesPerSecond = 500
	// burst is the lines of one kind that may come at once.
	burst = 1000
	// omittedMessage reports lines that were left out.
	omittedMessage = "log lines left out"
)

// Tracer writes events to the process's logger.
type Tracer struct {
	Clock damaskspread.Clock
	// Counters counts every event; nil counts none.
	Counters *Counters

	mu    sync.Mutex
	kinds map[Kind]*allowance
}

// allowance is the token bucket of one kind of line.
type allowance struct {
	tokens  float64
	at      time.Time
	omitted int
}

var installed struct {
	sync.RWMutex
	tracer *Tracer
}

// Install makes a tracer the one that Write uses.
func Install(r *Tracer) {
	installed.Lock()
	defer installed.Unlock()
	installed.tracer = r
}

// Write writes an event with the installed tracer. Without one, e.g. in
// tests, every event is written.
func Write(event Event) {
	installed.RLock()
	r := installed.tracer
	installed.RUnlock()
	if r == nil {
		write(event)
		return
	}
	r.Write(event)
}

// Write writes an event unless its kind is above its rate.
func (r *Tracer) Write(event Event) {
	if r.Counters != nil {
		r.Counters.Observe(event)
	}
	admitted, omitted := r.admit(event.kind())
	if omitted > 0 {
		log.Warn().Str("kind", string(event.kind())).Int("count", omitted).Msg(omittedMessage)
	}
	if admitted {
		write(event)
	}
}

// admit takes a token of a kind. It returns the lines left out so far once a
// line is written again.
func (r *Tracer) admit(kind Kind) (admitted bool, omitted int) {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.kinds == nil {
		r.kinds = map[Kind]*allowance{}
	}
	a := r.kinds[kind]
	if a == nil {
		a = &allowance{tokens: burst, at: now}
		r.kinds[kind] = a
	}
	// The time of day may jump back.
	if passed := now.Sub(a.at).Seconds(); passed > 0 {
		a.tokens = min(burst, a.tokens+passed*linesPerSecond)
	}
	a.at = now
	if a.tokens < 1 {
		a.omitted++
		return false, 0
	}
	a.tokens--
	omitted = a.omitted
	a.omitted = 0
	return true, omitted
}

func write(event Event) {
	entry := log.Info()
	if entry == nil {
		return
	}
	fields, err := json.Marshal(event)
	if err != nil {
		log.Error().Str("kind", string(event.kind())).Err(err).Msg("event not written: it can't be encoded")
		return
	}
	// A context is fields without braces, each after a comma.
	fields[0] = ','
	entry.Context(fields[:len(fields)-1]).Msg(string(event.kind()))
}
