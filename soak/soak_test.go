// Package soak_test runs the job processes as separate processes on one
// machine, injects faults from outside them, and checks the promises from what
// callers and executors see.
//
// DAMASKSPREAD_SOAK_SEED replays a seed, DAMASKSPREAD_SOAK_SECONDS sets the
// length, DAMASKSPREAD_SOAK_SEEDS runs several seeds.
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
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/emulator"
	"damaskspread.example/damaskspread/wire"
)

const (
	firstStep, secondStep = 3, 2
	entryCount, hostCount = 3, 4
	// recovery is recoveryS of the deployments with the lease that a new
	// leader may have to wait out.
	recovery = 12*time.Second + 5*time.Second + 4*time.Second
	prefix   = "/jobs/"
	hostName = "soak.example"
)

var (
	daemon   string
	loopback = fmt.Sprintf("127.%d.%d.2", 1+os.Getpid()>>8&0x7f, os.Getpid()&0xff)
)

// regressions are seeds that once failed, with the cause.
var regressions = map[uint64]string{}

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

func setting(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// Guards against any broken promise under series of overlapping faults.
func TestSoak(t *testing.T) {
	length := time.Duration(setting("DAMASKSPREAD_SOAK_SECONDS", 12)) * time.Second
	seeds := []uint64{uint64(setting("DAMASKSPREAD_SOAK_SEED", 1))}
	for i := 1; i < setting("DAMASKSPREAD_SOAK_SEEDS", 1); i++ {
		seeds = append(seeds, seeds[0]+uint64(i))
	}
	for seed := range regressions {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, seed, length) })
	}
}

// fleet is the system under test with its stand-ins.
type fleet struct {
	t         *testing.T
	random    *rand.Rand
	check     *checker
	log       *emulator.KeyedLog
	store     *httptest.Server
	entries   []*process
	agents    []*process
	executors []*executorHandler
	boots     int
	logs      string
}

// process is one process of the system with its way to the store.
type process struct {
	role, name string
	settings   string
	callers    string
	proxy      *proxy
	executors  string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func soak(t *testing.T, seed uint64, length time.Duration) {
	f := newFleet(t, seed)
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var work sync.WaitGroup
	jobs := make(chan string, 10_000)
	for i := range 4 {
		work.Go(func() { f.load(ctx, i, seed, jobs) })
	}
	f.injectFaults(ctx)
	work.Wait()
	close(jobs)
	f.heal()
	f.awaitJobs(jobs)
	for _, broken := range f.check.report() {
		t.Errorf("seed %d: %s", seed, broken)
	}
	t.Logf("seed %d: %d jobs accepted, %d runs, logs in %s", seed, len(f.check.accepted), f.check.starts, f.logs)
}

func newFleet(t *testing.T, seed uint64) *fleet {
	clock := clockwork.NewRealClock()
	f := &fleet{
		t:      t,
		random: rand.New(rand.NewPCG(seed, seed)),
		check:  newChecker(),
		log:    &emulator.KeyedLog{Clock: clock},
		logs:   t.TempDir(),
	}
	client := &emulator.KeyedLogClient{Log: f.log}
	config := fmt.Sprintf(`{"version":1,"routes":[{"name":"q","host":%q,"pathPrefix":%q,"service":"s","maxAttempts":4,"stretch":2}],"services":[{"name":"s"}]}`, hostName, prefix)
	_, err := client.Append(context.Background(), "op", []*wire.KeyedRecord{{Key: "config", Value: []byte(config)}}, nil)
	assert.NilError(t, err)
	f.store = httptest.NewServer(storeHandler(client))
	t.Cleanup(f.store.Close)
	for i := range entryCount {
		f.entries = append(f.entries, f.newProcess("job-entry", fmt.Sprintf("entry-%d", i), ""))
	}
	for i := range hostCount {
		f.addHost(i, clock)
	}
	return f
}

func (f *fleet) addHost(i int, clock clockwork.Clock) {
	executor := &emulator.JobExecutor{
		Clock:        clock,
		TaskDuration: func(string) time.Duration { return 150 * time.Millisecond },
		Observe:      f.check.observe,
	}
	handler := &executorHandler{executor: executor}
	f.executors = append(f.executors, handler)
	f.boot(i)
	server := httptest.NewServer(handler)
	f.t.Cleanup(server.Close)
	agent := f.newProcess("job-agent", fmt.Sprintf("agent-%d", i), strings.TrimPrefix(server.URL, "http://"))
	f.agents = append(f.agents, agent)
	stop := make(chan struct{})
	f.t.Cleanup(func() { close(stop) })
	go beat(executor, agent.executors, stop)
}

func (f *fleet) boot(i int) {
	f.boots++
	f.executors[i].executor.Boot(fmt.Sprintf("i-%d-%d", i, f.boots))
}

// beat announces an executor to its agent.
func beat(executor *emulator.JobExecutor, address string, stop chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for sequence := 1; ; sequence++ {
		info := executor.Info("s", "z", nil)
		body, _ := json.Marshal(map[string]any{
			"service": "s", "address": "x", "zone": "z", "state": "ready", "sequence": sequence, "clockMs": info.GetClockMs(),
			"born": info.GetBornUnixMs(), "capacity": map[string]int{"cpu": 8000, "memMb": 64000, "gpu": 0}, "labels": []string{"a", "r"},
		})
		response, err := client.Post("http://"+address+"/Instances.Heartbeat/"+info.GetId(), "application/json", bytes.NewReader(body))
		if err == nil {
			_ = response.Body.Close()
		}
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
	}
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
		proxy: newProxy(f.t, f.store.Listener.Addr().String()),
	}
	text := fmt.Sprintf("[process]\nid = %s\nzone = z\n[peers]\nlog = %s\n", name, p.proxy.address())
	listen := "[listen]\n"
	if role == "job-entry" {
		p.callers = freeAddress(f.t)
		listen += fmt.Sprintf("callers = %s\nagents = %s\n", p.callers, freeAddress(f.t))
	} else {
		p.executors = freeAddress(f.t)
		text += fmt.Sprintf("executor = %s\n", executor)
		listen += fmt.Sprintf("executors = %s\n", p.executors)
	}
	text += listen + "[bounds]\nlease_max = 4s\ngrace = 4s\n"
	p.settings = filepath.Join(f.logs, name+".ini")
	assert.NilError(f.t, os.WriteFile(p.settings, []byte(text), 0o600))
	f.start(p)
	f.t.Cleanup(func() { p.signal(syscall.SIGKILL) })
	return p
}

