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
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
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
	// announcementInterval is that of the platform's executors. One that is not
	// acknowledged is repeated after announcementRetry.
	announcementInterval = 1500 * time.Millisecond
	announcementRetry    = 200 * time.Millisecond

	megabyte   = 1 << 20
	pathPrefix = "/jobs/"
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
	defaultCapacity = &wire.Resources{Millicores: 8000, MemoryBytes: 64000 * megabyte}
)

// regressions maps seeds that once failed to the cause of the failure.
var regressions = map[uint64]string{
	3:  "starts at an executor that came back smaller under its id, before the agent noticed the restart",
	16: "the check of a stopped start was dropped with the session, so that its task stayed assigned and never started",
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
}

// process is one process of the system, which reaches the log through a proxy.
type process struct {
	role, name       string
	settingsFile     string
	callersAddress   string
	proxy            *proxy
	executorsAddress string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func runSoak(t *testing.T, seed uint64, length time.Duration) {
	f := newFleet(t, seed)
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var callers sync.WaitGroup
	jobs := make(chan string, 10_000)
	for i := range 4 {
		callers.Go(func() { f.submitJobs(ctx, i, seed, jobs) })
	}
	f.injectFaults(ctx)
	callers.Wait()
	close(jobs)
	f.heal()
	f.awaitJobs(jobs)
	for _, violation := range f.checker.report() {
		t.Errorf("seed %d: %s", seed, violation)
	}
	t.Logf("seed %d: %d jobs accepted, %d runs, logs in %s", seed, len(f.checker.accepted), f.checker.starts, f.logDir)
}

func newFleet(t *testing.T, seed uint64) *fleet {
	clock := clockwork.NewRealClock()
	f := &fleet{
		t:       t,
		random:  rand.New(rand.NewPCG(seed, seed)),
		checker: newChecker(),
		log:     &emulator.KeyedLog{Clock: clock},
		logDir:  logDir(t, seed),
	}
	client := &emulator.KeyedLogClient{Log: f.log}
	config := fmt.Sprintf(`{"version":1,"routes":[{"name":"q","host":%q,"pathPrefix":%q,"service":"s","maxAttempts":4,"stretch":2}],"services":[{"name":"s"}]}`, hostHeader, pathPrefix)
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

func (f *fleet) addHost(i int, clock clockwork.Clock) {
	executor := &emulator.JobExecutor{
		Clock:        clock,
		TaskDuration: func(string) time.Duration { return 150 * time.Millisecond },
		Observe:      f.checker.observe,
	}
	handler := &executorHandler{executor: executor}
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
}

// boot restarts the executor of a host as a new incarnation without state.
func (f *fleet) boot(i int) {
	f.bootAs(i, fmt.Sprintf("i-%d-%d", i, f.bootCount.Add(1)), defaultCapacity)
}

func (f *fleet) bootAs(i int, id string, capacity *wire.Resources) {
	f.checker.capacities.Booted(id, capacity)
	f.executors[i].executor.SetCapacity(capacity)
	f.executors[i].executor.Boot(id)
}

// setMillicores changes the capacity of a host's executor while it runs.
func (f *fleet) setMillicores(i int, millicores int64) {
	capacity := &wire.Resources{Millicores: millicores, MemoryBytes: defaultCapacity.GetMemoryBytes()}
	executor := f.executors[i].executor
	f.checker.capacities.CapacityChanged(executor.Info("s", "z", nil).GetId(), capacity)
	executor.SetCapacity(capacity)
}

// shrink takes most of the capacity of a host's executor away until the duration is
// over or ctx ends.
func (f *fleet) shrink(ctx context.Context, i int, millicores int64, duration time.Duration) {
	f.setMillicores(i, millicores)
	pause(ctx, duration)
	f.setMillicores(i, defaultCapacity.GetMillicores())
}

// crash ends the executor of a host with its runs. Connections to it are refused
// until it starts again, under its id or a new one, with the given capacity.
func (f *fleet) crash(i int, sameID bool, millicores int64, downtime time.Duration) {
	h := f.executors[i]
	id := h.executor.Info("s", "z", nil).GetId()
	h.down.Store(true)
	h.close()
	h.executor.Boot(id + "-down")
	time.Sleep(downtime)
	if !sameID {
		id = fmt.Sprintf("i-%d-%d", i, f.bootCount.Add(1))
	}
	f.bootAs(i, id, &wire.Resources{Millicores: millicores, MemoryBytes: defaultCapacity.GetMemoryBytes()})
	h.listen(f.t)
	h.down.Store(false)
}

// pause waits for a duration or until ctx ends.
func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

// announce sends the periodic heartbeats of an executor to its agent until stop
// is closed.
func announce(h *executorHandler, address string, stop chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for sequence := 1; ; sequence++ {
		interval := announcementRetry
		if !h.down.Load() && sendAnnouncement(client, h.executor.Info("s", "z", nil), address, sequence) {
			interval = announcementInterval
		}
		select {
		case <-time.After(interval):
		case <-stop:
			return
		}
	}
}

// sendAnnouncement reports whether the agent acknowledged the announcement.
func sendAnnouncement(client *http.Client, info *wire.ExecutorInfo, address string, sequence int) bool {
	capacity := info.GetCapacity()
	body, _ := json.Marshal(map[string]any{
		"service": "s", "address": "x", "zone": "z", "state": "ready", "sequence": sequence, "clockMs": info.GetClockMs(),
		"born": info.GetBornUnixMs(), "capacity": map[string]int64{"cpu": capacity.GetMillicores(), "memMb": capacity.GetMemoryBytes() / megabyte}, "labels": []string{"a", "r"},
	})
	response, err := client.Post("http://"+address+"/Instances.Heartbeat/"+info.GetId(), "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", loopback+":0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func (f *fleet) newProcess(role, name, executor string) *process {
	p := &process{
		role:  role,
		name:  name,
		proxy: newProxy(f.t, f.logServer.Listener.Addr().String()),
	}
	settings := fmt.Sprintf("[process]\nid = %s\nzone = z\n[peers]\nlog = %s\n", name, p.proxy.address())
	listen := "[listen]\n"
	if role == "job-entry" {
		p.callersAddress = freeAddress(f.t)
		listen += fmt.Sprintf("callers = %s\nagents = %s\n", p.callersAddress, freeAddress(f.t))
	} else {
		p.executorsAddress = freeAddress(f.t)
		settings += fmt.Sprintf("executor = %s\n", executor)
		listen += fmt.Sprintf("executors = %s\n", p.executorsAddress)
	}
	settings += listen + "[bounds]\nlease_max = 4s\ngrace = 4s\n"
	p.settingsFile = filepath.Join(f.logDir, name+".ini")
	assert.NilError(f.t, os.WriteFile(p.settingsFile, []byte(settings), 0o600))
	f.start(p)
	f.t.Cleanup(func() { p.signal(syscall.SIGKILL) })
	return p
}

// start starts the process and returns while it runs.
func (f *fleet) start(p *process) {
	out, err := os.OpenFile(filepath.Join(f.logDir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	assert.NilError(f.t, err)
	cmd := exec.Command(daemon, p.role, "--settings", p.settingsFile)
	cmd.Stdout, cmd.Stderr = out, out
	assert.NilError(f.t, cmd.Start())
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}()
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
}

// signal sends a signal to the process as last started.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(signal)
}

// exited returns a channel that is closed when the process has ended.
func (p *process) exited() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// restart ends the process with a signal, kills it if it still runs after 5 s,
// and starts it again after the downtime.
func (f *fleet) restart(p *process, signal syscall.Signal, downtime time.Duration) {
	p.signal(signal)
	select {
	case <-p.exited():
	case <-time.After(5 * time.Second):
		p.signal(syscall.SIGKILL)
		<-p.exited()
	}
	time.Sleep(downtime)
	f.start(p)
}

// injectFaults starts a random fault every 0.2 s to 1.1 s until ctx ends. Faults
// of different processes overlap; one process has one fault at a time.
func (f *fleet) injectFaults(ctx context.Context) {
	var faults sync.WaitGroup
	busy := map[*process]chan struct{}{}
	for ctx.Err() == nil {
		all := append(append([]*process{}, f.entries...), f.agents...)
		p := all[f.random.IntN(len(all))]
		duration := time.Duration(300+f.random.IntN(2500)) * time.Millisecond
		kind, host := f.random.IntN(12), f.random.IntN(hostCount)
		millicores := submittedMillicores * int64(1+f.random.IntN(5))
		pause := time.Duration(200+f.random.IntN(900)) * time.Millisecond
		if ended := busy[p]; ended != nil {
			select {
			case <-ended:
			default:
				time.Sleep(pause)
				continue
			}
		}
		ended := make(chan struct{})
		busy[p] = ended
		faults.Go(func() {
			defer close(ended)
			f.inject(ctx, p, kind, host, duration, millicores)
		})
		time.Sleep(pause)
	}
	faults.Wait()
}

func (f *fleet) inject(ctx context.Context, p *process, kind, host int, duration time.Duration, millicores int64) {
	f.t.Logf("fault %d on %s for %s (host %d)", kind, p.name, duration, host)
	if kind >= 9 {
		f.injectExecutorFault(ctx, kind, host, duration, millicores)
		return
	}
	switch kind {
	case 0:
		f.restart(p, syscall.SIGKILL, duration/4)
	case 1:
		f.restart(p, syscall.SIGTERM, duration/4)
	case 2:
		p.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		p.signal(syscall.SIGCONT)
	case 3, 4, 5, 6:
		p.proxy.setMode([]proxyMode{dropping, resetting, droppingResponses, delaying}[kind-3])
		time.Sleep(duration)
		p.proxy.setMode(resetting)
		p.proxy.setMode(forwarding)
	case 7:
		f.executors[host].mu.Lock()
		f.executors[host].lostResponses += 3
		f.executors[host].mu.Unlock()
	case 8:
		f.executors[host].executor.SetUnresponsive(true)
		time.Sleep(duration)
		f.executors[host].executor.SetUnresponsive(false)
	}
}

// injectExecutorFault shrinks or crashes the executor of a host, unless another such
// fault of it is in progress.
func (f *fleet) injectExecutorFault(ctx context.Context, kind, host int, duration time.Duration, millicores int64) {
	h := f.executors[host]
	if !h.faulty.TryLock() {
		return
	}
	defer h.faulty.Unlock()
	switch kind {
	case 9:
		// Starts are judged by the shrunk capacity only once the grace is over.
		f.shrink(ctx, host, millicores, emulator.CapacityGrace+duration)
	case 10:
		f.crash(host, false, defaultCapacity.GetMillicores(), duration)
	case 11:
		f.crash(host, true, millicores, duration)
		f.shrink(ctx, host, millicores, duration)
	}
}

// heal ends all connection faults and resumes paused processes.
func (f *fleet) heal() {
	for _, p := range append(append([]*process{}, f.entries...), f.agents...) {
		p.proxy.setMode(forwarding)
		p.signal(syscall.SIGCONT)
	}
}

// submitJobs submits jobs until ctx ends, each up to four times until it is
// accepted, and sends the accepted ones to jobs.
func (f *fleet) submitJobs(ctx context.Context, caller int, seed uint64, jobs chan<- string) {
	client := &http.Client{Timeout: 3 * time.Second}
	random := rand.New(rand.NewPCG(seed, uint64(caller)))
	request := fmt.Sprintf(`"cpu":%d,"memMb":%d`, submittedMillicores, submittedMegabytes)
	body := fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,%s},{"count":%d,%s,"after":[0]}]}`, firstStepTasks, request, secondStepTasks, request)
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%08x%02x%06x", seed, caller, n)
		mayRun := false
		for attempt := 0; attempt < 4 && ctx.Err() == nil; attempt++ {
			status := f.requestStatus(client, http.MethodPost, f.entries[random.IntN(entryCount)], id, body)
			refused := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
			mayRun = mayRun || !refused
			f.checker.recordAttempt(id, mayRun, status == http.StatusOK)
			if status == http.StatusOK {
				jobs <- id
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Duration(50+random.IntN(100)) * time.Millisecond)
	}
}

// requestStatus returns the status of a request, or 0 if no complete response
// arrived, as when the connection was refused.
func (f *fleet) requestStatus(client *http.Client, method string, p *process, id, body string) int {
	status, _ := f.sendRequest(client, method, p, id, body)
	return status
}

func (f *fleet) sendRequest(client *http.Client, method string, p *process, id, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+p.callersAddress+pathPrefix+id, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = hostHeader
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(text)
}

// awaitJobs waits until every job has succeeded, and checks its tasks.
func (f *fleet) awaitJobs(jobs <-chan string) {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(recoveryLimit)
	for id := range jobs {
		for {
			status, text := f.sendRequest(client, http.MethodGet, f.entries[0], id, "")
			if status == http.StatusOK && strings.Contains(text, "succeeded") {
				f.checker.checkFinished(id)
				break
			}
			if time.Now().After(deadline) {
				f.t.Errorf("job %s did not succeed within %s after the faults: status %d %s", id, recoveryLimit, status, text)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
