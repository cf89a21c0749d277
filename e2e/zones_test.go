package e2e_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/emulator"
)

// observeFor is how long a test watches after a bound has passed.
const observeFor = 2 * time.Second

// TestZoneOutUnderPartitions guards promise 4 against an entry that is cut off
// from the log, an agent cut off from all current entries, and a paused agent
// with claims it has not started, all at once and twice, and against a zone
// that does not return.
func TestZoneOutUnderPartitions(t *testing.T) {
	c := newCluster(t, options{
		entries: 3,
		hosts:   4,
	})
	c.linkPeers()
	c.startAll()
	// host-0 polls the entry that will be cut off and no other.
	isolated, paused := c.hosts[0], c.hosts[2]
	c.proxies.refuse("sync/host-0/entry-1")
	c.proxies.refuse("sync/host-0/entry-2")
	load := c.startLoad(40*time.Millisecond, always)
	for _, round := range []string{"first", "again"} {
		waitFor(t, readyWithin, "both hosts of the zone serve", func() bool {
			return isolated.probe(t) == "ran" && paused.probe(t) == "ran"
		})
		cut := []string{"log/entry-0", "entry/entry-0", "entry/entry-1", "entry/entry-2"}
		c.refuseWorkers("a", true)
		for _, key := range []string{"1", "2", "3", "4"} {
			c.submitIn("zone-"+round+key, "a", 100)
		}
		// The claims reach the agents, whose starts cannot reach the workers.
		waitFor(t, readyWithin, "tasks are claimed", func() bool {
			return c.claimed(isolated.id) && c.claimed(paused.id)
		})
		// The second time only the answers are lost.
		c.cutOneWay(back, cut...)
		if round == "first" {
			c.cutOneWay(towards, cut...)
		}
		paused.pause()
		outAt := c.setZone(c.entries[1], "a", false)
		time.Sleep(time.Until(outAt.Add(startBound)))
		c.refuseWorkers("a", false)
		time.Sleep(observeFor / 2)
		paused.resume()
		time.Sleep(observeFor)
		end := time.Now()
		c.assertNoStarts(round, c.inZone("a"), outAt.Add(startBound), end)
		meanwhile := load.between(outAt.Add(startBound), end.Add(-time.Second))
		assert.Assert(t, count(meanwhile, "entry-0", "stale_configuration") > 0, "the entry that was cut off did not refuse")
		assert.Assert(t, count(meanwhile, "entry-1", "") > 0, "the other zone did not serve")
		assert.Equal(t, count(meanwhile, "entry-0", ""), 0)
		c.join(cut...)
		inAt := c.setZone(c.entries[2], "a", true)
		waitFor(t, readyWithin, "the zone serves requests and starts its tasks", func() bool {
			requests, tasks := c.startsBetween(c.inZone("a"), inAt, time.Now())
			return requests > 0 && tasks >= 4
		})
	}
	load.end()
	c.assertTrueAnswers(load.all)
	c.assertNoViolation()
}

func (c *cluster) refuseWorkers(zone string, refuse bool) {
	c.t.Helper()
	for _, h := range c.inZone(zone) {
		if refuse {
			c.proxies.refuse("worker/" + h.id)
		} else {
			c.proxies.restore("worker/" + h.id)
		}
	}
}

// claimed reports whether a task is claimed for a host. It
// only synchronizes the test; the verdict does not depend on it.
func (c *cluster) claimed(host string) bool {
	hosts, err := c.operator("operations").Hosts(c.t.Context())
	if err != nil {
		return false
	}
	for _, h := range hosts {
		if h.Host == host {
			return h.Tasks > 0
		}
	}
	return false
}

