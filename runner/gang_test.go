package runner_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

// Guards against a gang of which one member is refused for lack of room while the others
// have started and end alone: the run that has the room has ended, but is still listed. The
// leader knows the end from another member.
func TestMemberOfAGangWaitsForRoom(t *testing.T) {
	t.Parallel()
	q := newOrderQueue()
	executor := newExecutor()
	executor.StopTime = 300 * time.Millisecond
	a := newAnnouncer(t, q, executor)
	a.announce(&wire.Resources{Millicores: 1000, MemoryBytes: 100})
	member := requesting(800, 10)
	member.Gang = true
	q.send(startOrder("a.0.0.0", requesting(800, 10)))
	waitFor(t, "run", func() bool { return executor.Running() == 1 })
	q.send(stopOrder("a.0.0.0"), startOrder("b.0.0.1", member))
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
	q := newOrderQueue()
	executor := newExecutor()
	a := newAnnouncer(t, q, executor)
	a.announce(&wire.Resources{Millicores: 1000, MemoryBytes: 100})
	member := requesting(800, 10)
	member.Gang = true
	q.send(startOrder("a.0.0.0", requesting(800, 10)))
	waitFor(t, "run", func() bool { return executor.Running() == 1 })
	q.send(startOrder("b.0.0.1", member))
	waitFor(t, "refusal", func() bool {
		return q.received(func(request *wire.ExchangeRequest) bool { return refuses(request, "b.0.0.1") })
	})
	assert.Equal(t, executor.Running(), 1)
}
