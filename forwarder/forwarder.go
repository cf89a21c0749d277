// Package forwarder sends requests from an agent to the endpoint on its host,
// each at most once, and accepts a response only if it is complete. It is the
// last hop of a request; package dispatcher sends it from the entry process to
// an agent.
//
// It speaks HTTP/1.1 on connections of its own, because the transport of
// net/http retries some requests on reused connections. Here a request is
// written at most once, and the number of written bytes decides whether a
// failure has the outcome not_run. A Forwarder owns the connections to the
// endpoint and starts no goroutine.
//
// Open question: whether a connection should be reused if the endpoint responds
// before it has read the whole body.
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
	// MaxBodyBytes is the largest request or response body, in bytes.
	MaxBodyBytes = 8 << 20
	// TimeoutHeader is the request header with the time left until the caller's
	// deadline, in milliseconds.
	TimeoutHeader = "Damaskspread-Timeout-Ms"
	// maxIdleTime is shorter than the idle timeouts of common servers, so that
	// an endpoint rarely closes a reused connection while a request is written
	// to it.
	maxIdleTime = 2 * time.Second
	// maxInterimResponses limits the number of responses read until the final
	// one, including it: up to 7 interim responses (1xx).
	maxInterimResponses = 8
)

// Request is a request to the endpoint. Path includes the query. Hop-by-hop
// headers are not forwarded.
type Request struct {
	Method  string
	Path    string
	Headers []*wire.Header
	Body    []byte
	// MayStart, unless nil, is called immediately before the request is written and
	// returns for how long it may still start, or a refusal. The wait for a connection
	// may have outlasted the permission, most of all in a process that was paused.
	MayStart func() (time.Duration, *damaskspread.RefusalError)
}

// Response is a complete response of the endpoint, without hop-by-hop headers.
type Response struct {
	Status  int
	Headers []*wire.Header
	Body    []byte
}

// Forwarder sends requests to one endpoint. It is safe for concurrent use; its
// exported fields must be set before.
type Forwarder struct {
	Clock damaskspread.Clock
	// Elapsed is the clock that the endpoint reads too. If it is nil, the endpoint is
	// not told how long a request may start.
	Elapsed damaskspread.ElapsedClock
	// Address is the host:port of the endpoint.
	Address string
	// MaxConnections is the largest number of requests in progress, each on a
	// connection of its own; at least 1.
	MaxConnections int

	once            sync.Once
	connectionSlots chan struct{}
	mu              sync.Mutex
	idle            []*connection
}

// connection is a connection to the endpoint.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// bytesWritten counts the bytes of the current request that may have
	// reached the endpoint.
	bytesWritten int
	idleSince    time.Time
}

// Write implements net.Conn and counts the written bytes.
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytesWritten += n
	return n, err
}

// Forward sends a request at most once and returns the complete response. A
// refusal has the outcome not_run only if no byte of the request was written,
// and unknown otherwise. ctx must have a deadline.
func (f *Forwarder) Forward(ctx context.Context, request Request) (*Response, *damaskspread.RefusalError) {
	f.once.Do(func() { f.connectionSlots = make(chan struct{}, max(1, f.MaxConnections)) })
	if len(request.Body) > MaxBodyBytes {
		return nil, damaskspread.NotRun(damaskspread.ReasonTooLarge, "the request body is larger than %d bytes", MaxBodyBytes)
	}
	httpRequest, refusal := f.buildRequest(ctx, request)
	if refusal != nil {
		return nil, refusal
	}
	select {
	case f.connectionSlots <- struct{}{}:
		defer func() { <-f.connectionSlots }()
	case <-ctx.Done():
		return nil, damaskspread.NotRun(damaskspread.ReasonDeadline, "all connections to the endpoint were in use until the deadline")
	}
	c, err := f.connect(ctx)
	if err != nil {
		return nil, damaskspread.NotRun(damaskspread.ReasonEndpointFailed, "cannot connect to the endpoint: %v", err)
	}
	if refusal := f.checkStart(request, httpRequest); refusal != nil {
		f.addIdle(c)
		return nil, refusal
	}
	response, reusable, refusal := roundTrip(ctx, c, httpRequest)
	if refusal != nil || !reusable {
		_ = c.Close()
		return response, refusal
	}
	f.addIdle(c)
	return response, nil
}

