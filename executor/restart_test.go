package executor_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

// Guards against a second run of a task whose success the agent knows but has not
// recorded when the worker restarts and lists it no more.
func TestResultOutlivesWorkerRestart(t *testing.T) {
	for _, restarts := range []int{1, 2} {
		w := newWorld(t)
		w.submit("x", map[string]string{"run_ms": "2000"})
		w.claim("x", hostA)
		w.step(1)
		w.feeds[hostA].down = true
		w.step(3)
		assert.DeepEqual(t, w.events(), []string{"start a", "finish a"})
		for range restarts {
			w.fault(emulator.Fault{Host: hostA, Restart: true})
			w.agents[hostA].Reconcile(t.Context())
		}
		w.feeds[hostA].down = false
		w.step(4)
		assert.Equal(t, w.task("x").GetPhase(), finished)
		assert.Equal(t, w.task("x").GetResult(), wire.TaskResult_TASK_RESULT_SUCCEEDED)
		w.submit("y", untilStopped)
		w.claim("y", hostA)
		w.step(3)
		assert.DeepEqual(t, w.events(), []string{"start a", "finish a", "start a"})
	}
}

// Guards against a run from the beginning of a task that was checkpointed, if the
// worker restarts before the checkpoint is recorded.
func TestCheckpointOutlivesWorkerRestart(t *testing.T) {
	w := newWorld(t)
	w.submit("x", untilStopped)
	w.claim("x", hostA)
	w.step(5)
	w.evict("x")
	w.agents[hostA].Reconcile(t.Context())
	assert.DeepEqual(t, w.events(), []string{"start a", "checkpoint a", "stop a"})
	w.feeds[hostA].down = true
	w.step(1)
	w.fault(emulator.Fault{Host: hostA, Restart: true})
	w.feeds[hostA].down = false
	w.step(2)
	assert.Equal(t, w.task("x").GetPhase(), pending)
	assert.Assert(t, w.task("x").GetCheckpoint() != "")
}

// Guards against a host that never joins with the new worker boot, because the
// record of a result gets no effect that the agent sees.
func TestUnrecordedResultDelaysJoinForTaskHold(t *testing.T) {
	w := newWorld(t)
	w.submit("x", map[string]string{"run_ms": "2000"})
	w.claim("x", hostA)
	w.step(1)
	w.feeds[hostA].viewFrozen = true
	w.feeds[hostA].down = true
	w.step(3)
	joins := w.joins
	w.fault(emulator.Fault{Host: hostA, Restart: true})
	w.step(int(taskHold/time.Second) - 1)
	assert.Equal(t, w.joins, joins)
	w.step(3)
	assert.Equal(t, w.joins, joins+1)
}
