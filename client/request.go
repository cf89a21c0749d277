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

// Request is one latency-critical request to a service.
type Request struct {
	Service string
	Path    string
	Header  http.Header
	Body    []byte
	// Key is the idempotency key. With a key, a try with unknown outcome is
	// repeated with the same key.
	Key string
	// FirstAttempt declares that the key was never sent before. Only the first
	// try of the call declares it.
	FirstAttempt bool
	// Idempotent declares that the request may run twice.
	Idempotent bool
	// Kind is the class of the request for load shedding.
	Kind string
	// Timeout limits all tries together; 2 s by default.
	Timeout time.Duration
}

// Response is the complete response of an endpoint.
type Response struct {
	Status    int
	Header    http.Header
	Body      []byte
	RequestID string
	// ConfigAge is the age of the configuration if a stale one was used, else "".
	ConfigAge string
	// Tries is the number of tries, including the successful one.
	Tries int
}

const defaultRequestTimeout = 2 * time.Second

// Execute sends a request to a service and returns the response of the endpoint.
// It tries again after a temporary failure with outcome not_run, and after one
// with outcome unknown only if the request has a key or is idempotent. The error
// is an *Error with the combined outcome of all tries.
func (c *Client) Execute(ctx context.Context, request *Request) (*Response, error) {
	if len(c.Entries) == 0 || request.Service == "" {
		return nil, &Error{
			Body: ErrorBody{
				Outcome: OutcomeNotRun,
				Reason:  damaskspread.ReasonBadRequest,
				Message: "an address of an entry process and a service name are required",
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
		response, failure := c.sendRequest(ctx, request, try)
		if failure == nil {
			response.Tries = try + 1
			return response, nil
		}
		mayHaveRun = mayHaveRun || failure.Body.Outcome == OutcomeUnknown
		if try+1 >= c.maxTries() || !mayRetry(failure, request.Key != "" || request.Idempotent) {
			return nil, combineOutcomes(failure, mayHaveRun)
		}
		if c.waitForRetry(ctx, try, time.Duration(failure.Body.RetryAfterMs)*time.Millisecond) != nil {
			return nil, combineOutcomes(failure, mayHaveRun)
		}
	}
}

// combineOutcomes changes the outcome of the last try from not_run to unknown if
// an earlier try may have run.
func combineOutcomes(last *Error, mayHaveRun bool) *Error {
	if mayHaveRun && last.Body.Outcome == OutcomeNotRun {
		last.Body.Outcome = OutcomeUnknown
		last.Body.Message = "an earlier try may have run; last try: " + last.Body.Message
	}
	return last
}

func (c *Client) sendRequest(ctx context.Context, request *Request, try int) (*Response, *Error) {
	path := "/v1/services/" + url.PathEscape(request.Service) + "/requests/" + strings.TrimPrefix(request.Path, "/")
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.currentEntry()+path, bytes.NewReader(request.Body))
	if err != nil {
		return nil, badRequest(err)
	}
	for name, values := range request.Header {
		httpRequest.Header[http.CanonicalHeaderKey(name)] = values
	}
	// The HTTP transport repeats a request with an idempotency key by itself if
	// GetBody is set or there is no body. The repetition would carry the header
	// of FirstAttempt again.
	httpRequest.Body, httpRequest.GetBody = io.NopCloser(bytes.NewReader(request.Body)), nil
	c.setHeaders(ctx, httpRequest.Header, request, try)
	response, failure := c.roundTrip(httpRequest)
	if failure != nil {
		return nil, failure
	}
	switch response.header.Get(HeaderOutcome) {
	case OutcomeRan:
		return &Response{
			Status:    response.status,
			Header:    response.header,
			Body:      response.body,
			RequestID: response.header.Get(HeaderRequestID),
			ConfigAge: response.header.Get(HeaderConfigAge),
		}, nil
	default:
		failure = response.refusal()
		if failure == nil {
			failure = &Error{
				Status: response.status,
				Body: ErrorBody{
					Outcome: OutcomeUnknown,
					Reason:  damaskspread.ReasonConnectionLost,
					Message: "the response states no outcome; the request may have run",
				},
			}
		}
		return nil, failure
	}
}

func (c *Client) setHeaders(ctx context.Context, header http.Header, request *Request, try int) {
	if deadline, hasDeadline := ctx.Deadline(); hasDeadline {
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
