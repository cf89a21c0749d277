// Package connector reaches the platform's log and workers over connect.
//
// It translates failures into the typed errors of the root package and states
// truthfully whether a call may have taken effect: a call that never got a
// connection, or that the peer refused with a definite code, had no effect;
// every other failure is unknown. It starts no goroutines and never retries.
package connector

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
)

const defaultTimeout = 2 * time.Second

// definite holds the codes with which the platform refuses a call before it
// has any effect. Other codes, e.g. internal or aborted, leave that open.
var definite = map[connect.Code]bool{
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

// attempt observes whether a call may have left this process.
type attempt struct {
	connected atomic.Bool
}

// begin returns a context with a deadline that tracks the call.
func begin(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc, *attempt) {
	a := &attempt{}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) },
	})
	return ctx, cancel, a
}

// hadNoEffect reports whether the failed call certainly had no effect. Codes
// count only when the peer itself sent them: the client library also uses
// them for failures of the connection.
func (a *attempt) hadNoEffect(err error) bool {
	if !a.connected.Load() {
		return true
	}
	return connect.IsWireError(err) && definite[connect.CodeOf(err)]
}

func orDefault(timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return defaultTimeout
	}
	return timeout
}

func orDefaultClient(client *http.Client) *http.Client {
	if client == nil {
		return http.DefaultClient
	}
	return client
}
