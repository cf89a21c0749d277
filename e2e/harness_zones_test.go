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

// startBound is the design page's bound for zones and leaving endpoints.
const startBound = 5 * time.Second

// stopSignal asks a process for a planned stop.
const stopSignal = syscall.SIGTERM

// linkPeers gives each entry the addresses of the others for a start during a
// log outage, and separates their relay from the agents' polls: the links
// entry/ID then carry the relay alone.
func (c *cluster) linkPeers() {
	c.t.Helper()
	for _, e := range c.entries {
		var peers []string
		for _, other := range c.entries {
			if other != e {
				peers = append(peers, c.proxies.address("entry/"+other.name))
			}
		}
		e.edit("[entry]\n", "[entry]\npeers = "+strings.Join(peers, ",")+"\n")
		for _, h := range c.hosts {
			sync := c.proxies.get("sync/" + h.id + "/" + e.name)
			sync.Stop()
			sync.Upstream = c.proxies.get("entry/" + e.name).Upstream
			assert.NilError(c.t, sync.Start())
		}
	}
}

// edit replaces a part of the process's settings before its next start.
func (p *process) edit(old, replacement string) {
	p.t.Helper()
	text, err := os.ReadFile(p.settings)
	assert.NilError(p.t, err)
	assert.Assert(p.t, strings.Contains(string(text), old))
	assert.NilError(p.t, os.WriteFile(p.settings, []byte(strings.Replace(string(text), old, replacement, 1)), 0o600))
}

