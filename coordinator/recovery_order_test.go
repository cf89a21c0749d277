package coordinator_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

// Guards against a recovery in which jobs that are worth nothing any more run in
// place of jobs that are still of use. While there was no leader and then no
// store, an urgent job became overdue. Two batch jobs can still be in time.
func TestJobsOfUseStartFirstAfterOutage(t *testing.T) {
	t.Parallel()
	for _, outage := range []string{"leader", "store"} {
		t.Run(outage, func(t *testing.T) {
			f := newTestFleet(t, 2, 1, fixedRunTime(300*time.Millisecond))
			f.costOrder = true
			// All entries have to be started with the order.
			for _, e := range f.entries {
				f.killEntry(e)
				f.startEntry(e)
			}
			f.setMillicores(f.hosts[0], taskMillicores-1)
			leader := f.leader()
			urgent := &wire.Queue{Name: "urgent", Service: service, MaxAttempts: 3, ObjectiveMs: 200}
			batch := &wire.Queue{Name: "batch", Service: service, MaxAttempts: 3, ObjectiveMs: 60_000, Priority: 2}
			f.submitTo(leader, batch, &wire.Job{Id: healthyJob(2), Steps: steps(1)})
			// Deadlines are in milliseconds; jobs with the same one are in no
			// particular order.
			time.Sleep(2 * time.Millisecond)
			f.submitTo(leader, batch, &wire.Job{Id: healthyJob(1), Steps: steps(1)})
			f.submitTo(leader, urgent, &wire.Job{Id: healthyJob(0), Steps: steps(1)})
			if outage == "leader" {
				f.killEntry(leader)
			} else {
				f.setLogDown(true)
			}
			time.Sleep(time.Second)
			f.setMillicores(f.hosts[0], taskMillicores)
			if outage == "store" {
				f.setLogDown(false)
			}
			leader = f.leader()
			for i := range 3 {
				f.waitSucceeded(leader, healthyJob(i))
			}
			assert.DeepEqual(t, f.startedJobs(), []string{healthyJob(2), healthyJob(1), healthyJob(0)})
		})
	}
}

// setLogDown makes the log unavailable to all entries, or available again.
func (f *testFleet) setLogDown(down bool) {
	for _, e := range f.entries {
		e.client.SetDown(down)
	}
}

// startedJobs returns the jobs in the order in which their tasks started.
func (f *testFleet) startedJobs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var jobs []string
	for _, event := range f.events {
		id, _, _ := strings.Cut(event.Task, ".")
		if event.Cause == wire.EndCause_END_CAUSE_UNSPECIFIED && !slices.Contains(jobs, id) {
			jobs = append(jobs, id)
		}
	}
	return jobs
}
