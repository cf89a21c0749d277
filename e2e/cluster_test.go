package e2e_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/timekeeper"
	"damaskspread.example/damaskspread/wire"
)

// readyTimeout is long because processes start under the race detector on a
// busy machine. No promise depends on it.
const readyTimeout = 30 * time.Second

// options configure a cluster. setDefaults replaces zero values; document has
// the published sections by owner.
type options struct {
	entries  int
	zones    []string
	hosts    int
	document map[string]string
	limits   map[string]string
	capacity *wire.Resources
	slots    int
	behavior emulator.Behavior
	usageLag time.Duration
}

// host is one emulated host: an agent process, with an endpoint in the test
// process and a worker of the platform.
type host struct {
	*process
	id       string
	zone     string
	endpoint *emulator.Endpoint
}

type entry struct {
	*process
	url string
}

// cluster is a complete system on loopback addresses: entries, agents and the
// emulated platform, with a proxy on each connection between them.
type cluster struct {
	t        *testing.T
	dir      string
	options  options
	platform *emulator.Platform
	proxies  *proxies
	entries  []*entry
	hosts    []*host
}

// defaultDocument is the configuration to publish, by owner.
var defaultDocument = map[string]string{
	"counter":    "[service tags]\nowner = counter\nclasses = counter, closure, ledger\ntimeout = 5s\n",
	"operations": "[zone a]\nowner = operations\n\n[zone b]\nowner = operations\n",
	"board":      "[kind ledger]\nowner = board\nclass = batch\n",
}

func startCluster(t *testing.T, o options) *cluster {
	t.Helper()
	c := newCluster(t, o)
	c.startServing()
	return c
}

// startServing starts every process and waits until the endpoints and shards of
// the service are ready.
func (c *cluster) startServing() {
	c.t.Helper()
	c.startAll()
	c.waitEndpoints(len(c.hosts))
}

// startAll starts every process and waits until all hosts are members.
func (c *cluster) startAll() {
	c.t.Helper()
	for _, e := range c.entries {
		e.start()
	}
	for _, e := range c.entries {
		c.waitReady(e.process)
	}
	c.publish(c.options.document)
	// Hosts that join through an entry that is not announced yet expire after
	// member_hold.
	waitFor(c.t, readyTimeout, "all entries are announced", func() bool {
		status, err := c.operatorClient("board").Status(context.Background())
		return err == nil && len(status.Entries) == len(c.entries)
	})
	for _, h := range c.hosts {
		h.start()
	}
	for _, h := range c.hosts {
		c.waitReady(h.process)
	}
	c.waitMembers(len(c.hosts))
}

func (o *options) setDefaults() {
	if o.entries == 0 {
		o.entries = 2
	}
	if len(o.zones) == 0 {
		o.zones = []string{"a", "b"}
	}
	if o.document == nil {
		o.document = defaultDocument
	}
	if o.slots == 0 {
		o.slots = 8
	}
	if o.capacity == nil {
		o.capacity = &wire.Resources{
			Millicores:  16_000,
			MemoryBytes: 60 << 30,
		}
	}
}

func newCluster(t *testing.T, o options) *cluster {
	t.Helper()
	o.setDefaults()
	c := &cluster{
		t:       t,
		dir:     t.TempDir(),
		options: o,
		proxies: newProxies(t),
	}
	c.startPlatform()
	for i := range o.entries {
		c.entries = append(c.entries, c.newEntry(fmt.Sprintf("entry-%d", i)))
	}
	for i := range o.hosts {
		c.hosts = append(c.hosts, c.newHost(fmt.Sprintf("host-%d", i), o.zones[i%len(o.zones)]))
	}
	t.Cleanup(c.close)
	return c
}

func (c *cluster) startPlatform() {
	c.platform = &emulator.Platform{
		Clock:          clockwork.NewRealClock(),
		LogAddress:     freeAddress(c.t),
		ControlAddress: freeAddress(c.t),
		UsageLag:       c.options.usageLag,
	}
	for i := range c.options.hosts {
		c.platform.Workers = append(c.platform.Workers, emulator.Worker{
			Host:     fmt.Sprintf("host-%d", i),
			Address:  freeAddress(c.t),
			Capacity: c.options.capacity,
		})
	}
	assert.NilError(c.t, c.platform.Listen())
	c.runInTomb(c.platform.Run)
}

