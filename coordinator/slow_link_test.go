package coordinator_test

import (
	"testing"

	"damaskspread.example/damaskspread/wire"
)

// Guards against a leader that stops scheduling because its link takes longer for an append
// than the append may take, while it renews its leadership.
func TestAppendOverSlowLink(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 2, fixedRunTime(-1))
	leader := f.leader()
	leader.client.SetUploadRate(30_000)
	f.submit(leader, &wire.Job{Id: jobID, Steps: []*wire.JobStep{{Count: 4000, Resources: &wire.Resources{Millicores: 1}}}})
	f.waitFor("start", func() bool { return f.countEvents(wire.EndCause_END_CAUSE_UNSPECIFIED) > 0 })
}
