package scheduler_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

// Guards against tasks that fail on every host and get healthy workers
// quarantined.
func TestFailingTasksDoNotQuarantineWorkers(t *testing.T) {
	c := newCluster(1, nil)
	for h := range 6 {
		c.join(fmt.Sprint("h", h), "z", 16_000, 60)
	}
	for round := range 40 {
		for i := range 12 {
			c.submit(spec(fmt.Sprint("good", round, "-", i), false, 1_000, 1))
		}
		if round == 5 {
			for i := range 6 {
				c.submit(spec(fmt.Sprint("bad", i), false, 1_000, 1))
			}
		}
		for range 5 {
			c.step(tick)
		}
		for _, task := range c.claims() {
			id, result := task.GetSpec().GetTask(), wire.TaskResult_TASK_RESULT_SUCCEEDED
			if strings.HasPrefix(id, "bad") {
				result = wire.TaskResult_TASK_RESULT_FAILED
			}
			c.finish(id, result)
		}
	}
	for i := range 6 {
		bad := c.task(fmt.Sprint("bad", i))
		assert.Equal(t, bad.GetPhase(), finished)
		assert.Assert(t, strings.Contains(bad.GetDetail(), "failed on"), bad.GetDetail())
		assert.Assert(t, bad.GetFailures() <= 5)
	}
	// Every host still gets tasks.
	for i := range 60 {
		c.submit(spec(fmt.Sprint("last", i), false, 1_000, 1))
	}
	c.step(tick)
	hosts := map[string]bool{}
	for _, task := range c.claims() {
		hosts[task.GetHost()] = true
	}
	assert.Equal(t, len(hosts), 6)
}

// Guards against a worker that fails every task and keeps getting tasks, and
// against a quarantined worker that is never probed again after its repair.
func TestFailingWorkerIsQuarantinedAndProbed(t *testing.T) {
	c := newCluster(1, nil)
	for h := range 4 {
		c.join(fmt.Sprint("h", h), "z", 16_000, 60)
	}
	failures, repaired, afterRepair := 0, false, 0
	for round := range 600 {
		repaired = round >= 300
		c.submit(spec(fmt.Sprint("t", round), false, 4_000, 1))
		c.submit(spec(fmt.Sprint("s", round), false, 4_000, 1))
		for range 10 {
			c.step(tick)
		}
		for _, task := range c.claims() {
			result := wire.TaskResult_TASK_RESULT_SUCCEEDED
			if task.GetHost() == "h0" && !repaired {
				result = wire.TaskResult_TASK_RESULT_FAILED
				failures++
			}
			if task.GetHost() == "h0" && repaired {
				afterRepair++
			}
			c.finish(task.GetSpec().GetTask(), result)
		}
	}
	// Three failures quarantine the worker. The probes after 30, 60 and 120 s fail
	// as well, and the probe after another 240 s meets the repaired worker.
	assert.Assert(t, failures >= 4 && failures <= 8, "%d failures", failures)
	assert.Assert(t, afterRepair > 0)
	for round := range 600 {
		assert.Equal(t, c.task(fmt.Sprint("t", round)).GetResult(), wire.TaskResult_TASK_RESULT_SUCCEEDED)
	}
}

// Guards against a restarted entry that forgets the quarantine of a worker, and
// against a worker that stays quarantined after its own restart.
func TestQuarantineAfterEntryAndWorkerRestarts(t *testing.T) {
	c := newCluster(1, nil)
	c.join("h0", "z", 16_000, 60)
	for i := range 3 {
		c.submit(spec(fmt.Sprint("t", i), false, 1_000, 1))
	}
	c.step(tick)
	for i := range 3 {
		c.finish(fmt.Sprint("t", i), wire.TaskResult_TASK_RESULT_FAILED)
	}
	fresh := newCluster(1, nil)
	fresh.state, fresh.now, fresh.offset = c.state, c.now, c.offset
	fresh.planners[0].Reload(c.state, c.now)
	fresh.step(tick)
	assert.Equal(t, len(fresh.claims()), 0)
	e, _ := fresh.planners[0].Explain(fresh.state, "t0")
	assert.Equal(t, string(e.Binding), "quarantine")
	fresh.apply(&wire.Record{Body: &wire.Record_HostJoined{HostJoined: &wire.HostJoined{Spec: &wire.HostSpec{
		Host:        "h0",
		Incarnation: "next",
		WorkerBoot:  "next",
		Zone:        "z",
		Capacity:    &wire.Resources{Millicores: 16_000, MemoryBytes: 60 << 30},
	}}}})
	for range 5 {
		fresh.step(tick)
	}
	assert.Equal(t, len(fresh.claims()), 3)
}
