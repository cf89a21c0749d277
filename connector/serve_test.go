package connector_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/connector"
)

const (
	headerTimeout = 10 * time.Second
	// clientIdleTimeout is the longest time for which one of our clients keeps an
	// idle connection.
	clientIdleTimeout = 2 * time.Minute
)

// pipeListener accepts the connections of dial.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.connections:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	l.connections <- server
	return client
}

// serveFakeTime calls use with a connection to a server in a bubble of synctest.
func serveFakeTime(t *testing.T, use func(t *testing.T, c net.Conn)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		listener := &pipeListener{
			connections: make(chan net.Conn),
			closed:      make(chan struct{}),
		}
		server := &http.Server{
			Handler:           http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
			ReadHeaderTimeout: headerTimeout,
		}
		ended := make(chan error, 1)
		go func() { ended <- connector.Serve("test", server, listener) }()
		c := listener.dial()
		// Deferred, because a failed assertion in use ends this goroutine.
		defer func() {
			_ = c.Close()
			assert.Check(t, server.Close())
			assert.Check(t, <-ended)
		}()
		use(t, c)
	})
}

// Guards against a server that closes a connection of a client's pool on which no
// request was sent yet, while the first one is written to it: the request did not
// run, but its outcome is unknown to the caller.
func TestUnusedConnectionStaysOpen(t *testing.T) {
	serveFakeTime(t, func(t *testing.T, c net.Conn) {
		reader := bufio.NewReader(c)
		for range 2 {
			time.Sleep(clientIdleTimeout)
			_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: agent\r\nContent-Length: 0\r\n\r\n")
			assert.NilError(t, err)
			response, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, http.StatusOK)
		}
	})
}

// Guards against connections that stay open forever because a client never
// completes the header of its first or second request, or never sends one.
func TestUnfinishedHeaderClosesConnection(t *testing.T) {
	for name, test := range map[string]struct {
		sent string
		want time.Duration
	}{
		"first":  {"POST / HTTP/1.1\r\nHost: agent\r\n", headerTimeout},
		"second": {"POST / HTTP/1.1\r\nHost: agent\r\nContent-Length: 0\r\n\r\nPOST / HTTP/1.1\r\n", headerTimeout},
		"unused": {"", 5 * time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			serveFakeTime(t, func(t *testing.T, c net.Conn) {
				time.Sleep(time.Minute)
				start := time.Now()
				if test.sent == "" {
					start = start.Add(-time.Minute)
				}
				_, err := io.WriteString(c, test.sent)
				assert.NilError(t, err)
				_, _ = io.ReadAll(c)
				assert.Equal(t, time.Since(start), test.want)
			})
		})
	}
}

// Guards against a listener that fails without ending its process, and against an
// orderly end that is reported as a failure (checked by the tests above).
func TestServeReportsFailedListener(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	err = connector.Serve("callers", &http.Server{ReadHeaderTimeout: headerTimeout}, listener)
	var failed *connector.ListenError
	assert.Assert(t, errors.As(err, &failed))
	assert.Equal(t, failed.Name, "callers")
	assert.Equal(t, failed.Address, listener.Addr().String())
	assert.Assert(t, errors.Is(err, net.ErrClosed))
}
