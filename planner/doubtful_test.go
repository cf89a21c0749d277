package planner_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracker"
)

func suspectHost(name string) *planner.Host {
	host := newHost(name, 8)
	host.Suspect = true
	return host
}

// doubting returns a planner for which the groups of a job are doubtful.
func doubting(job string) *planner.Planner {
	return &planner.Planner{Doubtful: func(group *tracker.Group) bool { return group.Job().Spec().GetId() == job }}
}

// Guards against a job whose tasks fail everywhere that takes each probe of a suspect
// host, so that no other task can show that the host is sound.
func TestDoubtfulTaskIsTheLastProbe(t *testing.T) {
	failing, other := newJob("failing", 0, ordinary(4, 1000)), newJob("other", 1, ordinary(1, 1000))
	plan := doubting("failing").Plan(readyGroups(failing, other), []*planner.Host{suspectHost("a"), suspectHost("b")})
	byHost := map[string]string{}
	for _, assignment := range plan {
		byHost[assignment.Task.Job().Spec().GetId()] += assignment.Host.Name
	}
	assert.DeepEqual(t, byHost, map[string]string{"other": "a", "failing": "b"})
}

// Guards against a task that is planned twice, or a doubtful task that waits beside free
// hosts.
func TestDoubtfulTasksStart(t *testing.T) {
	plan := doubting("1").Plan(readyGroups(newJob("1", 0, ordinary(5, 2000))), []*planner.Host{newHost("a", 8), suspectHost("b")})
	assert.DeepEqual(t, countByHost(plan), map[string]int{"a": 4, "b": 1})
	tasks := map[*tracker.Task]bool{}
	for _, assignment := range plan {
		tasks[assignment.Task] = true
	}
	assert.Equal(t, len(tasks), 5)
}

// Guards against a gang that is planned twice, or never because a host is suspect.
func TestDoubtfulGangStarts(t *testing.T) {
	for _, hosts := range [][]*planner.Host{{newHost("a", 8), suspectHost("b")}, {suspectHost("a"), suspectHost("b")}} {
		step := ordinary(2, 1000)
		step.Gang = true
		plan := doubting("1").Plan(readyGroups(newJob("1", 0, step)), hosts)
		assert.Equal(t, len(plan), 2)
	}
}

// Guards against executors that fail at once and so attract what waits, before enough is
// known to suspect them; and against long-running and best-effort tasks that are moved
// together by single failures.
func TestTasksAvoidHostsWithFailures(t *testing.T) {
	for _, test := range []struct {
		name        string
		longRunning bool
		want        string
	}{
		{name: "finite", want: "b"},
		{name: "long-running", longRunning: true, want: "a"},
	} {
		t.Run(test.name, func(t *testing.T) {
			step := ordinary(1, 1000)
			step.LongRunning = test.longRunning
			failed, busy := newHost("a", 8), newHost("b", 8)
			failed.FailureEvidence = 0.3
			busy.AddPlanned("other", ordinary(1, 4000))
			plan := (&planner.Planner{}).Plan(readyGroups(newJob("1", 0, step)), []*planner.Host{failed, busy})
			assert.Equal(t, plan[0].Host.Name, test.want)
		})
	}
}
