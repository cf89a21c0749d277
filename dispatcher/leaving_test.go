package dispatcher_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// lateServer serves an agent's handler and, once it is held, reads what arrives on its
// connections only after they are closed, like a process that gets no processor time.
type lateServer struct {
	net.Listener
	http    *http.Server
	held    atomic.Bool
	once    sync.Once
	arrived chan struct{}
}

type lateConn struct {
	net.Conn
	server *lateServer
	once   sync.Once
	closed chan struct{}
}

func newLateServer(t *testing.T, handler http.Handler) *lateServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &lateServer{
		Listener: listener,
		http:     &http.Server{Handler: handler},
		arrived:  make(chan struct{}),
	}
	go func() { _ = s.http.Serve(s) }()
	t.Cleanup(func() { _ = s.http.Close() })
	return s
}

// Accept implements net.Listener.
func (s *lateServer) Accept() (net.Conn, error) {
	accepted, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{
		Conn:   accepted,
		server: s,
		closed: make(chan struct{}),
	}, nil
}

// Read implements net.Conn.
func (c *lateConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n == 0 || !c.server.held.Load() {
		return n, err
	}
	c.server.once.Do(func() { close(c.server.arrived) })
	<-c.closed
	return 0, net.ErrClosed
}

// Close implements net.Conn.
func (c *lateConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Guards against requests that are sent to an agent that has refused earlier ones because
// it leaves: when it shuts down, it closes a connection as idle whose next request it has
// not read yet, and the outcome of that request is unknown.
func TestLeavingAgentShutsDown(t *testing.T) {
	c := newTestCluster(t, 2)
	agent := c.agents["h0"]
	server := newLateServer(t, agent.agentServer.Config.Handler)
	c.dispatcher.HTTP = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if address == agent.spec.GetAddress() {
				address = server.Addr().String()
			}
			return (&net.Dialer{}).DialContext(ctx, network, address)
		},
	}}
	post := func() { assert.Equal(t, c.post(t, c.client, target, "", nil).StatusCode, http.StatusOK) }
	for agent.executed.Load() == 0 {
		post()
	}
	assert.NilError(t, agent.admitter.Drain(t.Context()))
	for range 20 {
		post()
	}
	server.held.Store(true)
	posted := make(chan struct{})
	go func() {
		defer close(posted)
		for range 20 {
			a := c.post(t, c.client, target, "", nil)
			assert.Check(t, a.StatusCode == http.StatusOK, a.body)
		}
	}()
	select {
	case <-server.arrived:
	case <-posted:
	}
	assert.NilError(t, server.http.Shutdown(t.Context()))
	<-posted
}
