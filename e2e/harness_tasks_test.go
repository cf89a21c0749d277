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

// taskLimits has short hold times, so that leases expire and hosts are released
// within a test. The limits relate to each other as the defaults do.
var taskLimits = map[string]string{
	"currency_limit": "3s",
	"sync_wait":      "200ms",
	"member_hold":    "1s",
	"task_hold":      "4s",
}

// steadyLimits are long enough that hosts and leases do not expire through
// delays on a busy machine. They are for tests that count every start.
var steadyLimits = map[string]string{
	"sync_wait":   "200ms",
	"member_hold": "3s",
	"task_hold":   "1m",
}

// runningClusters limits the clusters of parallel tests, which have about seven
// processes each. Tests that measure a bound do not run in parallel.
var runningClusters = make(chan struct{}, 4)

func runParallel(t *testing.T) {
	t.Helper()
	t.Parallel()
	runningClusters <- struct{}{}
	t.Cleanup(func() { <-runningClusters })
}

// urgentStartBound is the documented bound for the start of an urgent task.
const urgentStartBound = 4800 * time.Millisecond

// settleTimeout bounds how long tasks take to finish after all faults have
// ended. No promise depends on it.
const settleTimeout = 40 * time.Second

// hook is called for each call on a link. It may delay the call and may call
// forward never, once or several times. The caller gets the response of the
// first forward.
type hook func(method string, body []byte, forward func())

// interceptor is a reverse proxy between a toxiproxy link and its upstream. A
// hook can forward a call after its caller has gone, as a network may do.
type interceptor struct {
	upstream *url.URL

	mu   sync.Mutex
	hook hook
}

// intercept inserts an interceptor into a link, which must not be in use yet.
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
	// Another process that searches for free ports may hold the port briefly.
	waitFor(c.t, readyTimeout, link+" listens again", func() bool { return proxy.Start() == nil })
	return i
}

func (i *interceptor) setHook(h hook) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.hook = h
}

func (i *interceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	i.mu.Lock()
	current := i.hook
	i.mu.Unlock()
	reverse := httputil.NewSingleHostReverseProxy(i.upstream)
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

// withBody returns a copy of the request with the body and the caller's context,
// so that polls end with their caller.
func withBody(r *http.Request, body []byte) *http.Request {
	request := r.Clone(r.Context())
	request.Body = io.NopCloser(bytes.NewReader(body))
	return request
}

// discardWriter discards the response of a repeated forward.
type discardWriter struct {
	header http.Header
}

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}

// prepareCluster returns a cluster whose processes do not run yet, so that
// interceptors can be inserted. The default limits are taskLimits.
func prepareCluster(t *testing.T, o options) *cluster {
	t.Helper()
	if o.limits == nil {
		o.limits = taskLimits
	}
	return newCluster(t, o)
}

// waitMembers waits until every running entry has count member hosts with a
// known worker boot.
func (c *cluster) waitMembers(count int) {
	c.t.Helper()
	for _, e := range c.entries {
		if !e.running() {
			continue
		}
		entryClient := &client.Client{
			Entries: []string{hostPort(e.url)},
		}
		waitFor(c.t, readyTimeout, fmt.Sprintf("%s has %d members", e.name, count), func() bool {
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

// taskRequest returns a batch task that can be checkpointed and runs for the
// given time.
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

// newSeededRandom returns a random source with the seed of the environment, or
// else one from the clock, and logs how to replay it.
func newSeededRandom(t *testing.T) *rand.Rand {
	t.Helper()
	seed := intVariable(t, seedVariable, time.Now().UnixNano())
	t.Logf("replay with %s=%d", seedVariable, seed)
	return rand.New(rand.NewPCG(uint64(seed), 1))
}

func (c *cluster) setFault(f emulator.Fault) {
	c.t.Helper()
	assert.Assert(c.t, c.platform.SetFault(f))
}

// taskDocument is the configuration with the zones that tests of tasks take out
// of service.
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

// duplicateRecords appends each batch of records a second time after the delay,
// like a writer that believes its first append was lost.
func (c *cluster) duplicateRecords(delay func() time.Duration) {
	for _, e := range c.entries {
		c.intercept("log/" + e.name).setHook(func(method string, _ []byte, forward func()) {
			forward()
			if method == "AppendEntry" {
				go func() {
					// The platform may have ended by then.
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