// ended waits for a stop that was already asked for: a second signal ends a
// process at once.
func (p *process) ended(within time.Duration) error {
	p.t.Helper()
	waitFor(p.t, within, p.name+" has ended", func() bool { return !p.running() })
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// cut silently drops both directions of links.
func (c *cluster) cut(links ...string) {
	c.cutOneWay(towards, links...)
	c.cutOneWay(back, links...)
}

func (c *cluster) cutOneWay(way direction, links ...string) {
	for _, link := range links {
		c.proxies.drop(link, way)
	}
}

// join restores links that were cut. Connections that lost bytes are broken,
// as a path that returns after a partition resets them.
func (c *cluster) join(links ...string) {
	for _, link := range links {
		c.proxies.heal(link, towards)
		c.proxies.heal(link, back)
		c.proxies.refuse(link)
		c.proxies.restore(link)
	}
}

// syncLinks names an agent's links to the entries.
func (c *cluster) syncLinks(h *host) []string {
	var links []string
	for _, e := range c.entries {
		links = append(links, "sync/"+h.id+"/"+e.name)
	}
	return links
}

func (c *cluster) logDown(down bool) {
	c.t.Helper()
	c.fault(emulator.Fault{
		Target: "log",
		Down:   down,
	})
}

// behave replaces the behavior of endpoints for requests that start later.
func (c *cluster) behave(serviceMs int64) {
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

// setZoneAt changes a zone through one entry and returns when the operator had
// the answer.
func (c *cluster) setZoneAt(e *entry, zone string, inService bool) time.Time {
	c.t.Helper()
	operator := &client.Client{
		Entries: []string{address(e.url)},
		Team:    "operations",
		Actor:   "e2e",
	}
	_, err := operator.SetZone(c.t.Context(), zone, inService)
	assert.NilError(c.t, err)
	return time.Now()
}

// inZone is the hosts of a zone.
func (c *cluster) inZone(zone string) []*host {
	var hosts []*host
	for _, h := range c.hosts {
		if h.zone == zone {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// startsBetween counts what endpoints and workers of the hosts began to run.
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

// assertNoStarts guards the bound: nothing of the hosts began from then on.
func (c *cluster) assertNoStarts(what string, hosts []*host, from, to time.Time) {
	c.t.Helper()
	requests, tasks := c.startsBetween(hosts, from, to)
	if requests+tasks > 0 {
		c.t.Errorf("%s: %d requests and %d tasks started after the bound", what, requests, tasks)
	}
}

// submitIn submits a task that may run in one zone only.
func (c *cluster) submitIn(key, zone string, runMs int) *client.Task {
	c.t.Helper()
	task, err := c.operator("board").Submit(c.t.Context(), &client.TaskRequest{
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

// listen is the agent's own address, without a proxy.
func (h *host) listen(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(h.settings)
	assert.NilError(t, err)
	_, rest, _ := strings.Cut(string(text), "[agent]")
	_, rest, _ = strings.Cut(rest, "listen = ")
	listen, _, _ := strings.Cut(rest, "\n")
	return listen
}

// probe asks one agent to run a request, as an entry does, and returns the
// reason of its refusal, or "ran".
func (h *host) probe(t *testing.T) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	agent := wireconnect.NewAgentServiceClient(http.DefaultClient, "http://"+h.listen(t))
	answer, err := agent.Execute(ctx, connect.NewRequest(&wire.ExecuteRequest{
		Service:   "tags",
		Method:    http.MethodPost,
		Path:      "/probe",
		TimeoutUs: time.Second.Microseconds(),
		RequestId: "probe",
	}))
	switch {
	case err != nil:
		return "unreachable"
	case answer.Msg.GetOutcome() == wire.Outcome_OUTCOME_RAN:
		return client.OutcomeRan
	default:
		return answer.Msg.GetReason()
	}
}

// protocolClient keeps its connections on HTTP/1.1 or unencrypted HTTP/2.
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

// sent is one request of a load and its answer.
type sent struct {
	answer
	path  string
	key   string
	entry string
	at    time.Time
	age   string
}

// post sends one request under a path of its own, by which the endpoints
// identify it.
func (e *entry) post(caller *http.Client, path, key string, timeout time.Duration) sent {
	s := sent{
		path:  "/" + path,
		key:   key,
		entry: e.name,
		at:    time.Now(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout+5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+"/v1/services/tags/requests/"+path, strings.NewReader("coat"))
	if err != nil {
		s.err = err
		return s
	}
	request.Header.Set(client.HeaderTimeout, timeout.String())
	if key != "" {
		request.Header.Set(client.HeaderKey, key)
		request.Header.Set(client.HeaderFirstAttempt, "true")
	}
	response, err := caller.Do(request)
	if err != nil {
		s.err = err
		return s
	}
	defer func() { _ = response.Body.Close() }()
	s.age = response.Header.Get(client.HeaderConfigAge)
	s.answer = read(response)
	return s
}

// load is a constant stream of requests through chosen entries. Each caller
// keeps its connections; every third request carries an idempotency key.
type load struct {
	stop  chan struct{}
	group sync.WaitGroup
	mu    sync.Mutex
	all   []sent
}

// loadTimeout exceeds the time of the long requests that tests keep in
// progress.
const loadTimeout = 10 * time.Second

var loadNumber atomic.Int64

// startLoad runs two callers, one per protocol, at each entry that choose
// allows at the time.
func (c *cluster) startLoad(every time.Duration, choose func(*entry) bool) *load {
	l := &load{
		stop: make(chan struct{}),
	}
	for i, e := range c.entries {
		for _, http2 := range []bool{false, true} {
			l.group.Go(func() {
				l.run(fmt.Sprintf("load%d-%d-%t", loadNumber.Add(1), i, http2), e, protocolClient(http2), every, choose)
			})
		}
	}
	c.t.Cleanup(l.end)
	return l
}

func (l *load) run(name string, e *entry, caller *http.Client, every time.Duration, choose func(*entry) bool) {
	defer caller.CloseIdleConnections()
	ticker := time.NewTicker(every)
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
			s := e.post(caller, path, key, loadTimeout)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.all = append(l.all, s)
		})
	}
}

func (l *load) end() {
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	l.group.Wait()
}

// between returns the requests sent in a span.
func (l *load) between(from, to time.Time) []sent {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []sent
	for _, s := range l.all {
		if !s.at.Before(from) && s.at.Before(to) {
			found = append(found, s)
		}
	}
	return found
}

func always(*entry) bool { return true }

// count tells how many requests an entry answered with a reason, or, for an
// empty reason, how many ran.
func count(all []sent, entry, reason string) int {
	n := 0
	for _, s := range all {
		ran := s.err == nil && s.reason == "" && s.status == http.StatusOK
		if s.entry == entry && ((reason == "" && ran) || (reason != "" && s.reason == reason && s.outcome == client.OutcomeNotRun)) {
			n++
		}
	}
	return n
}

// runs counts the executions per path over all endpoints.
func (c *cluster) runs() map[string]int {
	runs := map[string]int{}
	for _, h := range c.hosts {
		for _, execution := range h.endpoint.Executions() {
			runs[execution.Path]++
		}
	}
	return runs
}

// assertTrueAnswers guards outcomes against the endpoints' records: what ran
// ran once, and what was refused as not_run did not run.
func (c *cluster) assertTrueAnswers(all []sent) {
	c.t.Helper()
	runs := c.runs()
	for _, s := range all {
		n := runs[s.path]
		ran := s.err == nil && s.reason == "" && s.status == http.StatusOK
		if n > 1 || (ran && n != 1) || (s.outcome == client.OutcomeNotRun && n != 0) {
			c.t.Errorf("%s through %s ran %d times; answer %d %s %s %v", s.path, s.entry, n, s.status, s.outcome, s.reason, s.err)
		}
	}
}

// refusedDial reports that no connection was opened, so nothing was cut.
func refusedDial(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// uncertainKey is a complete answer that leaves the outcome of a key open
// because its shard moved during the request; docs/proofs_zones.md lists it
// among what is not proved.
func uncertainKey(s sent) bool {
	return s.err == nil && s.key != "" && s.outcome == client.OutcomeUnknown &&
		(s.reason == string(damaskspread.ReasonInProgress) || s.reason == string(damaskspread.ReasonStaleEpoch))
}

// assertNoneCut guards against broken connections and lost answers.
func assertNoneCut(t *testing.T, what string, all []sent) {
	t.Helper()
	cut, uncertain, refused := 0, 0, map[string]int{}
	var first string
	for _, s := range all {
		if s.err == nil && s.outcome == client.OutcomeNotRun {
			refused[s.reason]++
			continue
		}
		if uncertainKey(s) {
			uncertain++
			continue
		}
		if (s.err != nil && !refusedDial(s.err)) || (s.err == nil && s.status != http.StatusOK) {
			cut++
			first = fmt.Sprintf("%s through %s at %s: %d %s %s %v %s", s.path, s.entry, s.at.Format("05.000"), s.status, s.outcome, s.reason, s.err, s.body)
		}
	}
	t.Logf("%s: %d requests, %d cut, %d keys uncertain, refused %v", what, len(all), cut, uncertain, refused)
	if cut > 0 {
		t.Errorf("%s: %d of %d requests were cut, such as %s", what, cut, len(all), first)
	}
}
