package e2e_test

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// killPoint is a point of an eviction at which the test kills the agent.
type killPoint struct {
	name   string
	method string
	// record is the prefix of the ID of the record that Append must contain.
	record string
	// after means that the agent is killed after the call took effect and before
	// its response, instead of before the call.
	after bool
}

var evictionKillPoints = []killPoint{
	{name: "before-checkpoint", method: "Checkpoint"},
	{name: "after-checkpoint", method: "Checkpoint", after: true},
	{name: "after-stop", method: "Stop", after: true},
	{name: "before-record", method: "Append", record: "evicted/"},
	{name: "after-record", method: "Append", record: "evicted/", after: true},
}

// nextForSuccessor returns the point at which the restarted agent can be killed
// as well.
func (point killPoint) nextForSuccessor() killPoint {
	if point.method == "Stop" {
		return evictionKillPoints[3]
	}
	return point
}

// killHook returns a hook that kills the agent once, when its eviction of the
// task reaches the point. The mutex prevents a kill while the agent's start has
// not returned yet.
func (point killPoint) killHook(h *host, processMutex *sync.Mutex, task string, killed chan<- struct{}) hook {
	var armed atomic.Bool
	armed.Store(true)
	return func(method string, body []byte, forward func()) {
		reached := method == point.method && bytes.Contains(body, []byte(point.record+task)) && armed.CompareAndSwap(true, false)
		if !reached || point.after {
			forward()
		}
		if reached {
			processMutex.Lock()
			h.kill()
			processMutex.Unlock()
			killed <- struct{}{}
		}
	}
}

func setHooks(targets []*interceptor, h hook) {
	for _, target := range targets {
		target.setHook(h)
	}
}

func receivesInTime(signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	case <-time.After(settleTimeout):
		return false
	}
}

// evictionCluster starts a cluster with one zone for each kill point and a spare
// zone in which evicted tasks resume. It returns the interceptors of the worker
// links and of the sync links by host.
func evictionCluster(t *testing.T) (*cluster, map[string]*interceptor, map[string][]*interceptor) {
	document := map[string]string{
		"counter":    defaultDocument["counter"],
		"operations": "[zone spare]\nowner = operations\n",
		"board":      defaultDocument["board"],
	}
	zones := []string{"spare"}
	for _, point := range evictionKillPoints {
		zones = append(zones, point.name)
		document["operations"] += fmt.Sprintf("\n[zone %s]\nowner = operations\n", point.name)
	}
	c := prepareCluster(t, options{
		hosts:    len(zones),
		zones:    zones,
		document: document,
		limits:   steadyLimits,
	})
	workers, syncs := c.interceptWorkers(), c.interceptSyncs()
	c.duplicateRecords(func() time.Duration { return 300 * time.Millisecond })
	c.startAll()
	return c, workers, syncs
}

// startTaskPerKillPoint starts a task in the zone of each kill point; it may
// resume in the zone spare.
func (c *cluster) startTaskPerKillPoint(suffix string, run time.Duration) (tasks []string) {
	c.t.Helper()
	for _, point := range evictionKillPoints {
		r := taskRequest(point.name+"-"+suffix, run)
		r.Zones = []string{point.name, "spare"}
		tasks = append(tasks, c.submitTo(nil, r))
	}
	for _, task := range tasks {
		c.waitStart(task, 0)
	}
	return tasks
}

// restoreKillPoints starts the agents that are down and takes all zones into
// service.
func (c *cluster) restoreKillPoints() {
	c.t.Helper()
	for i, point := range evictionKillPoints {
		if h := c.hosts[i+1]; !h.running() {
			h.start()
		}
		c.setZone(point.name, true)
	}
}

// TestAgentKilledAtEveryStepOfAnEviction guards against evicted tasks that are
// lost, resume twice or resume before their checkpoint, and against tasks that
// run again although they finished while their agent was down. Each agent is
// killed at another point of the eviction, once or twice in a row. It restarts
// at once, or stays down until its task has resumed or finished. Every record is
// in the log twice.
func TestAgentKilledAtEveryStepOfAnEviction(t *testing.T) {
	runParallel(t)
	c, workers, syncs := evictionCluster(t)
	for _, variant := range []struct {
		name    string
		kills   int
		restart bool
		run     time.Duration
	}{
		{name: "restarted", kills: 1, restart: true, run: 4 * time.Second},
		{name: "dead", kills: 1, run: 10 * time.Second},
		// The task finishes before member_hold passes, while only the worker knows
		// of its end.
		{name: "ended", kills: 1, run: 3 * time.Second},
		{name: "twice", kills: 2, restart: true, run: 4 * time.Second},
	} {
		c.setZone("spare", false)
		tasks := c.startTaskPerKillPoint(variant.name, variant.run)
		c.setZone("spare", true)
		var kills sync.WaitGroup
		for i, point := range evictionKillPoints {
			h, processMutex, killed := c.hosts[i+1], &sync.Mutex{}, make(chan struct{}, 1)
			interceptors := append(slices.Clone(syncs[h.id]), workers[h.id])
			setHooks(interceptors, point.killHook(h, processMutex, tasks[i], killed))
			kills.Go(func() {
				for kill := range variant.kills {
					if point.record != "" && point.after && kill > 0 {
						// The eviction is complete, so the restarted agent reaches no
						// kill point.
						h.kill()
					} else if !receivesInTime(killed) {
						t.Errorf("%s was not reached", tasks[i])
						return
					}
					setHooks(interceptors, nil)
					if kill+1 < variant.kills {
						setHooks(interceptors, point.nextForSuccessor().killHook(h, processMutex, tasks[i], killed))
					}
					if variant.restart {
						processMutex.Lock()
						h.start()
						processMutex.Unlock()
					}
				}
			})
			c.setZone(point.name, false)
		}
		kills.Wait()
		for _, task := range tasks {
			waitFor(t, settleTimeout, task+" resumes or finishes", func() bool {
				return len(c.events(task, "start")) > 1 || len(c.events(task, "finish")) > 0
			})
		}
		c.restoreKillPoints()
		c.checkFinished(tasks...)
		c.waitMembers(len(c.hosts))
	}
}

