package coordinator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/wire"
)

const (
	restarts = 6
	// restartRunTime exceeds the time between two restarts, so that no run on the
	// restarting host is done before the last one: an end that was not recorded when
	// its executor restarts is lost, and the task runs again.
	restartRunTime = 2 * time.Second
)

// restartSeries restarts the executor of a host under its id. Start calls without a
// response take effect in the next incarnation only, and the time between restarts is
// shorter than the age at which the agent gives up an order: where an incarnation
// executes late starts of two runs before any other call, nothing can fence them.
func (f *testFleet) restartSeries(h *host, random *rand.Rand) {
	pause := func(atMost int64) { time.Sleep(time.Duration(random.Int64N(atMost)) * time.Millisecond) }
	for i := range restarts {
		pause(400)
		silent, killed := random.IntN(2) == 0, random.IntN(3) == 0
		if silent {
			h.executor.SetUnresponsive(true)
		} else {
			h.executor.Crash()
		}
		pause(300)
		if killed {
			f.killAgent(h)
		}
		if i == restarts-1 || random.IntN(3) == 0 {
			h.executor.SetHeldStarts(nil)
		} else {
			h.executor.SetHeldStarts(anyStart)
		}
		released := f.releaseAtNextOpening(h)
		f.restart(h)
		h.executor.SetUnresponsive(false)
		if killed {
			f.startAgent(h)
		}
		if random.IntN(2) == 0 {
			pause(150)
			h.executor.ReleaseStarts()
		}
		f.waitReleased(released)
	}
}

func anyStart(*wire.StartOrder) bool { return true }

// Guards against two runs of one task, and a start after an end "done", in a series of
// restarts of an executor under one id, of which some are silent before and some
// refuse connections, with start calls that take effect late.
func TestRestartsUnderOneID(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2, 3, 4} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			f := newTestFleet(t, 1, 2, fixedRunTime(restartRunTime))
			queue := &wire.Queue{Name: "previews", Service: service, MaxAttempts: 100, Stretch: 1.5}
			f.hosts[0].executor.StopTime = 40 * time.Millisecond
			f.hosts[0].executor.SetHeldStarts(anyStart)
			f.submitTo(f.leader(), queue, &wire.Job{Id: jobID, Steps: steps(24)})
			f.waitFor("start call", func() bool { return f.hosts[0].executor.HeldStarts() > 0 })
			f.restartSeries(f.hosts[0], rand.New(rand.NewPCG(seed, 0)))
			f.waitSucceeded(f.entries[0], jobID)
			f.assertNoDuplicateRuns()
			f.mu.Lock()
			defer f.mu.Unlock()
			assert.Equal(t, len(f.startsAfterDone), 0, "%v", f.startsAfterDone)
		})
	}
}
