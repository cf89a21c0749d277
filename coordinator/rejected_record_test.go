package coordinator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

// Guards against a record that the log rejects for its size and the leader appends again
// and again: no other job would start any more.
func TestRejectedRecordStopsNoOtherJob(t *testing.T) {
	f := newTestFleet(t, 1, 1, fixedRunTime(20*time.Millisecond))
	const large, other = "00000000000000a1", "00000000000000b2"
	f.log.MaxRecordBytes = 1000
	f.submit(f.leader(), &wire.Job{Id: large, Steps: []*wire.JobStep{{Count: 200, Resources: &wire.Resources{Millicores: 1}}}})
	f.submit(f.leader(), &wire.Job{Id: other, Steps: steps(2)})
	f.waitSucceeded(f.leader(), other)
	assert.Equal(t, f.countEvents(wire.EndCause_END_CAUSE_UNSPECIFIED), 0, "tasks started that a new leader would not know")
}
