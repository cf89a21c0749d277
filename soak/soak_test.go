// Package soak_test runs the job processes as separate processes on one
// machine, injects faults from outside them, and checks the guarantees against
// what callers and executors observe. The log and the executors are emulated in
// the test process.
//
// DAMASKSPREAD_SOAK_SEED sets the first seed, DAMASKSPREAD_SOAK_SEEDS the number
// of consecutive seeds to run, DAMASKSPREAD_SOAK_SECONDS the length of each run,
// DAMASKSPREAD_SOAK_LOGS a directory that keeps the logs of the processes.
package soak_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

const (
	firstStepTasks, secondStepTasks = 3, 2
	entryCount, hostCount           = 3, 4
	// recoveryLimit bounds the time in which accepted jobs succeed after the
	// last fault: recoveryS of the deployments plus the lease that a new leader
	// may have to wait for.
	recoveryLimit = 12*time.Second + 5*time.Second + 4*time.Second
	// Requests of each submitted task.
	submittedMillicores, submittedMegabytes = 200, 100
	// bulkMillicores lets two tasks of a bulk job run on a host, so that a few callers
	// overload the hosts.
	bulkMillicores = 4000
	taskDuration   = 150 * time.Millisecond
	// announcementInterval is that of the platform's executors. One that is not
	// acknowledged is repeated after announcementRetry.
	announcementInterval = 1500 * time.Millisecond
	announcementRetry    = 200 * time.Millisecond
	endsInterval         = 2 * time.Millisecond

	megabyte   = 1 << 20
	pathPrefix = "/jobs/"
	bulkPrefix = "/bulk/"
	hostHeader = "soak.example"
)

var (
	daemon   string
	loopback = fmt.Sprintf("127.%d.%d.2", 1+os.Getpid()>>8&0x7f, os.Getpid()&0xff)
)

var (
	submittedStep = &wire.JobStep{
		Resources: &wire.Resources{Millicores: submittedMillicores, MemoryBytes: submittedMegabytes * megabyte},
	}
	bulkStep = &wire.JobStep{
		Resources: &wire.Resources{Millicores: bulkMillicores, MemoryBytes: submittedMegabytes * megabyte},
	}
	defaultCapacity = &wire.Resources{Millicores: 8000, MemoryBytes: 64000 * megabyte}
)

// regression is a seed that once failed.
type regression struct {
	cause string
	// restarts is set if the failure needs the series of restarts under one id.
	restarts bool
}

var regressions = map[uint64]regression{
	3: {
		cause: "starts at an executor that came back smaller under its id, before the agent noticed the restart",
	},
	16: {
		cause: "the check of a stopped start was dropped with the session, so that its task stayed assigned and never started",
	},
	119: {
		cause:    "the call that checks whether an executor has restarted carried the number of its last end in the life before, so that the new life forgot an end",
		restarts: true,
	},
}

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "damaskspread-soak")
	if err != nil {
		panic(err)
	}
	daemon = filepath.Join(dir, "damaskspread")
	if out, err := exec.Command("go", "build", "-o", daemon, "../cmd/damaskspread").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func intVariable(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// Guards against violations of the guarantees under overlapping faults.
func TestSoak(t *testing.T) {
	length := time.Duration(intVariable("DAMASKSPREAD_SOAK_SECONDS", 12)) * time.Second
	seeds := []uint64{uint64(intVariable("DAMASKSPREAD_SOAK_SEED", 1))}
	for i := 1; i < intVariable("DAMASKSPREAD_SOAK_SEEDS", 1); i++ {
		seeds = append(seeds, seeds[0]+uint64(i))
	}
	for seed := range regressions {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSoak(t, seed, length) })
	}
}

// fleet is the system under test: the entry and agent processes, with an
// emulated log and emulated executors.
type fleet struct {
	t         *testing.T
	random    *rand.Rand
	checker   *checker
	log       *emulator.KeyedLog
	logServer *httptest.Server
	entries   []*process
	agents    []*process
	executors []*executorHandler
	bootCount atomic.Int64
	logDir    string
	// scheduling is set if the settings of the section [scheduling] are switched on.
	scheduling bool
	// restarts is set if executors restart in series under their ids, calls take effect
	// late, stops are slow, and some jobs are long and canceled.
	restarts bool
	// losses is set if executors, agents and leaders are lost together, and some jobs have
	// tasks that last. onlyLosses is set if there are no other faults, and no jobs that leave
	// no room for these tasks.
	losses, onlyLosses bool
	// executorLog records the calls and runs of the executors.
	executorLog *log.Logger
}

