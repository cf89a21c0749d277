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

var _ damaskspread.LogClient = (*Log)(nil)

// Log implements damaskspread.LogClient.
type Log struct {
	// Address is the base URL of the log.
	Address string
	// HTTP is http.DefaultClient if nil.
	HTTP *http.Client
	// Timeout bounds each call; a read may take its wait in addition. It is
	// two seconds if zero.
	Timeout time.Duration
}

func (l *Log) client() wireconnect.LogServiceClient {
	return wireconnect.NewLogServiceClient(orDefaultClient(l.HTTP), l.Address)
}

// Append adds one entry to a stream and returns its offset.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	ctx, cancel, a := begin(ctx, orDefault(l.Timeout))
	defer cancel()
	answer, err := l.client().AppendEntry(ctx, connect.NewRequest(&wire.AppendEntryRequest{
		Stream: stream,
		Data:   data,
	}))
	switch {
	case err == nil:
		return answer.Msg.GetOffset(), nil
	case a.hadNoEffect(err):
		return 0, &damaskspread.LogUnavailableError{Cause: err}
	default:
		return 0, &damaskspread.AppendUnknownError{Cause: err}
	}
}

// Read returns the entries from an offset on.
func (l *Log) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*wire.ReadEntriesResponse, error) {
	ctx, cancel, _ := begin(ctx, wait+orDefault(l.Timeout))
	defer cancel()
	answer, err := l.client().ReadEntries(ctx, connect.NewRequest(&wire.ReadEntriesRequest{
		Stream:     stream,
		FromOffset: from,
		MaxEntries: int32(limit),
		WaitMs:     wait.Milliseconds(),
	}))
	if err != nil {
		return nil, &damaskspread.LogUnavailableError{Cause: err}
	}
	if answer.Msg.GetFirstOffset() > from {
		return nil, &damaskspread.RetentionPassedError{
			From:  from,
			First: answer.Msg.GetFirstOffset(),
			Next:  answer.Msg.GetNextOffset(),
		}
	}
	return answer.Msg, nil
}
