package feeder

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

var _ wireconnect.EntryServiceHandler = (*Feeder)(nil)

// Append appends the records of an agent and returns their offset. It sets the
// entry process of HostsAlive and HostJoined records to this one.
func (f *Feeder) Append(ctx context.Context, request *connect.Request[wire.AppendRequest]) (*connect.Response[wire.AppendResponse], error) {
	f.prepare()
	records := request.Msg.GetRecords()
	for _, record := range records {
		switch body := record.GetBody().(type) {
		case *wire.Record_HostsAlive:
			body.HostsAlive.Entry = f.Entry.GetEntry()
		case *wire.Record_HostJoined:
			body.HostJoined.Entry = f.Entry.GetEntry()
		}
	}
	offset, err := f.Recorder.AppendRecords(ctx, records)
	if err != nil {
		return nil, appendError(err)
	}
	return connect.NewResponse(&wire.AppendResponse{
		Offset: offset,
	}), nil
}

// FetchSnapshot returns the replayed state to an entry process that starts or
// missed records. It fails if the state is below the requested offset.
func (f *Feeder) FetchSnapshot(ctx context.Context, request *connect.Request[wire.FetchSnapshotRequest]) (*connect.Response[wire.FetchSnapshotResponse], error) {
	f.prepare()
	if !f.Follower.Ready() {
		return nil, refusalError(connect.CodeUnavailable, damaskspread.NotRun(damaskspread.ReasonStaleConfiguration, "the first replay is not complete"))
	}
	if offset := f.Follower.Offset(); offset < request.Msg.GetMinOffset() {
		return nil, refusalError(connect.CodeFailedPrecondition, damaskspread.NotRun(damaskspread.ReasonNotFound, "the replayed state is only at offset %d", offset))
	}
	select {
	case f.snapshotSlot <- struct{}{}:
		defer func() { <-f.snapshotSlot }()
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
	age := f.Follower.Age()
	return connect.NewResponse(&wire.FetchSnapshotResponse{
		AgeUs:    damaskspread.AgeMicros(age),
		Snapshot: f.Follower.Snapshot(),
	}), nil
}

// FetchBatches returns the record batches from an offset on to an entry process
// that can't read the log, and waits for the first one. The age is read before
// the batches, so they cover at least what the age refers to.
func (f *Feeder) FetchBatches(ctx context.Context, request *connect.Request[wire.FetchBatchesRequest]) (*connect.Response[wire.FetchBatchesResponse], error) {
	f.prepare()
	if !f.Follower.Ready() {
		return nil, refusalError(connect.CodeUnavailable, damaskspread.NotRun(damaskspread.ReasonStaleConfiguration, "the first replay is not complete"))
	}
	from := request.Msg.GetFromOffset()
	wait := min(max(time.Duration(request.Msg.GetWaitMs())*time.Millisecond, 0), f.MaxSyncWait)
	f.awaitOffset(ctx, from, wait)
	age := f.Follower.Age()
	entries, next, ok := f.Follower.Batches(from)
	if !ok {
		return nil, refusalError(connect.CodeOutOfRange, damaskspread.NotRun(damaskspread.ReasonNotFound, "the batch at offset %d is no longer in memory", from))
	}
	return connect.NewResponse(&wire.FetchBatchesResponse{
		Entries:    entries,
		NextOffset: next,
		AgeUs:      damaskspread.AgeMicros(age),
	}), nil
}

func (f *Feeder) awaitOffset(ctx context.Context, offset int64, wait time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := f.Clock.AfterFunc(wait, cancel)
	defer timer.Stop()
	_ = f.Follower.Wait(ctx, offset)
}

// refusalError returns a connect error whose metadata carries the outcome and
// reason of a refusal.
func refusalError(code connect.Code, refusal *damaskspread.RefusalError) *connect.Error {
	err := connect.NewError(code, refusal)
	err.Meta().Set(damaskspread.MetaOutcome, damaskspread.OutcomeName(refusal.Outcome))
	err.Meta().Set(damaskspread.MetaReason, string(refusal.Reason))
	return err
}

// appendError converts an error of AppendRecords. One that is not a
// RefusalError gets the outcome unknown.
func appendError(err error) *connect.Error {
	var refusal *damaskspread.RefusalError
	if !errors.As(err, &refusal) {
		return refusalError(connect.CodeUnknown, damaskspread.Unknown(damaskspread.ReasonAppendUnknown, "%v", err))
	}
	switch refusal.Reason {
	case damaskspread.ReasonInvalid:
		return refusalError(connect.CodeInvalidArgument, refusal)
	case damaskspread.ReasonOverloaded:
		return refusalError(connect.CodeResourceExhausted, refusal)
	default:
		return refusalError(connect.CodeUnavailable, refusal)
	}
}