func runSoak(t *testing.T, seed uint64, length time.Duration) {
	f := newFleet(t, seed)
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	watched, stopWatching := context.WithCancel(context.Background())
	defer stopWatching()
	var callers, watching sync.WaitGroup
	watching.Go(func() { f.watchLasting(watched) })
	jobs := make(chan string, 10_000)
	for i := range 4 {
		callers.Go(func() { f.submitJobs(ctx, i, seed, jobs) })
	}
	var lasting []string
	if f.losses {
		callers.Go(func() { lasting = f.submitLasting(ctx, seed) })
		callers.Go(func() { f.injectLosses(ctx, seed) })
	}
	if f.onlyLosses {
		<-ctx.Done()
	} else {
		f.submitDemanding(ctx, &callers, seed, jobs)
		if f.restarts {
			callers.Go(func() { f.injectRestarts(ctx, seed) })
		}
		f.injectFaults(ctx)
	}
	callers.Wait()
	close(jobs)
	f.heal()
	var awaiting sync.WaitGroup
	awaiting.Go(func() { f.awaitLasting(lasting) })
	f.awaitJobs(jobs)
	awaiting.Wait()
	stopWatching()
	watching.Wait()
	for _, violation := range f.checker.report() {
		t.Errorf("seed %d: %s", seed, violation)
	}
	t.Logf("seed %d: %s, logs in %s", seed, f.checker.summary(), f.logDir)
}

// submitDemanding submits the jobs that need whole hosts or run for seconds.
func (f *fleet) submitDemanding(ctx context.Context, callers *sync.WaitGroup, seed uint64, jobs chan<- string) {
	bulk := bulkCallers
	if f.restarts {
		bulk = bulkCallersBesideRestarts
	}
	for i := range bulk {
		if f.scheduling {
			callers.Go(func() { f.submitBulk(ctx, i, seed, jobs) })
		}
	}
	for i := range longCallers {
		if f.restarts {
			callers.Go(func() { f.submitLong(ctx, i, seed, jobs) })
		}
	}
}

func newFleet(t *testing.T, seed uint64) *fleet {
	clock := clockwork.NewRealClock()
	f := &fleet{
		t:       t,
		random:  rand.New(rand.NewPCG(seed, seed)),
		checker: newChecker(),
		log:     &emulator.KeyedLog{Clock: clock},
		logDir:  logDir(t, seed),
		// Each fourth seed runs with the defaults.
		scheduling: seed%4 != 0,
		restarts:   seed != 0,
		losses:     seed >= firstLossSeed,
		onlyLosses: seed >= firstLossSeed && seed%2 != 0,
	}
	if kept, isKept := regressions[seed]; isKept {
		f.restarts = kept.restarts
	}
	f.executorLog = newExecutorLog(t, f.logDir)
	client := &emulator.KeyedLogClient{Log: f.log}
	config := fmt.Sprintf(`{"version":1,"routes":[{"name":"q","host":%q,"pathPrefix":%q,"service":"s","maxAttempts":4,"stretch":2},{"name":"bulk","host":%q,"pathPrefix":%q,"service":"s","maxAttempts":4,"stretch":2,"sloMs":300,"priority":1}],"services":[{"name":"s"}]}`, hostHeader, pathPrefix, hostHeader, bulkPrefix)
	_, err := client.Append(context.Background(), "op", []*wire.KeyedRecord{{Key: "config", Value: []byte(config)}}, nil)
	assert.NilError(t, err)
	f.logServer = httptest.NewServer(logHandler(client))
	t.Cleanup(f.logServer.Close)
	for i := range entryCount {
		f.entries = append(f.entries, f.newProcess("job-entry", fmt.Sprintf("entry-%d", i), ""))
	}
	for i := range hostCount {
		f.addHost(i, clock)
	}
	return f
}

