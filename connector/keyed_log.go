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

// KeyedLog reaches the keyed log through another entry process.
type KeyedLog struct {
	// Address is the base URL of the other process.
	Address string
	// HTTP is http.DefaultClient if nil.
	HTTP *http.Client
	// Timeout bounds each call; a read may take its wait in addition.
	Timeout time.Duration
}

func (l *KeyedLog) client() wireconnect.KeyedLogServiceClient {
	return wireconnect.NewKeyedLogServiceClient(orDefaultClient(l.HTTP), l.Address)
}

// ConditionError means that conditional appends don't go through a peer.
type ConditionError struct{}

func (*ConditionError) Error() string { return "conditional appends are not relayed" }

// Append implements damaskspread.KeyedLog for appends without a condition.
func (l *KeyedLog) Append(ctx context.Context, topic string, records []*wire.KeyedRecord, condition *wire.AppendCondition) (*wire.AppendResult, error) {
	if condition != nil {
		return nil, &damaskspread.LogUnavailableError{Cause: &ConditionError{}}
	}
	ctx, cancel, a := begin(ctx, orDefault(l.Timeout))
	defer cancel()
	response, err := l.client().Append(ctx, connect.NewRequest(&wire.KeyedAppendRequest{
		Topic:   topic,
		Records: records,
	}))
	switch {
	case err == nil:
		return response.Msg, nil
	case a.hadNoEffect(err):
		return nil, &damaskspread.LogUnavailableError{Cause: err}
	default:
		return nil, &damaskspread.AppendUnknownError{Cause: err}
	}
}

// Read implements damaskspread.KeyedLog.
func (l *KeyedLog) Read(ctx context.Context, topic string, from int64, wait time.Duration) (*wire.KeyedPage, error) {
	ctx, cancel, _ := begin(ctx, wait+orDefault(l.Timeout))
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
	ctx, cancel, _ := begin(ctx, orDefault(l.Timeout))
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
