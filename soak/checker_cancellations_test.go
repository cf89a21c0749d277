package soak_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

const (
	canceledJob, canceledTask = "00000000d0000000", "00000000d0000000.0.0.0"
	// moment is past a bound.
	moment = time.Millisecond
)

// cancelPlay is a lasting job that is canceled.
type cancelPlay struct {
	*checker
	clock *clockwork.FakeClock
}

func newCancelPlay() *cancelPlay {
	clock := clockwork.NewFakeClock()
	p := &cancelPlay{
		checker: newChecker(),
		clock:   clock,
	}
	p.lasting.clock, p.cancels.clock = clock, clock
	p.capacities.Booted("i-1-1", defaultCapacity)
	clock.Advance(time.Hour)
	return p
}

func (p *cancelPlay) cancel(status int) {
	p.endCancellation(canceledJob, p.beginCancellation(canceledJob, "entry-0"), response{status: status})
}

func (p *cancelPlay) start() {
	p.observe(emulator.RunEvent{Task: canceledTask, Run: 1, Executor: "i-1-1"})
}

// after lets time pass in the steps in which a soak checks what runs.
func (p *cancelPlay) after(duration time.Duration) {
	for ; duration > 0; duration -= lastingInterval {
		p.clock.Advance(min(duration, lastingInterval))
		p.checkCanceled()
	}
}

// Checks that the checker detects starts and runs after a cancellation, and that it accepts
// those that the users don't count.
func TestCheckerSeesPlantedRunsOfCanceledJobs(t *testing.T) {
	const runsOn = cancelBound + stopBound
	for _, test := range []struct {
		name       string
		play       func(p *cancelPlay)
		violations int
	}{
		{"start after the bound", func(p *cancelPlay) { p.cancel(http.StatusOK); p.after(cancelBound + moment); p.start() }, 1},
		{"start after the bound, job unknown", func(p *cancelPlay) { p.cancel(http.StatusGone); p.after(cancelBound + moment); p.start() }, 1},
		{"start at the bound", func(p *cancelPlay) { p.cancel(http.StatusOK); p.after(cancelBound); p.start() }, 0},
		{"start after a repeated cancellation", func(p *cancelPlay) {
			p.cancel(http.StatusOK)
			p.after(cancelBound)
			p.cancel(http.StatusOK)
			p.after(moment)
			p.start()
		}, 1},
		{"start by an agent in a fault", func(p *cancelPlay) {
			p.cancel(http.StatusOK)
			p.disturb("agent-1", false)
			p.after(cancelBound + moment)
			p.start()
		}, 0},
		{"start by an agent after a fault", func(p *cancelPlay) {
			p.cancel(http.StatusOK)
			p.disturb("agent-1", false)
			p.settle("agent-1", false)
			p.after(contactTime + moment)
			p.start()
		}, 1},
		{"start that an executor carried out late", func(p *cancelPlay) {
			p.cancel(http.StatusOK)
			p.after(cancelBound + moment)
			p.expectLate(canceledTask, 1, true)
			p.start()
		}, 0},
		{"start after the caller gave up", func(p *cancelPlay) { p.cancel(timedOut); p.after(ackBound + cancelBound + lastingInterval); p.start() }, 1},
		{"start after the connection broke", func(p *cancelPlay) { p.cancel(0); p.after(ackBound + cancelBound + lastingInterval); p.start() }, 1},
		{"start in time after the caller gave up", func(p *cancelPlay) { p.cancel(timedOut); p.after(ackBound + cancelBound); p.start() }, 0},
		{"start after a cancellation that was not sent", func(p *cancelPlay) { p.cancel(unsent); p.after(time.Minute); p.start() }, 0},
		{"start after a refused cancellation", func(p *cancelPlay) { p.cancel(http.StatusServiceUnavailable); p.after(time.Minute); p.start() }, 0},
		{"start after the entry has ended", func(p *cancelPlay) { p.cancel(timedOut); p.endLife("entry-0"); p.after(time.Minute); p.start() }, 0},
		{"start after a pause of the entry", func(p *cancelPlay) {
			p.disturb("entry-0", true)
			p.cancel(timedOut)
			p.settle("entry-0", true)
			p.after(time.Minute)
			p.start()
		}, 0},
		{"start after faults", func(p *cancelPlay) {
			p.cancel(timedOut)
			p.beginFault()
			p.after(time.Minute)
			p.endFault()
			p.after(ackBound)
			p.start()
		}, 0},
		{"run goes on", func(p *cancelPlay) { p.start(); p.cancel(http.StatusOK); p.after(runsOn + moment) }, 1},
		{"run stops", func(p *cancelPlay) { p.start(); p.cancel(http.StatusOK); p.after(runsOn) }, 0},
		{"run goes on after the caller gave up", func(p *cancelPlay) { p.start(); p.cancel(timedOut); p.after(time.Minute) }, 1},
		{"run goes on after a fault", func(p *cancelPlay) {
			p.start()
			p.cancel(http.StatusOK)
			p.after(runsOn - moment)
			p.beginFault()
			p.endFault()
			p.after(runsOn - moment)
		}, 0},
		{"late run goes on", func(p *cancelPlay) {
			p.cancel(http.StatusOK)
			p.after(time.Minute)
			p.expectLate(canceledTask, 1, true)
			p.start()
			p.after(contactTime + runsOn + lastingInterval)
		}, 1},
		{"late run stops", func(p *cancelPlay) {
			p.cancel(http.StatusOK)
			p.after(time.Minute)
			p.expectLate(canceledTask, 1, true)
			p.start()
			p.after(contactTime + runsOn)
		}, 0},
	} {
		p := newCancelPlay()
		test.play(p)
		assert.Equal(t, len(p.violations), test.violations, "%s: %v", test.name, p.violations)
	}
}

// Checks that the checker detects orders to start what no caller has sent.
func TestCheckerSeesPlantedOrders(t *testing.T) {
	for _, test := range []struct {
		name       string
		order      orderBody
		violations int
	}{
		{"as sent", orderBody{Task: canceledTask, Spec: specOf(canceledJob)}, 0},
		{"another job", orderBody{Task: "00000000d0000001.0.0.0", Spec: specOf("00000000d0000001")}, 1},
		{"another task", orderBody{Task: canceledJob + ".0.0.4", Spec: specOf(canceledJob)}, 1},
		{"another step", orderBody{Task: canceledJob + ".0.1.0", Spec: specOf(canceledJob)}, 1},
		{"an occurrence", orderBody{Task: canceledJob + ".1.0.0", Spec: specOf(canceledJob)}, 1},
		{"no spec", orderBody{Task: canceledTask}, 1},
		{"the spec of another job", orderBody{Task: canceledTask, Spec: specOf("00000000d0000001")}, 1},
		{"its checkpoint", orderBody{Task: canceledTask, Spec: specOf(canceledJob), Checkpoint: "saved"}, 0},
		{"the checkpoint of another task", orderBody{Task: canceledTask, Spec: specOf(canceledJob), Checkpoint: "saved by another"}, 1},
	} {
		c := newChecker()
		c.recordSubmission(canceledJob, specified(canceledJob, lastingBody()))
		c.recordCheckpoints(&wire.ExecutorState{
			Running: []*wire.TaskRun{
				{Task: canceledTask, Checkpoint: "saved"},
				{Task: canceledJob + ".0.0.1", Checkpoint: "saved by another"},
			},
		})
		c.checkOrder("i-1-1", &test.order)
		assert.Equal(t, len(c.violations), test.violations, "%s: %v", test.name, c.violations)
	}
}
