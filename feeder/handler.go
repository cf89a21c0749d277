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

// Append adds records of an agent. It names this process in records that tell
// which entry process an agent is attached to.
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
		return nil, refusedBy(err)
	}
	return connect.NewResponse(&wire.AppendResponse{
		Offset: offset,
	}), nil
}

// FetchSnapshot gives the state to a process that starts or missed records.
func (f *Feeder) FetchSnapshot(ctx context.Context, request *connect.Request[wire.FetchSnapshotRequest]) (*connect.Response[wire.FetchSnapshotResponse], error) {
	f.prepare()
	if !f.Follower.Ready() {
		return nil, refused(connect.CodeUnavailable, damaskspread.NotRun(damaskspread.ReasonStaleConfiguration, "the first replay is not complete"))
	}
	if offset := f.Follower.Offset(); offset < request.Msg.GetMinOffset() {
		return nil, refused(connect.CodeFailedPrecondition, damaskspread.NotRun(damaskspread.ReasonNotFound, "the state is at offset %d", offset))
	}
	select {
	case f.copying <- struct{}{}:
		defer func() { <-f.copying }()
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
	age := f.Follower.Age()
	return connect.NewResponse(&wire.FetchSnapshotResponse{
		AgeUs:    damaskspread.AgeMicros(age),
		Snapshot: f.Follower.Snapshot(),
	}), nil
}

// FetchBatches relays batches. The age is taken before the batches, so that
// they cover at least what the age refers to.
func (f *Feeder) FetchBatches(ctx context.Context, request *connect.Request[wire.FetchBatchesRequest]) (*connect.Response[wire.FetchBatchesResponse], error) {
	f.prepare()
	if !f.Follower.Ready() {
		return nil, refused(connect.CodeUnavailable, damaskspread.NotRun(damaskspread.ReasonStaleConfiguration, "the first replay is not complete"))
	}
	from := request.Msg.GetFromOffset()
	wait := min(max(time.Duration(request.Msg.GetWaitMs())*time.Millisecond, 0), f.MaxSyncWait)
	f.awaitOffset(ctx, from, wait)
	age := f.Follower.Age()
	entries, next, ok := f.Follower.Batches(from)
	if !ok {
		return nil, refused(connect.CodeOutOfRange, damaskspread.NotRun(damaskspread.ReasonNotFound, "the batch at offset %d is no longer held", from))
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

// refused carries a refusal in the metadata of a connect error.
func refused(code connect.Code, refusal *damaskspread.RefusalError) *connect.Error {
	err := connect.NewError(code, refusal)
	err.Meta().Set(damaskspread.MetaOutcome, damaskspread.OutcomeName(refusal.Outcome))
	err.Meta().Set(damaskspread.MetaReason, string(refusal.Reason))
	return err
}

func refusedBy(err error) *connect.Error {
	var refusal *damaskspread.RefusalError
	if !errors.As(err, &refusal) {
		return refused(connect.CodeUnknown, damaskspread.Unknown(damaskspread.ReasonAppendUnknown, "%v", err))
	}
	switch refusal.Reason {
	case damaskspread.ReasonInvalid:
		return refused(connect.CodeInvalidArgument, refusal)
	case damaskspread.ReasonOverloaded:
		return refused(connect.CodeResourceExhausted, refusal)
	default:
		return refused(connect.CodeUnavailable, refusal)
	}
}
