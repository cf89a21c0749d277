package e2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/client"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

// startBound is the documented bound after which nothing starts in a zone out of
// service or at a leaving endpoint.
const startBound = 5 * time.Second

// stopSignal requests a planned stop of a process.
const stopSignal = syscall.SIGTERM

// linkPeers configures the other entries as peers of each entry, for a start
// during a log outage. It also routes the agents' polls around the links
// entry/ID, so that these carry only traffic between entries.
func (c *cluster) linkPeers() {
	c.t.Helper()
	for _, e := range c.entries {
		var peers []string
		for _, other := range c.entries {
			if other != e {
				peers = append(peers, c.proxies.address("entry/"+other.name))
			}
		}
		e.editSettings("[entry]\n", "[entry]\npeers = "+strings.Join(peers, ",")+"\n")
		for _, h := range c.hosts {
			sync := c.proxies.get("sync/" + h.id + "/" + e.name)
			sync.Stop()
			sync.Upstream = c.proxies.get("entry/" + e.name).Upstream
			assert.NilError(c.t, sync.Start())
		}
	}
}

// editSettings replaces a part of the settings file before the next start.
func (p *process) editSettings(old, replacement string) {
	p.t.Helper()
	text, err := os.ReadFile(p.settingsFile)
	assert.NilError(p.t, err)
	assert.Assert(p.t, strings.Contains(string(text), old))
	assert.NilError(p.t, os.WriteFile(p.settingsFile, []byte(strings.Replace(string(text), old, replacement, 1)), 0o600))
}

