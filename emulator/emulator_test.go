package emulator_test

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/connector"
	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

const (
	hostA = "a"
	hostB = "b"
)

type server interface {
	Listen() error
	Run(t *tomb.Tomb) error
}

func start(t *testing.T, r server) {
	t.Helper()
	assert.NilError(t, r.Listen())
	var tb tomb.Tomb
	tb.Go(func() error { return r.Run(&tb) })
	t.Cleanup(func() {
		tb.Kill(nil)
		assert.NilError(t, tb.Wait())
	})
}

func startPlatform(t *testing.T) (*emulator.Platform, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	p := &emulator.Platform{
		Clock:            clock,
		LogAddress:       "127.0.0.1:0",
		ControlAddress:   "127.0.0.1:0",
		RetainEntries:    3,
		RetainFor:        time.Minute,
		AppendsPerSecond: 5,
		UsageLag:         2 * time.Second,
	}
	for _, host := range []string{hostA, hostB} {
		p.Workers = append(p.Workers, emulator.Worker{
			Host:     host,
			Address:  "127.0.0.1:0",
			Capacity: &wire.Resources{Millicores: 1000},
		})
	}
	start(t, p)
	return p, clock
}

func workerClient(p *emulator.Platform, host string) *connector.Worker {
	return &connector.Worker{Address: p.WorkerURL(host)}
}

// startRequest is for a worker in its first boot. The task takes 20 s, its lease
// ends after 10 s.
func startRequest(host, task string, token int64) *wire.StartRequest {
	return &wire.StartRequest{
		Boot: host + "-boot-1",
		Spec: &wire.TaskSpec{
			Task:          task,
			Resources:     &wire.Resources{Millicores: 600},
			CanCheckpoint: true,
			Parameters:    map[string]string{"run_ms": "20000"},
		},
		Token:        token,
		LeaseUntilUs: (10 * time.Second).Microseconds(),
		NotAfterUs:   (15 * time.Second).Microseconds(),
	}
}

// Guards against a worker that runs a task twice, starts one late, under a fenced
// token or beyond its capacity, or continues one after its lease ended.
func TestWorkerEnforcesStartLimitsAndLease(t *testing.T) {
	p, clock := startPlatform(t)
	a, b := workerClient(p, hostA), workerClient(p, hostB)
	for range 2 {
		_, err := a.Start(t.Context(), startRequest(hostA, "x", 5))
		assert.NilError(t, err)
	}
	_, err := a.Start(t.Context(), startRequest(hostA, "y", 6))
	assert.ErrorContains(t, err, "no capacity")
	_, err = a.Start(t.Context(), startRequest(hostA, "x", 7))
	assert.ErrorContains(t, err, "known under token 5")
	clock.Advance(4 * time.Second)
	checkpoint, err := a.Checkpoint(t.Context(), hostA+"-boot-1", "x", 5)
	assert.NilError(t, err)
	_, err = b.Start(t.Context(), startRequest(hostB, "x", 8))
	assert.NilError(t, err)
	assert.NilError(t, b.Fence(t.Context(), hostB+"-boot-1", 9))
	_, err = b.Start(t.Context(), startRequest(hostB, "z", 8))
	assert.ErrorContains(t, err, "fenced")
	clock.Advance(8 * time.Second)
	status, err := a.Status(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, status.GetTasks()[0].GetPhase(), wire.WorkerTaskPhase_WORKER_TASK_PHASE_LEASE_LAPSED)
	assert.Equal(t, status.GetTasks()[0].GetCheckpoint(), checkpoint)

	resumed := startRequest(hostB, "x", 9)
	resumed.Checkpoint = checkpoint
	resumed.LeaseUntilUs = time.Hour.Microseconds()
	_, err = b.Start(t.Context(), resumed)
	assert.NilError(t, err)
	clock.Advance(15 * time.Second)
	_, err = b.Start(t.Context(), startRequest(hostB, "late", 10))
	assert.ErrorContains(t, err, "latest start time")
	clock.Advance(time.Second)

	var kinds []string
	history := p.History()
	for _, event := range history.Events {
		kinds = append(kinds, event.Kind+" "+event.Host)
	}
	assert.DeepEqual(t, kinds, []string{"start a", "checkpoint a", "start b", "stop b", "lapse a", "start b", "finish b"})
	assert.Equal(t, history.Events[4].WorkerUs, (10 * time.Second).Microseconds())
	assert.Equal(t, history.Events[5].ProgressMs, int64(4000))
	assert.Equal(t, len(history.Violations), 2)
	assert.Equal(t, history.Violations[0].Kind, "over_commitment_attempt")
	assert.Equal(t, history.Violations[1].Kind, "two_hosts")
	assert.Equal(t, history.MaxCommitted[hostA].GetMillicores(), int64(600))
}

// Guards against a delayed start order that starts an attempt already stopped.
func TestStopBeforeStartRefusesTheStart(t *testing.T) {
	p, _ := startPlatform(t)
	a := workerClient(p, hostA)
	task, err := a.Stop(t.Context(), hostA+"-boot-1", "x", 5)
	assert.NilError(t, err)
	assert.Equal(t, task.GetDetail(), emulator.NeverStarted)
	task, err = a.Start(t.Context(), startRequest(hostA, "x", 5))
	assert.NilError(t, err)
	assert.Equal(t, task.GetPhase(), wire.WorkerTaskPhase_WORKER_TASK_PHASE_STOPPED)
	assert.Equal(t, len(p.History().Events), 0)
}

