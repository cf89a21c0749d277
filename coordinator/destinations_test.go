package coordinator_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

// queueTo returns the queue of the tests as a configuration with another service has it.
func queueTo(name string, version int64) *wire.Queue {
	queue := defaultQueue()
	queue.Service = name
	queue.ConfigVersion = version
	return queue
}

// publishTo puts a configuration in force that sends the queue to a service.
func (f *testFleet) publishTo(name string, version int64) {
	f.operations.publish(version, queueTo(name, version))
}

// Guards against an accepted job that waits for good, because its queue had a service
// without executors when it was accepted.
func TestAcceptedJobFollowsItsQueue(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(f *testFleet){
		"another service":         func(f *testFleet) { f.publishTo(service, 5) },
		"removed and added again": func(f *testFleet) { f.operations.publish(5); f.pass(heldBackFor); f.publishTo(service, 7) },
		"with a new leader":       func(f *testFleet) { f.killEntry(f.leader()); f.publishTo(service, 5) },
		"before a new leader, then removed": func(f *testFleet) {
			f.publishTo(service, 5)
			f.pass(heldBackFor)
			f.operations.publish(7)
			f.pass(heldBackFor)
			f.killEntry(f.leader())
		},
		"by a leader that is behind with the next version": func(f *testFleet) {
			f.publishTo(service, 7)
			f.pass(heldBackFor)
			f.killEntry(f.leader())
			f.publishTo("reserve", 3)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, 2, 0, fixedRunTime(50*time.Millisecond))
			f.publishTo("reserve", 3)
			leader := f.leader()
			f.submitTo(leader, queueTo("reserve", 3), &wire.Job{Id: jobID, Steps: steps(4, 1)})
			f.pass(heldBackFor)
			change(f)
			f.hosts = append(f.hosts, f.newHost("host-0"))
			f.startAgent(f.hosts[0])
			f.waitSucceeded(f.leader(), jobID)
		})
	}
}

// Guards against tasks that start by an older configuration than the one by which their
// job was accepted: the leader is behind the entry.
func TestJobOfALaterConfigurationThanTheLeaders(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 0, fixedRunTime(-1))
	f.publishTo("reserve", 3)
	leader := f.leader()
	reserve, planning := newManualAgent(t, leader, "host-0"), newManualAgent(t, leader, "host-1")
	reserveInfo, planningInfo := executorInfo("executor-0", 1), executorInfo("executor-1", 1)
	reserveInfo.Service = "reserve"
	reserve.open(f, "s.1", reserveInfo)
	planning.open(f, "s.1", planningInfo)
	f.submitTo(leader, queueTo(service, 5), oneTask())
	f.waitFor("start on the later service", func() bool {
		started, _ := runsIn(planning.pollOrders("s.1", planningInfo))
		return slices.Contains(started, 1)
	})
	started, _ := runsIn(reserve.send(reserve.request("s.1", reserveInfo)).GetOrders())
	assert.Equal(t, len(started), 0)
}

// Guards against a run in progress that is stopped because its queue got another service,
// and against a next run or a later step by the service of before.
func TestJobInProgressFollowsItsQueue(t *testing.T) {
	t.Parallel()
	for name, step := range map[string]*wire.JobStep{
		"long-running": {Count: 1, LongRunning: true, Resources: &wire.Resources{Millicores: 100}},
		"finite":       {Count: 1, Resources: &wire.Resources{Millicores: 100}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, 1, 0, fixedRunTime(-1))
			leader := f.leader()
			before, after := newManualAgent(t, leader, "host-0"), newManualAgent(t, leader, "host-1")
			beforeInfo, afterInfo := executorInfo("executor-0", 1), executorInfo("executor-1", 1)
			afterInfo.Service = "other"
			before.open(f, "s.1", beforeInfo)
			after.open(f, "s.1", afterInfo)
			f.submit(leader, &wire.Job{Id: jobID, Steps: []*wire.JobStep{step}})
			f.waitFor("start", func() bool {
				started, _ := runsIn(before.pollOrders("s.1", beforeInfo))
				return slices.Contains(started, 1)
			})
			f.publishTo("other", 5)
			for range 5 {
				listed := before.request("s.1", beforeInfo)
				listed.HasRunning = true
				listed.Running = []*wire.TaskRun{{Task: olderRunTask, Run: 1}}
				_, stopped := runsIn(before.send(listed).GetOrders())
				assert.Equal(t, len(stopped), 0, "stopped %v", stopped)
				time.Sleep(heldBackFor / 5)
			}
			ended := before.request("s.1", beforeInfo)
			ended.HasRunning = true
			ended.Ends = []*wire.RunEnd{{
				Number: 1,
				Task:   olderRunTask,
				Run:    1,
				Cause:  wire.EndCause_END_CAUSE_FAILED,
			}}
			before.send(ended)
			f.waitFor("next run on the other service", func() bool {
				started, _ := runsIn(after.pollOrders("s.1", afterInfo))
				return slices.Contains(started, 2)
			})
			started, _ := runsIn(before.send(before.request("s.1", beforeInfo)).GetOrders())
			assert.Assert(t, !slices.Contains(started, 2))
		})
	}
}

