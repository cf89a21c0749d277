package executor_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/connector"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

const (
	pending  = wire.TaskPhase_TASK_PHASE_PENDING
	claimed  = wire.TaskPhase_TASK_PHASE_CLAIMED
	finished = wire.TaskPhase_TASK_PHASE_FINISHED
)

// untilStopped are the parameters of a task that runs until it is stopped.
var untilStopped = map[string]string{}

// Guards against a second start after a lost response, and after a restart of
// the agent, which has to adopt the task and renew its lease.
func TestStartsOnceAndAdoptsAfterRestart(t *testing.T) {
	w := newWorld(t)
	w.submit("x", untilStopped)
	w.claim("x", hostA)
	w.fault(emulator.Fault{Host: hostA, LoseResponses: 1})
	w.step(3)
	w.startAgent(hostA)
	w.step(100)
	assert.DeepEqual(t, w.events(), []string{"start a"})
	assert.Equal(t, w.task("x").GetPhase(), claimed)
}

// pausingWorker calls each hook once, before or after a call of the agent, to
// simulate a pause of the agent there.
type pausingWorker struct {
	damaskspread.WorkerClient
	beforeStart  func()
	beforeStatus func()
	afterStatus  func()
}

func runOnce(hook *func()) {
	if *hook != nil {
		(*hook)()
		*hook = nil
	}
}

func (p *pausingWorker) Start(ctx context.Context, order *wire.StartRequest) (*wire.WorkerTask, error) {
	runOnce(&p.beforeStart)
	return p.WorkerClient.Start(ctx, order)
}

func (p *pausingWorker) Status(ctx context.Context) (*wire.StatusResponse, error) {
	runOnce(&p.beforeStatus)
	status, err := p.WorkerClient.Status(ctx)
	runOnce(&p.afterStatus)
	return status, err
}

// Guards against an agent that resumes after a pause and starts a task in a
// zone that was taken out of service during the pause.
func TestPausedAgentStartsNothing(t *testing.T) {
	for _, place := range []string{"before the status", "after the status", "before the start"} {
		t.Run(place, func(t *testing.T) {
			w := newWorld(t)
			pause := func() {
				w.setZone(false)
				w.clock.Advance(currencyLimit + time.Second)
			}
			paused := &pausingWorker{WorkerClient: w.agents[hostA].Worker}
			switch place {
			case "before the status":
				paused.beforeStatus = pause
			case "after the status":
				paused.afterStatus = pause
			default:
				paused.beforeStart = pause
			}
			w.agents[hostA].Worker = paused
			w.submit("x", untilStopped)
			w.claim("x", hostA)
			w.agents[hostA].Reconcile(t.Context())
			assert.Equal(t, len(w.events()), 0)
			w.step(3)
			assert.Equal(t, len(w.events()), 0)
			assert.Equal(t, w.task("x").GetPhase(), pending)
			assert.Equal(t, w.task("x").GetReason(), string(damaskspread.ReasonZoneOut))
		})
	}
}

// Guards against an eviction that is lost or applied twice when the agent
// crashes between the stop and the TaskEvicted record.
func TestAgentCrashBeforeEvictionRecord(t *testing.T) {
	w := newWorld(t)
	w.submit("x", map[string]string{"run_ms": "10000"})
	w.claim("x", hostA)
	w.step(5)
	w.evict("x")
	w.agents[hostA].Reconcile(t.Context())
	assert.DeepEqual(t, w.events(), []string{"start a", "checkpoint a", "stop a"})
	w.startAgent(hostA)
	w.feeds[hostA].losesResponses = true
	w.step(6)
	assert.Equal(t, w.task("x").GetPhase(), pending)
	assert.Equal(t, w.task("x").GetEvictions(), int32(1))
	w.claim("x", hostB)
	w.step(8)
	assert.DeepEqual(t, w.events(), []string{"start a", "checkpoint a", "stop a", "start b", "finish b"})
	events := w.platform.History().Events
	assert.Equal(t, events[3].ProgressMs, events[1].ProgressMs)
	assert.Equal(t, w.task("x").GetResult(), wire.TaskResult_TASK_RESULT_SUCCEEDED)
}

