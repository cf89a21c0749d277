package e2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

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
