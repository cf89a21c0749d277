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
	appendPause   = 40 * time.Millisecond
	appendLimit   = 300 * time.Millisecond
)

// writer appends to one topic under the epoch of the leader. Sequence numbers
// make a repeated append take effect once; a higher epoch ends the writer.
type writer struct {
	log      damaskspread.KeyedLog
	clock    damaskspread.Clock
	topic    string
	epoch    int64
	sequence int64
}

// fence rejects all later appends of earlier epochs.
func (w *writer) fence(ctx context.Context) error { return w.append(ctx, nil) }

// append repeats the append until it is certain.
func (w *writer) append(ctx context.Context, records []*wire.KeyedRecord) error {
	pause := appendPause
	for {
		err := w.try(ctx, records)
		if err == nil {
			w.sequence++
			return nil
		}
		var fenced *damaskspread.FencedError
		if errors.As(err, &fenced) || ctx.Err() != nil {
			return err
		}
		var order *damaskspread.SequenceError
		if errors.As(err, &order) && order.Expected != w.sequence {
			log.Info().Str("topic", w.topic).Int64("sequence", w.sequence).Int64("expected", order.Expected).Msg("sequence adopted")
			w.sequence = order.Expected
			continue
		}
		log.Debug().Str("topic", w.topic).Int64("sequence", w.sequence).Err(err).Msg("append repeated")
		damaskspread.Pause(ctx, w.clock, pause)
		pause = min(2*pause, appendLimit)
	}
}

func (w *writer) try(ctx context.Context, records []*wire.KeyedRecord) error {
	call, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := w.log.Append(call, w.topic, records, &wire.AppendCondition{
		Producer: &wire.Producer{
			Name:     producerName,
			Epoch:    w.epoch,
			Sequence: w.sequence,
		},
	})
	return err
}
