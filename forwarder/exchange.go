package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// exchange writes the request and reads the answer. Whatever fails after the
// first written byte is unknown.
func exchange(ctx context.Context, c *conn, message *http.Request) (*Response, bool, *damaskspread.RefusalError) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	// A connection whose deadline was set late must not be kept.
	response, reusable, refusal := exchangeOnce(ctx, c, message)
	return response, stop() && reusable, refusal
}

func exchangeOnce(ctx context.Context, c *conn, message *http.Request) (*Response, bool, *damaskspread.RefusalError) {
	if ctx.Err() != nil {
		return nil, false, damaskspread.NotRun(damaskspread.ReasonDeadline, "the deadline passed before the request was sent")
	}
	writeErr := message.Write(c)
	if writeErr != nil && c.written == 0 {
		return nil, false, damaskspread.NotRun(damaskspread.ReasonEndpointFailed, "nothing was sent to the endpoint: %v", writeErr)
	}
	// An endpoint may answer without reading the whole body, e.g. with 413.
	answer, err := readFinal(c, message)
	if err != nil {
		return nil, false, failure(ctx, err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 {
		return nil, false, damaskspread.Unknown(damaskspread.ReasonTruncatedAnswer, "the endpoint's answer has no length; it may be incomplete")
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, MaxBody+1))
	switch {
	case err != nil && ctx.Err() != nil:
		return nil, false, failure(ctx, err)
	case err != nil:
		return nil, false, damaskspread.Unknown(damaskspread.ReasonTruncatedAnswer, "the endpoint's answer is incomplete: %v", err)
	case len(body) > MaxBody:
		return nil, false, damaskspread.Unknown(damaskspread.ReasonTooLarge, "the endpoint's answer is larger than %d bytes", MaxBody)
	}
	reusable := writeErr == nil && !answer.Close && c.reader.Buffered() == 0
	return &Response{
		Status:  answer.StatusCode,
		Headers: headersOf(answer),
		Body:    body,
	}, reusable, nil
}

var errInterim = errors.New("too many interim answers")

func readFinal(c *conn, message *http.Request) (*http.Response, error) {
	for range maxInterim {
		answer, err := http.ReadResponse(c.reader, message)
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= http.StatusOK {
			return answer, nil
		}
		if answer.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, errInterim
}

func failure(ctx context.Context, err error) *damaskspread.RefusalError {
	if ctx.Err() != nil {
		return damaskspread.Unknown(damaskspread.ReasonDeadline, "the endpoint did not answer within the deadline")
	}
	return damaskspread.Unknown(damaskspread.ReasonConnectionLost, "the connection to the endpoint failed: %v", err)
}

func headersOf(answer *http.Response) []*wire.Header {
	headers := make([]*wire.Header, 0, len(answer.Header))
	for name, values := range answer.Header {
		if !damaskspread.IsHopByHop(name) {
			headers = append(headers, &wire.Header{
				Name:   name,
				Values: values,
			})
		}
	}
	return headers
}
