package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/forwarder"
	"damaskspread.example/damaskspread/wire"
)

const fullResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

// testEndpoint counts the connections, and the requests that it received
// completely and therefore counts as executed. The handler of each test writes
// raw responses and decides when a connection is closed.
type testEndpoint struct {
	listener    net.Listener
	executed    atomic.Int32
	connections atomic.Int32
}

func newTestEndpoint(t *testing.T, handle func(e *testEndpoint, c net.Conn)) *testEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e := &testEndpoint{
		listener: listener,
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			e.connections.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				handle(e, c)
			}()
		}
	}()
	return e
}

// readRequest reports whether a complete request was received.
func (e *testEndpoint) readRequest(r *bufio.Reader) bool {
	request, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	if _, err := io.ReadAll(request.Body); err != nil {
		return false
	}
	e.executed.Add(1)
	return true
}

func newForwarder(address string) *forwarder.Forwarder {
	return &forwarder.Forwarder{
		Clock:          clockwork.NewRealClock(),
		Address:        address,
		MaxConnections: 4,
	}
}

func send(f *forwarder.Forwarder, timeout time.Duration) (*forwarder.Response, *damaskspread.RefusalError) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return f.Forward(ctx, forwarder.Request{
		Method: http.MethodPost,
		Path:   "/fold",
		Headers: []*wire.Header{
			{Name: "Idempotency-Key", Values: []string{"k"}},
			{Name: "Connection", Values: []string{"close"}},
		},
		Body: []byte(strings.Repeat("x", 100)),
	})
}

// Guards against a truncated response that is accepted as complete, and against
// the outcome not_run for a request that the endpoint executed. The connection
// is closed after each possible number of bytes of the response.
func TestResponseTruncatedAtEveryByte(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	for _, responseText := range []string{fullResponse, chunked} {
		for length := 0; length <= len(responseText); length++ {
			endpoint := newTestEndpoint(t, func(endpoint *testEndpoint, c net.Conn) {
				if endpoint.readRequest(bufio.NewReader(c)) {
					_, _ = io.WriteString(c, responseText[:length])
				}
			})
			response, refusal := send(newForwarder(endpoint.listener.Addr().String()), 10*time.Second)
			assert.Equal(t, endpoint.executed.Load(), int32(1), "closed after %d bytes", length)
			if length == len(responseText) {
				assert.Assert(t, refusal == nil)
				assert.Equal(t, string(response.Body), "hello")
			} else {
				assert.Assert(t, refusal != nil, "closed after %d bytes of %q", length, responseText)
				assert.Equal(t, refusal.Outcome, wire.Outcome_OUTCOME_UNKNOWN, "closed after %d bytes", length)
			}
			_ = endpoint.listener.Close()
		}
	}
}

// Guards against a request that is sent a second time, on a new connection,
// after the endpoint closed the reused connection while it read the request.
func TestConnectionClosedWhileRequestIsRead(t *testing.T) {
	for bytesRead := 0; bytesRead < 150; bytesRead += 7 {
		var firstConnectionSeen atomic.Bool
		endpoint := newTestEndpoint(t, func(endpoint *testEndpoint, c net.Conn) {
			r := bufio.NewReader(c)
			if !firstConnectionSeen.Swap(true) && endpoint.readRequest(r) {
				_, _ = io.WriteString(c, fullResponse)
			}
			_, _ = io.CopyN(io.Discard, r, int64(bytesRead)+1)
		})
		f := newForwarder(endpoint.listener.Addr().String())
		_, refusal := send(f, 10*time.Second)
		assert.Assert(t, refusal == nil)
		_, refusal = send(f, 10*time.Second)
		assert.Assert(t, refusal != nil)
		assert.Equal(t, refusal.Outcome, wire.Outcome_OUTCOME_UNKNOWN)
		assert.Equal(t, endpoint.connections.Load(), int32(1), "the request was sent again on another connection")
		assert.Equal(t, endpoint.executed.Load(), int32(1))
		_ = endpoint.listener.Close()
	}
}

// Guards against the outcome unknown if the endpoint certainly received nothing,
// and against an error for a connection that was closed while idle.
func TestNotRunOnlyIfNothingSent(t *testing.T) {
	closed := make(chan struct{}, 3)
	endpoint := newTestEndpoint(t, func(endpoint *testEndpoint, c net.Conn) {
		if endpoint.readRequest(bufio.NewReader(c)) {
			_, _ = io.WriteString(c, fullResponse)
		}
		_ = c.Close()
		closed <- struct{}{}
	})
	f := newForwarder(endpoint.listener.Addr().String())
	for i := range 3 {
		_, refusal := send(f, 10*time.Second)
		assert.Assert(t, refusal == nil)
		assert.Equal(t, endpoint.executed.Load(), int32(i+1))
		<-closed
	}
	_ = endpoint.listener.Close()
	_, refusal := send(newForwarder(endpoint.listener.Addr().String()), 10*time.Second)
	assert.Equal(t, refusal.Outcome, wire.Outcome_OUTCOME_NOT_RUN)
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	_, refusal = f.Forward(canceled, forwarder.Request{Method: http.MethodPost, Path: "/"})
	assert.Equal(t, refusal.Outcome, wire.Outcome_OUTCOME_NOT_RUN)
}

