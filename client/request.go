package client

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"damaskspread.example/damaskspread"
)

// Request is one urgent request to a service.
type Request struct {
	Service string
	Path    string
	Header  http.Header
	Body    []byte
	// Key is the idempotency key; with one, a try whose outcome is unknown is
	// repeated with the same key.
	Key string
	// FirstAttempt asserts that the key was never sent before. Later tries of
	// this call don't carry it.
	FirstAttempt bool
	// Idempotent states that running the request twice is harmless.
	Idempotent bool
	// Kind is the class for load shedding.
	Kind string
	// Timeout bounds all tries together; 2 s by default.
	Timeout time.Duration
}

// Response is the complete response of an endpoint.
type Response struct {
	Status    int
	Header    http.Header
	Body      []byte
	RequestID string
	// ConfigAge is set if a stale configuration was used.
	ConfigAge string
	Tries     int
}

const defaultRequestTimeout = 2 * time.Second

// Execute sends a request and follows the outcome: it tries again after
// not_run, and after unknown only with a key or if the request is idempotent.
// The error is an *Error with the outcome of all tries together.
func (c *Client) Execute(ctx context.Context, request *Request) (*Response, error) {
	if len(c.Entries) == 0 || request.Service == "" {
		return nil, &Error{
			Body: ErrorBody{
				Outcome: NotRun,
				Reason:  damaskspread.ReasonBadRequest,
				Message: "an entry address and a service are required",
			},
		}
	}
	timeout := request.Timeout
	if timeout <= 0 {
		timeout = defaultRequestTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	mayHaveRun := false
	for try := 0; ; try++ {
		response, failure := c.send(ctx, request, try)
		if failure == nil {
			response.Tries = try + 1
			return response, nil
		}
		mayHaveRun = mayHaveRun || failure.Body.Outcome == Unknown
		if try+1 >= c.tries() || !mayRepeat(failure, request.Key != "" || request.Idempotent) {
			return nil, combine(failure, mayHaveRun)
		}
		if c.pause(ctx, try, time.Duration(failure.Body.RetryAfterMs)*time.Millisecond) != nil {
			return nil, combine(failure, mayHaveRun)
		}
	}
}

// combine reports unknown if an earlier try may have run, although the last
// one did not.
func combine(last *Error, mayHaveRun bool) *Error {
	if mayHaveRun && last.Body.Outcome == NotRun {
		last.Body.Outcome = Unknown
		last.Body.Message = "an earlier try may have run; the last one: " + last.Body.Message
	}
	return last
}

func (c *Client) send(ctx context.Context, request *Request, try int) (*Response, *Error) {
	path := "/v1/services/" + url.PathEscape(request.Service) + "/requests/" + strings.TrimPrefix(request.Path, "/")
	message, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.entry()+path, bytes.NewReader(request.Body))
	if err != nil {
		return nil, badRequest(err)
	}
	for name, values := range request.Header {
		message.Header[http.CanonicalHeaderKey(name)] = values
	}
	// The transport sends a request with a key again by itself if it can get
	// the body once more, or has none. That try would repeat FirstAttempt.
	message.Body, message.GetBody = io.NopCloser(bytes.NewReader(request.Body)), nil
	c.setHeaders(ctx, message.Header, request, try)
	answer, failure := c.exchange(message)
	if failure != nil {
		return nil, failure
	}
	switch answer.header.Get(HeaderOutcome) {
	case Ran:
		return &Response{
			Status:    answer.status,
			Header:    answer.header,
			Body:      answer.body,
			RequestID: answer.header.Get(HeaderRequestID),
			ConfigAge: answer.header.Get(HeaderConfigAge),
		}, nil
	default:
		failure = answer.refusal()
		if failure == nil {
			failure = &Error{
				Status: answer.status,
				Body: ErrorBody{
					Outcome: Unknown,
					Reason:  damaskspread.ReasonConnectionLost,
					Message: "the response names no outcome",
				},
			}
		}
		return nil, failure
	}
}

func (c *Client) setHeaders(ctx context.Context, header http.Header, request *Request, try int) {
	if deadline, has := ctx.Deadline(); has {
		header.Set(HeaderTimeout, max(time.Until(deadline), time.Millisecond).String())
	}
	if request.Key != "" {
		header.Set(HeaderKey, request.Key)
	}
	if request.Kind != "" {
		header.Set(HeaderKind, request.Kind)
	}
	if request.Idempotent {
		header.Set(HeaderIdempotent, "true")
	}
	if request.FirstAttempt && try == 0 {
		header.Set(HeaderFirstAttempt, "true")
	}
}
