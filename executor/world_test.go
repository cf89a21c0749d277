package executor_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/connector"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/executor"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

const (
	hostA         = "a"
	hostB         = "b"
	zone          = "z"
	taskHold      = 50 * time.Second
	currencyLimit = 3 * time.Second
)

// The simulations cause thousands of warnings.
func init() { log.DefaultLogger.SetLevel(log.ErrorLevel) }

// world is a simulated cluster: agents on two hosts of an emulated platform, and
// one replayed state instead of the log.
type world struct {
	tb       testingT
	clock    *clockwork.FakeClock
	platform *emulator.Platform
	mu       sync.Mutex
	state    *replayer.State
	changed  chan struct{}
	feeds    map[string]*fakeFeed
	agents   map[string]*executor.Executor
	joins    int
}

// testingT is implemented by testing.T and rapid.T.
type testingT interface {
	assert.TestingT
	Helper()
	Cleanup(func())
}

// fakeFeed is the connection of one agent to its entry.
type fakeFeed struct {
	world       *world
	host        string
	incarnation string
	// down cuts the connection, viewFrozen stops only updates of the view, and
	// losesResponses makes appends take effect but return an error.
	down           bool
	viewFrozen     bool
	losesResponses bool
	lastView       *fakeView
	lastViewAt     time.Time
}

type fakeView struct {
	offset   int64
	claims   []*wire.TaskState
	host     *wire.HostState
	joined   bool
	zonesOut map[string]bool
}

func (v *fakeView) Offset() int64                  { return v.offset }
func (v *fakeView) Claims() []*wire.TaskState      { return v.claims }
func (v *fakeView) Alive() *wire.Position          { return v.host.GetAlive() }
func (v *fakeView) Leaving() bool                  { return v.host.GetLeaving() }
func (v *fakeView) Joined() bool                   { return v.joined }
func (v *fakeView) ZoneInService(zone string) bool { return !v.zonesOut[zone] }

func newWorld(tb testingT) *world {
	w := &world{
		tb:      tb,
		clock:   clockwork.NewFakeClock(),
		state:   replayer.New(),
		changed: make(chan struct{}),
		feeds:   map[string]*fakeFeed{},
		agents:  map[string]*executor.Executor{},
	}
	w.platform = &emulator.Platform{
		Clock:          w.clock,
		LogAddress:     "127.0.0.1:0",
		ControlAddress: "127.0.0.1:0",
	}
	for _, host := range []string{hostA, hostB} {
		w.platform.Workers = append(w.platform.Workers, emulator.Worker{
			Host:     host,
			Address:  "127.0.0.1:0",
			Capacity: &wire.Resources{Millicores: 1000},
		})
	}
	assert.NilError(tb, w.platform.Listen())
	var t tomb.Tomb
	t.Go(func() error { return w.platform.Run(&t) })
	tb.Cleanup(func() {
		t.Kill(nil)
		_ = t.Wait()
	})
	for _, host := range []string{hostA, hostB} {
		w.startAgent(host)
	}
	w.step(2)
	return w
}

// startAgent replaces the agent of a host with a new process.
func (w *world) startAgent(host string) {
	f := &fakeFeed{world: w, host: host}
	w.feeds[host] = f
	w.agents[host] = &executor.Executor{
		Worker: &connector.Worker{Address: w.platform.WorkerURL(host)},
		Feed:   f,
		Clock:  w.clock,
		Host:   host,
		Zone:   zone,
		Heartbeat: func() *wire.HostsAlive {
			return &wire.HostsAlive{
				Hosts: []*wire.HostRef{{Host: host, Incarnation: f.incarnation}},
			}
		},
		OnBoot:        func(string, *wire.Resources) { f.join() },
		TaskHold:      taskHold,
		CurrencyLimit: currencyLimit,
	}
	f.join()
}

func (f *fakeFeed) join() {
	status, err := (&connector.Worker{Address: f.world.platform.WorkerURL(f.host)}).Status(context.Background())
	assert.NilError(f.world.tb, err)
	f.world.mu.Lock()
	f.world.joins++
	f.incarnation = fmt.Sprintf("%s-%d", f.host, f.world.joins)
	f.world.mu.Unlock()
	f.world.apply(&wire.Record{Body: &wire.Record_HostJoined{HostJoined: &wire.HostJoined{
		Spec: &wire.HostSpec{
			Host:        f.host,
			Incarnation: f.incarnation,
			WorkerBoot:  status.GetBoot(),
			Zone:        zone,
			Capacity:    status.GetCapacity(),
		},
	}}})
}

func (w *world) apply(records ...*wire.Record) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	offset := w.state.Offset() + 1
	w.state.Apply(offset, &wire.RecordBatch{Records: records})
	close(w.changed)
	w.changed = make(chan struct{})
	return offset
}

