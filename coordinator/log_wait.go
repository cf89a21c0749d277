package coordinator

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/wire"
)

const (
	// probeKey is the key of the records with which a candidate finds out whether it can
	// append. They have no value, so the log keeps none, and readers ignore the key.
	probeKey = ".probe"
	// maxProbeTries bounds the appends of a probe to one topic: others append there too.
	maxProbeTries = 5
)

// logWait is since when a goroutine waits for the log. It is safe for concurrent use.
type logWait struct {
	// since is 0 while it does not wait.
	since atomic.Int64
}

// begin begins a wait, unless one is in progress.
func (w *logWait) begin(now time.Duration) { w.since.CompareAndSwap(0, int64(now)) }

// restart counts a wait in progress from now, because the log has accepted a part.
func (w *logWait) restart(now time.Duration) {
	if w.since.Load() != 0 {
		w.since.Store(int64(now))
	}
}

func (w *logWait) end() { w.since.Store(0) }

// logWaitSince returns since when this process, which leads, waits for the log or for
// current inputs, and false if it does not. Appends are counted from the last one that the
// log has accepted.
func (c *Coordinator) logWaitSince() (since time.Duration, waits bool) {
	for _, wait := range []*logWait{&c.progressWait, &c.statusWait, &c.readWait} {
		begun := time.Duration(wait.since.Load())
		if begun != 0 && (since == 0 || begun < since) {
			since = begun
		}
	}
	return since, since != 0
}

// ProbeLog appends to the topics of a leader without an effect. It fails if this process
// can't, or if its inputs are too old. Appends with a condition go to the log itself, and not
// through other entries.
func (c *Coordinator) ProbeLog(ctx context.Context) error {
	_, configAge := c.Operations.Config()
	if err := checkInputs(c.JobsTail.Age(), configAge); err != nil {
		return err
	}
	for _, topic := range []string{progressTopic, indexer.Topic} {
		if err := c.probeTopic(ctx, topic); err != nil {
			return err
		}
	}
	return nil
}

// probeTopic appends a record at the end of a topic, which the log tells in its response to
// an append elsewhere.
func (c *Coordinator) probeTopic(ctx context.Context, topic string) error {
	record := []*wire.KeyedRecord{{Key: probeKey}}
	end := int64(0)
	var err error
	for range maxProbeTries {
		_, err = c.Log.Append(ctx, topic, record, &wire.AppendCondition{End: &end})
		var conflict *damaskspread.ConditionFailedError
		if !errors.As(err, &conflict) {
			return err
		}
		end = conflict.End
	}
	return err
}
