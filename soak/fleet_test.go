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
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

const (
	// announcementInterval is that of the platform's executors. One that is not
	// acknowledged is repeated after announcementRetry.
	announcementInterval = 1500 * time.Millisecond
	announcementRetry    = 200 * time.Millisecond
	endsInterval         = 2 * time.Millisecond
)

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
	// outages is set if all entries are killed at once in place of one leader after another,
	// and executors accept leases of longLeaseMax.
	outages bool
	// turnsAway is set if the log turns away appends of the leader to one topic.
	turnsAway bool
	// cancels is set if jobs are canceled in waves beside log outages and kills of leaders,
	// and executors drain. onlyWaves is set if there are no other faults.
	cancels, onlyWaves bool
	abandoned          abandonedJobs
	// executorLog records the calls and runs of the executors.
	executorLog *log.Logger
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
		losses:     seed >= firstLossSeed && seed < firstCancelSeed,
		onlyLosses: seed >= firstLossSeed && seed < firstCancelSeed && seed%2 != 0,
		outages:    seed >= firstLossSeed && seed < firstTurnedAwaySeed && seed%4 < 2,
		turnsAway:  seed >= firstTurnedAwaySeed && seed < firstCancelSeed,
		cancels:    seed >= firstCancelSeed,
		onlyWaves:  seed >= firstCancelSeed && seed%2 != 0,
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
		if !h.down.Load() && sendAnnouncement(client, info, address, sequence, h.drainsUntil.Load()) {
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
func sendAnnouncement(client *http.Client, info *wire.ExecutorInfo, address string, sequence int, drainsUntil int64) bool {
	capacity := info.GetCapacity()
	state, remaining := "ready", int64(0)
	if drainsUntil > 0 {
		state, remaining = "draining", max(0, drainsUntil-time.Now().UnixMilli())
	}
	body, _ := json.Marshal(map[string]any{
		"service": "s", "address": "127.0.0.1:80", "zone": "z", "state": state, "remainingMs": remaining, "sequence": sequence, "clockMs": info.GetClockMs(),
		"born": info.GetBornUnixMs(), "capacity": map[string]int64{"cpu": capacity.GetMillicores(), "memMb": capacity.GetMemoryBytes() / megabyte}, "labels": []string{"a", "r"},
	})
	response, err := client.Post("http://"+address+"/Instances.Heartbeat/"+info.GetId(), "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
