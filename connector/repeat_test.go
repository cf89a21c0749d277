package connector_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/connector"
	"damaskspread.example/damaskspread/platform"
	"damaskspread.example/damaskspread/wire"
)

// breakingServer answers the first request of each connection and reads any later one
// completely before it closes the connection. It counts all requests.
type breakingServer struct {
	address  string
	requests atomic.Int64
}

func startBreakingServer(t *testing.T) *breakingServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &breakingServer{address: listener.Addr().String()}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(connection)
		}
	}()
	return s
}

func (s *breakingServer) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for first := true; ; first = false {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.requests.Add(1)
		if !first {
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Type: "+request.Header.Get("Content-Type")+"\r\nContent-Length: 0\r\n\r\n")
	}
}

// Guards against an order that the HTTP client repeats on its own: the reused
// connection breaks after the order was read, and a repeated order would reach the
// next incarnation of its addressee.
func TestOrdersAreSentOnce(t *testing.T) {
	t.Run("worker", func(t *testing.T) {
		server := startBreakingServer(t)
		worker := &connector.Worker{Address: "http://" + server.address, HTTP: connector.NewHTTPClient()}
		_, err := worker.Start(t.Context(), &wire.StartRequest{})
		assert.NilError(t, err)
		_, err = worker.Start(t.Context(), &wire.StartRequest{})
		assertUnknown(t, err)
		assert.Equal(t, server.requests.Load(), int64(2))
	})
	t.Run("executor", func(t *testing.T) {
		server := startBreakingServer(t)
		executor := &platform.ExecutorClient{Address: server.address, HTTP: connector.NewHTTPClient()}
		assert.NilError(t, executor.Start(t.Context(), "i-1", &wire.StartOrder{}, &damaskspread.Lease{}))
		err := executor.Start(t.Context(), "i-1", &wire.StartOrder{}, &damaskspread.Lease{})
		assertUnknown(t, err)
		assert.Equal(t, server.requests.Load(), int64(2))
	})
}

func assertUnknown(t *testing.T, err error) {
	t.Helper()
	var unknown *damaskspread.WorkerUnknownError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
}
