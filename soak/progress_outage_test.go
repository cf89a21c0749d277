package soak_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a leader that renews its leadership and schedules nothing, because its
// appends to the topic of the progress alone fail.
func TestLeaderWithoutProgressIsReplaced(t *testing.T) {
	t.Run("refused", func(t *testing.T) { testLeaderWithoutProgress(t, false) })
	t.Run("held", func(t *testing.T) { testLeaderWithoutProgress(t, true) })
}

func testLeaderWithoutProgress(t *testing.T, holds bool) {
	const before, during = "00000000000000b1", "00000000000000b2"
	f := newFleet(t, 0)
	f.submitUntilAccepted(before, shortBody)
	f.awaitSuccess(before)
	leader := f.leader(t.Context())
	assert.Assert(t, leader != nil)
	leader.gate.fault.Store(&topicFault{
		topic: "progress",
		hangs: holds,
	})
	begun := time.Now()
	f.submitUntilAccepted(during, shortBody)
	f.awaitSuccess(during)
	if !t.Failed() {
		t.Logf("succeeded %s after the appends began to fail", time.Since(begun).Round(time.Millisecond))
	}
}
