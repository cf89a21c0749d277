package e2e_test

import (
	"fmt"
	"maps"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/emulator"
)

// restartWorker restarts a worker and waits until its agent has noticed.
func (c *cluster) restartWorker(host string, reads *atomic.Int64) {
	c.t.Helper()
	c.setFault(emulator.Fault{
		Target:  "worker",
		Host:    host,
		Restart: true,
	})
	c.waitReads(reads)
}

// waitReads waits for three reads of a status, of which two began since the call.
func (c *cluster) waitReads(reads *atomic.Int64) {
	c.t.Helper()
	before := reads.Load()
	waitFor(c.t, settleTimeout, "the agent reads the status", func() bool { return reads.Load() >= before+3 })
}

// TestReadResultOutlivesWorkerRestarts guards against a second run of a task whose
// end its agent has read but could not record, because it reached no entry, before
// the worker restarted and forgot it.
func TestReadResultOutlivesWorkerRestarts(t *testing.T) {
	runParallel(t)
	c, workers := startLongHoldCluster(t)
	task := c.submitTo(nil, taskRequest("ledger-read", 2*time.Second))
	host := c.waitStart(task, 0).Host
	var reads atomic.Int64
	workers[host].setHook(func(method string, body []byte, forward func()) {
		dropFence(method, body, forward)
		if method == "Status" {
			reads.Add(1)
		}
	})
	for _, e := range c.entries {
		c.proxies.refuse("sync/" + host + "/" + e.name)
	}
	c.waitFinished(task)
	c.waitReads(&reads)
	for range 2 {
		c.restartWorker(host, &reads)
	}
	for _, e := range c.entries {
		c.proxies.restore("sync/" + host + "/" + e.name)
	}
	c.checkFinished(task)
	assert.Equal(t, len(c.events(task, "finish")), 1, c.history(task))
}

// TestUnreadResultIsLostWithItsWorker guards against a task that is never run again
// after the worker restarted before its agent could read that the task had ended.
func TestUnreadResultIsLostWithItsWorker(t *testing.T) {
	runParallel(t)
	c, workers := startLongHoldCluster(t)
	task := c.submitTo(nil, taskRequest("ledger-unread", 2*time.Second))
	host := c.waitStart(task, 0).Host
	workers[host].setHook(func(method string, _ []byte, forward func()) {
		if method != "Status" {
			forward()
		}
	})
	waitFor(t, settleTimeout, "the task ends", func() bool { return len(c.events(task, "finish")) == 1 })
	c.setFault(emulator.Fault{
		Target:  "worker",
		Host:    host,
		Restart: true,
	})
	workers[host].setHook(nil)
	c.checkFinished(task)
	assert.Equal(t, len(c.events(task, "finish")), 2, c.history(task))
}

// TestReleaseKeepsResultsThatNobodyRead guards against a second run of tasks that ended
// while their agent could not reach the worker. The agent dies when the worker can be
// reached again, so the host is still a member when its task_hold has passed.
func TestReleaseKeepsResultsThatNobodyRead(t *testing.T) {
	runParallel(t)
	limits := maps.Clone(taskLimits)
	limits["task_hold"] = "6s"
	limits["member_hold"] = "6s"
	c := prepareCluster(t, options{
		hosts:    2,
		document: taskDocument,
		limits:   limits,
	})
	c.startAll()
	// An entry releases no host until it has been current for 10 s.
	time.Sleep(10 * time.Second)
	var tasks []string
	for i := range 4 {
		tasks = append(tasks, c.submitTo(nil, taskRequest(fmt.Sprintf("ledger-%d", i), 3*time.Second)))
	}
	host := c.waitStart(tasks[0], 0).Host
	for _, task := range tasks {
		c.waitStart(task, 0)
	}
	c.proxies.refuse("worker/" + host)
	time.Sleep(4 * time.Second)
	c.host(host).kill()
	c.proxies.restore("worker/" + host)
	c.checkFinished(tasks...)
	for _, task := range tasks {
		assert.Equal(t, len(c.events(task, "start")), 1, c.history(task))
	}
}
