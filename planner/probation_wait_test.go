package planner_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracker"
)

// calmWait is the time after a crash from which a job that has nothing running
// although there is room counts as lost: 4 s until the fleet is calm, 3 s of waiting.
const calmWait = 7 * time.Second

// Guards against healthy tasks that were lost in one crash and wait for their
// probation one after another, while nearly all capacity is free.
func TestSuspectedTasksOfOneCrashStartInTime(t *testing.T) {
	for _, hosts := range []int{1, 4, 7, 8} {
		var jobs []*tracker.Job
		for i := range 15 {
			jobs = append(jobs, suspectedJob(strconv.Itoa(i), 1))
		}
		waiting, now := len(jobs), planTime
		for ; waiting > 0 && now < planTime+time.Minute; now += 50 * time.Millisecond {
			var fleet []*planner.Host
			for i := range hosts {
				fleet = append(fleet, hostWithTasks(strconv.Itoa(i), now, jobs...))
			}
			for _, a := range (&planner.Planner{}).Plan(readyGroups(jobs...), fleet) {
				a.Task.Assign(a.Host.Key, a.Host.Name, a.Run, now)
				waiting--
			}
		}
		assert.Check(t, now-planTime <= calmWait, "%d hosts: the last task started %s after the crash", hosts, now-planTime)
	}
}

// hostWithTasks returns a host of 16 processors as of now, with the tasks of the
// jobs that are assigned to it.
func hostWithTasks(name string, now time.Duration, jobs ...*tracker.Job) *planner.Host {
	host := newHost(name, 16)
	host.ProbationFrom = now - planner.ProbationTime
	for _, j := range jobs {
		j.EachTask(func(task *tracker.Task) {
			if task.Executor() == host.Key {
				host.AddAssigned(task)
			}
		})
	}
	return host
}

// Guards against healthy tasks that wait while suspected ones occupy the only host
// of the service one after another.
func TestSuspectedTasksLeaveTheOnlyHostToOthers(t *testing.T) {
	suspects, healthy := suspectedJob("1", 15), newJob("2", 0, ordinary(1, 100))
	p := &planner.Planner{}
	for now := planTime; now < planTime+calmWait; now += 50 * time.Millisecond {
		host := hostWithTasks("a", now, suspects)
		for _, a := range p.Plan(readyGroups(healthy, suspects), []*planner.Host{host}) {
			if a.Task.Job() == healthy {
				return
			}
			a.Task.Assign(host.Key, host.Name, a.Run, now)
		}
	}
	t.Errorf("a healthy task of a more urgent job did not start within %s", calmWait)
}

// Guards against tasks that are preempted for a suspected task that may not start
// yet, because other suspected tasks have the hosts in probation.
func TestNoPreemptionForTaskThatWaitsForProbation(t *testing.T) {
	p := &planner.Planner{}
	probed, full := hostAt("a", 8), hostAt("b", 1)
	probed.AddAssigned(assignedTo(suspectedJob("1", 1), "a", 100*time.Millisecond))
	filler := newJob("2", 5, ordinary(1, 1000))
	full.AddAssigned(assignedTo(filler, "b", time.Minute))
	hosts := []*planner.Host{probed, full}
	groups := readyGroups(suspectedJob("3", 1))
	assert.Equal(t, len(p.Plan(groups, hosts)), 0)
	// The only host that may be in probation is: a start after this stop is refused
	// in the next cycle as well.
	victims := p.Preempt(groups[0], groups[0].First(), hosts, planTime)
	assert.Equal(t, len(victims), 0)
}

// Guards against a task that lasts and waits while suspected tasks have the only host with
// capacity for it in probation, one after another.
func TestTaskThatLastsWaitsForOneProbationOnly(t *testing.T) {
	suspects, lasting := suspectedJob("1", 15), newJob("2", 0, ordinary(1, 6000))
	lasting.Spec().GetSteps()[0].LongRunning = true
	full := newJob("3", 0, ordinary(3, 15_900))
	for i, name := range []string{"b", "c", "d"} {
		full.Task(tracker.TaskID{Job: "3", Index: i}).Assign(newHost(name, 16).Key, name, 1, 0)
	}
	p := &planner.Planner{}
	for now := planTime; now <= planTime+planner.ProbationTime+50*time.Millisecond; now += 50 * time.Millisecond {
		var fleet []*planner.Host
		for _, name := range []string{"a", "b", "c", "d"} {
			fleet = append(fleet, hostWithTasks(name, now, suspects, full))
		}
		groups := readyGroups(suspects)
		if now > planTime {
			groups = readyGroups(lasting, suspects)
		}
		for _, a := range p.Plan(groups, fleet) {
			if a.Task.Job() == lasting {
				return
			}
			a.Task.Assign(a.Host.Key, a.Host.Name, a.Run, now)
		}
	}
	t.Error("the task that lasts did not start after the first probation")
}
