package planner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/wire"
)

// estimated returns a step of one task with an estimate.
func estimated(millicores int64, estimate time.Duration) *wire.JobStep {
	step := ordinary(1, millicores)
	step.EstimateMs = estimate.Milliseconds()
	return step
}

// Guards against a small task that waits beside free processors, for as long as a large one
// waits for a task that takes long. It starts if it ends before that, with a margin.
func TestReservedHostAdmitsTasksThatEndBefore(t *testing.T) {
	const now = time.Hour
	for name, test := range map[string]struct {
		small   *wire.JobStep
		ran     time.Duration
		started bool
	}{
		"ends long before":                   {small: estimated(500, time.Second), ran: 5 * time.Second, started: true},
		"would end after":                    {small: estimated(500, 30*time.Second), ran: 5 * time.Second, started: false},
		"without margin":                     {small: estimated(500, 25*time.Second), ran: 5 * time.Second, started: false},
		"the long task is about to end":      {small: estimated(500, 2*time.Second), ran: 44 * time.Second, started: false},
		"the long task exceeds its estimate": {small: estimated(500, 5*time.Second), ran: 60 * time.Second, started: true},
		"ordered by an earlier leader":       {small: estimated(500, 5*time.Second), ran: now, started: true},
	} {
		t.Run(name, func(t *testing.T) {
			host := newHost("a", 16)
			host.Now = now
			long := newJob("long", 0, estimated(2000, 45*time.Second)).Ready(0)[0].First()
			long.Assign(host.Key, host.Name, 1, now-test.ran)
			host.AddAssigned(long)
			groups := readyGroups(newJob("large", 0, estimated(15000, 10*time.Second)), newJob("small", 2, test.small))
			plan := (&planner.Planner{}).Plan(groups, []*planner.Host{host})
			assert.Equal(t, len(plan) == 1, test.started)
		})
	}
}

// Guards against a large task that is delayed without end by tasks that are as long as those
// for which it waits, and by tasks of the same plan.
func TestBackfillDoesNotDelayALargeTask(t *testing.T) {
	const now = time.Hour
	host := newHost("a", 8)
	host.Now = now
	for i := range 7 {
		job := newJob("running", 0, estimated(1000, 2*time.Second))
		task := job.Ready(0)[0].First()
		task.Assign(host.Key, host.Name, 1, now-time.Duration(i)*250*time.Millisecond)
		host.AddAssigned(task)
	}
	groups := readyGroups(newJob("large", 0, estimated(6000, 2*time.Second)), newJob("small", 0, estimated(1000, 2*time.Second)))
	assert.Equal(t, len((&planner.Planner{}).Plan(groups, []*planner.Host{host})), 0)
}