// TestZoneOutBeforeLogOutage guards promise 4 against processes that start
// with empty memory while the log is down, agents cut off from all entries,
// and starts that were held up at the worker, together and with load.
func TestZoneOutBeforeLogOutage(t *testing.T) {
	c := newCluster(t, options{
		hosts: 4,
	})
	c.linkPeers()
	c.startAll()
	load := c.startLoad(40*time.Millisecond, always)
	restarted, cutOff := c.hosts[0], c.hosts[2]
	c.holdStart(cutOff)
	c.pauseWorker(restarted, true)
	for _, key := range []string{"1", "2", "3", "4"} {
		c.submitIn("claimed-"+key, "a", 100)
	}
	waitFor(t, readyWithin, "a task is claimed", func() bool { return c.claimed(restarted.id) })
	c.cut(c.syncLinks(cutOff)...)
	outAt := c.setZone(c.entries[0], "a", false)
	c.logDown(true)
	downAt := time.Now()
	c.entries[1].kill()
	c.entries[1].start()
	restarted.kill()
	restarted.start()
	time.Sleep(time.Until(outAt.Add(startBound)))
	for _, h := range c.inZone("a") {
		c.pauseWorker(h, false)
	}
	time.Sleep(observeFor)
	end := time.Now()
	c.assertNoStarts("log outage", c.inZone("a"), outAt.Add(startBound), end)
	// No process knows its configuration to be current: not even the other
	// zone may start anything.
	c.assertNoStarts("log outage", c.hosts, downAt.Add(startBound), end)
	meanwhile := load.between(downAt.Add(startBound), end.Add(-time.Second))
	for _, e := range c.entries {
		assert.Assert(t, count(meanwhile, e.name, "stale_configuration") > 0, "%s did not refuse", e.name)
	}
	c.logDown(false)
	c.join(c.syncLinks(cutOff)...)
	upAt := time.Now()
	waitFor(t, readyWithin, "the other zone serves again", func() bool {
		requests, _ := c.startsBetween(c.inZone("b"), upAt, time.Now())
		return requests > 10
	})
	c.waitReady(restarted.process)
	time.Sleep(observeFor)
	c.assertNoStarts("after the outage", c.inZone("a"), outAt.Add(startBound), time.Now())
	inAt := c.setZone(c.entries[1], "a", true)
	waitFor(t, readyWithin, "the zone returns", func() bool {
		requests, tasks := c.startsBetween(c.inZone("a"), inAt, time.Now())
		return requests > 0 && tasks > 0
	})
	load.end()
	c.assertTrueAnswers(load.all)
	c.assertNoViolation()
}

// pauseWorker lets calls wait at a worker; they take effect after the pause.
func (c *cluster) pauseWorker(h *host, paused bool) {
	c.t.Helper()
	c.fault(emulator.Fault{
		Target: "worker",
		Host:   h.id,
		Paused: paused,
	})
}

// holdStart pauses a worker while the agent is sending it starts, so that one
// of them has reached the worker and waits there.
func (c *cluster) holdStart(h *host) {
	c.t.Helper()
	const burst = 12
	for round := range 10 {
		from := time.Now()
		var group sync.WaitGroup
		for i := range burst {
			group.Go(func() { c.submitIn(fmt.Sprintf("held-%d-%d", round, i), h.zone, 100) })
		}
		waitFor(c.t, readyWithin, "a start reaches the worker", func() bool {
			for {
				if _, tasks := c.startsBetween([]*host{h}, from, time.Now()); tasks > 0 {
					c.pauseWorker(h, true)
					return true
				}
				if time.Since(from) > readyWithin {
					return false
				}
			}
		})
		group.Wait()
		time.Sleep(time.Second)
		if _, tasks := c.startsBetween(c.inZone(h.zone), from, time.Now()); tasks < burst {
			return
		}
		c.pauseWorker(h, false)
	}
	c.t.Fatal("no start could be held at the worker")
}

// TestStaleLimit guards the opposite choice of a service: with stale_limit it
// is served through a log outage on the last known configuration, answers
// tell its age, and a zone that was out stays out.
func TestStaleLimit(t *testing.T) {
	document := map[string]string{
		"counter":    "[service tags]\nowner = counter\ntimeout = 5s\nstale_limit = 60s\n",
		"operations": defaultDocument["operations"],
		"board":      defaultDocument["board"],
	}
	c := newCluster(t, options{
		hosts:    2,
		document: document,
	})
	c.linkPeers()
	c.startAll()
	load := c.startLoad(40*time.Millisecond, always)
	outAt := c.setZone(c.entries[0], "a", false)
	time.Sleep(time.Until(outAt.Add(time.Second)))
	task := c.submitIn("stale", "a", 100)
	c.logDown(true)
	downAt := time.Now()
	c.entries[1].kill()
	c.entries[1].start()
	time.Sleep(time.Until(downAt.Add(startBound + observeFor)))
	end := time.Now()
	c.assertNoStarts("stale_limit", c.inZone("a"), outAt.Add(startBound), end)
	meanwhile := load.between(downAt.Add(startBound), end.Add(-time.Second))
	for _, e := range c.entries {
		served, keyed := 0, 0
		for _, s := range meanwhile {
			if s.entry == e.name && s.status == http.StatusOK {
				served++
				if s.key != "" {
					keyed++
				}
				age, err := time.ParseDuration(s.age)
				assert.NilError(t, err, "an answer of %s without its age", s.entry)
				assert.Assert(t, age > 3*time.Second, "age %s", age)
			}
		}
		assert.Assert(t, served > keyed && keyed > 0, "%s served %d requests, %d with a key", e.name, served, keyed)
	}
	c.logDown(false)
	waitFor(t, readyWithin, "the answers carry no age once the configuration is current", func() bool {
		now := time.Now()
		time.Sleep(500 * time.Millisecond)
		all := load.between(now, time.Now())
		for _, s := range all {
			if s.age != "" {
				return false
			}
		}
		return count(all, "entry-0", "") > 0 && count(all, "entry-1", "") > 0
	})
	assert.Equal(t, len(c.events(task.Task, "start")), 0)
	load.end()
	c.assertTrueAnswers(load.all)
}
