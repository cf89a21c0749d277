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

// interceptWorkers inserts an interceptor before each worker, for calls of the
// agent and of the entries. It returns them by host.
func (c *cluster) interceptWorkers() map[string]*interceptor {
	interceptors := map[string]*interceptor{}
	for _, h := range c.hosts {
		interceptors[h.id] = c.intercept("worker/" + h.id)
	}
	return interceptors
}

// interceptSyncs inserts an interceptor between each agent and each entry. It
// returns them by host.
func (c *cluster) interceptSyncs() map[string][]*interceptor {
	interceptors := map[string][]*interceptor{}
	for _, h := range c.hosts {
		for _, e := range c.entries {
			interceptors[h.id] = append(interceptors[h.id], c.intercept("sync/"+h.id+"/"+e.name))
		}
	}
	return interceptors
}

func setHookOnAll(targets map[string]*interceptor, h hook) {
	for _, target := range targets {
		target.setHook(h)
	}
}

// dropFence is a hook that drops Fence calls, so that entries cannot fence a
// worker that its agent can still reach.
func dropFence(method string, _ []byte, forward func()) {
	if method != "Fence" {
		forward()
	}
}

// TestIsolatedAgentEndsItsTasks guards against a task that still runs on an
// isolated host after the host is released. Two hosts are partitioned from all
// entries, one in both directions and one only for responses, right after the
// response to their last heartbeat was late. Entries cannot fence their workers.
func TestIsolatedAgentEndsItsTasks(t *testing.T) {
	runParallel(t)
	limits := maps.Clone(taskLimits)
	limits["task_hold"] = "3s"
	c := prepareCluster(t, options{
		hosts:    4,
		document: taskDocument,
		limits:   limits,
	})
	setHookOnAll(c.interceptWorkers(), dropFence)
	syncs := c.interceptSyncs()
	c.startAll()
	// An entry releases no host until it has been current for 10 s.
	grace := time.Now().Add(10 * time.Second)
	var tasks []string
	for i := range 8 {
		tasks = append(tasks, c.submitTo(nil, taskRequest(fmt.Sprintf("ledger-%d", i), 14*time.Second)))
	}
	isolated := map[string]bool{}
	for _, task := range tasks {
		if start := c.waitStart(task, 0); len(isolated) < 2 {
			isolated[start.Host] = true
		}
	}
	time.Sleep(time.Until(grace))
	var lateResponses sync.WaitGroup
	for id := range isolated {
		lateResponses.Add(1)
		var once sync.Once
		for _, interceptor := range syncs[id] {
			interceptor.setHook(func(method string, body []byte, forward func()) {
				if method != "Append" || !bytes.Contains(body, []byte("alive/"+id)) {
					forward()
					return
				}
				// Only one heartbeat reaches the log. Its response takes almost as
				// long as the agent waits for it.
				once.Do(func() {
					forward()
					time.Sleep(1900 * time.Millisecond)
					lateResponses.Done()
				})
			})
		}
	}
	lateResponses.Wait()
	time.Sleep(700 * time.Millisecond)
	twoWay := true
	for id := range isolated {
		for _, e := range c.entries {
			if link := "sync/" + id + "/" + e.name; twoWay {
				c.proxies.refuse(link)
			} else {
				c.proxies.drop(link, toCaller)
			}
		}
		twoWay = false
	}
	for _, task := range tasks {
		if host := c.events(task, "start")[0].Host; isolated[host] {
			c.waitStart(task, 1)
		}
	}
	c.checkTasks(false, tasks...)
}

// heldStart delays the first Start call of a task before it reaches the worker.
// host receives the host of the call, closing release forwards the call, and
// done is closed after that.
type heldStart struct {
	task    string
	host    chan string
	release chan struct{}
	done    chan struct{}
	once    sync.Once
}

func newHeldStart(task string) *heldStart {
	return &heldStart{
		task:    task,
		host:    make(chan string, 1),
		release: make(chan struct{}),
		done:    make(chan struct{}),
	}
}

