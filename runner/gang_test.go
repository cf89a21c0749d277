package runner_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

// newFullExecutor returns an executor with a run of the task a.0.0.0, and the start order of
// a member of a gang, b.0.0.1, which has no room beside it.
func newFullExecutor(t *testing.T) (*orderQueue, *emulator.JobExecutor, *wire.Order) {
	q, executor := newOrderQueue(), newExecutor()
	executor.StopTime = 300 * time.Millisecond
	newAnnouncer(t, q, executor).announce(&wire.Resources{Millicores: 1000, MemoryBytes: 100})
	q.send(startOrder("a.0.0.0", requesting(800, 10)))
	waitFor(t, "run", func() bool { return executor.Running() == 1 })
	member := requesting(800, 10)
	member.Gang = true
	return q, executor, startOrder("b.0.0.1", member)
}

// Guards against a gang of which one member is refused for lack of room while the others
// have started and end alone: the run that has the room has ended, but is still listed. The
// leader knows the end from another member.
func TestMemberOfAGangWaitsForRoom(t *testing.T) {
	t.Parallel()
	q, _, member := newFullExecutor(t)
	q.send(stopOrder("a.0.0.0"), member)
	listed := func(request *wire.ExchangeRequest) bool {
		return slices.ContainsFunc(request.GetRunning(), func(run *wire.TaskRun) bool { return run.GetTask() == "b.0.0.1" })
	}
	waitFor(t, "start of the member", func() bool { return q.received(listed) })
	assert.Assert(t, !q.received(func(request *wire.ExchangeRequest) bool { return refuses(request, "b.0.0.1") }))
}

// Guards against a member of a gang that waits for good on an executor without room: the
// leader has to place the gang anew.
func TestMemberOfAGangIsRefusedAfterItsWait(t *testing.T) {
	t.Parallel()
	q, executor, member := newFullExecutor(t)
	q.send(member)
	waitFor(t, "refusal", func() bool {
		return q.received(func(request *wire.ExchangeRequest) bool { return refuses(request, "b.0.0.1") })
	})
	assert.Equal(t, executor.Running(), 1)
}