// TestCancellationRacesWithEviction guards against a canceled task that keeps
// running because its eviction returned it to the queue, and against a duplicate
// claim record that starts a running task again. One host is drained and another
// one killed while the cancellations arrive.
func TestCancellationRacesWithEviction(t *testing.T) {
	runParallel(t)
	random := newSeededRandom(t)
	c := prepareCluster(t, options{
		hosts:    3,
		zones:    []string{"a", "b", "c"},
		document: taskDocument,
		limits:   steadyLimits,
	})
	c.duplicateRecords(func() time.Duration { return 300 * time.Millisecond })
	c.startAll()
	var tasks []string
	for i := range 12 {
		tasks = append(tasks, c.submitTo(nil, taskRequest(fmt.Sprintf("ledger-%d", i), time.Minute)))
	}
	hosts := map[string]bool{}
	for _, task := range tasks {
		hosts[c.waitStart(task, 0).Host] = true
	}
	// The duplicates of the claims are in the log after 300 ms, and an agent
	// reads them within its poll interval of 500 ms.
	time.Sleep(time.Second)
	for _, task := range tasks {
		assert.Equal(t, len(c.events(task, "start")), 1, c.history(task))
	}
	drained := c.events(tasks[0], "start")[0].Host
	delete(hosts, drained)
	for id := range hosts {
		c.host(id).kill()
		break
	}
	_, err := c.operatorClient("operations").Drain(context.Background(), drained, "")
	assert.NilError(t, err)
	var cancels sync.WaitGroup
	for _, task := range tasks {
		pause := time.Duration(random.IntN(900)) * time.Millisecond
		cancels.Go(func() {
			time.Sleep(pause)
			waitFor(t, readyTimeout, task+" is canceled", func() bool {
				response, err := c.operatorClient("board").Cancel(context.Background(), task)
				return err == nil && (response.CancelRequested || response.Result == "canceled")
			})
		})
	}
	time.Sleep(300 * time.Millisecond)
	c.host(drained).kill()
	cancels.Wait()
	c.host(drained).start()
	running := func() int {
		count := 0
		for _, task := range tasks {
			starts := len(c.events(task, "start"))
			count += starts - len(c.events(task, "stop"))
		}
		return count
	}
	waitFor(t, settleTimeout, "every task stops", func() bool { return running() == 0 })
	// Within the bound for urgent tasks, a task that is still pending would start
	// again.
	time.Sleep(urgentStartBound)
	assert.Equal(t, running(), 0)
	for _, task := range tasks {
		c.checkTask(task, true)
	}
	c.assertNoViolation()
}

// TestPreemptionBySeveralEntries guards against a preempted task that resumes
// twice, or that resumes while the urgent task needs its capacity. Urgent tasks
// that arrive at both entries at once preempt the same tasks of a full host.
// Every record is duplicated after the evicted tasks run again.
func TestPreemptionBySeveralEntries(t *testing.T) {
	c := prepareCluster(t, options{
		hosts:    1,
		capacity: smallCapacity,
		document: taskDocument,
		limits:   steadyLimits,
	})
	c.duplicateRecords(func() time.Duration { return 1500 * time.Millisecond })
	c.startAll()
	var tasks []string
	for i := range 4 {
		tasks = append(tasks, c.submitTo(nil, taskRequest(fmt.Sprintf("ledger-%d", i), 7*time.Second)))
	}
	for _, task := range tasks {
		c.waitStart(task, 0)
	}
	for round := range 2 {
		var urgent sync.WaitGroup
		for i, e := range c.entries {
			r := taskRequest(fmt.Sprintf("preview-%d-%d", round, i), 300*time.Millisecond)
			r.Class, r.Resources.Millicores = "latency_critical", 2_000
			tasks = append(tasks, r.Task)
			urgent.Go(func() {
				submitted := time.Now()
				start := c.waitStart(c.submitTo(e, r), 0)
				if took := time.UnixMicro(start.WallUnixUs).Sub(submitted); took > urgentStartBound {
					t.Errorf("%s started after %s", r.Task, took)
				}
			})
		}
		urgent.Wait()
		c.waitFinished(tasks[len(tasks)-2:]...)
		time.Sleep(2 * time.Second)
	}
	c.checkFinished(tasks...)
	for _, task := range tasks {
		// Each eviction takes one checkpoint. A duplicate record must not cause
		// another stop and start.
		starts, evictions := len(c.events(task, "start")), len(c.events(task, "checkpoint"))
		assert.Equal(t, starts, evictions+1, c.history(task))
	}
	c.checkCapacity()
}
