package coordinator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

// Guards against runs that lose their lease in an outage of the log that is shorter than
// the lease, because its extension afterwards is delayed.
func TestRunsOutliveAShortOutageOfTheLog(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 6, fixedRunTime(-1))
	job := &wire.Job{Id: jobID, Steps: steps(12)}
	job.Steps[0].LongRunning = true
	f.submit(f.leader(), job)
	f.waitFor("runs", func() bool { return f.countEvents(wire.EndCause_END_CAUSE_UNSPECIFIED) == 12 })
	// Longer than a poll of an agent, which extends the lease.
	time.Sleep(1500 * time.Millisecond)
	f.entries[0].client.SetDown(true)
	time.Sleep(1800 * time.Millisecond)
	f.entries[0].client.SetDown(false)
	for end := time.Now().Add(lease); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		f.noticeLeaseEnds()
	}
	assert.Equal(t, f.countEvents(wire.EndCause_END_CAUSE_LEASE_EXPIRED), 0)
}