// waitEnded waits until the process has ended and returns its exit error. Unlike
// stop it sends no signal, because a second one ends a process at once.
func (p *process) waitEnded(timeout time.Duration) error {
	p.t.Helper()
	waitFor(p.t, timeout, p.name+" has ended", func() bool { return !p.running() })
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// partition drops both directions of links; connections stay open.
func (c *cluster) partition(links ...string) {
	c.partitionOneWay(toServer, links...)
	c.partitionOneWay(toCaller, links...)
}

func (c *cluster) partitionOneWay(dir direction, links ...string) {
	for _, link := range links {
		c.proxies.drop(link, dir)
	}
}

// heal restores partitioned links. It also resets their connections, because
// they have lost bytes.
func (c *cluster) heal(links ...string) {
	for _, link := range links {
		c.proxies.heal(link, toServer)
		c.proxies.heal(link, toCaller)
		c.proxies.refuse(link)
		c.proxies.restore(link)
	}
}

// syncLinks returns the names of an agent's links to the entries.
func (c *cluster) syncLinks(h *host) []string {
	var links []string
	for _, e := range c.entries {
		links = append(links, "sync/"+h.id+"/"+e.name)
	}
	return links
}

func (c *cluster) setLogDown(down bool) {
	c.t.Helper()
	c.setFault(emulator.Fault{
		Target: "log",
		Down:   down,
	})
}

// setServiceTime sets the service time of all endpoints for requests that start
// later, and resets the rest of their behavior.
func (c *cluster) setServiceTime(serviceMs int64) {
	c.t.Helper()
	body, err := json.Marshal(emulator.Behavior{ServiceMs: serviceMs})
	assert.NilError(c.t, err)
	for _, h := range c.hosts {
		request, err := http.NewRequestWithContext(c.t.Context(), http.MethodPost, h.endpoint.URL()+"/faults", bytes.NewReader(body))
		assert.NilError(c.t, err)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(c.t, err)
		assert.NilError(c.t, response.Body.Close())
	}
}

// setZoneAt changes a zone through one entry and returns the time at which the
// response arrived.
func (c *cluster) setZoneAt(e *entry, zone string, inService bool) time.Time {
	c.t.Helper()
	operator := &client.Client{
		Entries: []string{hostPort(e.url)},
		Team:    "operations",
		Actor:   "e2e",
	}
	_, err := operator.SetZone(c.t.Context(), zone, inService)
	assert.NilError(c.t, err)
	return time.Now()
}

// hostsInZone returns the hosts of a zone.
func (c *cluster) hostsInZone(zone string) []*host {
	var hosts []*host
	for _, h := range c.hosts {
		if h.zone == zone {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// startsBetween counts the requests and tasks that the endpoints and workers of
// the hosts started from one time until before another.
func (c *cluster) startsBetween(hosts []*host, from, to time.Time) (requests, tasks int) {
	within := func(us int64) bool { return us >= from.UnixMicro() && us < to.UnixMicro() }
	for _, h := range hosts {
		for _, execution := range h.endpoint.Executions() {
			if within(execution.StartUnixUs) {
				requests++
			}
		}
		for _, event := range c.platform.History().Events {
			if event.Host == h.id && event.Kind == "start" && within(event.WallUnixUs) {
				tasks++
			}
		}
	}
	return requests, tasks
}

// assertNoStarts fails if an endpoint or worker of the hosts started a request or
// task in the interval.
func (c *cluster) assertNoStarts(name string, hosts []*host, from, to time.Time) {
	c.t.Helper()
	requests, tasks := c.startsBetween(hosts, from, to)
	if requests+tasks > 0 {
		c.t.Errorf("%s: %d requests and %d tasks started after the bound", name, requests, tasks)
	}
}

// submitInZone submits a task that may run only in one zone.
func (c *cluster) submitInZone(key, zone string, runMs int) *client.Task {
	c.t.Helper()
	task, err := c.operatorClient("board").Submit(c.t.Context(), &client.TaskRequest{
		Team:          "board",
		Kind:          "ledger",
		Resources:     client.Resources{Millicores: 1_000, MemoryBytes: 1 << 30},
		CanCheckpoint: true,
		Zones:         []string{zone},
		Parameters:    map[string]string{"run_ms": fmt.Sprint(runMs)},
	}, key)
	assert.NilError(c.t, err)
	return task
}

// listenAddress returns the agent's own address, without a proxy.
func (h *host) listenAddress(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(h.settingsFile)
	assert.NilError(t, err)
	_, rest, _ := strings.Cut(string(text), "[agent]")
	_, rest, _ = strings.Cut(rest, "listen = ")
	address, _, _ := strings.Cut(rest, "\n")
	return address
}

// probe sends a request to one agent, as an entry does. It returns "ran", the
// reason of the refusal, or "unreachable".
func (h *host) probe(t *testing.T) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	agent := wireconnect.NewAgentServiceClient(http.DefaultClient, "http://"+h.listenAddress(t))
	response, err := agent.Execute(ctx, connect.NewRequest(&wire.ExecuteRequest{
		Service:   "tags",
		Method:    http.MethodPost,
		Path:      "/probe",
		TimeoutUs: time.Second.Microseconds(),
		RequestId: "probe",
	}))
	switch {
	case err != nil:
		return "unreachable"
	case response.Msg.GetOutcome() == wire.Outcome_OUTCOME_RAN:
		return client.OutcomeRan
	default:
		return response.Msg.GetReason()
	}
}

// protocolClient returns an HTTP client that reuses connections, on HTTP/1.1 or
// unencrypted HTTP/2.
func protocolClient(http2 bool) *http.Client {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	return &http.Client{
		Transport: &http.Transport{
			Protocols:           protocols,
			MaxIdleConnsPerHost: 64,
		},
	}
}

// loadRequest is one request of a load and its response.
type loadRequest struct {
	callResponse
	path      string
	key       string
	entry     string
	at        time.Time
	configAge string
}

// post sends one request. The path is unique and identifies the request in the
// records of the endpoints.
func (e *entry) post(httpClient *http.Client, path, key string, timeout time.Duration) loadRequest {
	sent := loadRequest{
		path:  "/" + path,
		key:   key,
		entry: e.name,
		at:    time.Now(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout+5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+"/v1/services/tags/requests/"+path, strings.NewReader("coat"))
	if err != nil {
		sent.err = err
		return sent
	}
	request.Header.Set(client.HeaderTimeout, timeout.String())
	if key != "" {
		request.Header.Set(client.HeaderKey, key)
		request.Header.Set(client.HeaderFirstAttempt, "true")
	}
	response, err := httpClient.Do(request)
	if err != nil {
		sent.err = err
		return sent
	}
	defer func() { _ = response.Body.Close() }()
	sent.configAge = response.Header.Get(client.HeaderConfigAge)
	sent.callResponse = readResponse(response)
	return sent
}

// load is a constant stream of requests through chosen entries. Each caller
// reuses its connections; every third request has an idempotency key.
type load struct {
	stop  chan struct{}
	group sync.WaitGroup
	mu    sync.Mutex
	all   []loadRequest
}

// loadTimeout exceeds the service time of the long requests in the tests.
const loadTimeout = 10 * time.Second

var loadNumber atomic.Int64

// startLoad runs two callers for each entry, one per protocol. Each sends a
// request per interval while choose returns true for its entry.
func (c *cluster) startLoad(interval time.Duration, choose func(*entry) bool) *load {
	l := &load{
		stop: make(chan struct{}),
	}
	for i, e := range c.entries {
		for _, http2 := range []bool{false, true} {
			l.group.Go(func() {
				l.run(fmt.Sprintf("load%d-%d-%t", loadNumber.Add(1), i, http2), e, protocolClient(http2), interval, choose)
			})
		}
	}
	c.t.Cleanup(l.end)
	return l
}

func (l *load) run(name string, e *entry, httpClient *http.Client, interval time.Duration, choose func(*entry) bool) {
	defer httpClient.CloseIdleConnections()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
		}
		if !choose(e) {
			continue
		}
		l.group.Go(func() {
			path, key := fmt.Sprintf("%s-%d", name, n), ""
			if n%3 == 0 {
				key = path
			}
			sent := e.post(httpClient, path, key, loadTimeout)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.all = append(l.all, sent)
		})
	}
}

// end stops the callers and waits for all responses.
func (l *load) end() {
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	l.group.Wait()
}

// between returns the completed requests that were sent in an interval.
func (l *load) between(from, to time.Time) []loadRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []loadRequest
	for _, r := range l.all {
		if !r.at.Before(from) && r.at.Before(to) {
			found = append(found, r)
		}
	}
	return found
}

func everyEntry(*entry) bool { return true }

// countByReason returns the number of requests that an entry refused as not_run
// with a reason, or, for an empty reason, the number that ran.
func countByReason(all []loadRequest, entry, reason string) int {
	n := 0
	for _, r := range all {
		ran := r.err == nil && r.reason == "" && r.status == http.StatusOK
		if r.entry == entry && ((reason == "" && ran) || (reason != "" && r.reason == reason && r.outcome == client.OutcomeNotRun)) {
			n++
		}
	}
	return n
}

// executionCounts returns the number of executions per path at all endpoints.
func (c *cluster) executionCounts() map[string]int {
	runs := map[string]int{}
	for _, h := range c.hosts {
		for _, execution := range h.endpoint.Executions() {
			runs[execution.Path]++
		}
	}
	return runs
}

// assertOutcomes checks the outcomes against the endpoints' records: a request
// with outcome ran has run once, and one with not_run has not run.
func (c *cluster) assertOutcomes(all []loadRequest) {
	c.t.Helper()
	runs := c.executionCounts()
	for _, r := range all {
		n := runs[r.path]
		ran := r.err == nil && r.reason == "" && r.status == http.StatusOK
		if n > 1 || (ran && n != 1) || (r.outcome == client.OutcomeNotRun && n != 0) {
			c.t.Errorf("%s through %s ran %d times; response: %d %s %s %v", r.path, r.entry, n, r.status, r.outcome, r.reason, r.err)
		}
	}
}

// isDialError reports whether no connection was opened, so that no request was
// interrupted.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// isUnknownKeyOutcome reports whether a complete response leaves the outcome of
// a key unknown because the epoch of its shard changed during the request;
// docs/proofs_zones.md lists this as not proved.
func isUnknownKeyOutcome(r loadRequest) bool {
	return r.err == nil && r.key != "" && r.outcome == client.OutcomeUnknown &&
		(r.reason == string(damaskspread.ReasonInProgress) || r.reason == string(damaskspread.ReasonStaleEpoch))
}

// assertNoneInterrupted fails on broken connections, lost responses and other
// failures except refusals with not_run, refused connections and unknown
// outcomes of keys whose shard changed.
func assertNoneInterrupted(t *testing.T, name string, all []loadRequest) {
	t.Helper()
	interrupted, unknownKeys, refused := 0, 0, map[string]int{}
	var example string
	for _, r := range all {
		if r.err == nil && r.outcome == client.OutcomeNotRun {
			refused[r.reason]++
			continue
		}
		if isUnknownKeyOutcome(r) {
			unknownKeys++
			continue
		}
		if (r.err != nil && !isDialError(r.err)) || (r.err == nil && r.status != http.StatusOK) {
			interrupted++
			example = fmt.Sprintf("%s through %s at %s: %d %s %s %v %s", r.path, r.entry, r.at.Format("05.000"), r.status, r.outcome, r.reason, r.err, r.body)
		}
	}
	t.Logf("%s: %d requests, %d interrupted, %d keys with unknown outcome, refused %v", name, len(all), interrupted, unknownKeys, refused)
	if interrupted > 0 {
		t.Errorf("%s: %d of %d requests were interrupted, the last: %s", name, interrupted, len(all), example)
	}
}