// Guards against a start that a new leader repeats on the service of before.
func TestStartIsNotRepeatedOnTheServiceOfBefore(t *testing.T) {
	t.Parallel()
	o := newOrderedBefore(t, oneTask())
	o.f.publishTo("other", 5)
	started, stopped := o.orders()
	assert.Equal(t, len(started), 0, "started %v", started)
	assert.DeepEqual(t, stopped, []int32{1})
}

// Guards against steps that wait for tickets of executors on which they don't start any
// more, or that nobody gives: the queue gets another service, or admission advice begins or
// ends to be required.
func TestAdmissionAdviceFollowsTheQueue(t *testing.T) {
	t.Parallel()
	advised := func(name string, version int64) *wire.Queue {
		queue := queueTo(name, version)
		queue.Advice = &wire.AdvicePolicy{}
		return queue
	}
	t.Run("another service", func(t *testing.T) {
		t.Parallel()
		f := newTestFleet(t, 1, 1, fixedRunTime(10*time.Millisecond))
		f.advisor.host = "host-0"
		f.advisor.validFor = time.Hour
		f.operations.publish(3, advised("reserve", 3))
		leader := f.leader()
		reserve, info := newManualAgent(t, leader, "host-1"), executorInfo("executor-1", 1)
		info.Service = "reserve"
		reserve.open(f, "s.1", info)
		f.submitTo(leader, advised("reserve", 3), oneTask())
		f.waitFor("advice", func() bool { return f.advisor.calls.Load() > 0 })
		f.operations.publish(5, advised(service, 5))
		f.waitSucceeded(leader, jobID)
	})
	t.Run("required no more", func(t *testing.T) {
		t.Parallel()
		f := newTestFleet(t, 1, 1, fixedRunTime(10*time.Millisecond))
		f.advisor.host = "none"
		f.operations.publish(3, advised(service, 3))
		f.submitTo(f.leader(), advised(service, 3), oneTask())
		f.pass(heldBackFor)
		f.publishTo(service, 5)
		f.waitSucceeded(f.leader(), jobID)
	})
	t.Run("required", func(t *testing.T) {
		t.Parallel()
		f := newTestFleet(t, 1, 0, fixedRunTime(10*time.Millisecond))
		f.advisor.host = "host-0"
		f.submit(f.leader(), oneTask())
		f.operations.publish(5, advised(service, 5))
		f.hosts = append(f.hosts, f.newHost("host-0"))
		f.startAgent(f.hosts[0])
		f.waitSucceeded(f.leader(), jobID)
		assert.Assert(t, f.advisor.calls.Load() > 0)
	})
}

// Guards against a load estimate, or a preview, by the service of before.
func TestLoadAndPreviewFollowTheQueue(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 1, fixedRunTime(-1))
	f.publishTo("reserve", 3)
	leader := f.leader()
	f.submitTo(leader, queueTo("reserve", 3), &wire.Job{Id: jobID, Steps: estimatedSteps(40, time.Second)})
	serviceOfLoad := func() string {
		for _, queue := range leader.coordinator.LoadEstimate().GetQueues() {
			return queue.GetService()
		}
		return ""
	}
	f.waitFor("load of the first service", func() bool { return serviceOfLoad() == "reserve" })
	f.publishTo(service, 5)
	f.waitFor("load of the second service", func() bool { return serviceOfLoad() == service })
	f.waitFor("starts", func() bool { return f.hosts[0].executor.Running() == 16 })
	f.waitFor("a step that waits", func() bool { return leader.coordinator.WaitingSteps() == 1 })
	response, err := previewJob(t, leader, "previews", steps(1))
	assert.NilError(t, err)
	assert.Equal(t, response.GetPreview().GetService(), service)
	assert.Equal(t, response.GetPreview().GetSteps()[0].GetStepsWaiting(), int32(1))
}
