package relayer

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// maxPeerWait bounds how long a relayed read waits for a record.
const maxPeerWait = 2 * time.Second

// errAway is the refusal of a process that the log doesn't serve either.
var errAway = errors.New("the log does not serve this process")

// Server calls the log for peers. Its fields are set before use.
type Server struct {
	// Log is the log itself, never a Relayer: calls are relayed once.
	Log damaskspread.KeyedLog
	// Away reports whether the log doesn't serve this process; calls of peers
	// are then refused at once.
	Away func() bool
}

// Append implements the KeyedLogService.
func (s *Server) Append(ctx context.Context, request *connect.Request[wire.KeyedAppendRequest]) (*connect.Response[wire.AppendResult], error) {
	if s.Away() {
		return nil, connect.NewError(connect.CodeUnavailable, errAway)
	}
	result, err := s.Log.Append(ctx, request.Msg.GetTopic(), request.Msg.GetRecords(), nil)
	if err != nil {
		return nil, connect.NewError(appendCode(err), err)
	}
	return connect.NewResponse(result), nil
}

// appendCode tells appends without effect from those that may have one.
func appendCode(err error) connect.Code {
	var unavailable *damaskspread.LogUnavailableError
	if errors.As(err, &unavailable) {
		return connect.CodeUnavailable
	}
	return connect.CodeUnknown
}

// Read implements the KeyedLogService.
func (s *Server) Read(ctx context.Context, request *connect.Request[wire.KeyedReadRequest]) (*connect.Response[wire.KeyedReadResponse], error) {
	if s.Away() {
		return nil, connect.NewError(connect.CodeUnavailable, errAway)
	}
	wait := min(time.Duration(request.Msg.GetWaitMs())*time.Millisecond, maxPeerWait)
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

// Newest implements the KeyedLogService.
func (s *Server) Newest(ctx context.Context, request *connect.Request[wire.KeyedNewestRequest]) (*connect.Response[wire.KeyedPage], error) {
	if s.Away() {
		return nil, connect.NewError(connect.CodeUnavailable, errAway)
	}
	page, err := s.Log.Newest(ctx, request.Msg.GetTopic(), request.Msg.GetAfter())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(page), nil
}
