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

// observationPeriod is how long a test continues to observe after a bound has
// passed.
const observationPeriod = 2 * time.Second

// TestZoneOutUnderPartitions guards promise 4: nothing starts in a zone out of
// service after the bound, although one entry is partitioned from the log, one
// agent can reach only that entry, and another agent is paused with claims that
// it has not started. The test runs the case twice and checks that the zone
// returns to service.
func TestZoneOutUnderPartitions(t *testing.T) {
	c := newCluster(t, options{
		entries: 3,
		hosts:   4,
	})
	c.linkPeers()
	c.startServing()
	// host-0 polls only the entry that will be partitioned.
	isolated, paused := c.hosts[0], c.hosts[2]
	c.proxies.refuse("sync/host-0/entry-1")
	c.proxies.refuse("sync/host-0/entry-2")
	load := c.startLoad(40*time.Millisecond, everyEntry)
	for _, round := range []string{"first", "again"} {
		waitFor(t, readyTimeout, "both hosts of the zone serve", func() bool {
			return isolated.probe(t) == "ran" && paused.probe(t) == "ran"
		})
		partitioned := []string{"log/entry-0", "entry/entry-0", "entry/entry-1", "entry/entry-2"}
		c.setWorkersRefused("a", true)
		for _, key := range []string{"1", "2", "3", "4"} {
			c.submitInZone("zone-"+round+key, "a", 100)
		}
		// The agents receive the claims, but cannot reach the workers to start the
		// tasks.
		waitFor(t, readyTimeout, "tasks are claimed", func() bool {
			return c.hasClaim(isolated.id) && c.hasClaim(paused.id)
		})
		// In the second round only the responses are lost.
		c.partitionOneWay(toCaller, partitioned...)
		if round == "first" {
			c.partitionOneWay(toServer, partitioned...)
		}
		paused.pause()
		outAt := c.setZoneAt(c.entries[1], "a", false)
		time.Sleep(time.Until(outAt.Add(startBound)))
		c.setWorkersRefused("a", false)
		time.Sleep(observationPeriod / 2)
		paused.resume()
		time.Sleep(observationPeriod)
		end := time.Now()
		c.assertNoStarts(round, c.hostsInZone("a"), outAt.Add(startBound), end)
		duringObservation := load.between(outAt.Add(startBound), end.Add(-time.Second))
		assert.Assert(t, countByReason(duringObservation, "entry-0", "stale_configuration") > 0, "the partitioned entry refused no request with stale_configuration")
		assert.Assert(t, countByReason(duringObservation, "entry-1", "") > 0, "no request ran in the other zone")
		assert.Equal(t, countByReason(duringObservation, "entry-0", ""), 0)
		c.heal(partitioned...)
		inAt := c.setZoneAt(c.entries[2], "a", true)
		waitFor(t, readyTimeout, "the zone serves requests and starts its tasks", func() bool {
			requests, tasks := c.startsBetween(c.hostsInZone("a"), inAt, time.Now())
			return requests > 0 && tasks >= 4
		})
	}
	load.end()
	c.assertOutcomes(load.all)
	c.assertNoViolation()
}

func (c *cluster) setWorkersRefused(zone string, refuse bool) {
	c.t.Helper()
	for _, h := range c.hostsInZone(zone) {
		if refuse {
			c.proxies.refuse("worker/" + h.id)
		} else {
			c.proxies.restore("worker/" + h.id)
		}
	}
}

