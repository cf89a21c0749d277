package tracker_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// Guards against a crash that stays counted although the agent takes its report back:
// the run was lost because its lease expired, and no executor has crashed.
func TestWithdrawalAfterLossUncounts(t *testing.T) {
	j := tracker.New(jobWith(&wire.JobStep{Count: 1}))
	for run := int32(1); run <= 3; run++ {
		task := firstReady(t, j)
		task.Assign(executorKey, "host", run, 0)
		task.Expose(run)
		task.Lose()
		task.WithdrawExposure(run)
		assert.Equal(t, task.Crashes(), int32(0), "run %d", run)
	}
}
