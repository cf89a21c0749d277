package coordinator_test

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/appraiser"
	"damaskspread.example/damaskspread/coordinator"
	"damaskspread.example/damaskspread/elector"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/locator"
	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/submitter"
	"damaskspread.example/damaskspread/tailer"
	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

const (
	service = "planning"
	// recoveryBound is recoveryS of the deployments: the time within which jobs
	// are served again after a loss of all processes.
	recoveryBound = 12 * time.Second
	lease         = 3 * time.Second

	defaultMillicores, taskMillicores = 8000, 500
)

type elapsedClock struct{ start time.Time }

func (e elapsedClock) Elapsed() time.Duration { return time.Since(e.start) + time.Hour }

// operations is an OperatorView whose configuration changes with publish only.
type operations struct {
	zonesOut atomic.Pointer[map[string]bool]
	config   atomic.Pointer[wire.FleetConfig]
	// configAge is how old the configuration is.
	configAge atomic.Int64
}

func (o *operations) Config() (*wire.FleetConfig, time.Duration) {
	return o.config.Load(), time.Duration(o.configAge.Load())
}

// publish puts a version of the configuration with these queues in force.
func (o *operations) publish(version int64, queues ...*wire.Queue) {
	o.config.Store(&wire.FleetConfig{
		Version: version,
		Queues:  queues,
	})
}

func defaultQueue() *wire.Queue {
	return &wire.Queue{Name: "previews", Service: service, MaxAttempts: 3, Stretch: 1.5}
}

func (o *operations) ZonesOut() map[string]bool {
	if zones := o.zonesOut.Load(); zones != nil {
		return *zones
	}
	return nil
}

func (o *operations) takeOut(zone string) { o.zonesOut.Store(&map[string]bool{zone: true}) }

// advisor grants tickets for every step, but only to the executors of host, whose
// ids begin with its name; none if host is empty.
type advisor struct {
	host string
	// validFor is how long tickets are valid; a second if 0.
	validFor time.Duration
	calls    atomic.Int64
}

func (a *advisor) Advise(_ context.Context, _ string, executors []string) (map[string]string, time.Duration, error) {
	a.calls.Add(1)
	tickets := map[string]string{}
	for _, executor := range executors {
		if strings.HasPrefix(executor, a.host+"-") {
			tickets[executor] = "ticket"
		}
	}
	return tickets, cmp.Or(a.validFor, time.Second), nil
}

// testFleet is a fleet in one process: a log, entry processes, and hosts with an
// agent and an executor each. The tests assert on the run events that the
// executors observed.
type testFleet struct {
	t            *testing.T
	clock        clockwork.Clock
	elapsedClock elapsedClock
	log          *emulator.KeyedLog
	entries      []*entry
	hosts        []*host
	operations   operations
	runTime      func(task string) time.Duration
	advisor      *advisor
	// maxAppendBytes is that of the coordinators started later; 0 is the default.
	maxAppendBytes int
	// learnRunTimes is that of the coordinators started later.
	learnRunTimes bool
	// speculativeCopies is that of the coordinators started later.
	speculativeCopies bool
	// statusRetention and refusalRetention are those of the coordinators started
	// later; 0 is a minute and the default.
	statusRetention, refusalRetention time.Duration
	// costOrder is that of the planners of coordinators started later.
	costOrder bool
	// bestEffortWait is that of the planners started later.
	bestEffortWait time.Duration
	// recoveryTime is that of the coordinators started later.
	recoveryTime time.Duration
	// announceInterval is the time between two heartbeats of an executor.
	announceInterval time.Duration
	// capacities checks that no start brings an executor over its capacity.
	capacities *emulator.CapacityChecker

	mu            sync.Mutex
	events        []emulator.RunEvent
	running       map[string]string
	duplicateRuns []string
	submitted     map[string]*wire.Job
	// doneTasks have ended with the cause done; startsAfterDone are their later starts.
	doneTasks       map[string]bool
	startsAfterDone []string
	// onOpening is called for each request that opened a session, before the agent
	// gets the response; it may be nil.
	onOpening func(request *wire.ExchangeRequest)
}

type entry struct {
	name        string
	client      *emulator.KeyedLogClient
	elector     *elector.Elector
	submitter   *submitter.Submitter
	coordinator *coordinator.Coordinator
	tomb        *tomb.Tomb
	server      *httptest.Server
	// disconnected makes the server break off each call after 500 ms.
	disconnected atomic.Bool
	// writes changes the appends of the entry.
	writes writeFilter
}

