package e2e_test

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/emulator"
)

// tapWorkers inserts a tap before each worker, for the agent and the entries.
func (c *cluster) tapWorkers() map[string]*tap {
	taps := map[string]*tap{}
	for _, h := range c.hosts {
		taps[h.id] = c.tap("worker/" + h.id)
	}
	return taps
}

// tapSyncs inserts a tap between each agent and each entry.
func (c *cluster) tapSyncs() map[string][]*tap {
	taps := map[string][]*tap{}
	for _, h := range c.hosts {
		for _, e := range c.entries {
			taps[h.id] = append(taps[h.id], c.tap("sync/"+h.id+"/"+e.name))
		}
	}
	return taps
}

func setAll(taps map[string]*tap, h hook) {
	for _, one := range taps {
		one.set(h)
	}
}

// noFence keeps entries from fencing a worker that its agent still reaches.
func noFence(method string, _ []byte, forward func()) {
	if method != "Fence" {
		forward()
	}
}

// TestIsolatedAgentEndsItsTasks guards against a task that still runs on an
// isolated host after its release. Two hosts are cut off from all entries,
// one in both directions and one in one, right after the answer to their last
// heartbeat was late; entries cannot fence their workers.
func TestIsolatedAgentEndsItsTasks(t *testing.T) {
	parallel(t)
	limits := maps.Clone(taskLimits)
	limits["task_hold"] = "3s"
	c := prepareCluster(t, options{
		hosts:    4,
		document: taskDocument,
		limits:   limits,
	})
	setAll(c.tapWorkers(), noFence)
	syncs := c.tapSyncs()
	c.startAll()
	// An entry releases no host before it has been current for 10 s.
	grace := time.Now().Add(10 * time.Second)
	var tasks []string
	for i := range 8 {
		tasks = append(tasks, c.submitTo(nil, request(fmt.Sprintf("ledger-%d", i), 14*time.Second)))
	}
	victims := map[string]bool{}
	for _, task := range tasks {
		if start := c.startOf(task, 0); len(victims) < 2 {
			victims[start.Host] = true
		}
	}
	time.Sleep(time.Until(grace))
	var late sync.WaitGroup
	for id := range victims {
		late.Add(1)
		var once sync.Once
		for _, one := range syncs[id] {
			one.set(func(method string, body []byte, forward func()) {
				if method != "Append" || !bytes.Contains(body, []byte("alive/"+id)) {
					forward()
					return
				}
				// Only one heartbeat reaches the log; its answer takes almost as
				// long as the agent waits for it.
				once.Do(func() {
					forward()
					time.Sleep(1900 * time.Millisecond)
					late.Done()
				})
			})
		}
	}
	late.Wait()
	time.Sleep(700 * time.Millisecond)
	twoWay := true
	for id := range victims {
		for _, e := range c.entries {
			if link := "sync/" + id + "/" + e.name; twoWay {
				c.proxies.refuse(link)
			} else {
				c.proxies.drop(link, back)
			}
		}
		twoWay = false
	}
	for _, task := range tasks {
		if host := c.events(task, "start")[0].Host; victims[host] {
			c.startOf(task, 1)
		}
	}
	c.judgeAll(false, tasks...)
}

// held keeps the first Start of a task at the door of its worker.
type held struct {
	task    string
	host    chan string
	release chan struct{}
	done    chan struct{}
	once    sync.Once
}

func newHeld(task string) *held {
	return &held{
		task:    task,
		host:    make(chan string, 1),
		release: make(chan struct{}),
		done:    make(chan struct{}),
	}
}

// intercept holds a call if it is the one to hold.
func (h *held) intercept(host, method string, body []byte, forward func()) {
	first := false
	if method == "Start" && bytes.Contains(body, []byte(h.task)) {
		h.once.Do(func() { first = true })
	}
	if !first {
		forward()
		return
	}
	defer close(h.done)
	h.host <- host
	<-h.release
	forward()
}

