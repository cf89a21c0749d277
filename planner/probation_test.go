package planner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracker"
)

const planTime = time.Hour

// suspectedJob returns a job whose tasks were lost in a crash on a host "crashed".
func suspectedJob(id string, tasks int32) *tracker.Job {
	j := newJob(id, 1, ordinary(tasks, 1000))
	for _, task := range waitingTasks(j.Ready(0)[0]) {
		task.Assign(tracker.ExecutorKey{ID: "crashed"}, "crashed", 1, time.Second)
		task.Expose(1)
		task.Lose()
	}
	return j
}

// hostAt returns a host as of planTime.
func hostAt(name string, cores int64) *planner.Host {
	host := newHost(name, cores)
	host.ProbationFrom = planTime - planner.ProbationTime
	return host
}

// assignedTo returns a task that was assigned to the host some time ago.
func assignedTo(j *tracker.Job, name string, ago time.Duration) *tracker.Task {
	task := j.Ready(0)[0].First()
	task.Assign(tracker.ExecutorKey{ID: name}, name, task.Run()+1, planTime-ago)
	return task
}

// Guards against suspected tasks that start together, or together with others, so
// that the next crash points at none of them and all are lost again.
func TestSuspectedTasksStartApart(t *testing.T) {
	p := &planner.Planner{}
	hosts := []*planner.Host{}
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		hosts = append(hosts, hostAt(name, 8))
	}
	suspectedGroups := readyGroups(suspectedJob("1", 5))
	plan := p.Plan(append(readyGroups(newJob("0", 0, ordinary(20, 1000))), suspectedGroups...), hosts)
	tasks := map[string]int{}
	suspects := map[string]int{}
	for _, a := range plan {
		tasks[a.Host.Name]++
		if a.Task.Crashes() > 0 {
			suspects[a.Host.Name]++
		}
	}
	assert.Equal(t, len(suspects), 2, "%v", suspects)
	for name := range suspects {
		assert.Equal(t, tasks[name], 1, "%v", tasks)
	}
	assert.Equal(t, len(plan), 22)
	waiting := waitingTasks(suspectedGroups[0])[4]
	assert.DeepEqual(t, p.Obstacles(suspectedGroups[0], waiting, hosts), map[planner.Obstacle]int{planner.ObstacleProbation: len(hosts)})
}

// Guards against a task that is placed beside a suspected one in its probation, and
// against a host that stays closed after it.
func TestHostInProbation(t *testing.T) {
	for _, c := range []struct {
		ago   time.Duration
		tasks int
	}{
		{ago: 100 * time.Millisecond, tasks: 0},
		{ago: planner.ProbationTime + time.Millisecond, tasks: 4},
	} {
		p := &planner.Planner{}
		host := hostAt("a", 8)
		host.AddAssigned(assignedTo(suspectedJob("1", 1), "a", c.ago))
		plan := p.Plan(readyGroups(newJob("2", 0, ordinary(4, 1000))), []*planner.Host{host})
		assert.Equal(t, len(plan), c.tasks, "%s", c.ago)
		host = hostAt("a", 8)
		host.AddAssigned(assignedTo(suspectedJob("1", 1), "a", c.ago))
		plan = p.Plan(readyGroups(suspectedJob("3", 1)), []*planner.Host{host})
		assert.Equal(t, len(plan), min(c.tasks, 1), "%s", c.ago)
	}
}

// Guards against a suspected task that goes where much work is lost with it, where
// tasks have just started, or where it was before.
func TestHostOfSuspectedTask(t *testing.T) {
	chosen := func(hosts ...*planner.Host) string {
		p := &planner.Planner{}
		plan := p.Plan(readyGroups(suspectedJob("1", 1)), hosts)
		assert.Equal(t, len(plan), 1)
		return plan[0].Host.Name
	}
	// with returns a host with one task that was assigned some time ago.
	with := func(name string, ago time.Duration, millicores int64) *planner.Host {
		host := hostAt(name, 8)
		host.AddAssigned(assignedTo(newJob("2", 0, ordinary(1, millicores)), name, ago))
		return host
	}
	long := func() *planner.Host { return with("a", 20*time.Second, 1000) }
	short := func() *planner.Host { return with("b", time.Second, 4000) }
	assert.Equal(t, chosen(long(), short()), "b")
	assert.Equal(t, chosen(long(), with("c", 10*time.Millisecond, 100)), "a")
	assert.Equal(t, chosen(hostAt("crashed", 8), short()), "b")
	assert.Equal(t, chosen(hostAt("crashed", 8)), "crashed")
}

// Guards against a suspected task that waits without end, because tasks of more
// urgent jobs take what comes free on the hosts in each cycle.
func TestSuspectedTaskDoesNotStarve(t *testing.T) {
	p := &planner.Planner{}
	host := hostAt("a", 1)
	host.AddAssigned(assignedTo(newJob("1", 0, ordinary(1, 1000)), "a", time.Second))
	groups := readyGroups(newJob("2", 0, ordinary(50, 1000)), suspectedJob("3", 1))
	assert.Equal(t, len(p.Plan(groups, []*planner.Host{host})), 0)
	plan := p.Plan(groups, []*planner.Host{hostAt("a", 1)})
	assert.Equal(t, len(plan), 1)
	assert.Equal(t, plan[0].Task.Crashes(), int32(1))
	// One host is enough, also while others start there all the time.
	busy := hostAt("b", 8)
	busy.AddAssigned(assignedTo(newJob("4", 0, ordinary(1, 1000)), "b", time.Millisecond))
	plan = p.Plan(groups, []*planner.Host{busy})
	assert.Equal(t, len(plan), 1)
	assert.Equal(t, plan[0].Task.Crashes(), int32(1))
}

// Guards against a suspected gang that can't start: its members start together.
func TestSuspectedGangStarts(t *testing.T) {
	step := ordinary(6, 1000)
	step.Gang = true
	j := newJob("1", 1, step)
	member := j.Ready(0)[0].First()
	member.Assign(tracker.ExecutorKey{ID: "crashed"}, "crashed", 1, time.Second)
	member.Expose(1)
	member.Lose()
	p := &planner.Planner{}
	plan := p.Plan(readyGroups(newJob("2", 0, ordinary(2, 1000)), j), []*planner.Host{hostAt("a", 4), hostAt("b", 4)})
	assert.Equal(t, len(plan), 6)
}
