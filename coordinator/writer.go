package coordinator

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

const (
	producerName  = "coordinator"
	appendTimeout = 900 * time.Millisecond
	minRetryPause = 40 * time.Millisecond
	maxRetryPause = 300 * time.Millisecond
	// minSplitBytes is the size up to which an append that times out is repeated as a
	// whole. Larger ones are split, because the link may be too slow for them.
	minSplitBytes = 16 << 10
)

// appendTimeoutError means that an append of more than minSplitBytes got no response in
// time. It may have taken effect.
type appendTimeoutError struct {
	cause error
}

func (e *appendTimeoutError) Error() string { return "append timed out: " + e.cause.Error() }

func (e *appendTimeoutError) Unwrap() error { return e.cause }

// writer appends to one topic under the epoch of the leader. Sequence numbers
// make a retried append take effect once. After a writer with a higher epoch has
// appended, all appends fail.
type writer struct {
	log      damaskspread.KeyedLog
	clock    damaskspread.Clock
	elapsed  damaskspread.ElapsedClock
	topic    string
	epoch    int64
	maxBytes int // of one append
	// slowBytes replaces maxBytes after appends that timed out, 0 before. It grows again
	// with each append that takes little of its timeout.
	slowBytes int
	sequence  int64
	// wait is restarted when the log has accepted a part of an append, and when the parts
	// become smaller.
	wait *logWait
}

// fence makes the log reject all later appends of earlier epochs.
func (w *writer) fence(ctx context.Context) error { return w.appendPart(ctx, nil) }

// append retries until the log has accepted the records, in several appends if they
// are large. It returns the records that the log rejects, which are left out. It fails if
// the epoch is fenced or the context ends; the first of the records may then be in the
// log.
func (w *writer) append(ctx context.Context, records []*wire.KeyedRecord) (rejected []*wire.KeyedRecord, err error) {
	for len(records) > 0 {
		count := damaskspread.CountWithin(len(records), cmp.Or(w.slowBytes, w.maxBytes), func(i int) int { return damaskspread.RecordBytes(records[i]) })
		part, err := w.appendAccepted(ctx, records[:count])
		if err != nil {
			return nil, err
		}
		rejected = append(rejected, part...)
		records = records[count:]
	}
	return rejected, nil
}

// appendAccepted appends the records of one append. If the log rejects them, it appends
// each half alone, so that one bad record doesn't keep back the others. It returns those
// that are rejected alone. Appends that time out are split as well, see maySplit. If such an
// append took effect, the log takes the first half for its repetition.
func (w *writer) appendAccepted(ctx context.Context, records []*wire.KeyedRecord) (rejected []*wire.KeyedRecord, err error) {
	err = w.appendPart(ctx, records)
	if err == nil {
		w.wait.restart(w.elapsed.Elapsed())
		return nil, nil
	}
	var refusal *damaskspread.AppendRejectedError
	var timeout *appendTimeoutError
	isRefused := errors.As(err, &refusal)
	if !isRefused && !errors.As(err, &timeout) {
		return nil, err
	}
	if isRefused && len(records) == 1 {
		log.Error().Str("topic", w.topic).Str("key", records[0].GetKey()).Int("bytes", damaskspread.RecordBytes(records[0])).Err(err).
			Msg("record rejected by the log and left out")
		return records, nil
	}
	w.wait.restart(w.elapsed.Elapsed())
	half := len(records) / 2
	for _, part := range [][]*wire.KeyedRecord{records[:half], records[half:]} {
		more, err := w.appendAccepted(ctx, part)
		if err != nil {
			return nil, err
		}
		rejected = append(rejected, more...)
	}
	return rejected, nil
}

func (w *writer) appendPart(ctx context.Context, records []*wire.KeyedRecord) error {
	pause := minRetryPause
	for {
		started := w.clock.Now()
		err := w.appendOnce(ctx, records)
		if err == nil {
			w.sequence++
			w.growAppends(records, w.clock.Since(started))
			return nil
		}
		var fenced *damaskspread.FencedError
		var rejected *damaskspread.AppendRejectedError
		if errors.As(err, &fenced) || errors.As(err, &rejected) || ctx.Err() != nil {
			return err
		}
		var mismatch *damaskspread.SequenceError
		if errors.As(err, &mismatch) && mismatch.Expected != w.sequence {
			log.Info().Str("topic", w.topic).Int64("sequence", w.sequence).Int64("expected", mismatch.Expected).Msg("append sequence number reset to the one the log expects")
			w.sequence = mismatch.Expected
			continue
		}
		if errors.Is(err, context.DeadlineExceeded) && w.maySplit(records) {
			w.slowBytes = max(damaskspread.RecordsBytes(records)/2, minSplitBytes)
			return &appendTimeoutError{cause: err}
		}
		log.Debug().Str("topic", w.topic).Int64("sequence", w.sequence).Err(err).Msg("append failed; retrying")
		damaskspread.Pause(ctx, w.clock, pause)
		pause = min(2*pause, maxRetryPause)
	}
}

// maySplit reports whether an append that timed out may be repeated in parts. If it took
// effect, the second part is appended again. In the other topics this could undo what
// entries have appended in between, such as a job whose id was free again.
func (w *writer) maySplit(records []*wire.KeyedRecord) bool {
	return w.topic == progressTopic && len(records) > 1 && damaskspread.RecordsBytes(records) > minSplitBytes
}

// growAppends doubles slowBytes if an append of about that size took less than a quarter of
// its timeout: one of twice the size then doesn't time out over the same link.
func (w *writer) growAppends(records []*wire.KeyedRecord, took time.Duration) {
	if w.slowBytes == 0 || took > appendTimeout/4 || damaskspread.RecordsBytes(records) < w.slowBytes/2 {
		return
	}
	if w.slowBytes *= 2; w.slowBytes >= w.maxBytes {
		w.slowBytes = 0
	}
}

func (w *writer) appendOnce(ctx context.Context, records []*wire.KeyedRecord) error {
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := w.log.Append(callCtx, w.topic, records, &wire.AppendCondition{
		Producer: &wire.Producer{
			Name:     producerName,
			Epoch:    w.epoch,
			Sequence: w.sequence,
		},
	})
	return err
}