// Guards against claims that stay on a worker that lost their tasks in a restart,
// also if the host does not join again.
func TestWorkerRestart(t *testing.T) {
	for _, joins := range []bool{true, false} {
		t.Run(fmt.Sprintf("joins=%v", joins), func(t *testing.T) {
			w := newWorld(t)
			if !joins {
				w.agents[hostA].OnBoot = nil
			}
			w.submit("x", untilStopped)
			w.claim("x", hostA)
			w.step(1)
			w.fault(emulator.Fault{Host: hostA, Restart: true})
			w.step(1)
			assert.Equal(t, w.task("x").GetPhase(), pending)
			assert.Equal(t, w.task("x").GetAttempt(), int32(2))
			w.step(12)
			w.claim("x", hostB)
			w.step(1)
			assert.DeepEqual(t, w.events(), []string{"start a", "lost a", "start b"})
		})
	}
}

// Guards against a task that keeps running without a valid claim.
func TestStopsUnclaimedTask(t *testing.T) {
	w := newWorld(t)
	w.submit("x", untilStopped)
	w.claim("x", hostA)
	w.step(1)
	w.release(hostA, wire.ReleaseReason_RELEASE_REASON_DECLARED_LOST)
	w.feeds[hostA].join()
	w.step(1)
	assert.DeepEqual(t, w.events(), []string{"start a", "stop a"})
}

// Guards against a start of a claim that was rejected, and against claims that
// wait forever on a worker that refuses them.
func TestRejectsClaimThatCannotStart(t *testing.T) {
	w := newWorld(t)
	worker := &connector.Worker{Address: w.platform.WorkerURL(hostA)}
	_, err := worker.Start(t.Context(), &wire.StartRequest{
		Boot:         hostA + "-boot-1",
		Spec:         &wire.TaskSpec{Task: "foreign", Resources: &wire.Resources{Millicores: 900}},
		Token:        1 << 40,
		LeaseUntilUs: time.Hour.Microseconds(),
		NotAfterUs:   time.Hour.Microseconds(),
	})
	assert.NilError(t, err)
	w.submit("x", untilStopped)
	w.claim("x", hostA)
	token := damaskspread.Token(w.task("x").GetToken())
	w.step(8)
	assert.Equal(t, w.task("x").GetPhase(), claimed)
	w.step(6)
	assert.Equal(t, w.task("x").GetPhase(), pending)
	assert.Equal(t, w.task("x").GetAttempt(), int32(2))
	assert.Assert(t, w.task("x").GetReason() != "")
	_, err = worker.Stop(t.Context(), hostA+"-boot-1", "foreign", 1<<40)
	assert.NilError(t, err)
	task, err := worker.Start(t.Context(), &wire.StartRequest{
		Boot:  hostA + "-boot-1",
		Spec:  w.task("x").GetSpec(),
		Token: token,
	})
	assert.NilError(t, err)
	assert.Equal(t, task.GetPhase(), wire.WorkerTaskPhase_WORKER_TASK_PHASE_STOPPED)
	// Both events belong to the task "foreign".
	assert.DeepEqual(t, w.events(), []string{"start a", "stop a"})
}