func newTestFleet(t *testing.T, entries, hosts int, runTime func(task string) time.Duration) *testFleet {
	clock := clockwork.NewRealClock()
	f := &testFleet{
		t:            t,
		clock:        clock,
		elapsedClock: elapsedClock{start: time.Now()},
		log:          &emulator.KeyedLog{Clock: clock},
		runTime:      runTime,
		advisor:      &advisor{},
		running:      map[string]string{},
		submitted:    map[string]*wire.Job{},
		doneTasks:    map[string]bool{},

		announceInterval: 50 * time.Millisecond,
	}
	f.operations.publish(1, defaultQueue())
	f.capacities = &emulator.CapacityChecker{Clock: clock, Step: f.stepOf}
	for i := range entries {
		f.entries = append(f.entries, &entry{name: fmt.Sprintf("entry-%d", i)})
		f.startEntry(f.entries[i])
	}
	for i := range hosts {
		f.hosts = append(f.hosts, f.newHost(fmt.Sprintf("host-%d", i)))
		f.startAgent(f.hosts[i])
	}
	t.Cleanup(f.stop)
	return f
}

func (f *testFleet) stop() {
	for _, e := range f.entries {
		f.killEntry(e)
	}
	for _, h := range f.hosts {
		f.killAgent(h)
	}
}

func (f *testFleet) startEntry(e *entry) {
	e.client = &emulator.KeyedLogClient{Log: f.log}
	e.tomb = &tomb.Tomb{}
	index := &indexer.Index{}
	jobs := f.newTailer(&filteredLog{KeyedLogClient: e.client, filter: &e.writes}, indexer.Topic, index.Apply)
	e.elector = &elector.Elector{
		Log:     &filteredLog{KeyedLogClient: e.client, filter: &e.writes},
		Clock:   f.clock,
		Elapsed: f.elapsedClock,
		Process: e.name,
	}
	leaders := f.newTailer(e.client, elector.Topic, e.elector.Apply)
	e.elector.Tail = leaders
	c := &coordinator.Coordinator{
		Log:        &filteredLog{KeyedLogClient: e.client, filter: &e.writes},
		Index:      index,
		JobsTail:   jobs,
		Operations: &f.operations,
		Elector:    e.elector,
		Planner: &planner.Planner{
			CostOrder:      f.costOrder,
			BestEffortWait: f.bestEffortWait,
		},
		Appraiser:       &appraiser.Appraiser{},
		Advisor:         f.advisor,
		Clock:           f.clock,
		Elapsed:         f.elapsedClock,
		LeaseDuration:   lease,
		StatusRetention: cmp.Or(f.statusRetention, time.Minute),
		MaxAppendBytes:  f.maxAppendBytes,
		LearnRunTimes:   f.learnRunTimes,

		SpeculativeCopies: f.speculativeCopies,
		RefusalRetention:  f.refusalRetention,
		RecoveryTime:      f.recoveryTime,
	}
	c.Init()
	e.coordinator = c
	e.elector.WaitingSince, e.elector.Probe = c.WaitingSince, c.ProbeLog
	e.elector.OnLeadershipWon, e.elector.OnLeadershipLost, index.OnChange = c.StartLeading, c.StopLeading, c.JobsChanged
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewCoordinatorServiceHandler(c, connect.WithInterceptors(f.watchOpenings())))
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.disconnected.Load() {
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
		Clock:         f.clock,
		VisibleWithin: 3 * time.Second,
	}
	e.submitter.Init()
	c.Screen = e.submitter
	presence := &wire.EntryPresence{Process: e.name, Address: e.elector.Address}
	assert.NilError(f.t, locator.Announce(context.Background(), e.client, presence))
	for _, run := range []func(*tomb.Tomb) error{jobs.Run, leaders.Run, e.elector.Run, c.Run, e.submitter.Run} {
		e.tomb.Go(func() error { return run(e.tomb) })
	}
}

func (f *testFleet) newTailer(client damaskspread.KeyedLog, topic string, apply func([]*wire.KeyedRecord, bool)) *tailer.Tailer {
	return &tailer.Tailer{
		Log:      client,
		Topic:    topic,
		Clock:    f.clock,
		Elapsed:  f.elapsedClock,
		ReadWait: 300 * time.Millisecond,
		Apply:    apply,
	}
}

func (f *testFleet) killEntry(e *entry) {
	if !e.tomb.Alive() {
		return
	}
	e.client.SetDown(true)
	e.tomb.Kill(nil)
	e.server.CloseClientConnections()
	e.server.Close()
	_ = e.tomb.Wait()
}

