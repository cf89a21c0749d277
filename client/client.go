package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

const (
	// maxResponseBytes is the 8 MiB limit of the design page, plus 64 KiB for
	// the JSON around the content.
	maxResponseBytes   = 8<<20 + 64<<10
	defaultCallTimeout = 15 * time.Second
	// minBackoff is the wait after the first try. It doubles with each try, up to
	// maxBackoff.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Error is the failure of a call. Status is the HTTP status of the response. It is
// 0 if there was none, and 400 if the request could not be built.
type Error struct {
	Status int
	Body   ErrorBody
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (%s, request %s)", e.Body.Outcome, e.Body.Message, e.Body.Reason, e.Body.RequestID)
}

// Unwrap returns the error as a *damaskspread.RefusalError, for errors.As.
func (e *Error) Unwrap() error {
	outcome := wire.Outcome_OUTCOME_UNKNOWN
	switch e.Body.Outcome {
	case OutcomeNotRun:
		outcome = wire.Outcome_OUTCOME_NOT_RUN
	case OutcomeRan:
		outcome = wire.Outcome_OUTCOME_RAN
	}
	return &damaskspread.RefusalError{
		Outcome:    outcome,
		Reason:     e.Body.Reason,
		Message:    e.Body.Message,
		RetryAfter: time.Duration(e.Body.RetryAfterMs) * time.Millisecond,
	}
}

// Client calls entry processes over HTTP.
type Client struct {
	// Entries are the addresses (ip:port) of entry processes. After a failed try
	// the next one is used.
	Entries []string
	// HTTP is the HTTP client; nil uses a client with a connection timeout of 2 s.
	HTTP *http.Client
	// Clock times the wait between tries; nil uses the real clock.
	Clock damaskspread.Clock
	// Team and Actor identify who requests changes.
	Team  string
	Actor string
	// Timeout limits a call whose context has no deadline; 15 s by default.
	// Execute uses Request.Timeout instead. Calls that may be repeated divide
	// their time among the entry processes.
	Timeout time.Duration
	// MaxTries limits the tries of one call; 4 by default.
	MaxTries int

	entryIndex atomic.Uint32
}

var defaultHTTP = &http.Client{
	Transport: &http.Transport{
		DialContext: (&net.Dialer{
			Timeout: 2 * time.Second,
		}).DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
	},
	// Following a redirect would send the request a second time.
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

func (c *Client) httpClient() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return defaultHTTP
}

func (c *Client) clock() damaskspread.Clock {
	if c.Clock != nil {
		return c.Clock
	}
	return clockwork.NewRealClock()
}

func (c *Client) maxTries() int {
	if c.MaxTries > 0 {
		return c.MaxTries
	}
	return 4
}

// currentEntry returns the address of the entry process for the next try.
func (c *Client) currentEntry() string {
	return c.Entries[int(c.entryIndex.Load())%len(c.Entries)]
}

// waitForRetry selects the next entry process and waits before the next try, at
// least for retryAfter. It returns the context's error if the context ends first.
func (c *Client) waitForRetry(ctx context.Context, try int, retryAfter time.Duration) error {
	c.entryIndex.Add(1)
	delay := max(min(minBackoff<<try, maxBackoff), retryAfter)
	timer := c.clock().NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.Chan():
		return nil
	}
}

// exchangeError returns the error of a request without a complete response. Only
// a failed dial proves that the entry process did not receive the request.
func exchangeError(err error) *Error {
	outcome, reason := OutcomeUnknown, damaskspread.ReasonConnectionLost
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		outcome = OutcomeNotRun
	}
	if errors.Is(err, context.DeadlineExceeded) {
		reason = damaskspread.ReasonDeadline
	}
	return &Error{
		Body: ErrorBody{
			Outcome: outcome,
			Reason:  reason,
			Message: err.Error(),
		},
	}
}

// httpResponse is a complete response.
type httpResponse struct {
	status int
	header http.Header
	body   []byte
}

// roundTrip sends a request and returns the complete response.
func (c *Client) roundTrip(request *http.Request) (*httpResponse, *Error) {
	response, err := c.httpClient().Do(request)
	if err != nil {
		return nil, exchangeError(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = &damaskspread.RefusalError{
			Outcome: wire.Outcome_OUTCOME_UNKNOWN,
			Reason:  damaskspread.ReasonTooLarge,
			Message: "the response is longer than " + strconv.Itoa(maxResponseBytes) + " bytes",
		}
	}
	if err != nil {
		return nil, exchangeError(err)
	}
	return &httpResponse{
		status: response.StatusCode,
		header: response.Header,
		body:   body,
	}, nil
}

// refusal returns the error that a response states, or nil if it states none.
func (r *httpResponse) refusal() *Error {
	var parsed ErrorResponse
	if json.Unmarshal(r.body, &parsed) == nil && parsed.Error != nil && parsed.Error.Outcome != "" {
		return &Error{
			Status: r.status,
			Body:   *parsed.Error,
		}
	}
	if r.status < http.StatusBadRequest {
		return nil
	}
	return &Error{
		Status: r.status,
		Body: ErrorBody{
			Outcome: OutcomeUnknown,
			Reason:  damaskspread.ReasonConnectionLost,
			Message: fmt.Sprintf("HTTP status %d without an error object; the request may have run", r.status),
		},
	}
}