// hasClaim reports whether a task is claimed for a host. It only synchronizes
// the test; the verdict does not depend on it.
func (c *cluster) hasClaim(host string) bool {
	hosts, err := c.operatorClient("operations").Hosts(c.t.Context())
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

// TestZoneOutBeforeLogOutage guards promise 4: nothing starts in a zone that was
// taken out of service before a log outage, although processes start with empty
// memory during the outage, an agent is partitioned from all entries, and starts
// are delayed at the workers, all under load.
func TestZoneOutBeforeLogOutage(t *testing.T) {
	c := newCluster(t, options{
		hosts: 4,
	})
	c.linkPeers()
	c.startServing()
	load := c.startLoad(40*time.Millisecond, everyEntry)
	restarted, cutOff := c.hosts[0], c.hosts[2]
	c.pauseWorkerWithStart(cutOff)
	c.pauseWorker(restarted, true)
	for _, key := range []string{"1", "2", "3", "4"} {
		c.submitInZone("claimed-"+key, "a", 100)
	}
	waitFor(t, readyTimeout, "a task is claimed", func() bool { return c.hasClaim(restarted.id) })
	c.partition(c.syncLinks(cutOff)...)
	outAt := c.setZoneAt(c.entries[0], "a", false)
	c.setLogDown(true)
	downAt := time.Now()
	c.entries[1].kill()
	c.entries[1].start()
	restarted.kill()
	restarted.start()
	time.Sleep(time.Until(outAt.Add(startBound)))
	for _, h := range c.hostsInZone("a") {
		c.pauseWorker(h, false)
	}
	time.Sleep(observationPeriod)
	end := time.Now()
	c.assertNoStarts("log outage", c.hostsInZone("a"), outAt.Add(startBound), end)
	// No process can know that its configuration is current, so nothing may start
	// in the other zone either.
	c.assertNoStarts("log outage", c.hosts, downAt.Add(startBound), end)
	duringObservation := load.between(downAt.Add(startBound), end.Add(-time.Second))
	for _, e := range c.entries {
		assert.Assert(t, countByReason(duringObservation, e.name, "stale_configuration") > 0, "%s refused no request with stale_configuration", e.name)
	}
	c.setLogDown(false)
	c.heal(c.syncLinks(cutOff)...)
	upAt := time.Now()
	waitFor(t, readyTimeout, "the other zone serves again", func() bool {
		requests, _ := c.startsBetween(c.hostsInZone("b"), upAt, time.Now())
		return requests > 10
	})
	c.waitReady(restarted.process)
	time.Sleep(observationPeriod)
	c.assertNoStarts("after the outage", c.hostsInZone("a"), outAt.Add(startBound), time.Now())
	inAt := c.setZoneAt(c.entries[1], "a", true)
	waitFor(t, readyTimeout, "the zone returns", func() bool {
		requests, tasks := c.startsBetween(c.hostsInZone("a"), inAt, time.Now())
		return requests > 0 && tasks > 0
	})
	load.end()
	c.assertOutcomes(load.all)
	c.assertNoViolation()
}

// pauseWorker pauses or resumes a worker. Calls wait during the pause and take
// effect after it.
func (c *cluster) pauseWorker(h *host, paused bool) {
	c.t.Helper()
	c.setFault(emulator.Fault{
		Target: "worker",
		Host:   h.id,
		Paused: paused,
	})
}

// pauseWorkerWithStart pauses a worker while its agent sends starts, so that at
// least one start has reached the worker and waits there.
func (c *cluster) pauseWorkerWithStart(h *host) {
	c.t.Helper()
	const burst = 12
	for round := range 10 {
		from := time.Now()
		var group sync.WaitGroup
		for i := range burst {
			group.Go(func() { c.submitInZone(fmt.Sprintf("held-%d-%d", round, i), h.zone, 100) })
		}
		waitFor(c.t, readyTimeout, "a start reaches the worker", func() bool {
			for {
				if _, tasks := c.startsBetween([]*host{h}, from, time.Now()); tasks > 0 {
					c.pauseWorker(h, true)
					return true
				}
				if time.Since(from) > readyTimeout {
					return false
				}
			}
		})
		group.Wait()
		time.Sleep(time.Second)
		if _, tasks := c.startsBetween(c.hostsInZone(h.zone), from, time.Now()); tasks < burst {
			return
		}
		c.pauseWorker(h, false)
	}
	c.t.Fatal("no start was delayed at the worker in 10 rounds")
}

// TestStaleLimit guards services with stale_limit: during a log outage their
// requests run with the last known configuration, responses have its age in a
// header, and a zone out of service stays out of service.
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
	c.startServing()
	load := c.startLoad(40*time.Millisecond, everyEntry)
	outAt := c.setZoneAt(c.entries[0], "a", false)
	time.Sleep(time.Until(outAt.Add(time.Second)))
	task := c.submitInZone("stale", "a", 100)
	c.setLogDown(true)
	downAt := time.Now()
	c.entries[1].kill()
	c.entries[1].start()
	time.Sleep(time.Until(downAt.Add(startBound + observationPeriod)))
	end := time.Now()
	c.assertNoStarts("stale_limit", c.hostsInZone("a"), outAt.Add(startBound), end)
	duringObservation := load.between(downAt.Add(startBound), end.Add(-time.Second))
	for _, e := range c.entries {
		served, keyed := 0, 0
		for _, r := range duringObservation {
			if r.entry == e.name && r.status == http.StatusOK {
				served++
				if r.key != "" {
					keyed++
				}
				age, err := time.ParseDuration(r.configAge)
				assert.NilError(t, err, "a response of %s without the age of the configuration", r.entry)
				assert.Assert(t, age > 3*time.Second, "age %s", age)
			}
		}
		assert.Assert(t, served > keyed && keyed > 0, "%s served %d requests, %d with a key", e.name, served, keyed)
	}
	c.setLogDown(false)
	waitFor(t, readyTimeout, "responses have no age once the configuration is current", func() bool {
		now := time.Now()
		time.Sleep(500 * time.Millisecond)
		all := load.between(now, time.Now())
		for _, r := range all {
			if r.configAge != "" {
				return false
			}
		}
		return countByReason(all, "entry-0", "") > 0 && countByReason(all, "entry-1", "") > 0
	})
	assert.Equal(t, len(c.events(task.Task, "start")), 0)
	load.end()
	c.assertOutcomes(load.all)
}