// observe records run events and tasks that run on two executors at once.
func (f *testFleet) observe(event emulator.RunEvent) {
	f.capacities.Observe(event)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, event)
	if event.Cause != wire.EndCause_END_CAUSE_UNSPECIFIED {
		if f.running[event.Task] == event.Executor {
			delete(f.running, event.Task)
		}
		if event.Cause == wire.EndCause_END_CAUSE_DONE {
			f.doneTasks[event.Task] = true
		}
		return
	}
	if f.doneTasks[event.Task] {
		f.startsAfterDone = append(f.startsAfterDone, fmt.Sprintf("run %d of %s on %s", event.Run, event.Task, event.Executor))
	}
	if other, runs := f.running[event.Task]; runs {
		f.duplicateRuns = append(f.duplicateRuns, fmt.Sprintf("%s on %s and %s", event.Task, other, event.Executor))
	}
	f.running[event.Task] = event.Executor
}

// leader waits for a leader and returns it.
func (f *testFleet) leader() *entry {
	var leader *entry
	f.waitFor("leader", func() bool {
		for _, e := range f.entries {
			if e.tomb.Alive() && e.elector.Epoch() != 0 {
				leader = e
				return true
			}
		}
		return false
	})
	return leader
}

func (f *testFleet) waitFor(what string, condition func() bool) {
	f.t.Helper()
	f.waitWithin(recoveryBound, what, condition)
}

func (f *testFleet) waitWithin(bound time.Duration, what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(bound)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("no %s within %s", what, bound)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (f *testFleet) submit(e *entry, job *wire.Job) {
	f.t.Helper()
	f.submitTo(e, defaultQueue(), job)
}

func (f *testFleet) submitTo(e *entry, queue *wire.Queue, job *wire.Job) {
	f.t.Helper()
	f.mu.Lock()
	f.submitted[job.GetId()] = job
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), recoveryBound)
	defer cancel()
	assert.NilError(f.t, e.submitter.Submit(ctx, queue, job))
}

// jobState returns the status that the entry process reports, UNSPECIFIED if it
// reports an error.
func (f *testFleet) jobState(e *entry, id string) wire.JobState {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	jobState, err := e.submitter.Status(ctx, nil, id)
	if err != nil {
		return wire.JobState_JOB_STATE_UNSPECIFIED
	}
	return jobState
}

// assignedTasks returns the number of assigned tasks in the stored progress of a job.
func (f *testFleet) assignedTasks(job string) int {
	page, err := (&emulator.KeyedLogClient{Log: f.log}).Newest(f.t.Context(), "progress", "")
	assert.NilError(f.t, err)
	assigned := 0
	for _, record := range page.GetRecords() {
		progress := &wire.JobProgress{}
		if record.GetKey() != job || proto.Unmarshal(record.GetValue(), progress) != nil {
			continue
		}
		for _, step := range progress.GetOccurrences()[0].GetSteps() {
			for _, task := range step.GetTasks() {
				if task.GetState() == wire.JobTaskState_JOB_TASK_STATE_ASSIGNED {
					assigned++
				}
			}
		}
	}
	return assigned
}

func (f *testFleet) waitSucceeded(e *entry, id string) {
	f.t.Helper()
	f.waitFor("success of "+id, func() bool { return f.jobState(e, id) == wire.JobState_JOB_STATE_SUCCEEDED })
}

// countEvents returns the number of events with a cause for tasks of jobID. The
// cause END_CAUSE_UNSPECIFIED stands for a start.
func (f *testFleet) countEvents(cause wire.EndCause) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, event := range f.events {
		if strings.HasPrefix(event.Task, jobID) && event.Cause == cause {
			n++
		}
	}
	return n
}

func (f *testFleet) assertNoDuplicateRuns() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Equal(f.t, len(f.duplicateRuns), 0, "%v", f.duplicateRuns)
}

func (f *testFleet) assertWithinCapacity() {
	f.t.Helper()
	violations := f.capacities.Violations()
	assert.Equal(f.t, len(violations), 0, "%v", violations)
}

// steps returns one step for each count. Each step follows the one before it.
func steps(counts ...int32) []*wire.JobStep {
	var all []*wire.JobStep
	for i, count := range counts {
		step := &wire.JobStep{
			Count:     count,
			Resources: &wire.Resources{Millicores: taskMillicores, MemoryBytes: 1 << 30},
		}
		if i > 0 {
			step.After = []int32{int32(i - 1)}
		}
		all = append(all, step)
	}
	return all
}

// fixedRunTime returns a function that gives all tasks the run time d. A negative
// one means that tasks run until they are stopped.
func fixedRunTime(d time.Duration) func(string) time.Duration {
	return func(string) time.Duration { return d }
}
