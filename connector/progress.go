package connector

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"damaskspread.example/damaskspread"
)

// StalledError means that a response did not begin, or did not continue, within
// Limit.
type StalledError struct {
	Limit time.Duration
	Begun bool
}

func (e *StalledError) Error() string {
	if e.Begun {
		return fmt.Sprintf("the response stalled for %v", e.Limit)
	}
	return fmt.Sprintf("no response within %v", e.Limit)
}

// Timeout marks the error as a timeout, as for net.Error.
func (e *StalledError) Timeout() bool { return true }

// progressTransport bounds the requests whose context has a
// damaskspread.Progress. It starts a timer for each of them, no goroutine.
type progressTransport struct {
	base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *progressTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	progress := damaskspread.ProgressOf(request.Context())
	if progress == nil {
		return t.base.RoundTrip(request)
	}
	ctx, cancel := context.WithCancelCause(request.Context())
	timer := time.AfterFunc(progress.Response, func() { cancel(stalled(progress)) })
	response, err := t.base.RoundTrip(request.WithContext(ctx))
	if err != nil {
		timer.Stop()
		err = causeOf(ctx, err)
		cancel(nil)
		return nil, err
	}
	progress.Begin()
	response.Body = &watchedBody{
		body:   response.Body,
		stall:  progress.Stall,
		ctx:    ctx,
		cancel: cancel,
		timer:  timer,
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the base, if it has any.
func (t *progressTransport) CloseIdleConnections() {
	if closer, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// stalled returns the error of a call that makes no progress.
func stalled(progress *damaskspread.Progress) error {
	if progress.Begun() {
		return &StalledError{
			Limit: progress.Stall,
			Begun: true,
		}
	}
	return &StalledError{Limit: progress.Response}
}

// causeOf returns the StalledError that canceled the call, or else err.
func causeOf(ctx context.Context, err error) error {
	var stalled *StalledError
	if errors.As(context.Cause(ctx), &stalled) {
		return stalled
	}
	return err
}

// watchedBody cancels its call when no part of the response arrives in time.
type watchedBody struct {
	body   io.ReadCloser
	stall  time.Duration
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// Read implements io.Reader.
func (b *watchedBody) Read(buffer []byte) (int, error) {
	b.timer.Reset(b.stall)
	n, err := b.body.Read(buffer)
	if err != nil && !errors.Is(err, io.EOF) {
		err = causeOf(b.ctx, err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *watchedBody) Close() error {
	b.timer.Stop()
	b.cancel(nil)
	return b.body.Close()
}