// TestHeldStartAfterFence guards against a start that was under way when its
// worker was fenced and its agent killed: it arrives after the fence and has
// to be refused, as the task then starts elsewhere.
func TestHeldStartAfterFence(t *testing.T) {
	parallel(t)
	c, workers := startHoldCluster(t)
	h := newHeld("ledger-fenced")
	fenced := make(chan struct{}, 8)
	for id, one := range workers {
		one.set(func(method string, body []byte, forward func()) {
			if method == "Fence" {
				forward()
				fenced <- struct{}{}
				<-h.done
				return
			}
			h.intercept(id, method, body, forward)
		})
	}
	c.submitTo(nil, request(h.task, 2*time.Second))
	id := <-h.host
	c.host(id).kill()
	assert.Assert(t, arrives(fenced), "the worker was not fenced")
	close(h.release)
	c.judgeFinished(h.task)
	assert.Assert(t, c.events(h.task, "start")[0].Host != id, c.history(h.task))
}

// TestHeldStartOfPausedAgent guards against a start that a paused agent
// decided on while its claim was valid. An operator declares the host lost,
// another host runs the task, and the start arrives late.
func TestHeldStartOfPausedAgent(t *testing.T) {
	parallel(t)
	c, workers := startHoldCluster(t)
	h := newHeld("ledger-late")
	for id, one := range workers {
		one.set(func(method string, body []byte, forward func()) {
			if method != "Fence" {
				h.intercept(id, method, body, forward)
			}
		})
	}
	c.submitTo(nil, request(h.task, 8*time.Second))
	id := <-h.host
	paused := time.Now()
	c.host(id).pause()
	waitFor(t, readyWithin, "the host is declared lost", func() bool {
		_, err := c.operator("operations").DeclareLost(context.Background(), id, "")
		return err == nil
	})
	c.startOf(h.task, 0)
	// The currency limit of 3 s bounds the age of a decision to start.
	time.Sleep(time.Until(paused.Add(3200 * time.Millisecond)))
	close(h.release)
	<-h.done
	c.host(id).resume()
	c.judgeFinished(h.task)
	assert.Equal(t, len(c.events(h.task, "start")), 1, c.history(h.task))
}

// startHoldCluster has a long task hold, so that no lease ends in a test.
func startHoldCluster(t *testing.T) (*cluster, map[string]*tap) {
	limits := maps.Clone(taskLimits)
	limits["task_hold"] = "1m"
	c := prepareCluster(t, options{
		hosts:    2,
		document: taskDocument,
		limits:   limits,
	})
	workers := c.tapWorkers()
	c.startAll()
	return c, workers
}

// TestAgentAndWorkerRestarts guards against tasks that a restarted agent does
// not adopt, and against tasks of an earlier worker boot that start again
// beside their successor.
func TestAgentAndWorkerRestarts(t *testing.T) {
	parallel(t)
	c, workers := startHoldCluster(t)
	setAll(workers, noFence)
	task := c.submitTo(nil, request("ledger-adopted", 6*time.Second))
	h := c.host(c.startOf(task, 0).Host)
	for range 2 {
		h.kill()
		h.start()
		c.waitReady(h.process)
	}
	c.judgeFinished(task)
	assert.Equal(t, len(c.events(task, "start")), 1, c.history(task))

	for name, down := range map[string]func(*host){
		"running": func(*host) {},
		"killed":  func(h *host) { h.kill() },
		"paused":  func(h *host) { h.pause() },
	} {
		task := c.submitTo(nil, request("ledger-"+name, 3*time.Second))
		h := c.host(c.startOf(task, 0).Host)
		down(h)
		for range 2 {
			c.fault(emulator.Fault{
				Target:  "worker",
				Host:    h.id,
				Restart: true,
			})
			time.Sleep(100 * time.Millisecond)
		}
		h.resume()
		if !h.running() {
			h.start()
		}
		c.judgeFinished(task)
	}

	drained := c.submitTo(nil, request("ledger-drained", 4*time.Second))
	id := c.startOf(drained, 0).Host
	_, err := c.operator("operations").Drain(context.Background(), id, "")
	assert.NilError(t, err)
	c.judgeFinished(drained)
	assert.Assert(t, c.startOf(drained, 1).Host != id, c.history(drained))
}
