package coordinator_test

import (
	"slices"
	"testing"
	"time"

	"damaskspread.example/damaskspread/wire"
)

// Guards against two runs of one task: a request whose list was read before an older
// run of the task showed up arrives after the one that shows it.
func TestNextRunWaitsAlthoughALateListLacksTheOlderRun(t *testing.T) {
	t.Parallel()
	o := newOlderRun(t)
	late := o.agent.request(o.session, o.info)
	late.HasRunning = true
	o.listLater()
	o.assertHeldBack()
	o.agent.send(late)
	o.assertNoRun3()
	o.agent.send(o.endReport(wire.EndCause_END_CAUSE_STOPPED))
	o.waitRun3()
}

// Guards against two runs of one task: a new leader orders the next run before the
// agent on whose executor an older one is being stopped has opened a session.
func TestNextRunWaitsForAnOlderRunAfterATakeover(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 2, 0, fixedRunTime(-1))
	o := newOlderRunIn(t, f)
	o.listInOpening()
	o.assertHeldBack()
	leader := f.leader()
	f.killEntry(leader)
	var successor *entry
	f.waitFor("successor", func() bool {
		successor = f.leader()
		return successor != nil && successor != leader
	})
	o.agent, o.other = newManualAgent(t, successor, "host-0"), newManualAgent(t, successor, "host-1")
	o.other.open(f, "o.2", o.second)
	for deadline := time.Now().Add(heldBackFor); time.Now().Before(deadline); {
		started, _ := runsIn(o.other.pollOrders("o.2", o.second))
		if slices.Contains(started, 3) {
			t.Fatal("run 3 was ordered while run 1 is in progress")
		}
	}
}
