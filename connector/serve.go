package connector

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// unusedTimeout is longer than our clients keep idle connections, so that a
// client closes an unused connection before the server does.
const unusedTimeout = 5 * time.Minute

// ListenError reports that binding an address failed or that its listener
// stopped serving. Name says what the listener serves or who connects to it.
type ListenError struct {
	Name    string
	Address string
	Cause   error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("cannot listen on %q for %s: %v", e.Address, e.Name, e.Cause)
}

func (e *ListenError) Unwrap() error { return e.Cause }

// Serve serves the connections of a listener until the server is shut down or
// closed, or else fails with a ListenError of the given name. Until the first
// byte arrives on a connection, unusedTimeout applies in place of the server's
// ReadHeaderTimeout.
//
// The transport of net/http opens a connection for a request and may then send
// the request on another one that became idle meanwhile. The new connection stays
// unused in its pool. A server that closes it after ReadHeaderTimeout breaks a
// request that is being written to it, and the caller can't tell whether the
// request ran.
func Serve(name string, server *http.Server, listener net.Listener) error {
	err := server.Serve(&unusedListener{
		Listener: listener,
	})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return &ListenError{
		Name:    name,
		Address: listener.Addr().String(),
		Cause:   err,
	}
}

type unusedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *unusedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &unusedConn{
		Conn: accepted,
	}, nil
}

// unusedConn postpones the read deadline until the first byte arrives.
type unusedConn struct {
	net.Conn
	used        atomic.Bool
	headerLimit atomic.Int64 // time.Duration from the first byte to the deadline; 0 without one
}

// SetReadDeadline implements net.Conn.
func (c *unusedConn) SetReadDeadline(deadline time.Time) error {
	limit := time.Until(deadline)
	if c.used.Load() || deadline.IsZero() || limit <= 0 {
		return c.Conn.SetReadDeadline(deadline)
	}
	c.headerLimit.Store(int64(limit))
	return c.Conn.SetReadDeadline(time.Now().Add(unusedTimeout))
}

// Read implements net.Conn.
func (c *unusedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n == 0 || c.used.Swap(true) {
		return n, err
	}
	if limit := c.headerLimit.Load(); limit > 0 {
		// Fails only on a closed connection, whose next read fails as well.
		_ = c.Conn.SetReadDeadline(time.Now().Add(time.Duration(limit)))
	}
	return n, err
}