// Guards against a retry after a failure of the job, no retry after a failure of
// the worker, and a cancellation that does not stop the task.
func TestReportsResults(t *testing.T) {
	tests := []struct {
		name       string
		parameters map[string]string
		fault      emulator.Fault
		cancel     bool
		phase      wire.TaskPhase
		result     wire.TaskResult
	}{
		{name: "success", parameters: map[string]string{"run_ms": "1000"}, phase: finished, result: wire.TaskResult_TASK_RESULT_SUCCEEDED},
		{name: "job fails", parameters: map[string]string{"run_ms": "1000", "fail": "exit 1"}, phase: finished, result: wire.TaskResult_TASK_RESULT_FAILED},
		{name: "worker fails", fault: emulator.Fault{FailStarts: true}, phase: pending},
		{name: "canceled", cancel: true, phase: finished, result: wire.TaskResult_TASK_RESULT_CANCELED},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t)
			test.fault.Host = hostA
			w.fault(test.fault)
			w.submit("x", test.parameters)
			w.claim("x", hostA)
			w.step(1)
			if test.cancel {
				w.apply(&wire.Record{Body: &wire.Record_CancelRequested{CancelRequested: &wire.CancelRequested{Task: "x"}}})
			}
			w.step(4)
			assert.Equal(t, w.task("x").GetPhase(), test.phase)
			assert.Equal(t, w.task("x").GetResult(), test.result)
			assert.Equal(t, len(w.events()), 2)
		})
	}
}

// Guards against a planned stop of the agent that interrupts tasks, and a drain
// of the host that leaves tasks running or loses their progress.
func TestStopLeavesTasksAndDrainEvictsThem(t *testing.T) {
	w := newWorld(t)
	w.submit("x", untilStopped)
	w.claim("x", hostA)
	startRun := func() *tomb.Tomb {
		var tb tomb.Tomb
		tb.Go(func() error { return w.agents[hostA].Run(&tb) })
		return &tb
	}
	waitFor := func(condition func() bool) {
		deadline := time.Now().Add(20 * time.Second)
		for !condition() {
			assert.Assert(t, time.Now().Before(deadline), "condition not met within 20 s")
			w.clock.Advance(50 * time.Millisecond)
			time.Sleep(2 * time.Millisecond)
		}
	}
	first := startRun()
	waitFor(func() bool { return len(w.events()) == 1 })
	first.Kill(nil)
	assert.NilError(t, first.Wait())
	assert.DeepEqual(t, w.events(), []string{"start a"})

	w.startAgent(hostA)
	second := startRun()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- w.agents[hostA].Drain(ctx) }()
	waitFor(func() bool { return len(drained) == 1 })
	assert.NilError(t, <-drained)
	second.Kill(nil)
	assert.NilError(t, second.Wait())
	assert.DeepEqual(t, w.events(), []string{"start a", "checkpoint a", "stop a"})
	assert.Equal(t, w.task("x").GetPhase(), pending)
	assert.Assert(t, w.task("x").GetCheckpoint() != "")
}

// Guards against batch tasks that use more than their share of processors, which
// a service needs.
func TestThrottlesBatchTasks(t *testing.T) {
	w := newWorld(t)
	w.agents[hostA].BatchShare = func() int { return 250 }
	w.submit("x", untilStopped)
	w.claim("x", hostA)
	w.step(3)
	samples := w.agents[hostA].Usage()
	assert.Equal(t, len(samples), 1)
	assert.Equal(t, samples[0].GetMillicores(), int64(100))
	// Guards against a task that stays throttled after the limit is lifted.
	w.agents[hostA].BatchShare = func() int { return 0 }
	w.step(3)
	assert.Equal(t, w.agents[hostA].Usage()[0].GetMillicores(), int64(400))
}

// Guards against the loss of a long task's entire progress when its host fails
// without notice.
func TestPeriodicCheckpoints(t *testing.T) {
	w := newWorld(t)
	w.agents[hostA].CheckpointEvery = 3 * time.Second
	w.submit("x", map[string]string{"run_ms": "60000"})
	w.claim("x", hostA)
	for range 12 {
		w.clock.Advance(time.Second)
		w.step(1)
	}
	first := w.task("x").GetCheckpoint()
	assert.Assert(t, first != "")
	w.platform.SetFault(emulator.Fault{
		Target:  "worker",
		Host:    hostA,
		Restart: true,
	})
	w.step(6)
	w.claim("x", hostB)
	w.step(3)
	events := w.platform.History().Events
	last := events[len(events)-1]
	assert.Equal(t, last.Kind, "start")
	assert.Assert(t, last.ProgressMs >= 9_000-3_000, "task resumed at a progress of %d ms", last.ProgressMs)
}