func (c *cluster) runInTomb(run func(*tomb.Tomb) error) {
	t := &tomb.Tomb{}
	t.Go(func() error { return run(t) })
	c.t.Cleanup(func() {
		t.Kill(nil)
		_ = t.Wait()
	})
}

func (c *cluster) newEntry(id string) *entry {
	listenAddress, peerAddress := freeAddress(c.t), freeAddress(c.t)
	p := c.newProcess(id, "entry", c.options.zones[0], fmt.Sprintf(`
[log]
address = %s
append_timeout = 1s
read_timeout = 1s
[entry]
listen = %s
peer_listen = %s
address = %s
`, c.proxies.link("log/"+id, hostPort(c.platform.LogURL())), listenAddress, peerAddress, c.proxies.link("entry/"+id, peerAddress)))
	return &entry{
		process: p,
		url:     "http://" + listenAddress,
	}
}

func (c *cluster) newHost(id, zone string) *host {
	endpoint := &emulator.Endpoint{
		Clock:    clockwork.NewRealClock(),
		Elapsed:  timekeeper.BootClock{},
		Address:  freeAddress(c.t),
		Behavior: c.options.behavior,
	}
	assert.NilError(c.t, endpoint.Listen())
	c.runInTomb(endpoint.Run)
	var entries []string
	for _, e := range c.entries {
		entries = append(entries, c.proxies.link("sync/"+id+"/"+e.name, c.proxies.address("entry/"+e.name)))
	}
	listenAddress := freeAddress(c.t)
	p := c.newProcess(id, "agent", zone, fmt.Sprintf(`
[agent]
entries = %s
listen = %s
address = %s
[endpoint]
service = tags
address = %s
slots = %d
[worker]
address = %s
`, strings.Join(entries, ","), listenAddress, c.proxies.link("agent/"+id, listenAddress),
		c.proxies.link("endpoint/"+id, hostPort(endpoint.URL())), c.options.slots,
		c.proxies.link("worker/"+id, hostPort(c.platform.WorkerURL(id)))))
	return &host{
		process:  p,
		id:       id,
		zone:     zone,
		endpoint: endpoint,
	}
}

func (c *cluster) newProcess(id, role, zone, settings string) *process {
	monitor := freeAddress(c.t)
	content := fmt.Sprintf("[process]\nid = %s\nrole = %s\nregion = west\nzone = %s\nrack = r1\nmonitor_listen = %s\n%s\n[limits]\n",
		id, role, zone, monitor, settings)
	for key, value := range c.options.limits {
		content += key + " = " + value + "\n"
	}
	path := filepath.Join(c.dir, id+".ini")
	assert.NilError(c.t, os.WriteFile(path, []byte(content), 0o600))
	return &process{
		t:            c.t,
		name:         id,
		role:         role,
		settingsFile: path,
		monitorURL:   "http://" + monitor,
	}
}

func (c *cluster) processes() []*process {
	var all []*process
	for _, e := range c.entries {
		all = append(all, e.process)
	}
	for _, h := range c.hosts {
		all = append(all, h.process)
	}
	return all
}

func (c *cluster) close() {
	for _, p := range c.processes() {
		p.resume()
		p.kill()
		if out := p.log(); c.t.Failed() || strings.Contains(out, "DATA RACE") {
			c.t.Logf("output of %s:\n%s", p.name, tail(out, 8_000))
		}
		if strings.Contains(p.log(), "DATA RACE") {
			c.t.Errorf("%s reported a data race", p.name)
		}
	}
}

func tail(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return "..." + text[len(text)-limit:]
}

func hostPort(url string) string { return strings.TrimPrefix(url, "http://") }

func (c *cluster) waitReady(p *process) {
	c.t.Helper()
	waitFor(c.t, readyTimeout, p.name+" is ready", func() bool {
		if !p.running() {
			c.t.Fatalf("%s ended early:\n%s", p.name, tail(p.log(), 8_000))
		}
		return httpStatus(c.t, p.monitorURL+"/readyz") == http.StatusOK
	})
}

// httpStatus returns the status of a GET request, or 0 without a response.
func httpStatus(t *testing.T, url string) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
