// Package forwarder sends one request from the agent to its endpoint and
// accepts the answer only if it is complete.
//
// It speaks HTTP/1.1 on connections of its own instead of net/http's transport,
// which repeats some requests on reused connections by itself: a request is
// written at most once here, and the number of written bytes decides whether a
// failure means not_run. The package owns the connections to the endpoint and
// starts no goroutine of its own.
//
// Open question: whether an endpoint that answers before it has read the whole
// body should have its connection kept.
package forwarder

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"syscall"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

const (
	// MaxBody bounds requests and answers.
	MaxBody = 8 << 20
	// TimeoutHeader tells the endpoint how long the caller still waits, in
	// milliseconds.
	TimeoutHeader = "Damaskspread-Timeout-Ms"
	// maxIdle is below the idle timeouts of usual servers, so that a kept
	// connection is rarely closed while a request is written to it.
	maxIdle = 2 * time.Second
	// maxInterim bounds interim answers (1xx) before the final one.
	maxInterim = 8
)

// Request is what the endpoint gets.
type Request struct {
	Method  string
	Path    string
	Headers []*wire.Header
	Body    []byte
}

// Response is a complete answer.
type Response struct {
	Status  int
	Headers []*wire.Header
	Body    []byte
}

// Forwarder is safe for concurrent use. The exported fields are set before the
// first use.
type Forwarder struct {
	Clock damaskspread.Clock
	// Address of the endpoint.
	Address string
	// Connections is the largest number of open connections.
	Connections int

	once  sync.Once
	slots chan struct{}
	mu    sync.Mutex
	idle  []*conn
}

// conn counts the bytes that may have reached the endpoint.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	written int
	since   time.Time
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

// Forward sends a request once. A refusal is not_run only if no byte of the
// request was written. ctx must have a deadline.
func (f *Forwarder) Forward(ctx context.Context, request Request) (*Response, *damaskspread.RefusalError) {
	f.once.Do(func() { f.slots = make(chan struct{}, max(1, f.Connections)) })
	if len(request.Body) > MaxBody {
		return nil, damaskspread.NotRun(damaskspread.ReasonTooLarge, "the request is larger than %d bytes", MaxBody)
	}
	message, refusal := f.build(ctx, request)
	if refusal != nil {
		return nil, refusal
	}
	select {
	case f.slots <- struct{}{}:
		defer func() { <-f.slots }()
	case <-ctx.Done():
		return nil, damaskspread.NotRun(damaskspread.ReasonDeadline, "no connection to the endpoint became free in time")
	}
	c, err := f.connect(ctx)
	if err != nil {
		return nil, damaskspread.NotRun(damaskspread.ReasonEndpointFailed, "the endpoint can't be reached: %v", err)
	}
	response, reusable, refusal := exchange(ctx, c, message)
	if refusal != nil || !reusable {
		_ = c.Close()
		return response, refusal
	}
	f.keep(c)
	return response, nil
}

func (f *Forwarder) build(ctx context.Context, request Request) (*http.Request, *damaskspread.RefusalError) {
	target, err := url.ParseRequestURI(request.Path)
	if err != nil || target.Host != "" || target.Scheme != "" {
		return nil, damaskspread.NotRun(damaskspread.ReasonBadRequest, "the path is not valid")
	}
	target.Scheme = "http"
	target.Host = f.Address
	message, err := http.NewRequestWithContext(ctx, request.Method, target.String(), http.NoBody)
	if err != nil {
		return nil, damaskspread.NotRun(damaskspread.ReasonBadRequest, "the request is not valid: %v", err)
	}
	for _, header := range request.Headers {
		if !damaskspread.IsHopByHop(http.CanonicalHeaderKey(header.GetName())) {
			message.Header[http.CanonicalHeaderKey(header.GetName())] = header.GetValues()
		}
	}
	if len(request.Body) > 0 {
		message.Body = io.NopCloser(&bodyReader{data: request.Body})
	}
	message.ContentLength = int64(len(request.Body))
	if deadline, ok := ctx.Deadline(); ok {
		message.Header.Set(TimeoutHeader, strconv.FormatInt(max(0, time.Until(deadline).Milliseconds()), 10))
	}
	return message, nil
}

// bodyReader has no Seek or other method that would let a caller rewind it.
type bodyReader struct{ data []byte }

func (b *bodyReader) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

func (f *Forwarder) connect(ctx context.Context) (*conn, error) {
	for {
		c := f.takeIdle()
		if c == nil {
			break
		}
		if c.alive(f.Clock.Now()) {
			c.written = 0
			return c, nil
		}
		_ = c.Close()
	}
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", f.Address)
	if err != nil {
		return nil, err
	}
	return &conn{
		Conn:   raw,
		reader: bufio.NewReader(raw),
	}, nil
}

func (f *Forwarder) takeIdle() *conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.idle) == 0 {
		return nil
	}
	c := f.idle[len(f.idle)-1]
	f.idle = f.idle[:len(f.idle)-1]
	return c
}

// alive looks for a close that the endpoint sent while the connection was
// idle. A request written after it would end as unknown without need.
func (c *conn) alive(now time.Time) bool {
	if now.Sub(c.since) > maxIdle || c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		// Peeks without waiting; a deadline in the past would not read at all.
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

func (f *Forwarder) keep(c *conn) {
	c.since = f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.idle = append(f.idle, c)
}

// Close closes the idle connections.
func (f *Forwarder) Close() {
	for c := f.takeIdle(); c != nil; c = f.takeIdle() {
		_ = c.Close()
	}
}

// Probe asks the endpoint for a path and reports whether it answered with a
// status below 500.
func (f *Forwarder) Probe(ctx context.Context, path string) bool {
	response, refusal := f.Forward(ctx, Request{
		Method: http.MethodGet,
		Path:   path,
	})
	return refusal == nil && response.Status < http.StatusInternalServerError
}
