package e2e_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/emulator"
)

// fault is one failure that a test injects. begin starts it and returns a
// function that ends it. The name begins with the part of the system that
// fails.
type fault struct {
	name  string
	begin func(c *cluster) (end func())
	// ofLink is set if a toxic of a link makes the failure. Its end may run outside the
	// goroutine of the test.
	ofLink bool
}

// faultyPart returns the part that fails. A part has one failure at a time.
func (f fault) faultyPart() string { return strings.Fields(f.name)[0] }

func linkFault(link, kind string, dir direction, attributes string) fault {
	return fault{
		name: fmt.Sprintf("%s %s %s %s", link, kind, dir, attributes),
		begin: func(c *cluster) func() {
			return c.addToxic(link, kind, dir, attributes)
		},
		ofLink: true,
	}
}

func refusedLinkFault(link string) fault {
	return fault{
		name: link + " refused",
		begin: func(c *cluster) func() {
			c.proxies.refuse(link)
			return func() { c.proxies.restore(link) }
		},
	}
}

func signalFault(name string, signal syscall.Signal) fault {
	return fault{
		name: fmt.Sprintf("%s gets %s", name, signal),
		begin: func(c *cluster) func() {
			p := c.findProcess(name)
			p.signal(signal)
			return func() {
				if signal == syscall.SIGSTOP {
					p.resume()
					return
				}
				<-p.done
				p.start()
			}
		},
	}
}

// pausedLogFault makes the configuration of all processes stale.
func pausedLogFault() fault {
	return fault{
		name: "log paused",
		begin: func(c *cluster) func() {
			c.platform.SetFault(emulator.Fault{Target: "log", Paused: true})
			return func() { c.platform.SetFault(emulator.Fault{Target: "log"}) }
		},
	}
}

func zoneOutFault(zone string) fault {
	return fault{
		name: "zone " + zone + " out",
		begin: func(c *cluster) func() {
			c.setZone(zone, false)
			return func() { c.setZone(zone, true) }
		},
	}
}

func (c *cluster) findProcess(name string) *process {
	c.t.Helper()
	for _, p := range c.processes() {
		if p.name == name {
			return p
		}
	}
	c.t.Fatalf("no process %s", name)
	return nil
}

// requestFaults returns the failures of every hop of a request.
func requestFaults() []fault {
	var faults []fault
	for _, link := range []string{"caller/entry-0", "agent/host-0", "agent/host-1", "endpoint/host-0"} {
		faults = append(faults,
			refusedLinkFault(link),
			linkFault(link, "timeout", toServer, `"timeout":0`),
			linkFault(link, "timeout", toCaller, `"timeout":0`),
			linkFault(link, "timeout", toCaller, `"timeout":30`),
			linkFault(link, "limit_data", toServer, `"bytes":600`),
			linkFault(link, "limit_data", toCaller, `"bytes":300`),
			linkFault(link, "reset_peer", toCaller, `"timeout":20`),
			linkFault(link, "slow_close", toCaller, `"delay":300`),
			linkFault(link, "latency", toCaller, `"latency":200,"jitter":200`),
		)
	}
	for _, name := range []string{"host-0", "host-1", "entry-0"} {
		faults = append(faults,
			signalFault(name, syscall.SIGSTOP),
			signalFault(name, syscall.SIGKILL),
			signalFault(name, syscall.SIGTERM),
		)
	}
	return append(faults,
		linkFault("sync/host-0/entry-0", "timeout", toCaller, `"timeout":0`),
		linkFault("log/entry-0", "timeout", toCaller, `"timeout":0`),
		pausedLogFault(),
		zoneOutFault("b"))
}

// misdeliverResponses replaces the response of every second request that
// entries send to an agent by the response of the request before it. The
// returned function ends the fault.
func (c *cluster) misdeliverResponses(host string) func() {
	c.t.Helper()
	proxy := c.proxies.get("agent/" + host)
	upstream := proxy.Upstream
	var mu sync.Mutex
	var last []byte
	count := 0
	reverseProxy := httputil.NewSingleHostReverseProxy(&url.URL{
		Scheme: "http",
		Host:   upstream,
	})
	reverseProxy.ModifyResponse = func(response *http.Response) error {
		body, err := io.ReadAll(response.Body)
		if err != nil || !strings.HasSuffix(response.Request.URL.Path, "/Execute") {
			response.Body = io.NopCloser(bytes.NewReader(body))
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		if count++; count%2 == 0 {
			body, last = last, body
		} else {
			last = body
		}
		response.Body = io.NopCloser(bytes.NewReader(body))
		response.ContentLength = int64(len(body))
		response.Header.Set("Content-Length", fmt.Sprint(len(body)))
		return nil
	}
	server := httptest.NewServer(reverseProxy)
	setUpstream := func(to string) {
		proxy.Stop()
		proxy.Upstream = to
		assert.NilError(c.t, proxy.Start())
	}
	setUpstream(server.Listener.Addr().String())
	return func() {
		setUpstream(upstream)
		server.Close()
	}
}

// insertGate inserts a TCP proxy between a link and its upstream. After
// closeGate is called, the proxy closes new connections at once; open ones stay.
func (c *cluster) insertGate(link string) (closeGate func()) {
	c.t.Helper()
	proxy := c.proxies.get(link)
	upstream := proxy.Upstream
	listener, err := net.Listen("tcp", freeAddress(c.t))
	assert.NilError(c.t, err)
	c.t.Cleanup(func() { _ = listener.Close() })
	var closed atomic.Bool
	forward := func(from, to net.Conn) {
		_, _ = io.Copy(to, from)
		_ = to.Close()
	}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", upstream)
			if err != nil || closed.Load() {
				_ = client.Close()
				continue
			}
			go forward(client, server)
			go forward(server, client)
		}
	}()
	proxy.Stop()
	proxy.Upstream = listener.Addr().String()
	assert.NilError(c.t, proxy.Start())
	return func() { closed.Store(true) }
}