func post(t *testing.T, url, body string) {
	t.Helper()
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

func get(t *testing.T, url string, into any) {
	t.Helper()
	response, err := http.Get(url)
	assert.NilError(t, err)
	assert.NilError(t, json.NewDecoder(response.Body).Decode(into))
	assert.NilError(t, response.Body.Close())
}

// Guards against faults that are set but not injected: tests that rely on them
// would pass without having met the fault.
func TestInjectedFaults(t *testing.T) {
	p, clock := startPlatform(t)
	a := workerClient(p, hostA)
	post(t, p.ControlURL()+"/faults", `{"target":"worker","host":"a","fail_starts":true,"usage_lag_ms":1000}`)
	task, err := a.Start(t.Context(), startRequest(hostA, "x", 5))
	assert.NilError(t, err)
	assert.Equal(t, task.GetPhase(), wire.WorkerTaskPhase_WORKER_TASK_PHASE_FAILED)
	post(t, p.ControlURL()+"/faults", `{"target":"worker","host":"a"}`)
	_, err = a.Start(t.Context(), startRequest(hostA, "y", 6))
	assert.NilError(t, err)
	assert.NilError(t, a.Throttle(t.Context(), hostA+"-boot-1", "y", 6, 500))
	for _, samples := range []int{0, 1} {
		status, err := a.Status(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(status.GetUsage()), samples)
		clock.Advance(2 * time.Second)
	}
	post(t, p.ControlURL()+"/faults", `{"target":"worker","host":"a","restart":true}`)
	_, err = a.Start(t.Context(), startRequest(hostA, "y", 6))
	assert.ErrorContains(t, err, "worker boot")
	var history emulator.History
	get(t, p.ControlURL()+"/records", &history)
	last := history.Events[len(history.Events)-1]
	assert.Equal(t, last.Kind, "lost")
	assert.Equal(t, last.ProgressMs, int64(2000))
}

// Guards against a log that doesn't enforce the append rate and the retention.
func TestLogLimits(t *testing.T) {
	p, clock := startPlatform(t)
	log := &connector.Log{Address: p.LogURL()}
	for range 5 {
		_, err := log.Append(t.Context(), "s", nil)
		assert.NilError(t, err)
	}
	_, err := log.Append(t.Context(), "s", nil)
	assert.ErrorContains(t, err, "too many appends")
	response, err := log.Read(t.Context(), "s", 2, 10, 0)
	assert.NilError(t, err)
	assert.Equal(t, response.GetFirstOffset(), int64(2))
	clock.Advance(2 * time.Minute)
	response, err = log.Read(t.Context(), "s", 5, 10, 0)
	assert.NilError(t, err)
	assert.Equal(t, response.GetFirstOffset(), int64(5))
}

// Guards against an endpoint that doesn't record an execution, or whose truncated
// response looks complete.
func TestEndpointRecordsAndTruncates(t *testing.T) {
	e := &emulator.Endpoint{
		Clock:    clockwork.NewRealClock(),
		Address:  "127.0.0.1:0",
		Behavior: emulator.Behavior{AnswerBytes: 100, Truncate: true},
		Random:   rand.New(rand.NewPCG(1, 1)),
	}
	start(t, e)
	response, err := http.Post(e.URL()+"/p", "", strings.NewReader("q"))
	assert.NilError(t, err)
	_, err = io.ReadAll(response.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.NilError(t, response.Body.Close())
	post(t, e.URL()+"/faults", `{"error_permille":1000}`)
	response, err = http.Post(e.URL()+"/p", "", strings.NewReader("q"))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusInternalServerError)
	var executions []emulator.Execution
	get(t, e.URL()+"/records", &executions)
	assert.Equal(t, len(executions), 2)
	assert.Assert(t, executions[1].EndUnixUs > 0)
}

// Guards against a verdict on results that no process could know, and against one
// that excuses processes which forget what they have read.
func TestUnreadResults(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(*emulator.Platform)
		unread  int
	}{
		"not read": {prepare: func(*emulator.Platform) {}, unread: 1},
		"read": {prepare: func(p *emulator.Platform) {
			_, err := workerClient(p, hostA).Status(t.Context())
			assert.NilError(t, err)
		}},
		"responses dropped": {prepare: func(p *emulator.Platform) {
			p.SetResponsesDropped(hostA, true)
			_, err := workerClient(p, hostA).Status(t.Context())
			assert.NilError(t, err)
		}, unread: 1},
	} {
		t.Run(name, func(t *testing.T) {
			p, clock := startPlatform(t)
			request := startRequest(hostA, "x", 1)
			request.Spec.Parameters["run_ms"] = "1000"
			_, err := workerClient(p, hostA).Start(t.Context(), request)
			assert.NilError(t, err)
			clock.Advance(2 * time.Second)
			test.prepare(p)
			p.SetFault(emulator.Fault{Target: "worker", Host: hostA, Restart: true})
			unread := 0
			for _, event := range p.History().Events {
				if event.Kind == "unread" {
					unread++
				}
			}
			assert.Equal(t, unread, test.unread)
		})
	}
}
