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

// roundTrip sends the request and reads the response, and reports whether the
// connection can be reused. A failure after the first written byte has the
// outcome unknown. The end of ctx interrupts it.
func roundTrip(ctx context.Context, c *connection, httpRequest *http.Request) (*Response, bool, *damaskspread.RefusalError) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	// stop returns false if ctx has ended. The connection has a deadline in the
	// past then and can't be reused.
	response, reusable, refusal := sendAndReceive(ctx, c, httpRequest)
	return response, stop() && reusable, refusal
}

func sendAndReceive(ctx context.Context, c *connection, httpRequest *http.Request) (*Response, bool, *damaskspread.RefusalError) {
	if ctx.Err() != nil {
		return nil, false, damaskspread.NotRun(damaskspread.ReasonDeadline, "the deadline passed before the request was sent")
	}
	writeErr := httpRequest.Write(c)
	if writeErr != nil && c.bytesWritten == 0 {
		return nil, false, damaskspread.NotRun(damaskspread.ReasonEndpointFailed, "nothing was sent to the endpoint: %v", writeErr)
	}
	// The response is read even after a write error: an endpoint may respond
	// without reading the whole body, for example with 413.
	httpResponse, err := readFinalResponse(c, httpRequest)
	if err != nil {
		return nil, false, receiveRefusal(ctx, err)
	}
	defer func() { _ = httpResponse.Body.Close() }()
	if httpResponse.ContentLength < 0 && len(httpResponse.TransferEncoding) == 0 {
		return nil, false, damaskspread.Unknown(damaskspread.ReasonTruncatedAnswer, "the endpoint's response has neither a length nor a transfer encoding; it may be incomplete")
	}
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, MaxBodyBytes+1))
	switch {
	case err != nil && ctx.Err() != nil:
		return nil, false, receiveRefusal(ctx, err)
	case err != nil:
		return nil, false, damaskspread.Unknown(damaskspread.ReasonTruncatedAnswer, "the endpoint's response is incomplete: %v", err)
	case len(body) > MaxBodyBytes:
		return nil, false, damaskspread.Unknown(damaskspread.ReasonTooLarge, "the endpoint's response body is larger than %d bytes", MaxBodyBytes)
	}
	if httpRequest.Header.Get(damaskspread.HeaderStartBefore) != "" && httpResponse.Header.Get(damaskspread.HeaderNotStarted) != "" {
		return nil, false, damaskspread.NotRun(damaskspread.ReasonStaleConfiguration, "the request reached the endpoint after its latest start time")
	}
	reusable := writeErr == nil && !httpResponse.Close && c.reader.Buffered() == 0
	return &Response{
		Status:  httpResponse.StatusCode,
		Headers: endToEndHeaders(httpResponse),
		Body:    body,
	}, reusable, nil
}

var errNoFinalResponse = errors.New("too many interim responses (1xx), or 101 Switching Protocols, instead of a final response")

// readFinalResponse skips interim responses (1xx) and returns the final one.
func readFinalResponse(c *connection, httpRequest *http.Request) (*http.Response, error) {
	for range maxInterimResponses {
		httpResponse, err := http.ReadResponse(c.reader, httpRequest)
		if err != nil {
			return nil, err
		}
		if httpResponse.StatusCode >= http.StatusOK {
			return httpResponse, nil
		}
		if httpResponse.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, errNoFinalResponse
}

// receiveRefusal returns the refusal for an error while the response is read.
// The request may have run, so the outcome is unknown.
func receiveRefusal(ctx context.Context, err error) *damaskspread.RefusalError {
	if ctx.Err() != nil {
		return damaskspread.Unknown(damaskspread.ReasonDeadline, "the endpoint did not respond before the deadline")
	}
	return damaskspread.Unknown(damaskspread.ReasonConnectionLost, "the connection to the endpoint failed: %v", err)
}

// endToEndHeaders returns the headers except those that belong to the
// connection.
func endToEndHeaders(httpResponse *http.Response) []*wire.Header {
	headers := make([]*wire.Header, 0, len(httpResponse.Header))
	for name, values := range httpResponse.Header {
		if !damaskspread.IsHopByHop(name) {
			headers = append(headers, &wire.Header{
				Name:   name,
				Values: values,
			})
		}
	}
	return headers
}
