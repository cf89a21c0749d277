package coordinator

import (
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
)

// writer appends to one topic under the epoch of the leader. Sequence numbers
// make a retried append take effect once. After a writer with a higher epoch has
// appended, all appends fail.
type writer struct {
	log      damaskspread.KeyedLog
	clock    damaskspread.Clock
	topic    string
	epoch    int64
	maxBytes int // of one append
	sequence int64
}

// fence makes the log reject all later appends of earlier epochs.
func (w *writer) fence(ctx context.Context) error { return w.appendPart(ctx, nil) }

// append retries until the log has accepted the records, in several appends if they
// are large. It returns the records that the log rejects, which are left out. It fails if
// the epoch is fenced or the context ends; the first of the records may then be in the
// log.
func (w *writer) append(ctx context.Context, records []*wire.KeyedRecord) (rejected []*wire.KeyedRecord, err error) {
	for len(records) > 0 {
		count := damaskspread.CountWithin(len(records), w.maxBytes, func(i int) int { return damaskspread.RecordBytes(records[i]) })
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
// that are rejected alone.
func (w *writer) appendAccepted(ctx context.Context, records []*wire.KeyedRecord) (rejected []*wire.KeyedRecord, err error) {
	err = w.appendPart(ctx, records)
	var refusal *damaskspread.AppendRejectedError
	if !errors.As(err, &refusal) {
		return nil, err
	}
	if len(records) == 1 {
		log.Error().Str("topic", w.topic).Str("key", records[0].GetKey()).Int("bytes", damaskspread.RecordBytes(records[0])).Err(err).
			Msg("record rejected by the log and left out")
		return records, nil
	}
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
		err := w.appendOnce(ctx, records)
		if err == nil {
			w.sequence++
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
		log.Debug().Str("topic", w.topic).Int64("sequence", w.sequence).Err(err).Msg("append failed; retrying")
		damaskspread.Pause(ctx, w.clock, pause)
		pause = min(2*pause, maxRetryPause)
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
