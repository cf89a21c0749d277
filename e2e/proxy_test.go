package e2e_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/toxics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// removalTimeout is how long the removal of a fault may take. The proxy waits 5 s for a
// caller that doesn't read.
const removalTimeout = 8 * time.Second

// proxies has a proxy for each link between two processes. A link is named after
// its kind and the called process and, where each caller has its own link, the
// caller.
type proxies struct {
	t      *testing.T
	server *toxiproxy.ApiServer

	mu    sync.Mutex
	links map[string]*toxiproxy.Proxy
}

func newProxies(t *testing.T) *proxies {
	return &proxies{
		t:      t,
		server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
		links:  map[string]*toxiproxy.Proxy{},
	}
}

// link starts a proxy to an upstream and returns the proxy's address.
func (p *proxies) link(name, upstream string) string {
	p.t.Helper()
	proxy := toxiproxy.NewProxy(p.server, name, freeAddress(p.t), upstream)
	assert.NilError(p.t, proxy.Start())
	p.add(name, proxy)
	return proxy.Listen
}

// add keeps a started proxy as that of a link. It is stopped after the test; one that
// replace has given up may not stop.
func (p *proxies) add(name string, proxy *toxiproxy.Proxy) {
	p.t.Cleanup(func() { returnsWithin(removalTimeout, proxy.Stop) })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links[name] = proxy
}

// returnsWithin reports whether a call returns in time. Otherwise it goes on.
func returnsWithin(limit time.Duration, call func()) bool {
	done := make(chan struct{})
	go func() {
		defer close(done)
		call()
	}()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

func (p *proxies) get(name string) *toxiproxy.Proxy {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	proxy, ok := p.links[name]
	assert.Assert(p.t, ok, "no link %s", name)
	return proxy
}

func (p *proxies) address(name string) string {
	p.t.Helper()
	return p.get(name).Listen
}

// refuse closes a link: connections break and new ones are refused.
func (p *proxies) refuse(name string) {
	p.t.Helper()
	p.get(name).Stop()
}

// restore opens a refused link again. It retries, because a forked child may
// hold a copy of the closed socket until its exec.
func (p *proxies) restore(name string) {
	p.t.Helper()
	waitFor(p.t, readyTimeout, "link "+name+" listens again", func() bool { return p.get(name).Start() == nil })
}

// direction is the direction of data on a link, as toxiproxy names it.
type direction string

const (
	// toServer is data that the caller sends.
	toServer direction = "upstream"
	// toCaller is data that the called process sends.
	toCaller direction = "downstream"
)

// drop silently discards one direction of a link; connections stay open.
func (p *proxies) drop(name string, dir direction) {
	p.t.Helper()
	p.addToxic(name, dir, "drop_"+string(dir), `{"name":"drop_`+string(dir)+`","type":"timeout","stream":"`+string(dir)+`","attributes":{"timeout":0}}`)
}

// heal ends a drop of one direction.
func (p *proxies) heal(name string, dir direction) {
	p.t.Helper()
	p.removeToxic(name, "drop_"+string(dir))
}

// removeToxic removes a fault from a link. The proxy holds the lock of the link's connections
// until each of them has passed on what it holds. One whose other end is gone never does: it
// waits for that lock to end itself. No further connection is accepted then, so the link
// gets a new proxy.
func (p *proxies) removeToxic(name, toxic string) {
	p.t.Helper()
	proxy := p.get(name)
	remove := func() { _ = proxy.Toxics.RemoveToxic(context.Background(), toxic) }
	if !returnsWithin(removalTimeout, remove) {
		p.t.Logf("link %s: %s was not removed within %s, the proxy is replaced", name, toxic, removalTimeout)
		p.replace(name)
	}
}

// replace starts a new proxy without faults at the address of a link. The connections of
// the one before may stay open and silent.
func (p *proxies) replace(name string) {
	p.t.Helper()
	before := p.get(name)
	go before.Stop()
	proxy := toxiproxy.NewProxy(p.server, name, before.Listen, before.Upstream)
	waitFor(p.t, readyTimeout, "link "+name+" listens again", func() bool { return proxy.Start() == nil })
	p.add(name, proxy)
}

func (p *proxies) addToxic(name string, _ direction, id, json string) *toxics.ToxicWrapper {
	p.t.Helper()
	wrapper, err := p.get(name).Toxics.AddToxicJson(strings.NewReader(json))
	assert.NilError(p.t, err, "toxic %s on %s", id, name)
	return wrapper
}
