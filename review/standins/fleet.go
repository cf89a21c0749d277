package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "render"
	queueHost   = "jobs.example"
	queuePrefix = "/q/"
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu      sync.Mutex
	out     *bufio.Writer
	started time.Time
	runs    []*taskRun
}

// taskRun is one run as its executor saw it.
type taskRun struct {
	executor, zone, task string
	number               int
	from, to             time.Time // to is zero while the run is in progress
	how                  string
	noted                time.Time // when its end was taken note of
}

func (r *recorder) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

// flush writes what is buffered. Lines of executors that still run may follow.
func (r *recorder) flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
}

func (r *recorder) line(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) start(executor, zone, task string, number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, &taskRun{executor: executor, zone: zone, task: task, number: number, from: time.Now()})
	r.line("%s starts %s run %d", executor, task, number)
}

func (r *recorder) end(executor, task string, number int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs {
		if run.executor == executor && run.task == task && run.number == number && run.to.IsZero() {
			run.to = time.Now()
			run.how = how
		}
	}
	r.line("%s ends %s run %d: %s", executor, task, number, how)
}

func (r *recorder) noted(executor string, end []any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs {
		if run.executor == executor && run.task == end[1] && run.number == end[2] && run.noted.IsZero() {
			run.noted = time.Now()
		}
	}
}

// runsOf returns copies of the runs of a task, in the order of their starts.
func (r *recorder) runsOf(task string) []taskRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []taskRun
	for _, run := range r.runs {
		if run.task == task {
			found = append(found, *run)
		}
	}
	return found
}

// process is one of the project's programs.
type process struct {
	role, name string
	settings   string
	callers    string
	ready      string
	executors  string
	cmd        *exec.Cmd
	done       chan struct{}
}

type fleet struct {
	rec       *recorder
	dir       string
	program   string
	store     *store
	storeAddr string
	entries   []*process
	agents    []*process
	executors []*executor
}

func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// newFleet starts the store with a configuration.
func newFleet(dir, program string, rec *recorder) *fleet {
	f := &fleet{rec: rec, dir: dir, program: program, store: newStore()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	f.storeAddr = listener.Addr().String()
	go func() { _ = http.Serve(listener, f.store) }()
	f.configure(1, 4)
	return f
}

func (f *fleet) configure(version, maxAttempts int) {
	config := map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "q", "host": queueHost, "pathPrefix": queuePrefix, "service": serviceName, "timeoutMs": 3000,
			"priority": 0, "maxAttempts": maxAttempts, "stretch": 2.0, "sloMs": 1000,
		}},
		"services": []any{map[string]any{"name": serviceName, "enforcesCapacity": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 5000, "idleTimeoutMs": 60000},
	}
	data, _ := json.Marshal(config)
	f.store.put("keyed.op", "config", data)
}

// settingsText is what the template deploy/settings.ini gives on a small deployment.
func (f *fleet) settingsText(p *process, zone, listen, peers string, memory int, processors float64) string {
	return fmt.Sprintf("[process]\nid = %s\nzone = %s\nregion = r\nprocessors = %g\nmemory_mb = %d\n\n[listen]\n%smetrics = %s\n\n[peers]\nlog = %s\n%s\n"+
		"[bounds]\nlease_max = 10000ms\nstop_within = 400ms\ndrain_for = 2000ms\nconfig_within = 2000ms\nvisible_within = 3000ms\nstatus_for = 120s\ngrace = 6s\n\n"+
		"[scheduling]\nbest_effort_wait = 10s\nbest_effort_speed = 0.8\nlearned_run_times = yes\norder = cost\npreemption = lost_work\n",
		p.name, zone, processors, memory, listen, freeAddress(), f.storeAddr, peers)
}

func (f *fleet) addEntry(zone string) *process {
	p := &process{role: "job-entry", name: fmt.Sprintf("entry-%d", len(f.entries)+1), callers: freeAddress(), ready: freeAddress()}
	listen := fmt.Sprintf("callers = %s\nagents = %s\nready = %s\n", p.callers, freeAddress(), p.ready)
	f.create(p, f.settingsText(p, zone, listen, "", 284, 0.16))
	f.entries = append(f.entries, p)
	return p
}

