package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

const (
	// maxResponseBytes is the size limit on the design page, with room for
	// the JSON around it.
	maxResponseBytes = 8<<20 + 64<<10
	defaultTimeout   = 15 * time.Second
	// firstPause and lastPause bound the wait between tries; each doubles.
	firstPause = 50 * time.Millisecond
	lastPause  = 2 * time.Second
)

// Error is a refusal with the response's status.
type Error struct {
	Status int
	Body   ErrorBody
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (%s, request %s)", e.Body.Outcome, e.Body.Message, e.Body.Reason, e.Body.RequestID)
}

// Unwrap makes errors.As find the typed refusal.
func (e *Error) Unwrap() error {
	outcome := wire.Outcome_OUTCOME_UNKNOWN
	switch e.Body.Outcome {
	case NotRun:
		outcome = wire.Outcome_OUTCOME_NOT_RUN
	case Ran:
		outcome = wire.Outcome_OUTCOME_RAN
	}
	return &damaskspread.RefusalError{
		Outcome:    outcome,
		Reason:     e.Body.Reason,
		Message:    e.Body.Message,
		RetryAfter: time.Duration(e.Body.RetryAfterMs) * time.Millisecond,
	}
}

// Client calls entry processes.
type Client struct {
	// Entries are addresses (ip:port) that are tried in turn.
	Entries []string
	// HTTP is the HTTP client; one with bounded connection time by default.
	HTTP  *http.Client
	Clock damaskspread.Clock
	// Team and Actor are stated with every change.
	Team  string
	Actor string
	// Timeout bounds a call of an operator without deadline; 15 s by default.
	Timeout time.Duration
	// MaxTries bounds the tries of one call; 4 by default.
	MaxTries int

	next atomic.Uint32
}

var defaultHTTP = &http.Client{
	Transport: &http.Transport{
		DialContext: (&net.Dialer{
			Timeout: 2 * time.Second,
		}).DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
	},
	// A redirect would send the request a second time.
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

func (c *Client) tries() int {
	if c.MaxTries > 0 {
		return c.MaxTries
	}
	return 4
}

// entry returns the address of the entry to try.
func (c *Client) entry() string {
	return c.Entries[int(c.next.Load())%len(c.Entries)]
}

// pause waits before the next try, on another entry.
func (c *Client) pause(ctx context.Context, try int, after time.Duration) error {
	c.next.Add(1)
	wait := max(min(firstPause<<try, lastPause), after)
	timer := c.clock().NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.Chan():
		return nil
	}
}

// unreachable is a failed exchange. Only a failed dial proves that the entry
// never saw the request.
func unreachable(err error) *Error {
	outcome, reason := Unknown, damaskspread.ReasonConnectionLost
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		outcome = NotRun
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

// reply is a complete response.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// exchange sends a request and returns the complete response.
func (c *Client) exchange(request *http.Request) (*reply, *Error) {
	response, err := c.httpClient().Do(request)
	if err != nil {
		return nil, unreachable(err)
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
		return nil, unreachable(err)
	}
	return &reply{
		status: response.StatusCode,
		header: response.Header,
		body:   body,
	}, nil
}

// refusal returns the error of a response, nil if it holds none.
func (r *reply) refusal() *Error {
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
			Outcome: Unknown,
			Reason:  damaskspread.ReasonConnectionLost,
			Message: fmt.Sprintf("status %d without a typed error", r.status),
		},
	}
}

// call is one operator or task call. A call that changes nothing, or that the
// entry recognizes when repeated, may be tried again after any failure; others
// only after not_run.
type call struct {
	method     string
	path       string
	query      url.Values
	body       any
	key        string
	repeatable bool
	// keepsBody is set if the response is decoded beside its error.
	keepsBody bool
}

func (c *Client) do(ctx context.Context, call call, response any) error {
	if len(c.Entries) == 0 {
		return &Error{
			Body: ErrorBody{
				Outcome: NotRun,
				Reason:  damaskspread.ReasonBadRequest,
				Message: "no entry address is set",
			},
		}
	}
	if _, has := ctx.Deadline(); !has {
		timeout := c.Timeout
		if timeout <= 0 {
			timeout = defaultTimeout
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	mayHaveRun := false
	for try := 0; ; try++ {
		body, failure := c.once(ctx, call)
		if failure == nil {
			return decode(body, response)
		}
		mayHaveRun = mayHaveRun || failure.Body.Outcome == Unknown
		if try+1 < c.tries() && mayRepeat(failure, call.repeatable) &&
			c.pause(ctx, try, time.Duration(failure.Body.RetryAfterMs)*time.Millisecond) == nil {
			continue
		}
		if call.keepsBody {
			// A body without results leaves the response empty.
			_ = decode(body, response)
		}
		if call.method == http.MethodGet {
			return failure
		}
		return combine(failure, mayHaveRun)
	}
}

func decode(body []byte, target any) error {
	if err := json.Unmarshal(body, target); err != nil {
		return unreachable(err)
	}
	return nil
}

// mayRepeat reports whether another try can help and cannot run work twice.
func mayRepeat(failure *Error, repeatable bool) bool {
	switch failure.Status {
	case 0, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadGateway, http.StatusGatewayTimeout:
		return repeatable || failure.Body.Outcome == NotRun
	default:
		return false
	}
}

func (c *Client) once(ctx context.Context, call call) ([]byte, *Error) {
	data := []byte(nil)
	if call.body != nil {
		var err error
		if data, err = json.Marshal(call.body); err != nil {
			return nil, badRequest(err)
		}
	}
	address := url.URL{
		Scheme:   "http",
		Host:     c.entry(),
		RawQuery: call.query.Encode(),
	}
	request, err := http.NewRequestWithContext(ctx, call.method, address.String(), bytes.NewReader(data))
	if err != nil {
		return nil, badRequest(err)
	}
	request.URL.Path, request.URL.RawPath = unescape(call.path), call.path
	request.Header.Set("Content-Type", "application/json")
	if c.Actor != "" {
		request.Header.Set(HeaderActor, c.Actor)
	}
	if call.key != "" {
		request.Header.Set(HeaderKey, call.key)
	}
	answer, failure := c.exchange(request)
	if failure != nil {
		return nil, failure
	}
	return answer.body, answer.refusal()
}

func badRequest(err error) *Error {
	return &Error{
		Body: ErrorBody{
			Outcome: NotRun,
			Reason:  damaskspread.ReasonBadRequest,
			Message: err.Error(),
		},
		Status: http.StatusBadRequest,
	}
}

func unescape(path string) string {
	if plain, err := url.PathUnescape(path); err == nil {
		return plain
	}
	return path
}
