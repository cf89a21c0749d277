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
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/forwarder"
	"damaskspread.example/damaskspread/wire"
)

const full = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

// server is an endpoint that records what ran: a request whose body arrived
// completely. It answers with raw bytes and then closes or keeps.
type server struct {
	listener net.Listener
	executed atomic.Int32
	conns    atomic.Int32
}

func serve(t *testing.T, handle func(s *server, c net.Conn)) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &server{
		listener: listener,
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				handle(s, c)
			}()
		}
	}()
	return s
}

func (s *server) read(r *bufio.Reader) bool {
	request, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	if _, err := io.ReadAll(request.Body); err != nil {
		return false
	}
	s.executed.Add(1)
	return true
}

func newForwarder(address string) *forwarder.Forwarder {
	return &forwarder.Forwarder{
		Clock:       clockwork.NewRealClock(),
		Address:     address,
		Connections: 4,
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

// Guards against a cut answer that passes as complete and against not_run for
// a request that the endpoint executed, at every byte of the answer.
func TestCutAtEveryByteOfTheAnswer(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	for _, answer := range []string{full, chunked} {
		for cut := 0; cut <= len(answer); cut++ {
			s := serve(t, func(s *server, c net.Conn) {
				if s.read(bufio.NewReader(c)) {
					_, _ = io.WriteString(c, answer[:cut])
				}
			})
			response, refusal := send(newForwarder(s.listener.Addr().String()), 10*time.Second)
			assert.Equal(t, s.executed.Load(), int32(1), "cut at %d", cut)
			if cut == len(answer) {
				assert.Assert(t, refusal == nil)
				assert.Equal(t, string(response.Body), "hello")
			} else {
				assert.Assert(t, refusal != nil, "cut at %d of %q", cut, answer)
				assert.Equal(t, refusal.Outcome, wire.Outcome_OUTCOME_UNKNOWN, "cut at %d", cut)
			}
			_ = s.listener.Close()
		}
	}
}

// Guards against a request that is written a second time after a cut while it
// was read, on new and on reused connections.
func TestCutWhileTheRequestIsRead(t *testing.T) {
	for cut := 0; cut < 150; cut += 7 {
		var answered atomic.Bool
		s := serve(t, func(s *server, c net.Conn) {
			r := bufio.NewReader(c)
			if !answered.Swap(true) && s.read(r) {
				_, _ = io.WriteString(c, full)
			}
			_, _ = io.CopyN(io.Discard, r, int64(cut)+1)
		})
		f := newForwarder(s.listener.Addr().String())
		_, refusal := send(f, 10*time.Second)
		assert.Assert(t, refusal == nil)
		_, refusal = send(f, 10*time.Second)
		assert.Assert(t, refusal != nil)
		assert.Equal(t, refusal.Outcome, wire.Outcome_OUTCOME_UNKNOWN)
		assert.Equal(t, s.conns.Load(), int32(1), "the request was repeated on another connection")
		assert.Equal(t, s.executed.Load(), int32(1))
		_ = s.listener.Close()
	}
}

// Guards against unknown where the endpoint certainly got nothing, and against
// an error for a connection that was closed while idle.
func TestNotRun(t *testing.T) {
	closed := make(chan struct{}, 3)
	s := serve(t, func(s *server, c net.Conn) {
		if s.read(bufio.NewReader(c)) {
			_, _ = io.WriteString(c, full)
		}
		_ = c.Close()
		closed <- struct{}{}
	})
	f := newForwarder(s.listener.Addr().String())
	for i := range 3 {
		_, refusal := send(f, 10*time.Second)
		assert.Assert(t, refusal == nil)
		assert.Equal(t, s.executed.Load(), int32(i+1))
		<-closed
	}
	_ = s.listener.Close()
	_, refusal := send(newForwarder(s.listener.Addr().String()), 10*time.Second)
	assert.Equal(t, refusal.Outcome, wire.Outcome_OUTCOME_NOT_RUN)
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	_, refusal = f.Forward(canceled, forwarder.Request{Method: http.MethodPost, Path: "/"})
	assert.Equal(t, refusal.Outcome, wire.Outcome_OUTCOME_NOT_RUN)
}

// Guards against answers whose end can't be told, oversized answers and
// answers after the deadline.
func TestRefusedAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		answer  string
		timeout time.Duration
		reason  damaskspread.Reason
	}{
		"delimited by close": {"HTTP/1.1 200 OK\r\n\r\nhello", 10 * time.Second, damaskspread.ReasonTruncatedAnswer},
		"http/1.0":           {"HTTP/1.0 200 OK\r\n\r\nhello", 10 * time.Second, damaskspread.ReasonTruncatedAnswer},
		"garbage":            {"nonsense\r\n\r\n", 10 * time.Second, damaskspread.ReasonConnectionLost},
		"too large":          {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", forwarder.MaxBody+1, strings.Repeat("x", forwarder.MaxBody+1)), 10 * time.Second, damaskspread.ReasonTooLarge},
		"no answer":          {"", 50 * time.Millisecond, damaskspread.ReasonDeadline},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(s *server, c net.Conn) {
				if s.read(bufio.NewReader(c)) {
					_, _ = io.WriteString(c, test.answer)
				}
				if test.answer == "" {
					_, _ = io.Copy(io.Discard, c)
				}
			})
			_, refusal := send(newForwarder(s.listener.Addr().String()), test.timeout)
			assert.Assert(t, refusal != nil)
			assert.Equal(t, refusal.Reason, test.reason)
			assert.Equal(t, refusal.Outcome, wire.Outcome_OUTCOME_UNKNOWN)
		})
	}
}

// Guards against more connections than the endpoint allows, against losing
// the connection's reuse, and against a missing deadline header.
func TestConnectionsAndDeadlineHeader(t *testing.T) {
	var open, most atomic.Int32
	var timeout, connection atomic.Value
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		timeout.Store(r.Header.Get(forwarder.TimeoutHeader))
		connection.Store(r.Header.Get("Connection"))
		n := open.Add(1)
		for old := most.Load(); n > old && !most.CompareAndSwap(old, n); old = most.Load() {
		}
		time.Sleep(time.Millisecond)
		open.Add(-1)
	}))
	defer s.Close()
	f := newForwarder(s.Listener.Addr().String())
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
	assert.Assert(t, most.Load() <= 4)
	assert.Assert(t, timeout.Load().(string) != "")
	assert.Equal(t, connection.Load().(string), "")
}
