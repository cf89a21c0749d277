package soak_test

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// proxyMode is what a proxy does to its connections.
type proxyMode int

const (
	passing proxyMode = iota
	// silent connections stay open and carry nothing; new ones are accepted.
	silent
	// resetting connections end at once.
	resetting
	// oneWay connections carry requests and no answers.
	oneWay
	// delaying connections carry everything late.
	delaying
)

const proxyDelay = 200 * time.Millisecond

// proxy stands between one process and a server.
type proxy struct {
	listener net.Listener
	upstream string

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]bool
}

func newProxy(t *testing.T, upstream string) *proxy {
	listener, err := net.Listen("tcp", loopback+":0")
	assert.NilError(t, err)
	p := &proxy{listener: listener, upstream: upstream, conns: map[net.Conn]bool{}}
	go p.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		p.set(resetting)
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(mode proxyMode) {
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

func (p *proxy) current() proxyMode {
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
		go p.join(client)
	}
}

func (p *proxy) join(client net.Conn) {
	server, err := net.Dial("tcp", p.upstream)
	if err != nil || p.current() == resetting {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var pipes sync.WaitGroup
	pipes.Go(func() { p.copy(server, client, silent, silent) })
	pipes.Go(func() { p.copy(client, server, silent, oneWay) })
	pipes.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// copy carries bytes unless the mode holds them back; held-back bytes are lost,
// as behind a partition whose sender gives up.
func (p *proxy) copy(to, from net.Conn, blocked, alsoBlocked proxyMode) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		mode := p.current()
		if mode == delaying {
			time.Sleep(proxyDelay)
		}
		if n > 0 && mode != blocked && mode != alsoBlocked {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		} else if n > 0 {
			// The connection stays open and silent for good.
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if err != nil {
			return
		}
	}
}
