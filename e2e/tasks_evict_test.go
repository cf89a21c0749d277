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

// step is a point of an eviction at which the agent is killed.
type killPoint struct {
	name   string
	method string
	// record begins the id of the record that Append has to carry.
	record string
	// after kills the agent after the call took effect, before its answer.
	after bool
}

var evictionKillPoints = []killPoint{
	{name: "before-checkpoint", method: "Checkpoint"},
	{name: "after-checkpoint", method: "Checkpoint", after: true},
	{name: "after-stop", method: "Stop", after: true},
	{name: "before-record", method: "Append", record: "evicted/"},
	{name: "after-record", method: "Append", record: "evicted/", after: true},
}

// next is the step that a successor of the killed agent goes through as well.
func (s killPoint) nextForSuccessor() killPoint {
	if s.method == "Stop" {
		return evictionKillPoints[3]
	}
	return s
}

// killAt kills the agent when its eviction of the task reaches the step.
// The lock keeps the kill from an agent whose start has not returned yet.
func (s killPoint) killHook(h *host, processMutex *sync.Mutex, task string, killed chan<- struct{}) hook {
	var armed atomic.Bool
	armed.Store(true)
	return func(method string, body []byte, forward func()) {
		reached := method == s.method && bytes.Contains(body, []byte(s.record+task)) && armed.CompareAndSwap(true, false)
		if !reached || s.after {
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

func setHooks(interceptors []*interceptor, h hook) {
	for _, i := range interceptors {
		i.set(h)
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

// evictionCluster has one zone for each step and a spare zone to which the
// evicted tasks move.
func evictionCluster(t *testing.T) (*cluster, map[string]*interceptor, map[string][]*interceptor) {
	document := map[string]string{
		"counter":    defaultDocument["counter"],
		"operations": "[zone spare]\nowner = operations\n",
		"board":      defaultDocument["board"],
	}
	zones := []string{"spare"}
	for _, s := range evictionKillPoints {
		zones = append(zones, s.name)
		document["operations"] += fmt.Sprintf("\n[zone %s]\nowner = operations\n", s.name)
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

// TestAgentKilledAtEveryStepOfAnEviction guards against evicted work that is
// lost, resumes twice or falls behind its checkpoint, and against work that
// runs again although it ended while its agent was dead. Each agent is killed
// at another step, once and twice in a row, and either starts again at once or
// stays dead until the task is settled. Every record is in the log twice.
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
		// Ends before member_hold passes, so that only the worker knows.
		{name: "ended", kills: 1, run: 3 * time.Second},
		{name: "twice", kills: 2, restart: true, run: 4 * time.Second},
	} {
		c.setZone("spare", false)
		var tasks []string
		for _, s := range evictionKillPoints {
			r := taskRequest(s.name+"-"+variant.name, variant.run)
			r.Zones = []string{s.name, "spare"}
			tasks = append(tasks, c.submitTo(nil, r))
		}
		for _, task := range tasks {
			c.waitStart(task, 0)
		}
		c.setZone("spare", true)
		var kills sync.WaitGroup
		for i, s := range evictionKillPoints {
			h, processMutex, killed := c.hosts[i+1], &sync.Mutex{}, make(chan struct{}, 1)
			interceptors := append(slices.Clone(syncs[h.id]), workers[h.id])
			setHooks(interceptors, s.killHook(h, processMutex, tasks[i], killed))
			kills.Go(func() {
				for kill := range variant.kills {
					if s.record != "" && s.after && kill > 0 {
						// The eviction is over, so that the successor has no step.
						h.kill()
					} else if !receivesInTime(killed) {
						t.Errorf("%s was not reached", tasks[i])
						return
					}
					setHooks(interceptors, nil)
					if kill+1 < variant.kills {
						setHooks(interceptors, s.nextForSuccessor().killHook(h, processMutex, tasks[i], killed))
					}
					if variant.restart {
						processMutex.Lock()
						h.start()
						processMutex.Unlock()
					}
				}
			})
			c.setZone(s.name, false)
		}
		kills.Wait()
		for _, task := range tasks {
			waitFor(t, settleTimeout, task+" resumes or finishes", func() bool {
				return len(c.events(task, "start")) > 1 || len(c.events(task, "finish")) > 0
			})
		}
		for i, s := range evictionKillPoints {
			if h := c.hosts[i+1]; !h.running() {
				h.start()
			}
			c.setZone(s.name, true)
		}
		c.checkFinished(tasks...)
		c.waitMembers(len(c.hosts))
	}
}

// TestCancellationRacesWithEviction guards against a canceled task that runs
// on because its eviction returned it to the queue, and against a repeated
// claim that starts a running task again. One host is drained and
// another one killed while the cancellations arrive.
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
	// The claims are in the log a second time after 300 ms; an agent acts on
	// that within its poll interval of 500 ms.
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
				answer, err := c.operatorClient("board").Cancel(context.Background(), task)
				return err == nil && (answer.CancelRequested || answer.Result == "canceled")
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
	// Longer than the bound of urgent work: a task that is still pending
	// would start again.
	time.Sleep(urgentStartBound)
	assert.Equal(t, running(), 0)
	for _, task := range tasks {
		c.checkTask(task, true)
	}
	c.assertNoViolation()
}

// TestPreemptionBySeveralEntries guards against a preempted task that resumes
// twice or on top of the urgent one. Urgent tasks that arrive at both entries
// at once preempt the same tasks of a full host; every record is repeated
// after the evicted tasks run again.
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
		// Each eviction takes one checkpoint; a repeated record must not cause
		// another stop and start.
		starts, evictions := len(c.events(task, "start")), len(c.events(task, "checkpoint"))
		assert.Equal(t, starts, evictions+1, c.history(task))
	}
	c.checkCapacity()
}