// logDir returns a directory for the logs, which is kept after the test only below
// the one that the environment names.
func logDir(t *testing.T, seed uint64) string {
	parent := os.Getenv("DAMASKSPREAD_SOAK_LOGS")
	if parent == "" {
		return t.TempDir()
	}
	dir := filepath.Join(parent, fmt.Sprint(seed))
	assert.NilError(t, os.MkdirAll(dir, 0o750))
	return dir
}

// newExecutorLog opens the log of what the executors do, beside those of the processes.
func newExecutorLog(t *testing.T, dir string) *log.Logger {
	file, err := os.Create(filepath.Join(dir, "executors.txt"))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = file.Close() })
	return log.New(file, "", log.Lmicroseconds)
}

func (f *fleet) observe(event emulator.RunEvent) {
	f.executorLog.Printf("%s: run %d of %s: %s", event.Executor, event.Run, event.Task, event.Cause)
	f.checker.observe(event)
}

func (f *fleet) addHost(i int, clock clockwork.Clock) {
	executor := &emulator.JobExecutor{
		Clock:        clock,
		TaskDuration: durationOf,
		Observe:      f.observe,
		Acknowledged: f.checker.acknowledge,
	}
	handler := &executorHandler{
		executor:  executor,
		log:       f.executorLog,
		checker:   f.checker,
		slowStops: f.restarts,
		wake:      make(chan struct{}, 1),
		lateCalls: map[string][]lateCall{},
	}
	f.executors = append(f.executors, handler)
	f.boot(i)
	handler.address = freeAddress(f.t)
	handler.listen(f.t)
	f.t.Cleanup(handler.close)
	agent := f.newProcess("job-agent", fmt.Sprintf("agent-%d", i), handler.address)
	f.agents = append(f.agents, agent)
	stop := make(chan struct{})
	f.t.Cleanup(func() { close(stop) })
	go announce(handler, agent.executorsAddress, stop)
	go observeEnds(executor, stop)
}

// observeEnds makes the ends of runs known to the checker at once until stop is closed:
// an executor notices them only when it is called.
func observeEnds(executor *emulator.JobExecutor, stop chan struct{}) {
	ticker := time.NewTicker(endsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			executor.Running()
		case <-stop:
			return
		}
	}
}

// boot restarts the executor of a host as a new incarnation without state.
func (f *fleet) boot(i int) {
	f.bootAs(i, f.nextID(i), defaultCapacity)
}

// nextID returns the id of another incarnation on a host.
func (f *fleet) nextID(i int) string { return fmt.Sprintf("i-%d-%d", i, f.bootCount.Add(1)) }

func (f *fleet) bootAs(i int, id string, capacity *wire.Resources) {
	f.executorLog.Printf("%s starts", id)
	f.checker.capacities.Booted(id, capacity)
	f.checker.setCapacity(id, capacity.GetMillicores())
	f.executors[i].executor.SetCapacity(capacity)
	f.executors[i].executor.Boot(id)
}

// announce sends the periodic heartbeats of an executor to its agent until stop
// is closed.
func announce(h *executorHandler, address string, stop chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for sequence := 1; ; sequence++ {
		interval := announcementRetry
		info := h.executor.Info("s", "z", nil)
		if !h.down.Load() && sendAnnouncement(client, info, address, sequence) {
			h.noteAnnouncement(info.GetBornUnixMs())
			interval = announcementInterval
		}
		select {
		case <-time.After(interval):
		case <-h.wake:
		case <-stop:
			return
		}
	}
}

// sendAnnouncement reports whether the agent acknowledged the announcement.
func sendAnnouncement(client *http.Client, info *wire.ExecutorInfo, address string, sequence int) bool {
	capacity := info.GetCapacity()
	body, _ := json.Marshal(map[string]any{
		"service": "s", "address": "127.0.0.1:80", "zone": "z", "state": "ready", "sequence": sequence, "clockMs": info.GetClockMs(),
		"born": info.GetBornUnixMs(), "capacity": map[string]int64{"cpu": capacity.GetMillicores(), "memMb": capacity.GetMemoryBytes() / megabyte}, "labels": []string{"a", "r"},
	})
	response, err := client.Post("http://"+address+"/Instances.Heartbeat/"+info.GetId(), "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