// start runs the process until it ends.
func (f *fleet) start(p *process) {
	out, err := os.OpenFile(filepath.Join(f.logs, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	assert.NilError(f.t, err)
	cmd := exec.Command(daemon, p.role, "--settings", p.settings)
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

// signal sends a signal to the process that the soak started.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(signal)
}

func (p *process) ended() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// restart ends the process with a signal and starts it again.
func (f *fleet) restart(p *process, signal syscall.Signal, after time.Duration) {
	p.signal(signal)
	select {
	case <-p.ended():
	case <-time.After(5 * time.Second):
		p.signal(syscall.SIGKILL)
		<-p.ended()
	}
	time.Sleep(after)
	f.start(p)
}

// injectFaults starts a fault each fraction of a second; they overlap.
func (f *fleet) injectFaults(ctx context.Context) {
	var faults sync.WaitGroup
	busy := map[*process]chan struct{}{}
	for ctx.Err() == nil {
		all := append(append([]*process{}, f.entries...), f.agents...)
		p := all[f.random.IntN(len(all))]
		span := time.Duration(300+f.random.IntN(2500)) * time.Millisecond
		kind, host := f.random.IntN(9), f.random.IntN(hostCount)
		pause := time.Duration(200+f.random.IntN(900)) * time.Millisecond
		if free := busy[p]; free != nil {
			select {
			case <-free:
			default:
				time.Sleep(pause)
				continue
			}
		}
		free := make(chan struct{})
		busy[p] = free
		faults.Go(func() {
			defer close(free)
			f.inject(p, kind, host, span)
		})
		time.Sleep(pause)
	}
	faults.Wait()
}

func (f *fleet) inject(p *process, kind, host int, span time.Duration) {
	f.t.Logf("fault %d on %s for %s (host %d)", kind, p.name, span, host)
	switch kind {
	case 0:
		f.restart(p, syscall.SIGKILL, span/4)
	case 1:
		f.restart(p, syscall.SIGTERM, span/4)
	case 2:
		p.signal(syscall.SIGSTOP)
		time.Sleep(span)
		p.signal(syscall.SIGCONT)
	case 3, 4, 5, 6:
		p.proxy.set([]proxyMode{silent, resetting, oneWay, delaying}[kind-3])
		time.Sleep(span)
		p.proxy.set(resetting)
		p.proxy.set(passing)
	case 7:
		f.executors[host].mu.Lock()
		f.executors[host].loseAnswers += 3
		f.executors[host].mu.Unlock()
	case 8:
		f.executors[host].executor.SetUnresponsive(true)
		time.Sleep(span)
		f.executors[host].executor.SetUnresponsive(false)
	}
}

// heal ends all faults.
func (f *fleet) heal() {
	for _, p := range append(append([]*process{}, f.entries...), f.agents...) {
		p.proxy.set(passing)
		p.signal(syscall.SIGCONT)
	}
}

// load submits jobs and repeats each until it has a certain answer.
func (f *fleet) load(ctx context.Context, worker int, seed uint64, jobs chan<- string) {
	client := &http.Client{Timeout: 3 * time.Second}
	random := rand.New(rand.NewPCG(seed, uint64(worker)))
	body := fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":200,"memMb":100},{"count":%d,"cpu":200,"memMb":100,"after":[0]}]}`, firstStep, secondStep)
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%08x%02x%06x", seed, worker, n)
		mayRun := false
		for try := 0; try < 4 && ctx.Err() == nil; try++ {
			status := f.call(client, http.MethodPost, f.entries[random.IntN(entryCount)], id, body)
			refused := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
			mayRun = mayRun || !refused
			f.check.submitted(id, mayRun, status == http.StatusOK)
			if status == http.StatusOK {
				jobs <- id
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Duration(50+random.IntN(100)) * time.Millisecond)
	}
}

// call returns the status of a request, or 0 without an answer. A refused
// connection is no answer either.
func (f *fleet) call(client *http.Client, method string, p *process, id, body string) int {
	status, _ := f.exchange(client, method, p, id, body)
	return status
}

func (f *fleet) exchange(client *http.Client, method string, p *process, id, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+p.callers+prefix+id, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = hostName
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

// awaitJobs waits until every accepted job has succeeded.
func (f *fleet) awaitJobs(jobs <-chan string) {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(recovery)
	for id := range jobs {
		for {
			status, text := f.exchange(client, http.MethodGet, f.entries[0], id, "")
			if status == http.StatusOK && strings.Contains(text, "succeeded") {
				f.check.finished(id)
				break
			}
			if time.Now().After(deadline) {
				f.t.Errorf("job %s is not finished %s after the faults: status %d %s", id, recovery, status, text)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