// hook delays the first Start call of the task and forwards all other calls.
func (h *heldStart) hook(host, method string, body []byte, forward func()) {
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

// TestHeldStartAfterFence guards against a delayed start that arrives after its
// worker was fenced and its agent killed. The worker must refuse it, because the
// task starts on another host.
func TestHeldStartAfterFence(t *testing.T) {
	runParallel(t)
	c, workers := startLongHoldCluster(t)
	h := newHeldStart("ledger-fenced")
	fenced := make(chan struct{}, 8)
	for id, interceptor := range workers {
		interceptor.setHook(func(method string, body []byte, forward func()) {
			if method == "Fence" {
				forward()
				fenced <- struct{}{}
				<-h.done
				return
			}
			h.hook(id, method, body, forward)
		})
	}
	c.submitTo(nil, taskRequest(h.task, 2*time.Second))
	id := <-h.host
	c.host(id).kill()
	assert.Assert(t, receivesInTime(fenced), "the worker was not fenced")
	close(h.release)
	c.checkFinished(h.task)
	assert.Assert(t, c.events(h.task, "start")[0].Host != id, c.history(h.task))
}

// TestHeldStartOfPausedAgent guards against a delayed start that a paused agent
// sent while its claim was valid. An operator declares the host lost, another
// host runs the task, and then the start arrives at the first worker.
func TestHeldStartOfPausedAgent(t *testing.T) {
	runParallel(t)
	c, workers := startLongHoldCluster(t)
	h := newHeldStart("ledger-late")
	for id, interceptor := range workers {
		interceptor.setHook(func(method string, body []byte, forward func()) {
			if method != "Fence" {
				h.hook(id, method, body, forward)
			}
		})
	}
	c.submitTo(nil, taskRequest(h.task, 8*time.Second))
	id := <-h.host
	paused := time.Now()
	c.host(id).pause()
	waitFor(t, readyTimeout, "the host is declared lost", func() bool {
		_, err := c.operatorClient("operations").DeclareLost(context.Background(), id, "")
		return err == nil
	})
	c.waitStart(h.task, 0)
	// A worker must refuse a start whose decision is older than the currency limit
	// of 3 s.
	time.Sleep(time.Until(paused.Add(3200 * time.Millisecond)))
	close(h.release)
	<-h.done
	c.host(id).resume()
	c.checkFinished(h.task)
	assert.Equal(t, len(c.events(h.task, "start")), 1, c.history(h.task))
}

// startLongHoldCluster starts a cluster with a long task_hold, so that no lease
// expires during a test. It returns the interceptors of the worker links.
func startLongHoldCluster(t *testing.T) (*cluster, map[string]*interceptor) {
	limits := maps.Clone(taskLimits)
	limits["task_hold"] = "1m"
	c := prepareCluster(t, options{
		hosts:    2,
		document: taskDocument,
		limits:   limits,
	})
	workers := c.interceptWorkers()
	c.startAll()
	return c, workers
}

// TestAgentAndWorkerRestarts guards against tasks that a restarted agent does not
// adopt, and against tasks that start twice after their worker restarted.
func TestAgentAndWorkerRestarts(t *testing.T) {
	runParallel(t)
	c, workers := startLongHoldCluster(t)
	setHookOnAll(workers, dropFence)
	task := c.submitTo(nil, taskRequest("ledger-adopted", 6*time.Second))
	h := c.host(c.waitStart(task, 0).Host)
	for range 2 {
		h.kill()
		h.start()
		c.waitReady(h.process)
	}
	c.checkFinished(task)
	assert.Equal(t, len(c.events(task, "start")), 1, c.history(task))

	for name, disable := range map[string]func(*host){
		"running": func(*host) {},
		"killed":  func(h *host) { h.kill() },
		"paused":  func(h *host) { h.pause() },
	} {
		task := c.submitTo(nil, taskRequest("ledger-"+name, 3*time.Second))
		h := c.host(c.waitStart(task, 0).Host)
		disable(h)
		for range 2 {
			c.setFault(emulator.Fault{
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
		c.checkFinished(task)
	}

	drained := c.submitTo(nil, taskRequest("ledger-drained", 4*time.Second))
	id := c.waitStart(drained, 0).Host
	_, err := c.operatorClient("operations").Drain(context.Background(), id, "")
	assert.NilError(t, err)
	c.checkFinished(drained)
	assert.Assert(t, c.waitStart(drained, 1).Host != id, c.history(drained))
}
