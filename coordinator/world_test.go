package coordinator_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/connector"
	"damaskspread.example/damaskspread/coordinator"
	"damaskspread.example/damaskspread/elector"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/locator"
	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/runner"
	"damaskspread.example/damaskspread/submitter"
	"damaskspread.example/damaskspread/tailer"
	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

const (
	service = "planning"
	// bound is recoveryS of the deployments: the time within which jobs are
	// served again after a loss of all processes.
	bound = 12 * time.Second
	lease = 3 * time.Second
)

type elapsed struct{ start time.Time }

func (e elapsed) Elapsed() time.Duration { return time.Since(e.start) + time.Hour }

// operations is a fixed configuration.
type operations struct{}

func (operations) Config() (*wire.FleetConfig, time.Duration) {
	return &wire.FleetConfig{Version: 1}, 0
}
func (operations) ZonesOut() map[string]bool { return nil }

// advisor grants every step to executors of one host only.
type advisor struct {
	host  string
	calls atomic.Int64
}

func (a *advisor) Advise(_ context.Context, _ string, executors []string) (map[string]string, time.Duration, error) {
	a.calls.Add(1)
	tickets := map[string]string{}
	for _, executor := range executors {
		if strings.HasPrefix(executor, a.host+"-") {
			tickets[executor] = "ticket"
		}
	}
	return tickets, time.Second, nil
}

// world is a fleet in one process: a log, entries, and hosts with an agent and
// an executor each. What executors saw is the judge.
type world struct {
	t       *testing.T
	clock   clockwork.Clock
	elapsed elapsed
	log     *emulator.KeyedLog
	entries []*entry
	hosts   []*host
	work    func(task string) time.Duration
	advisor *advisor

	mu      sync.Mutex
	events  []emulator.RunEvent
	running map[string]string
	doubled []string
}

type entry struct {
	name      string
	client    *emulator.KeyedLogClient
	elector   *elector.Elector
	submitter *submitter.Submitter
	tomb      *tomb.Tomb
	server    *httptest.Server
	// cut breaks the calls of agents off after a while.
	cut atomic.Bool
}

type host struct {
	name     string
	executor *emulator.JobExecutor
	client   *emulator.KeyedLogClient
	tomb     *tomb.Tomb
	boots    int
}

func newWorld(t *testing.T, entries, hosts int, work func(task string) time.Duration) *world {
	clock := clockwork.NewRealClock()
	w := &world{
		t:       t,
		clock:   clock,
		elapsed: elapsed{start: time.Now()},
		log:     &emulator.KeyedLog{Clock: clock},
		work:    work,
		advisor: &advisor{},
		running: map[string]string{},
	}
	for i := range entries {
		w.entries = append(w.entries, &entry{name: fmt.Sprintf("entry-%d", i)})
		w.startEntry(w.entries[i])
	}
	for i := range hosts {
		w.hosts = append(w.hosts, w.newHost(fmt.Sprintf("host-%d", i)))
		w.startAgent(w.hosts[i])
	}
	t.Cleanup(w.stop)
	return w
}

func (w *world) stop() {
	for _, e := range w.entries {
		w.killEntry(e)
	}
	for _, h := range w.hosts {
		w.killAgent(h)
	}
}

func (w *world) startEntry(e *entry) {
	e.client = &emulator.KeyedLogClient{Log: w.log}
	e.tomb = &tomb.Tomb{}
	index := &indexer.Index{}
	jobs := w.tail(e.client, indexer.Topic, index.Apply)
	e.elector = &elector.Elector{
		Log:     e.client,
		Clock:   w.clock,
		Elapsed: w.elapsed,
		Process: e.name,
	}
	leaders := w.tail(e.client, elector.Topic, e.elector.Apply)
	e.elector.Tail = leaders
	c := &coordinator.Coordinator{
		Log:        e.client,
		Index:      index,
		JobsTail:   jobs,
		Operations: operations{},
		Election:   e.elector,
		Planner:    &planner.Planner{},
		Advisor:    w.advisor,
		Clock:      w.clock,
		Elapsed:    w.elapsed,
		LeaseFor:   lease,
		StatusFor:  time.Minute,
	}
	c.Init()
	e.elector.Won, e.elector.Lost, index.Changed = c.Won, c.Lost, c.JobsChanged
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewCoordinatorServiceHandler(c))
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.cut.Load() {
			time.Sleep(500 * time.Millisecond)
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	}))
	e.elector.Address = strings.TrimPrefix(e.server.URL, "http://")
	e.submitter = &submitter.Submitter{
		Log:           e.client,
		Index:         index,
		Tail:          jobs,
		Clock:         w.clock,
		VisibleWithin: 3 * time.Second,
	}
	e.submitter.Init()
	presence := &wire.EntryPresence{Process: e.name, Address: e.elector.Address}
	assert.NilError(w.t, locator.Announce(context.Background(), e.client, presence))
	for _, run := range []func(*tomb.Tomb) error{jobs.Run, leaders.Run, e.elector.Run, c.Run, e.submitter.Run} {
		e.tomb.Go(func() error { return run(e.tomb) })
	}
}

