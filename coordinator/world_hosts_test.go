package coordinator_test

import (
	"fmt"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/connector"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/locator"
	"damaskspread.example/damaskspread/runner"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

type host struct {
	name string
	// id is that of the executor's present incarnation.
	id       string
	executor *emulator.JobExecutor
	client   *emulator.KeyedLogClient
	tomb     *tomb.Tomb
	boots    int
	// dropsStops makes the stops of the executor have no response and no effect.
	dropsStops atomic.Bool
}

func (f *testFleet) newHost(name string) *host {
	h := &host{
		name:   name,
		client: &emulator.KeyedLogClient{Log: f.log},
	}
	h.executor = &emulator.JobExecutor{
		Clock:        f.clock,
		TaskDuration: f.runTime,
		Observe:      f.observe,
	}
	f.boot(h)
	return h
}

// boot replaces the executor of a host with a new incarnation that has the default
// capacity.
func (f *testFleet) boot(h *host) {
	h.boots++
	h.id = fmt.Sprintf("%s-%d", h.name, h.boots)
	f.bootWith(h, defaultCapacity())
}

// bootWith starts an incarnation with the host's present id.
func (f *testFleet) bootWith(h *host, capacity *wire.Resources) {
	f.capacities.Booted(h.id, capacity)
	h.executor.SetCapacity(capacity)
	h.executor.Boot(h.id)
}

// setMillicores changes the processors that the host's executor announces.
func (f *testFleet) setMillicores(h *host, millicores int64) {
	capacity := capacityOf(millicores)
	f.capacities.CapacityChanged(h.id, capacity)
	h.executor.SetCapacity(capacity)
}

func defaultCapacity() *wire.Resources { return capacityOf(defaultMillicores) }

func capacityOf(millicores int64) *wire.Resources {
	return &wire.Resources{Millicores: millicores, MemoryBytes: 64 << 30}
}

// stepOf returns the step of a task of a submitted job.
func (f *testFleet) stepOf(task string) *wire.JobStep {
	id, err := tracker.ParseTaskID(task)
	assert.NilError(f.t, err)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.submitted[id.Job].GetSteps()[id.Step]
}

func (f *testFleet) startAgent(h *host) {
	h.tomb = &tomb.Tomb{}
	peers := connector.NewHTTPClient()
	r := &runner.Runner{
		Executor: &unansweredStops{JobExecutor: h.executor, dropped: &h.dropsStops},
		Leader: &locator.Locator{
			Log:     h.client,
			HTTP:    peers,
			Elapsed: f.elapsedClock,
		},
		Clock:      f.clock,
		Elapsed:    f.elapsedClock,
		Host:       h.name,
		StopWithin: 50 * time.Millisecond,
	}
	r.Init()
	h.tomb.Go(func() error { return r.Run(h.tomb) })
	h.tomb.Go(func() error { return f.announce(h, r) })
}

// announce sends the heartbeats of the host's executor to the agent's runner.
func (f *testFleet) announce(h *host, r *runner.Runner) error {
	ticker := time.NewTicker(f.announceInterval)
	defer ticker.Stop()
	for sequence := int64(1); ; sequence++ {
		if !h.executor.Down() {
			info := h.executor.Info(service, "zone", nil, "kind", "rack")
			info.Sequence = sequence
			r.ExecutorAnnounced(info)
		}
		select {
		case <-ticker.C:
		case <-h.tomb.Dying():
			return nil
		}
	}
}

func (f *testFleet) killAgent(h *host) {
	h.tomb.Kill(nil)
	_ = h.tomb.Wait()
}

// busyHost waits for a host that runs a task. Which host gets the first tasks
// depends on which agent opens its session first.
func (f *testFleet) busyHost() *host {
	var busyHost *host
	f.waitFor("start", func() bool {
		for _, h := range f.hosts {
			if h.executor.Running() > 0 {
				busyHost = h
				return true
			}
		}
		return false
	})
	return busyHost
}
