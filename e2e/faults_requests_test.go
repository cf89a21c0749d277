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

// fault is one failure of a part; begin returns its end.
type fault struct {
	name  string
	begin func(c *cluster) (end func())
}

// part is the failing part; one part has one failure at a time.
func (f fault) part() string { return strings.Fields(f.name)[0] }

func linkFault(link, kind string, way direction, attributes string) fault {
	return fault{
		name: fmt.Sprintf("%s %s %s %s", link, kind, way, attributes),
		begin: func(c *cluster) func() {
			return c.toxic(link, kind, way, attributes)
		},
	}
}

func refusedLink(link string) fault {
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
			p := c.find(name)
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

// pausedLog makes the configuration of all processes stale.
func pausedLog() fault {
	return fault{
		name: "log paused",
		begin: func(c *cluster) func() {
			c.platform.SetFault(emulator.Fault{Target: "log", Paused: true})
			return func() { c.platform.SetFault(emulator.Fault{Target: "log"}) }
		},
	}
}

func zoneOut(zone string) fault {
	return fault{
		name: "zone " + zone + " out",
		begin: func(c *cluster) func() {
			c.setZone(zone, false)
			return func() { c.setZone(zone, true) }
		},
	}
}

func (c *cluster) find(name string) *process {
	c.t.Helper()
	for _, p := range c.processes() {
		if p.name == name {
			return p
		}
	}
	c.t.Fatalf("no process %s", name)
	return nil
}

// requestFaults are the failures at every point of a request's way.
func requestFaults() []fault {
	var faults []fault
	for _, link := range []string{"caller/entry-0", "agent/host-0", "agent/host-1", "endpoint/host-0"} {
		faults = append(faults,
			refusedLink(link),
			linkFault(link, "timeout", towards, `"timeout":0`),
			linkFault(link, "timeout", back, `"timeout":0`),
			linkFault(link, "timeout", back, `"timeout":30`),
			linkFault(link, "limit_data", towards, `"bytes":600`),
			linkFault(link, "limit_data", back, `"bytes":300`),
			linkFault(link, "reset_peer", back, `"timeout":20`),
			linkFault(link, "slow_close", back, `"delay":300`),
			linkFault(link, "latency", back, `"latency":200,"jitter":200`),
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
		linkFault("sync/host-0/entry-0", "timeout", back, `"timeout":0`),
		linkFault("log/entry-0", "timeout", back, `"timeout":0`),
		pausedLog(),
		zoneOut("b"))
}

// misdeliver answers every second request to an agent with the answer of the
// request before it. It returns the end of the fault.
func (c *cluster) misdeliver(host string) func() {
	c.t.Helper()
	proxy := c.proxies.get("agent/" + host)
	upstream := proxy.Upstream
	var mu sync.Mutex
	var last []byte
	count := 0
	reverse := httputil.NewSingleHostReverseProxy(&url.URL{
		Scheme: "http",
		Host:   upstream,
	})
	reverse.ModifyResponse = func(response *http.Response) error {
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
	server := httptest.NewServer(reverse)
	point := func(to string) {
		proxy.Stop()
		proxy.Upstream = to
		assert.NilError(c.t, proxy.Start())
	}
	point(server.Listener.Addr().String())
	return func() {
		point(upstream)
		server.Close()
	}
}

// gate stands behind a link. Once closed, it ends new connections at once and
// leaves open ones alone.
func (c *cluster) gate(link string) (closeGate func()) {
	c.t.Helper()
	proxy := c.proxies.get(link)
	upstream := proxy.Upstream
	listener, err := net.Listen("tcp", freeAddress(c.t))
	assert.NilError(c.t, err)
	c.t.Cleanup(func() { _ = listener.Close() })
	var closed atomic.Bool
	join := func(from, to net.Conn) {
		_, _ = io.Copy(to, from)
		_ = to.Close()
	}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", upstream)
			if err != nil || closed.Load() {
				_ = near.Close()
				continue
			}
			go join(near, far)
			go join(far, near)
		}
	}()
	proxy.Stop()
	proxy.Upstream = listener.Addr().String()
	assert.NilError(c.t, proxy.Start())
	return func() { closed.Store(true) }
}