// checkStart returns a refusal if the request must not start any more, else tells the
// endpoint until when it may. The clock is read before the check, so that a pause of
// this process in between shortens the time.
func (f *Forwarder) checkStart(request Request, httpRequest *http.Request) *damaskspread.RefusalError {
	httpRequest.Header.Del(damaskspread.HeaderStartBefore)
	if request.MayStart == nil {
		return nil
	}
	var now time.Duration
	if f.Elapsed != nil {
		now = f.Elapsed.Elapsed()
	}
	remaining, refusal := request.MayStart()
	if refusal == nil && f.Elapsed != nil {
		httpRequest.Header.Set(damaskspread.HeaderStartBefore, strconv.FormatInt(int64(now+remaining), 10))
	}
	return refusal
}

func (f *Forwarder) buildRequest(ctx context.Context, request Request) (*http.Request, *damaskspread.RefusalError) {
	target, err := url.ParseRequestURI(request.Path)
	if err != nil || target.Host != "" || target.Scheme != "" {
		return nil, damaskspread.NotRun(damaskspread.ReasonBadRequest, "the path is not valid")
	}
	target.Scheme = "http"
	target.Host = f.Address
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, target.String(), http.NoBody)
	if err != nil {
		return nil, damaskspread.NotRun(damaskspread.ReasonBadRequest, "the request is not valid: %v", err)
	}
	for _, header := range request.Headers {
		if !damaskspread.IsHopByHop(http.CanonicalHeaderKey(header.GetName())) {
			httpRequest.Header[http.CanonicalHeaderKey(header.GetName())] = header.GetValues()
		}
	}
	if len(request.Body) > 0 {
		httpRequest.Body = io.NopCloser(&bodyReader{data: request.Body})
	}
	httpRequest.ContentLength = int64(len(request.Body))
	if deadline, ok := ctx.Deadline(); ok {
		httpRequest.Header.Set(TimeoutHeader, strconv.FormatInt(max(0, time.Until(deadline).Milliseconds()), 10))
	}
	return httpRequest, nil
}

// bodyReader reads a request body once. It has no Seek, so that net/http cannot
// rewind it.
type bodyReader struct{ data []byte }

func (b *bodyReader) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

// connect returns a reusable idle connection or opens a new one. It closes idle
// connections that are not reusable.
func (f *Forwarder) connect(ctx context.Context) (*connection, error) {
	for {
		c := f.takeIdle()
		if c == nil {
			break
		}
		if c.reusable(f.Clock.Now()) {
			c.bytesWritten = 0
			return c, nil
		}
		_ = c.Close()
	}
	var dialer net.Dialer
	tcp, err := dialer.DialContext(ctx, "tcp", f.Address)
	if err != nil {
		return nil, err
	}
	return &connection{
		Conn:   tcp,
		reader: bufio.NewReader(tcp),
	}, nil
}

// takeIdle returns the idle connection used last, or nil if there is none.
func (f *Forwarder) takeIdle() *connection {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.idle) == 0 {
		return nil
	}
	c := f.idle[len(f.idle)-1]
	f.idle = f.idle[:len(f.idle)-1]
	return c
}

// reusable reports whether a request can be sent on an idle connection: it has
// not been idle for too long, and the endpoint has neither closed it nor sent
// data. A request on a closed connection would needlessly have the outcome
// unknown.
func (c *connection) reusable(now time.Time) bool {
	if now.Sub(c.idleSince) > maxIdleTime || c.reader.Buffered() > 0 {
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
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		// Peeks without blocking; EAGAIN means open and nothing to read. A read
		// with a deadline in the past would not look at the socket at all.
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

func (f *Forwarder) addIdle(c *connection) {
	c.idleSince = f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.idle = append(f.idle, c)
}

// Close closes the idle connections. Requests in progress are not affected.
func (f *Forwarder) Close() {
	for c := f.takeIdle(); c != nil; c = f.takeIdle() {
		_ = c.Close()
	}
}

// Probe sends a GET request for the path and reports whether the endpoint
// responded with a status below 500. ctx must have a deadline.
func (f *Forwarder) Probe(ctx context.Context, path string) bool {
	response, refusal := f.Forward(ctx, Request{
		Method: http.MethodGet,
		Path:   path,
	})
	return refusal == nil && response.Status < http.StatusInternalServerError
}
