package soak_test

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// proxyMode is the fault that a proxy injects into all its connections.
type proxyMode int

const (
	forwarding proxyMode = iota
	// dropping discards all data; connections stay open, and new ones are
	// accepted.
	dropping
	// resetting closes all connections, new ones as soon as they are accepted.
	resetting
	// droppingResponses forwards requests and discards responses.
	droppingResponses
	// delaying forwards all data after proxyDelay.
	delaying
)

const proxyDelay = 200 * time.Millisecond

// proxy is a TCP proxy between one process and a server.
type proxy struct {
	listener net.Listener
	upstream string

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]bool
}

func newProxy(t *testing.T, upstream string) *proxy {
	listener, err := net.Listen("tcp", freeAddress(t))
	assert.NilError(t, err)
	p := &proxy{listener: listener, upstream: upstream, conns: map[net.Conn]bool{}}
	go p.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		p.setMode(resetting)
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode != resetting {
		return
	}
	for conn := range p.conns {
		_ = conn.Close()
	}
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

func (p *proxy) forward(client net.Conn) {
	server, err := net.Dial("tcp", p.upstream)
	if err != nil || p.currentMode() == resetting {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var pipes sync.WaitGroup
	pipes.Go(func() { p.pipe(server, client, dropping, dropping) })
	pipes.Go(func() { p.pipe(client, server, dropping, droppingResponses) })
	pipes.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// pipe forwards bytes of one direction until the connection ends. In the two
// given modes it discards them, like a partition that outlasts the sender's
// retries.
func (p *proxy) pipe(to, from net.Conn, dropMode, otherDropMode proxyMode) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		mode := p.currentMode()
		if mode == delaying {
			time.Sleep(proxyDelay)
		}
		if n > 0 && mode != dropMode && mode != otherDropMode {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		} else if n > 0 {
			// From here on the connection stays open without data, whatever the
			// mode.
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if err != nil {
			return
		}
	}
}
