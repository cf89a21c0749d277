package coordinator_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/connector"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/locator"
	"damaskspread.example/damaskspread/runner"
	"damaskspread.example/damaskspread/wire"
)

// longestLease is the lease to which executors shorten a longer one. The leader
// grants three quarters of it, as launcher.Entry does.
const longestLease = lease * 4 / 3

var errDown = errors.New("connection refused")

// cappedExecutor shortens leases to longestLease, as the executors of the platform
// do, and refuses all calls while it is down.
type cappedExecutor struct {
	*emulator.JobExecutor

	down   atomic.Bool
	renews atomic.Int64
}

func (e *cappedExecutor) capped(granted *damaskspread.Lease) *damaskspread.Lease {
	result := *granted
	now := e.Info(service, "zone", nil).GetClockMs()
	result.DeadlineMs = min(result.DeadlineMs, now+longestLease.Milliseconds())
	return &result
}

func (e *cappedExecutor) Renew(ctx context.Context, id string, granted *damaskspread.Lease, seen int64, _ time.Duration) (*wire.ExecutorState, error) {
	if e.down.Load() {
		return nil, errDown
	}
	e.renews.Add(1)
	return e.JobExecutor.Renew(ctx, id, e.capped(granted), seen, 10*time.Millisecond)
}

func (e *cappedExecutor) Start(ctx context.Context, id string, order *wire.StartOrder, granted *damaskspread.Lease) error {
	if e.down.Load() {
		return errDown
	}
	return e.JobExecutor.Start(ctx, id, order, e.capped(granted))
}

// Guards against two runs of one task after an executor has restarted under its id:
// a renewal for the life before grants the new life the longest possible lease,
// because the deadline is a reading of the earlier clock. The leader must not release
// the runs of the new life before that lease is over.
func TestLeaseOfTheLifeBefore(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 0, fixedRunTime(-1))
	h := f.newHost("host-0")
	f.hosts = append(f.hosts, h)
	executor := &cappedExecutor{JobExecutor: h.executor}
	r := &runner.Runner{
		Executor: executor,
		Leader: &locator.Locator{
			Log:     h.client,
			HTTP:    connector.NewHTTPClient(),
			Elapsed: f.elapsedClock,
		},
		Clock:      f.clock,
		Elapsed:    f.elapsedClock,
		Host:       h.name,
		StopWithin: 50 * time.Millisecond,
	}
	r.Init()
	h.tomb = &tomb.Tomb{}
	h.tomb.Go(func() error { return r.Run(h.tomb) })
	capacity := &wire.Resources{Millicores: 8000, MemoryBytes: 64 << 30}
	r.ExecutorAnnounced(h.executor.Info(service, "zone", capacity))
	// The clock of the first life has to be ahead by more than the difference
	// between the two leases.
	time.Sleep(2 * time.Second)
	executor.down.Store(true)
	// Longer than a renewal in progress takes.
	time.Sleep(50 * time.Millisecond)
	h.executor.Boot("host-0-1")
	executor.renews.Store(0)
	executor.down.Store(false)
	f.waitFor("renewal", func() bool { return executor.renews.Load() > 0 })
	r.ExecutorAnnounced(h.executor.Info(service, "zone", capacity))
	f.submit(f.entries[0], &wire.Job{Id: jobID, Steps: steps(1)})
	f.waitFor("run", func() bool { return h.executor.Running() == 1 })
	f.killAgent(h)
	other := f.newHost("host-1")
	f.hosts = append(f.hosts, other)
	f.startAgent(other)
	f.waitFor("next run", func() bool {
		// The emulated executor notices the end of its lease at a call.
		h.executor.Running()
		return f.countEvents(wire.EndCause_END_CAUSE_UNSPECIFIED) == 2
	})
	f.assertNoDuplicateRuns()
}
