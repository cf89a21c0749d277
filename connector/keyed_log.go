package connector

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

var _ damaskspread.KeyedLog = (*KeyedLog)(nil)

// KeyedLog calls the keyed log through another entry process.
type KeyedLog struct {
	// Address is the base URL of the other process.
	Address string
	// HTTP defaults to http.DefaultClient.
	HTTP *http.Client
	// Timeout bounds each call; a read may take its wait in addition. It bounds
	// only the beginning of the response if the context has a
	// damaskspread.Progress. It defaults to two seconds.
	Timeout time.Duration
}

func (l *KeyedLog) client() wireconnect.KeyedLogServiceClient {
	return wireconnect.NewKeyedLogServiceClient(clientOrDefault(l.HTTP), l.Address)
}

// ConditionError means that an append has a condition, which KeyedLog does not
// support.
type ConditionError struct{}

func (*ConditionError) Error() string { return "conditional appends are not relayed" }

// Append implements damaskspread.KeyedLog. An append with a condition fails with
// a ConditionError in a LogUnavailableError. The other process tells with the code
// invalid_argument that the log rejects the records.
func (l *KeyedLog) Append(ctx context.Context, topic string, records []*wire.KeyedRecord, condition *wire.AppendCondition) (*wire.AppendResult, error) {
	if condition != nil {
		return nil, &damaskspread.LogUnavailableError{Cause: &ConditionError{}}
	}
	ctx, cancel, tracker := beginCall(ctx, timeoutOrDefault(l.Timeout))
	defer cancel()
	response, err := l.client().Append(ctx, connect.NewRequest(&wire.KeyedAppendRequest{
		Topic:   topic,
		Records: records,
	}))
	switch {
	case err == nil:
		return response.Msg, nil
	case connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeInvalidArgument:
		return nil, &damaskspread.AppendRejectedError{Cause: err}
	default:
		return nil, tracker.appendError(err)
	}
}

// beginRead bounds a read by its progress if the caller asked for that, and
// otherwise by its duration.
func (l *KeyedLog) beginRead(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	timeout := wait + timeoutOrDefault(l.Timeout)
	if p := damaskspread.ProgressOf(ctx); p != nil {
		part := p.Part()
		part.Response = timeout
		return damaskspread.WithProgress(ctx, part), func() {}
	}
	ctx, cancel, _ := beginCall(ctx, timeout)
	return ctx, cancel
}

// Read implements damaskspread.KeyedLog.
func (l *KeyedLog) Read(ctx context.Context, topic string, from int64, wait time.Duration) (*wire.KeyedPage, error) {
	ctx, cancel := l.beginRead(ctx, wait)
	defer cancel()
	response, err := l.client().Read(ctx, connect.NewRequest(&wire.KeyedReadRequest{
		Topic:  topic,
		From:   from,
		WaitMs: wait.Milliseconds(),
	}))
	if err != nil {
		return nil, &damaskspread.LogUnavailableError{Cause: err}
	}
	if response.Msg.FirstRetained != nil {
		return nil, &damaskspread.RetentionPassedError{
			From:  from,
			First: response.Msg.GetFirstRetained(),
		}
	}
	return response.Msg.GetPage(), nil
}

// Newest implements damaskspread.KeyedLog.
func (l *KeyedLog) Newest(ctx context.Context, topic, after string) (*wire.KeyedPage, error) {
	ctx, cancel := l.beginRead(ctx, 0)
	defer cancel()
	response, err := l.client().Newest(ctx, connect.NewRequest(&wire.KeyedNewestRequest{
		Topic: topic,
		After: after,
	}))
	if err != nil {
		return nil, &damaskspread.LogUnavailableError{Cause: err}
	}
	return response.Msg, nil
}