// addHost adds an agent with its executor.
func (f *fleet) addHost(zone string) *executor {
	return f.addHostWithLabels(zone, []string{"a", "r1"})
}

func (f *fleet) addHostWithLabels(zone string, labels []string) *executor {
	n := len(f.agents) + 1
	p := &process{role: "job-agent", name: fmt.Sprintf("side-%d", n), executors: freeAddress()}
	e := newExecutor(fmt.Sprintf("i-%04d", n), zone, freeAddress(), p.executors, f.rec)
	e.labels = labels
	listen := fmt.Sprintf("executors = %s\n", p.executors)
	f.create(p, f.settingsText(p, zone, listen, fmt.Sprintf("executor = %s\n", e.address), 152, 0.24))
	f.agents = append(f.agents, p)
	f.executors = append(f.executors, e)
	if err := e.start(); err != nil {
		panic(err)
	}
	return e
}

func (f *fleet) create(p *process, settings string) {
	p.settings = filepath.Join(f.dir, p.name+".ini")
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
		panic(err)
	}
	f.run(p)
}

func (f *fleet) run(p *process) {
	out, err := os.OpenFile(filepath.Join(f.dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	p.cmd = exec.Command(f.program, p.role)
	p.cmd.Env = append(os.Environ(), "DAMASKSPREAD_CONFIG="+p.settings)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		panic(err)
	}
	done := make(chan struct{})
	p.done = done
	cmd := p.cmd
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}()
	f.rec.write("process %s started", p.name)
}

func (f *fleet) kill(p *process) {
	f.rec.write("process %s killed", p.name)
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

func (f *fleet) stopAll() {
	for _, p := range append(append([]*process{}, f.entries...), f.agents...) {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.done
	}
}

// leader returns the entry that leads, by the newest record in the log.
func (f *fleet) leader() *process {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	t := f.store.topic("keyed.leader")
	if len(t.records) == 0 {
		return nil
	}
	for _, p := range f.entries {
		if bytes.Contains(t.records[len(t.records)-1].value, []byte(p.name)) {
			return p
		}
	}
	return nil
}

// call sends a client's request to an entry and returns status and body; 0 without
// a response.
func (f *fleet) call(p *process, method, path string, body any, timeout time.Duration) (int, map[string]any) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	request, _ := http.NewRequest(method, "http://"+p.callers+path, bytes.NewReader(data))
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		f.rec.write("%s %s at %s: no response (%v)", method, path, p.name, err)
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	answer := map[string]any{}
	_ = json.Unmarshal(text, &answer)
	f.rec.write("%s %s at %s: %d %s", method, path, p.name, response.StatusCode, bytes.TrimSpace(text))
	return response.StatusCode, answer
}

// submit hands a job in until an entry accepts it, and reports whether one has.
func (f *fleet) submit(id string, job any) bool {
	for try := range 40 {
		status, _ := f.call(f.entries[try%len(f.entries)], http.MethodPost, queuePrefix+id, job, 3*time.Second)
		if status/100 == 2 {
			return true
		}
		time.Sleep(250 * time.Millisecond)
	}
	return false
}

// waitUntil polls a condition and reports whether it became true in time.
func waitUntil(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// step describes a step of a job.
func step(count, cpu, mem, estimate int, more map[string]any) map[string]any {
	s := map[string]any{"count": count, "cpu": cpu, "memMb": mem, "estimateMs": estimate}
	for key, value := range more {
		s[key] = value
	}
	return s
}

func job(spec string, steps ...map[string]any) map[string]any {
	return map[string]any{"spec": spec, "steps": steps}
}

// tasksRunning returns the number of runs in progress on all executors.
func (f *fleet) tasksRunning() int {
	n := 0
	for _, e := range f.executors {
		e.mu.Lock()
		n += len(e.runs)
		e.mu.Unlock()
	}
	return n
}

// running returns the runs of a task that are in progress.
func (f *fleet) running(task string) int {
	n := 0
	for _, run := range f.rec.runsOf(task) {
		if run.to.IsZero() {
			n++
		}
	}
	return n
}
