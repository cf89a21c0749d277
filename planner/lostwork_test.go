package planner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// preemptNow is the monotonic time of the tests of preemption; their wall clock is
// at 10 s.
const preemptNow = time.Hour

// runJob adds a job of priority 2 of one step whose tasks started on the host age
// ago. It is in time unless objectiveMs is short.
func runJob(id string, host *planner.Host, objectiveMs int64, age time.Duration, step *wire.JobStep) {
	step.EstimateMs = 20_000
	job := tracker.New(&wire.Job{
		Id:             id,
		Service:        "s",
		Priority:       2,
		AcceptedUnixMs: 10_000 - age.Milliseconds(),
		ObjectiveMs:    objectiveMs,
		Steps:          []*wire.JobStep{step},
	})
	for _, task := range waitingTasks(readyGroups(job)[0]) {
		task.Assign(host.Key, host.Name, 1, preemptNow-age)
		host.AddAssigned(task)
	}
}

// victimJobs returns the jobs of the tasks that are stopped for an urgent task.
func victimJobs(urgent *tracker.Job, hosts ...*planner.Host) []string {
	p := &planner.Planner{LostWork: true}
	group := urgent.Ready(10_000)[0]
	jobs := []string{}
	for _, victim := range p.ChooseVictims(group, group.First(), hosts, preemptNow, 10_000) {
		jobs = append(jobs, victim.ID().Job)
	}
	return jobs
}

func urgentJob(acceptedMs, millicores int64) *tracker.Job {
	step := ordinary(1, millicores)
	step.EstimateMs = 1000
	return tracker.New(&wire.Job{
		Id:             "urgent",
		Service:        "s",
		AcceptedUnixMs: acceptedMs,
		ObjectiveMs:    2000,
		Steps:          []*wire.JobStep{step},
	})
}

// Guards against victims that lose more than others: long unsaved work, a job that
// becomes late, more stops than needed, and a loss that another host avoids.
func TestLeastLossIsPreempted(t *testing.T) {
	saved := func(millicores int64) *wire.JobStep {
		step := ordinary(1, millicores)
		step.CanCheckpoint = true
		return step
	}
	host := newHost("a", 8)
	runJob("old", host, 100_000, 9*time.Second, ordinary(1, 4000))
	runJob("young", host, 100_000, time.Second, ordinary(1, 4000))
	assert.DeepEqual(t, victimJobs(urgentJob(10_000, 4000), host), []string{"young"})

	host = newHost("a", 8)
	runJob("old", host, 100_000, 9*time.Second, saved(4000))
	runJob("young", host, 100_000, time.Second, ordinary(1, 4000))
	assert.DeepEqual(t, victimJobs(urgentJob(10_000, 4000), host), []string{"old"})

	host = newHost("a", 8)
	runJob("tight", host, 21_000, 2*time.Second, ordinary(1, 4000))
	runJob("ample", host, 100_000, 5*time.Second, ordinary(1, 4000))
	assert.DeepEqual(t, victimJobs(urgentJob(10_000, 4000), host), []string{"ample"})

	host = newHost("a", 8)
	runJob("small", host, 100_000, time.Second, ordinary(4, 1000))
	runJob("saved", host, 100_000, time.Second, saved(4000))
	other := newHost("b", 4)
	runJob("other", other, 100_000, 9*time.Second, ordinary(1, 4000))
	assert.DeepEqual(t, victimJobs(urgentJob(10_000, 4000), other, host), []string{"saved"})
}

// Guards against an overdue job that stops jobs that are still of use.
func TestOverdueJobPreemptsOnlyOverdueJobs(t *testing.T) {
	host := newHost("a", 4)
	runJob("of-use", host, 100_000, time.Second, ordinary(1, 4000))
	assert.DeepEqual(t, victimJobs(urgentJob(0, 4000), host), []string{})
	host = newHost("a", 4)
	runJob("overdue", host, 1000, time.Second, ordinary(1, 4000))
	assert.DeepEqual(t, victimJobs(urgentJob(0, 4000), host), []string{"overdue"})
}

// Guards against an endless loop with the order by cost: a job of use starts before
// an overdue one of an urgent queue, is stopped for it, and starts first again.
func TestPreemptionAgreesWithCostOrder(t *testing.T) {
	host := newHost("a", 4)
	runJob("of-use", host, 100_000, time.Second, ordinary(1, 4000))
	for _, test := range []struct {
		costOrder bool
		victims   int
	}{{costOrder: false, victims: 1}, {costOrder: true, victims: 0}} {
		group := urgentJob(0, 4000).Ready(10_000)[0]
		p := &planner.Planner{CostOrder: test.costOrder}
		victims := p.ChooseVictims(group, group.First(), []*planner.Host{host}, preemptNow, 10_000)
		assert.Equal(t, len(victims), test.victims)
	}
}

// Guards against the stop of a task that would have ended by then, and against
// victims of the same priority or beyond the bound of 4.
func TestUselessStopsAreNotOrdered(t *testing.T) {
	host := newHost("a", 4)
	runJob("ending", host, 100_000, 19_800*time.Millisecond, ordinary(1, 4000))
	assert.DeepEqual(t, victimJobs(urgentJob(10_000, 4000), host), []string{})
	host = newHost("a", 5)
	runJob("small", host, 100_000, time.Second, ordinary(5, 1000))
	assert.DeepEqual(t, victimJobs(urgentJob(10_000, 5000), host), []string{})
	assert.DeepEqual(t, victimJobs(withPriority(urgentJob(10_000, 1000), 2), host), []string{})
}

// Guards against a search among the tasks of a full host that takes longer than a
// cycle may: 300 hosts with 60 tasks each.
func BenchmarkChooseVictims(b *testing.B) {
	var hosts []*planner.Host
	for i := range 300 {
		host := newHost(string(rune('a'+i)), 60)
		for k := range 60 {
			runJob("j", host, 100_000, time.Duration(k+i+1)*time.Millisecond, ordinary(1, 1000))
		}
		hosts = append(hosts, host)
	}
	for b.Loop() {
		victimJobs(urgentJob(10_000, 4000), hosts...)
	}
}
