package recorder

import (
	"context"
	"errors"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/follower"
	"damaskspread.example/damaskspread/wire"
)

// resolvePoll is how often applied records are searched; applying a batch
// takes a log read of a few milliseconds.
const resolvePoll = 20 * time.Millisecond

// commit appends one batch and answers its requests.
func (r *Recorder) commit(ctx context.Context, batch []*request) {
	records := &wire.RecordBatch{}
	for _, waiting := range batch {
		records.Records = append(records.Records, waiting.records...)
	}
	data, err := follower.EncodeBatch(records)
	if err != nil {
		answer(batch, 0, damaskspread.NotRun(damaskspread.ReasonInvalid, "the records can't be encoded: %v", err))
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, r.AppendTimeout)
	offset, err := r.Log.Append(callCtx, "state."+r.Region, data)
	cancel()
	// Errors of other types leave open whether the log took the entry.
	var unavailable *damaskspread.LogUnavailableError
	var unknown *damaskspread.AppendUnknownError
	switch {
	case err == nil:
		answer(batch, offset, nil)
	case errors.As(err, &unavailable) && !errors.As(err, &unknown):
		answer(batch, 0, damaskspread.NotRun(damaskspread.ReasonLogUnavailable, "%v", err))
	default:
		r.resolve(ctx, batch, err)
	}
}

func answer(batch []*request, offset int64, err error) {
	for _, waiting := range batch {
		waiting.done <- result{
			offset: offset,
			err:    err,
		}
	}
}

// resolve searches the applied records for those of a batch whose response was
// lost. Not finding them proves nothing: a delayed append may reach the log at
// any time. Each request is answered by its own records, because a caller may
// have repeated a record of an earlier batch.
func (r *Recorder) resolve(ctx context.Context, batch []*request, cause error) {
	deadline := r.Clock.Now().Add(r.ResolveTimeout)
	for {
		var missing []*request
		for _, waiting := range batch {
			offset, ok := r.find(waiting.records)
			if !ok {
				missing = append(missing, waiting)
				continue
			}
			answer([]*request{waiting}, offset, nil)
		}
		batch = missing
		if len(batch) == 0 {
			return
		}
		if !r.Clock.Now().Before(deadline) || ctx.Err() != nil {
			answer(batch, 0, damaskspread.Unknown(damaskspread.ReasonAppendUnknown, "%v", cause))
			return
		}
		select {
		case <-r.Clock.After(resolvePoll):
		case <-ctx.Done():
		}
	}
}

// find returns the highest offset of the records if all of them are applied.
func (r *Recorder) find(records []*wire.Record) (int64, bool) {
	if r.Applied == nil {
		return 0, false
	}
	highest := int64(-1)
	for _, record := range records {
		offset, ok := r.Applied.FindRecord(record.GetId())
		if !ok {
			return 0, false
		}
		highest = max(highest, offset)
	}
	return highest, true
}
