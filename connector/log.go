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

// Log is a client of the append-only log. It implements damaskspread.LogClient.
type Log struct {
	// Address is the base URL of the log.
	Address string
	// HTTP defaults to http.DefaultClient.
	HTTP *http.Client
	// Timeout bounds each call; a read may take its wait in addition. It
	// defaults to two seconds.
	Timeout time.Duration
}

func (l *Log) client() wireconnect.LogServiceClient {
	return wireconnect.NewLogServiceClient(clientOrDefault(l.HTTP), l.Address)
}

// Append appends an entry to a stream and returns its offset. It fails with
// LogUnavailableError if it had no effect, or else with AppendUnknownError.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	ctx, cancel, tracker := beginCall(ctx, timeoutOrDefault(l.Timeout))
	defer cancel()
	response, err := l.client().AppendEntry(ctx, connect.NewRequest(&wire.AppendEntryRequest{
		Stream: stream,
		Data:   data,
	}))
	if err != nil {
		return 0, tracker.appendError(err)
	}
	return response.Msg.GetOffset(), nil
}

// Read returns at most limit entries from an offset on. It waits up to wait for
// the first one, and fails with RetentionPassedError if the entry at from is no
// longer retained.
func (l *Log) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*wire.ReadEntriesResponse, error) {
	ctx, cancel, _ := beginCall(ctx, wait+timeoutOrDefault(l.Timeout))
	defer cancel()
	response, err := l.client().ReadEntries(ctx, connect.NewRequest(&wire.ReadEntriesRequest{
		Stream:     stream,
		FromOffset: from,
		MaxEntries: int32(limit),
		WaitMs:     wait.Milliseconds(),
	}))
	if err != nil {
		return nil, &damaskspread.LogUnavailableError{Cause: err}
	}
	if response.Msg.GetFirstOffset() > from {
		return nil, &damaskspread.RetentionPassedError{
			From:  from,
			First: response.Msg.GetFirstOffset(),
			Next:  response.Msg.GetNextOffset(),
		}
	}
	return response.Msg, nil
}
