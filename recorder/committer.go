package recorder

import (
	"context"
	"errors"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/follower"
	"damaskspread.example/damaskspread/wire"
)

// resolvePollInterval is the time between two searches of the applied records. A
// batch is applied after a log read of a few milliseconds.
const resolvePollInterval = 20 * time.Millisecond

// commit appends one batch and responds to its requests.
func (r *Recorder) commit(ctx context.Context, batch []*request) {
	records := &wire.RecordBatch{}
	for _, req := range batch {
		records.Records = append(records.Records, req.records...)
	}
	data, err := follower.EncodeBatch(records)
	if err != nil {
		respond(batch, 0, damaskspread.NotRun(damaskspread.ReasonInvalid, "records cannot be encoded: %v", err))
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, r.AppendTimeout)
	offset, err := r.Log.Append(callCtx, "state."+r.Region, data)
	cancel()
	// With an error of any other type the entry may be in the log.
	var unavailable *damaskspread.LogUnavailableError
	var unknown *damaskspread.AppendUnknownError
	switch {
	case err == nil:
		respond(batch, offset, nil)
	case errors.As(err, &unavailable) && !errors.As(err, &unknown):
		respond(batch, 0, damaskspread.NotRun(damaskspread.ReasonLogUnavailable, "%v", err))
	default:
		r.resolve(ctx, batch, err)
	}
}

func respond(batch []*request, offset int64, err error) {
	for _, req := range batch {
		req.done <- result{
			offset: offset,
			err:    err,
		}
	}
}

// resolve responds to the requests of a batch whose append response was lost. It
// searches the applied records until ResolveTimeout. The outcome of a request
// whose records are not found by then is unknown, because a delayed append may
// still reach the log. All records of a request must be found: one of them alone
// may be a repetition of a record of an earlier batch.
func (r *Recorder) resolve(ctx context.Context, batch []*request, cause error) {
	deadline := r.Clock.Now().Add(r.ResolveTimeout)
	for {
		var missing []*request
		for _, req := range batch {
			offset, ok := r.find(req.records)
			if !ok {
				missing = append(missing, req)
				continue
			}
			respond([]*request{req}, offset, nil)
		}
		batch = missing
		if len(batch) == 0 {
			return
		}
		if !r.Clock.Now().Before(deadline) || ctx.Err() != nil {
			respond(batch, 0, damaskspread.Unknown(damaskspread.ReasonAppendUnknown, "%v", cause))
			return
		}
		select {
		case <-r.Clock.After(resolvePollInterval):
		case <-ctx.Done():
		}
	}
}

// find returns the highest batch offset of the records if all of them are among
// the recently applied ones.
func (r *Recorder) find(records []*wire.Record) (int64, bool) {
	if r.Follower == nil {
		return 0, false
	}
	highest := int64(-1)
	for _, record := range records {
		offset, ok := r.Follower.FindRecord(record.GetId())
		if !ok {
			return 0, false
		}
		highest = max(highest, offset)
	}
	return highest, true
}