func (f *fakeFeed) Age() time.Duration {
	f.View()
	f.world.mu.Lock()
	defer f.world.mu.Unlock()
	return f.world.clock.Since(f.lastViewAt)
}

func (f *fakeFeed) View() executor.View {
	f.world.mu.Lock()
	defer f.world.mu.Unlock()
	if (f.down || f.viewFrozen) && f.lastView != nil {
		return f.lastView
	}
	snapshot := f.world.state.Snapshot()
	v := &fakeView{offset: snapshot.GetOffset(), zonesOut: map[string]bool{zone: !f.world.state.ZoneInService(zone)}}
	for _, host := range snapshot.GetHosts() {
		if host.GetSpec().GetHost() == f.host {
			v.host = host
			v.joined = host.GetSpec().GetIncarnation() == f.incarnation && !host.GetExpired()
		}
	}
	for _, task := range snapshot.GetTasks() {
		if task.GetPhase() == wire.TaskPhase_TASK_PHASE_CLAIMED && task.GetHost() == f.host {
			v.claims = append(v.claims, task)
		}
	}
	f.lastView, f.lastViewAt = v, f.world.clock.Now()
	return v
}

func (f *fakeFeed) Changed() <-chan struct{} {
	f.world.mu.Lock()
	defer f.world.mu.Unlock()
	return f.world.changed
}

func (f *fakeFeed) AppendRecords(_ context.Context, records []*wire.Record) (int64, error) {
	if f.down {
		return 0, &damaskspread.LogUnavailableError{}
	}
	offset := f.world.apply(records...)
	if f.losesResponses {
		return 0, &damaskspread.AppendUnknownError{}
	}
	return offset, nil
}

// step runs rounds in which the clock advances by a second and both agents make
// one pass.
func (w *world) step(rounds int) {
	for range rounds {
		w.clock.Advance(time.Second)
		w.stepAgent(hostA)
		w.stepAgent(hostB)
	}
}

func (w *world) stepAgent(host string) {
	agent, ctx := w.agents[host], context.Background()
	agent.WriteHeartbeat(ctx)
	agent.Reconcile(ctx)
	agent.Report(ctx)
}

func (w *world) submit(task string, parameters map[string]string) {
	w.apply(&wire.Record{Body: &wire.Record_TaskSubmitted{TaskSubmitted: &wire.TaskSubmitted{
		Spec: &wire.TaskSpec{
			Task:          task,
			Class:         wire.TaskClass_TASK_CLASS_BATCH,
			Resources:     &wire.Resources{Millicores: 400},
			CanCheckpoint: true,
			Parameters:    parameters,
		},
	}}})
}

func (w *world) claim(task, host string) {
	spec, _ := w.state.Host(host)
	w.apply(&wire.Record{Body: &wire.Record_TaskClaimed{TaskClaimed: &wire.TaskClaimed{
		Task:       task,
		Attempt:    w.task(task).GetAttempt(),
		Host:       host,
		WorkerBoot: spec.GetSpec().GetWorkerBoot(),
	}}})
}

func (w *world) evict(task string) {
	w.apply(&wire.Record{Body: &wire.Record_EvictionRequested{EvictionRequested: &wire.EvictionRequested{
		Task:    task,
		Attempt: w.task(task).GetAttempt(),
	}}})
}

func (w *world) release(host string, reason wire.ReleaseReason) {
	state, _ := w.state.Host(host)
	w.apply(&wire.Record{Body: &wire.Record_HostReleased{HostReleased: &wire.HostReleased{
		Host:       host,
		WorkerBoot: state.GetSpec().GetWorkerBoot(),
		Alive:      state.GetAlive(),
		Reason:     reason,
	}}})
}

func (w *world) setZone(inService bool) {
	section, _ := w.state.Section("zone " + zone)
	w.apply(&wire.Record{Body: &wire.Record_SectionPublished{SectionPublished: &wire.SectionPublished{
		Section: "zone " + zone,
		Text:    fmt.Sprintf("in_service = %v", inService),
		Base:    section.GetPosition(),
	}}})
}

func (w *world) task(id string) *wire.TaskState {
	task, ok := w.state.Task(id)
	assert.Assert(w.tb, ok)
	return task
}

func (w *world) fault(fault emulator.Fault) {
	fault.Target = "worker"
	assert.Assert(w.tb, w.platform.SetFault(fault))
}

// events returns the events of all tasks that the platform observed, in order of
// time, each as kind and host, such as "start a".
func (w *world) events() []string {
	var events []string
	history := w.platform.History()
	slices.SortStableFunc(history.Events, func(a, b emulator.Event) int { return int(a.WallUnixUs - b.WallUnixUs) })
	for _, event := range history.Events {
		events = append(events, event.Kind+" "+event.Host)
	}
	return events
}
