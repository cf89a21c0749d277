// Package connector implements the connect clients of the log, of the workers
// and of the keyed log behind another entry process, and an HTTP client that
// detects unresponsive peers. Package platform implements the platform's own
// HTTP protocol.
//
// Its clients return the typed errors of the root package, which tell whether a
// call may have taken effect: a call that got no connection, or that the server
// refused with one of noEffectCodes, had no effect; after any other failure the
// effect is unknown. They start no goroutines and never retry.
package connector

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"damaskspread.example/damaskspread"
)

// defaultTimeout bounds calls of clients without a Timeout.
const defaultTimeout = 2 * time.Second

// noEffectCodes are the codes with which a server refuses a call before the call
// has any effect. After other codes, e.g. internal or aborted, the effect is
// unknown.
var noEffectCodes = map[connect.Code]bool{
	connect.CodeInvalidArgument:    true,
	connect.CodeNotFound:           true,
	connect.CodeAlreadyExists:      true,
	connect.CodePermissionDenied:   true,
	connect.CodeUnauthenticated:    true,
	connect.CodeResourceExhausted:  true,
	connect.CodeFailedPrecondition: true,
	connect.CodeOutOfRange:         true,
	connect.CodeUnimplemented:      true,
	connect.CodeUnavailable:        true,
}

// callTracker records whether a call got a connection. Without one, no request
// was sent.
type callTracker struct {
	gotConnection atomic.Bool
}

// beginCall returns a context with a timeout and the tracker of the call that is
// made with the context.
func beginCall(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc, *callTracker) {
	tracker := &callTracker{}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { tracker.gotConnection.Store(true) },
	})
	return ctx, cancel, tracker
}

// hadNoEffect reports whether the failed call certainly had no effect. It
// considers only codes sent by the server, because the client library uses the
// same codes for failures of the connection.
func (t *callTracker) hadNoEffect(err error) bool {
	if !t.gotConnection.Load() {
		return true
	}
	return connect.IsWireError(err) && noEffectCodes[connect.CodeOf(err)]
}

// appendError returns the typed error of a failed append: LogUnavailableError if
// it had no effect, or else AppendUnknownError.
func (t *callTracker) appendError(err error) error {
	if t.hadNoEffect(err) {
		return &damaskspread.LogUnavailableError{Cause: err}
	}
	return &damaskspread.AppendUnknownError{Cause: err}
}

func timeoutOrDefault(timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return defaultTimeout
	}
	return timeout
}

func clientOrDefault(client *http.Client) *http.Client {
	if client == nil {
		return http.DefaultClient
	}
	return client
}