// Guards against accepting a response without a definite end, an invalid or
// oversized response, or one that does not arrive before the deadline.
func TestInvalidResponses(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		timeout  time.Duration
		reason   damaskspread.Reason
	}{
		"delimited by close": {"HTTP/1.1 200 OK\r\n\r\nhello", 10 * time.Second, damaskspread.ReasonTruncatedAnswer},
		"http/1.0":           {"HTTP/1.0 200 OK\r\n\r\nhello", 10 * time.Second, damaskspread.ReasonTruncatedAnswer},
		"garbage":            {"nonsense\r\n\r\n", 10 * time.Second, damaskspread.ReasonConnectionLost},
		"too large":          {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", forwarder.MaxBodyBytes+1, strings.Repeat("x", forwarder.MaxBodyBytes+1)), 10 * time.Second, damaskspread.ReasonTooLarge},
		"no response":        {"", 50 * time.Millisecond, damaskspread.ReasonDeadline},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := newTestEndpoint(t, func(endpoint *testEndpoint, c net.Conn) {
				if endpoint.readRequest(bufio.NewReader(c)) {
					_, _ = io.WriteString(c, test.response)
				}
				if test.response == "" {
					_, _ = io.Copy(io.Discard, c)
				}
			})
			_, refusal := send(newForwarder(endpoint.listener.Addr().String()), test.timeout)
			assert.Assert(t, refusal != nil)
			assert.Equal(t, refusal.Reason, test.reason)
			assert.Equal(t, refusal.Outcome, wire.Outcome_OUTCOME_UNKNOWN)
		})
	}
}

// Guards against more concurrent requests than the endpoint allows connections,
// against a forwarded Connection header, which would prevent the reuse of the
// connection, and against a missing timeout header.
func TestConnectionLimitAndTimeoutHeader(t *testing.T) {
	var open, maxOpen atomic.Int32
	var timeout, connectionHeader atomic.Value
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		timeout.Store(r.Header.Get(forwarder.TimeoutHeader))
		connectionHeader.Store(r.Header.Get("Connection"))
		current := open.Add(1)
		for old := maxOpen.Load(); current > old && !maxOpen.CompareAndSwap(old, current); old = maxOpen.Load() {
		}
		time.Sleep(time.Millisecond)
		open.Add(-1)
	}))
	defer server.Close()
	f := newForwarder(server.Listener.Addr().String())
	defer f.Close()
	results := make(chan *damaskspread.RefusalError, 40)
	for range 40 {
		go func() {
			_, refusal := send(f, 10*time.Second)
			results <- refusal
		}()
	}
	for range 40 {
		assert.Assert(t, <-results == nil)
	}
	assert.Assert(t, maxOpen.Load() <= 4)
	assert.Assert(t, timeout.Load().(string) != "")
	assert.Equal(t, connectionHeader.Load().(string), "")
}

// hostClock is an ElapsedClock that a test sets.
type hostClock struct{ now atomic.Int64 }

func (c *hostClock) Elapsed() time.Duration { return time.Duration(c.now.Load()) }

// Guards against a request that starts at an endpoint because its agent was paused
// between the last check and the sending, and that counts as run although it did not
// start.
func TestPauseBetweenCheckAndSending(t *testing.T) {
	for pause, want := range map[time.Duration]int{0: 1, 2 * time.Second: 0} {
		clock := &hostClock{}
		endpoint := &emulator.Endpoint{
			Clock:   clockwork.NewRealClock(),
			Elapsed: clock,
			Address: "127.0.0.1:0",
		}
		assert.NilError(t, endpoint.Listen())
		var tb tomb.Tomb
		tb.Go(func() error { return endpoint.Run(&tb) })
		f := newForwarder(strings.TrimPrefix(endpoint.URL(), "http://"))
		f.Elapsed = clock
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		_, refusal := f.Forward(ctx, forwarder.Request{
			Method: http.MethodPost,
			Path:   "/fold",
			MayStart: func() (time.Duration, *damaskspread.RefusalError) {
				clock.now.Add(int64(pause))
				return time.Second, nil
			},
		})
		cancel()
		assert.Equal(t, len(endpoint.Executions()), want)
		assert.Equal(t, refusal == nil, want == 1)
		if refusal != nil {
			assert.Equal(t, refusal.Outcome, wire.Outcome_OUTCOME_NOT_RUN)
			assert.Equal(t, refusal.Reason, damaskspread.ReasonStaleConfiguration)
		}
		tb.Kill(nil)
		assert.NilError(t, tb.Wait())
	}
}