func (w *world) tail(client *emulator.KeyedLogClient, topic string, apply func([]*wire.KeyedRecord, bool)) *tailer.Tailer {
	return &tailer.Tailer{
		Log:     client,
		Topic:   topic,
		Clock:   w.clock,
		Elapsed: w.elapsed,
		Wait:    300 * time.Millisecond,
		Apply:   apply,
	}
}

func (w *world) killEntry(e *entry) {
	if !e.tomb.Alive() {
		return
	}
	e.client.SetDown(true)
	e.tomb.Kill(nil)
	e.server.CloseClientConnections()
	e.server.Close()
	_ = e.tomb.Wait()
}

func (w *world) newHost(name string) *host {
	h := &host{
		name:   name,
		client: &emulator.KeyedLogClient{Log: w.log},
	}
	h.executor = &emulator.JobExecutor{
		Clock:   w.clock,
		Work:    w.work,
		Observe: w.observe,
	}
	w.boot(h)
	return h
}

func (w *world) boot(h *host) {
	h.boots++
	h.executor.Boot(fmt.Sprintf("%s-%d", h.name, h.boots))
}

func (w *world) startAgent(h *host) {
	h.tomb = &tomb.Tomb{}
	peers := connector.NewHTTPClient()
	r := &runner.Runner{
		Executor: h.executor,
		Leader: &locator.Locator{
			Log:     h.client,
			HTTP:    peers,
			Elapsed: w.elapsed,
		},
		Clock:      w.clock,
		Elapsed:    w.elapsed,
		Host:       h.name,
		StopWithin: 50 * time.Millisecond,
	}
	r.Init()
	h.tomb.Go(func() error { return r.Run(h.tomb) })
	h.tomb.Go(func() error { return w.announce(h, r) })
}

// announce is the executor's side of its heartbeats.
func (w *world) announce(h *host, r *runner.Runner) error {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	capacity := &wire.Resources{Millicores: 8000, MemoryBytes: 64 << 30}
	for sequence := int64(1); ; sequence++ {
		info := h.executor.Info(service, "zone", capacity, "kind", "rack")
		info.Sequence = sequence
		r.ExecutorAnnounced(info)
		select {
		case <-ticker.C:
		case <-h.tomb.Dying():
			return nil
		}
	}
}

func (w *world) killAgent(h *host) {
	h.tomb.Kill(nil)
	_ = h.tomb.Wait()
}

// observe keeps the account of runs and notices a task that runs twice.
func (w *world) observe(event emulator.RunEvent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, event)
	if event.Cause != wire.EndCause_END_CAUSE_UNSPECIFIED {
		if w.running[event.Task] == event.Executor {
			delete(w.running, event.Task)
		}
		return
	}
	if other, runs := w.running[event.Task]; runs {
		w.doubled = append(w.doubled, fmt.Sprintf("%s on %s and %s", event.Task, other, event.Executor))
	}
	w.running[event.Task] = event.Executor
}

func (w *world) leader() *entry {
	var leader *entry
	w.until("a leader", func() bool {
		for _, e := range w.entries {
			if e.tomb.Alive() && e.elector.Epoch() != 0 {
				leader = e
				return true
			}
		}
		return false
	})
	return leader
}

// busy waits for a host that runs a task; which one gets the first tasks depends
// on whose agent was there first.
func (w *world) busy() *host {
	var busy *host
	w.until("start", func() bool {
		for _, h := range w.hosts {
			if h.executor.Running() > 0 {
				busy = h
				return true
			}
		}
		return false
	})
	return busy
}

func (w *world) until(what string, condition func() bool) {
	w.t.Helper()
	deadline := time.Now().Add(bound)
	for !condition() {
		if time.Now().After(deadline) {
			w.t.Fatalf("no %s within %s", what, bound)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (w *world) submit(e *entry, job *wire.Job) {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	queue := &wire.Queue{Name: "previews", Service: service, MaxAttempts: 3, Stretch: 1.5}
	assert.NilError(w.t, e.submitter.Submit(ctx, queue, job))
}

func (w *world) state(e *entry, id string) wire.JobState {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	state, err := e.submitter.Status(ctx, nil, id)
	if err != nil {
		return wire.JobState_JOB_STATE_UNSPECIFIED
	}
	return state
}

func (w *world) succeeds(e *entry, id string) {
	w.t.Helper()
	w.until("success of "+id, func() bool { return w.state(e, id) == wire.JobState_JOB_STATE_SUCCEEDED })
}

// count is the number of events of a cause for tasks of the usual job.
func (w *world) count(cause wire.EndCause) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, event := range w.events {
		if strings.HasPrefix(event.Task, jobID) && event.Cause == cause {
			n++
		}
	}
	return n
}

func (w *world) neverTwice() {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Equal(w.t, len(w.doubled), 0, "%v", w.doubled)
}

func steps(counts ...int32) []*wire.JobStep {
	var all []*wire.JobStep
	for i, count := range counts {
		step := &wire.JobStep{
			Count:     count,
			Resources: &wire.Resources{Millicores: 500, MemoryBytes: 1 << 30},
		}
		if i > 0 {
			step.After = []int32{int32(i - 1)}
		}
		all = append(all, step)
	}
	return all
}

func after(d time.Duration) func(string) time.Duration {
	return func(string) time.Duration { return d }
}
