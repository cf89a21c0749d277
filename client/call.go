package client

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"damaskspread.example/damaskspread"
)

// operation is a call of the HTTP interface other than Execute.
type operation struct {
	method         string
	path           string
	query          url.Values
	body           any
	idempotencyKey string
	// repeatable is set if the operation changes nothing, or if the entry process
	// recognizes a repetition. Such an operation is retried after any failure
	// that may be temporary, others only after not_run.
	repeatable bool
	// decodeOnError is set if the response of a failed try has a body to decode.
	decodeOnError bool
}

func (c *Client) call(ctx context.Context, op operation, response any) error {
	if len(c.Entries) == 0 {
		return &Error{
			Body: ErrorBody{
				Outcome: OutcomeNotRun,
				Reason:  damaskspread.ReasonBadRequest,
				Message: "the client has no address of an entry process",
			},
		}
	}
	if _, hasDeadline := ctx.Deadline(); !hasDeadline {
		timeout := c.Timeout
		if timeout <= 0 {
			timeout = defaultCallTimeout
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	mayHaveRun := false
	for try := 0; ; try++ {
		body, failure := c.tryOperation(ctx, op, try)
		if failure == nil {
			return decode(body, response)
		}
		mayHaveRun = mayHaveRun || failure.Body.Outcome == OutcomeUnknown
		if try+1 < c.maxTries() && mayRetry(failure, op.repeatable) &&
			c.waitForRetry(ctx, try, time.Duration(failure.Body.RetryAfterMs)*time.Millisecond) == nil {
			continue
		}
		if op.decodeOnError {
			// If the body cannot be decoded, the response stays empty.
			_ = decode(body, response)
		}
		if op.method == http.MethodGet {
			return failure
		}
		return combineOutcomes(failure, mayHaveRun)
	}
}

// tryOperation sends a repeatable operation with a share of the remaining time if
// further entry processes are left. A paused process accepts connections and does
// not respond, and would otherwise take up the time of the whole call.
func (c *Client) tryOperation(ctx context.Context, op operation, try int) ([]byte, *Error) {
	deadline, _ := ctx.Deadline()
	if entriesLeft := min(len(c.Entries), c.maxTries()) - try; op.repeatable && entriesLeft > 1 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/time.Duration(entriesLeft))
		defer cancel()
	}
	return c.sendOperation(ctx, op)
}

func decode(body []byte, target any) error {
	if err := json.Unmarshal(body, target); err != nil {
		return exchangeError(err)
	}
	return nil
}

// mayRetry reports whether another try may succeed without the risk that the
// request takes effect twice.
func mayRetry(failure *Error, repeatable bool) bool {
	switch failure.Status {
	case 0, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadGateway, http.StatusGatewayTimeout:
		return repeatable || failure.Body.Outcome == OutcomeNotRun
	default:
		return false
	}
}

func (c *Client) sendOperation(ctx context.Context, op operation) ([]byte, *Error) {
	body := []byte(nil)
	if op.body != nil {
		var err error
		if body, err = json.Marshal(op.body); err != nil {
			return nil, badRequest(err)
		}
	}
	address := url.URL{
		Scheme:   "http",
		Host:     c.currentEntry(),
		RawQuery: op.query.Encode(),
	}
	httpRequest, err := http.NewRequestWithContext(ctx, op.method, address.String(), bytes.NewReader(body))
	if err != nil {
		return nil, badRequest(err)
	}
	httpRequest.URL.Path, httpRequest.URL.RawPath = unescapePath(op.path), op.path
	httpRequest.Header.Set("Content-Type", "application/json")
	if c.Actor != "" {
		httpRequest.Header.Set(HeaderActor, c.Actor)
	}
	if op.idempotencyKey != "" {
		httpRequest.Header.Set(HeaderKey, op.idempotencyKey)
	}
	response, failure := c.roundTrip(httpRequest)
	if failure != nil {
		return nil, failure
	}
	return response.body, response.refusal()
}

func badRequest(err error) *Error {
	return &Error{
		Body: ErrorBody{
			Outcome: OutcomeNotRun,
			Reason:  damaskspread.ReasonBadRequest,
			Message: err.Error(),
		},
		Status: http.StatusBadRequest,
	}
}

func unescapePath(path string) string {
	if plain, err := url.PathUnescape(path); err == nil {
		return plain
	}
	return path
}
