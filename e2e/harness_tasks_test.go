package e2e_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

// taskLimits shortens the holds so that leases end and hosts are released
// within a test. The relations between them are those of the defaults.
var taskLimits = map[string]string{
	"currency_limit": "3s",
	"sync_wait":      "200ms",
	"member_hold":    "1s",
	"task_hold":      "4s",
}

// steadyLimits keep hosts and leases through delays on a busy machine, for
// tests that count every start.
var steadyLimits = map[string]string{
	"sync_wait":   "200ms",
	"member_hold": "3s",
	"task_hold":   "1m",
}

// clusterSlots bounds the clusters of parallel tests, about seven processes
// each. Tests that measure a bound do not run in parallel.
var runningClusters = make(chan struct{}, 4)

func runParallel(t *testing.T) {
	t.Helper()
	t.Parallel()
	runningClusters <- struct{}{}
	t.Cleanup(func() { <-runningClusters })
}

// urgentBound is the design page's bound for the start of urgent work.
const urgentStartBound = 4800 * time.Millisecond

// settleWithin bounds how long work takes to end after all faults are healed.
// No promise depends on it.
const settleTimeout = 40 * time.Second

// hook sees every call on a link. It may hold the call, and forwards it by
// calling forward, once, more often or never; the caller gets the response of
// the first forward.
type hook func(method string, body []byte, forward func())

// tap is a reverse proxy between a toxiproxy link and its upstream. Calls are
// forwarded even if the caller is gone by then, as a network may do.
type interceptor struct {
	upstream *url.URL

	mu   sync.Mutex
	hook hook
}

// tap inserts a tap into a link. The link must not be in use yet.
func (c *cluster) intercept(link string) *interceptor {
	c.t.Helper()
	proxy := c.proxies.get(link)
	i := &interceptor{
		upstream: &url.URL{
			Scheme: "http",
			Host:   proxy.Upstream,
		},
	}
	listenAddress := freeAddress(c.t)
	server := &http.Server{
		Addr:    listenAddress,
		Handler: i,
	}
	go func() { _ = server.ListenAndServe() }()
	c.t.Cleanup(func() { _ = server.Close() })
	proxy.Stop()
	proxy.Upstream = listenAddress
	// A search for free ports in another process takes the port for a moment.
	waitFor(c.t, readyTimeout, link+" listens again", func() bool { return proxy.Start() == nil })
	return i
}

func (p *interceptor) set(h hook) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hook = h
}

func (p *interceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	current := p.hook
	p.mu.Unlock()
	reverse := httputil.NewSingleHostReverseProxy(p.upstream)
	reverse.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	forwarded := false
	forward := func() {
		request := r.Clone(context.WithoutCancel(r.Context()))
		request.Body = io.NopCloser(bytes.NewReader(body))
		if forwarded {
			reverse.ServeHTTP(&discardWriter{header: http.Header{}}, request)
			return
		}
		forwarded = true
		reverse.ServeHTTP(w, request)
	}
	if current == nil {
		reverse.ServeHTTP(w, withBody(r, body))
		return
	}
	current(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], body, forward)
	if !forwarded {
		panic(http.ErrAbortHandler)
	}
}

// withBody keeps the caller's context, so that polls end with their caller.
func withBody(r *http.Request, body []byte) *http.Request {
	request := r.Clone(r.Context())
	request.Body = io.NopCloser(bytes.NewReader(body))
	return request
}

// discard is the response of a repeated forward.
type discardWriter struct {
	header http.Header
}

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}

// prepareCluster makes a cluster whose processes do not run yet, so that taps
// can be inserted.
func prepareCluster(t *testing.T, o options) *cluster {
	t.Helper()
	if o.limits == nil {
		o.limits = taskLimits
	}
	return newCluster(t, o)
}

// waitMembers waits until every running entry counts that many member hosts.
func (c *cluster) waitMembers(count int) {
	c.t.Helper()
	for _, e := range c.entries {
		if !e.running() {
			continue
		}
		entryClient := &client.Client{
			Entries: []string{hostPort(e.url)},
		}
		waitFor(c.t, readyTimeout, fmt.Sprintf("%s counts %d members", e.name, count), func() bool {
			hosts, err := entryClient.Hosts(context.Background())
			members := 0
			for _, h := range hosts {
				if h.State == "member" && h.WorkerBoot != "" {
					members++
				}
			}
			return err == nil && members == count
		})
	}
}

func (c *cluster) host(id string) *host {
	for _, h := range c.hosts {
		if h.id == id {
			return h
		}
	}
	c.t.Fatalf("no host %s", id)
	return nil
}

// taskRequest is a checkpointable batch task that runs for a while.
func taskRequest(id string, run time.Duration) *client.TaskRequest {
	return &client.TaskRequest{
		Task:  id,
		Team:  "board",
		Kind:  "ledger",
		Class: "batch",
		Resources: client.Resources{
			Millicores:  1_000,
			MemoryBytes: 1 << 30,
		},
		CanCheckpoint: true,
		Parameters: map[string]string{
			"run_ms": fmt.Sprint(run.Milliseconds()),
		},
	}
}

// submitTo submits a task through one entry, or through any if it is nil, and
// repeats the submission under its key until the entry accepts it.
func (c *cluster) submitTo(e *entry, r *client.TaskRequest) string {
	c.t.Helper()
	operator := c.operatorClient("board")
	if e != nil {
		operator.Entries = []string{hostPort(e.url)}
	}
	waitFor(c.t, readyTimeout, r.Task+" is submitted", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := operator.Submit(ctx, r, r.Task)
		return err == nil
	})
	return r.Task
}

// seeded returns a random source whose seed is logged.
func newSeededRandom(t *testing.T) *rand.Rand {
	t.Helper()
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	return rand.New(rand.NewPCG(seed, 1))
}

func (c *cluster) setFault(f emulator.Fault) {
	c.t.Helper()
	assert.Assert(c.t, c.platform.SetFault(f))
}

// taskDocument declares the zones that tests take out of service.
var taskDocument = map[string]string{
	"counter":    defaultDocument["counter"],
	"operations": "[zone a]\nowner = operations\n\n[zone b]\nowner = operations\n\n[zone c]\nowner = operations\n",
	"board":      defaultDocument["board"],
}

func (c *cluster) setZone(zone string, inService bool) {
	c.t.Helper()
	waitFor(c.t, readyTimeout, "the zone's state is recorded", func() bool {
		_, err := c.operatorClient("operations").SetZone(context.Background(), zone, inService)
		return err == nil
	})
}

// trySetZone changes a zone's state without waiting for success.
func (c *cluster) trySetZone(zone string, inService bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, _ = c.operatorClient("operations").SetZone(ctx, zone, inService)
}

// repeatRecords appends each batch of records again after the delay, as a
// writer does that takes its first append for lost.
func (c *cluster) duplicateRecords(delay func() time.Duration) {
	for _, e := range c.entries {
		c.intercept("log/" + e.name).set(func(method string, _ []byte, forward func()) {
			forward()
			if method == "AppendEntry" {
				go func() {
					// The platform may be gone by then.
					defer func() { _ = recover() }()
					time.Sleep(delay())
					forward()
				}()
			}
		})
	}
}

var smallCapacity = &wire.Resources{
	Millicores:   4_000,
	MemoryBytes:  8 << 30,
	Accelerators: 2,
}
