package relayer

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// maxRelayedWait bounds how long a relayed read waits for a record.
const maxRelayedWait = 2 * time.Second

// errLogUnreachable refuses a relayed call.
var errLogUnreachable = errors.New("log unreachable from this process")

// Server implements the KeyedLogService for the Relayers of other entry
// processes. Its fields are set before use.
type Server struct {
	// Log calls the log itself. It must not be a Relayer, so that a call is
	// relayed at most once.
	Log damaskspread.KeyedLog
	// LogUnreachable reports whether the log is unreachable from this process.
	// Relayed calls are then refused at once.
	LogUnreachable func() bool
}

// Append implements wireconnect.KeyedLogServiceHandler.
func (s *Server) Append(ctx context.Context, request *connect.Request[wire.KeyedAppendRequest]) (*connect.Response[wire.AppendResult], error) {
	if s.LogUnreachable() {
		return nil, connect.NewError(connect.CodeUnavailable, errLogUnreachable)
	}
	result, err := s.Log.Append(ctx, request.Msg.GetTopic(), request.Msg.GetRecords(), nil)
	if err != nil {
		return nil, connect.NewError(appendCode(err), err)
	}
	return connect.NewResponse(result), nil
}

// appendCode returns CodeUnavailable if the append had no effect, CodeInvalidArgument if
// the log rejects its records, or CodeUnknown if it may have had an effect.
func appendCode(err error) connect.Code {
	var unavailable *damaskspread.LogUnavailableError
	var rejected *damaskspread.AppendRejectedError
	switch {
	case errors.As(err, &unavailable):
		return connect.CodeUnavailable
	case errors.As(err, &rejected):
		return connect.CodeInvalidArgument
	default:
		return connect.CodeUnknown
	}
}

// Read implements wireconnect.KeyedLogServiceHandler.
func (s *Server) Read(ctx context.Context, request *connect.Request[wire.KeyedReadRequest]) (*connect.Response[wire.KeyedReadResponse], error) {
	if s.LogUnreachable() {
		return nil, connect.NewError(connect.CodeUnavailable, errLogUnreachable)
	}
	wait := min(time.Duration(request.Msg.GetWaitMs())*time.Millisecond, maxRelayedWait)
	page, err := s.Log.Read(ctx, request.Msg.GetTopic(), request.Msg.GetFrom(), wait)
	var passed *damaskspread.RetentionPassedError
	switch {
	case errors.As(err, &passed):
		return connect.NewResponse(&wire.KeyedReadResponse{FirstRetained: &passed.First}), nil
	case err != nil:
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&wire.KeyedReadResponse{Page: page}), nil
}

// Newest implements wireconnect.KeyedLogServiceHandler.
func (s *Server) Newest(ctx context.Context, request *connect.Request[wire.KeyedNewestRequest]) (*connect.Response[wire.KeyedPage], error) {
	if s.LogUnreachable() {
		return nil, connect.NewError(connect.CodeUnavailable, errLogUnreachable)
	}
	page, err := s.Log.Newest(ctx, request.Msg.GetTopic(), request.Msg.GetAfter())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(page), nil
}
