package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	callerHost = "fold.example"
	// The processors and memory of an entry and an agent are those of the small
	// deployment.
	entryProcessors, entryMemoryMb = "0.16", "284"
	agentProcessors, agentMemoryMb = "0.24", "152"
)

// World is a small deployment: the store, executors, and the processes of the
// system. It records what was sent, answered and run.
type World struct {
	// Root is the repository, Scratch a folder for settings and logs.
	Root, Scratch string
	Binary        string
	HoldMax       time.Duration
	// Outcome returns how long a run works, 0 if it lasts, and how it ends.
	Outcome func(task string, run int) (time.Duration, string)

	Store     *Store
	StoreAt   string
	Entries   []*Process
	Agents    []*Process
	Executors []*Executor

	// mu guards what follows and the executors.
	mu     sync.Mutex
	began  time.Time
	record io.Writer
	// quiet keeps single runs out of the record, which then only counts them.
	quiet  bool
	jobs   map[string]*Job
	Starts []RunStart
	Ends   []RunEnd
}

// RunStart is a task that an executor has begun on an order.
type RunStart struct {
	Task string
	Run  int
	On   string
	At   time.Time
}

// RunEnd is the end of a run. How is "crashed" or "lost" for one that no executor lists.
type RunEnd struct {
	RunStart
	How string
	// NotedAt is when lastSeen reached the end; zero before. Lapsed is set if the
	// lease of the executor lapsed between the end and that.
	NotedAt time.Time
	Lapsed  bool
}

// Job is a job as a client submits it.
type Job struct {
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
}

// Step is a step of a job.
type Step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	MemMb        int    `json:"memMb"`
	EstimateMs   int    `json:"estimateMs"`
	After        []int  `json:"after,omitempty"`
	MayMiss      int    `json:"mayMiss,omitempty"`
	AntiAffinity int    `json:"antiAffinity,omitempty"`
	LongRunning  bool   `json:"longRunning,omitempty"`
	Requirements string `json:"requirements,omitempty"`
}

// Process is a process of the system.
type Process struct {
	Name, Role string
	// Front is where an entry serves callers.
	Front    string
	settings string
	logPath  string
	command  *exec.Cmd
	done     chan struct{}
}

var (
	// loopback is an address of this case alone, so that several may run at a time.
	loopback = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250), 1+rand.IntN(250))
	// takenPorts are those that freeAddress has returned.
	takenPorts = map[int]bool{}
)

// freeAddress returns a loopback address with a port that nobody uses, below those
// that connections get.
func freeAddress() string {
	const lowest, count = 15000, 16000
	for range 1000 {
		port := lowest + rand.IntN(count)
		if takenPorts[port] {
			continue
		}
		address := net.JoinHostPort(loopback, strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		takenPorts[port] = true
		return address
	}
	fail("no free port")
	return ""
}

// fail ends the program because the case can't run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	exit(exitCannotRun)
}

// notef writes a line to the record. The caller holds the mutex.
func (w *World) notef(format string, args ...any) {
	fmt.Fprintf(w.record, "%9.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// Notef writes a line to the record.
func (w *World) Notef(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notef(format, args...)
}

func (w *World) recordStart(e *Executor, r *run) {
	w.Starts = append(w.Starts, RunStart{Task: r.task, Run: r.run, On: e.id, At: r.startedAt})
	if !w.quiet || r.run > 1 {
		w.notef("start  %s run %d on %s", r.task, r.run, e.id)
	}
}

func (w *World) recordEnd(e *Executor, r *run, how string, number int64) int {
	w.Ends = append(w.Ends, RunEnd{RunStart: RunStart{Task: r.task, Run: r.run, On: e.id, At: time.Now()}, How: how})
	if !w.quiet || r.run > 1 || how != "done" {
		w.notef("end    %s run %d on %s: %s (number %d)", r.task, r.run, e.id, how, number)
	}
	return len(w.Ends) - 1
}

func (w *World) recordNote(event int, lapsed bool) {
	w.Ends[event].NotedAt = time.Now()
	w.Ends[event].Lapsed = lapsed
}

// stepOf returns the step of a task. Its name is ID.K.STEP.INDEX.
func (w *World) stepOf(task string) Step {
	parts := strings.Split(task, ".")
	if job := w.jobs[parts[0]]; len(parts) == 4 && job != nil {
		if index, err := strconv.Atoi(parts[2]); err == nil && index < len(job.Steps) {
			return job.Steps[index]
		}
	}
	return Step{Count: 1}
}

// Begin starts the store, then the processes and executors.
func (w *World) Begin(entries int, config string) {
	w.Store = NewStore()
	w.StoreAt = freeAddress()
	listener, err := net.Listen("tcp", w.StoreAt)
	if err != nil {
		fail("%v", err)
	}
	go func() { _ = http.Serve(listener, w.Store) }()
	w.Publish(config)
	scheduling := w.schedulingSettings()
	for i := range entries {
		p := &Process{Name: fmt.Sprintf("edge-%d", i+1), Role: "job-entry", Front: freeAddress()}
		w.writeSettings(p, entryProcessors, entryMemoryMb, "callers = "+p.Front+"\nagents = "+freeAddress()+"\nready = "+freeAddress()+
			"\nmetrics = "+freeAddress()+"\n", "", scheduling)
		w.Entries = append(w.Entries, p)
	}
	for _, e := range w.Executors {
		e.World = w
		e.Address, e.Control = freeAddress(), freeAddress()
		p := &Process{Name: "side-" + e.Name, Role: "job-agent"}
		w.writeSettings(p, agentProcessors, agentMemoryMb, "executors = "+e.Control+"\nmetrics = "+freeAddress()+"\n", "executor = "+e.Address+"\n", scheduling)
		w.Agents = append(w.Agents, p)
	}
	for _, p := range append(w.Entries, w.Agents...) {
		w.StartProcess(p)
	}
	for _, e := range w.Executors {
		if err := e.Boot(true); err != nil {
			fail("executor %s: %v", e.Name, err)
		}
	}
	go watch(&w.mu, w.Executors)
	w.waitUntilReady()
}

// Publish writes a configuration as the operator does.
func (w *World) Publish(config string) {
	w.Store.Put("keyed.op", "config", config)
	w.Notef("configuration: %s", config)
}

// schedulingSettings returns the last section of the deploy file's template.
func (w *World) schedulingSettings() string {
	template, err := os.ReadFile(filepath.Join(w.Root, "deploy", "settings.ini"))
	if err != nil {
		fail("%v", err)
	}
	_, section, found := strings.Cut(string(template), "[scheduling]")
	if !found {
		fail("deploy/settings.ini has no section [scheduling]")
	}
	return "[scheduling]" + section
}

func (w *World) writeSettings(p *Process, processors, memoryMb, listen, peers, scheduling string) {
	p.settings = filepath.Join(w.Scratch, p.Name+".ini")
	p.logPath = filepath.Join(w.Scratch, p.Name+".log")
	text := "[process]\nid = " + p.Name + "\nzone = qc-est-a\nregion = qc-est\nprocessors = " + processors + "\nmemory_mb = " + memoryMb +
		"\n\n[listen]\n" + listen + "\n[peers]\nlog = " + w.StoreAt + "\n" + peers +
		"\n[bounds]\nlease_max = 10000ms\nstop_within = 400ms\ndrain_for = 2000ms\nconfig_within = 2000ms\nvisible_within = 3000ms\nstatus_for = 120s\ngrace = 6s\n\n" + scheduling
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		fail("%v", err)
	}
}

// StartProcess starts a process of the system with the command of the deploy file.
func (w *World) StartProcess(p *Process) {
	output, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("%v", err)
	}
	p.command = exec.Command(w.Binary, p.Role)
	p.command.Dir = w.Root
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DAMASKSPREAD_CONFIG=" + p.settings}
	p.command.Stdout, p.command.Stderr = output, output
	if err := p.command.Start(); err != nil {
		fail("%s: %v", p.Name, err)
	}
	track(p.command.Process)
	p.done = make(chan struct{})
	command, done := p.command, p.done
	go func() {
		_ = command.Wait()
		untrack(command.Process)
		_ = output.Close()
		close(done)
	}()
	w.Notef("process %s started: damaskspread %s", p.Name, p.Role)
}

// Kill ends a process with SIGKILL.
func (w *World) Kill(p *Process) {
	w.Notef("process %s: SIGKILL", p.Name)
	_ = p.command.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// waitUntilReady returns once each entry answers a caller.
func (w *World) waitUntilReady() {
	deadline := time.Now().Add(20 * time.Second)
	for _, p := range w.Entries {
		for {
			response, err := callers.Get("http://" + p.Front + "/")
			if err == nil {
				_ = response.Body.Close()
				break
			}
			if time.Now().After(deadline) {
				fail("%s does not answer", p.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// Traffic starts 10 s after the machines do.
	time.Sleep(5 * time.Second)
}

var callers = &http.Client{Timeout: 3 * time.Second}

// call sends a request of a client and returns the status, 0 without an answer.
func (w *World) call(p *Process, method, path string, body []byte) (int, string) {
	request, err := http.NewRequest(method, "http://"+p.Front+path, bytes.NewReader(body))
	if err != nil {
		fail("%v", err)
	}
	request.Host = callerHost
	request.Header.Set("X-Deadline-Ms", "3000")
	request.Header.Set("Content-Type", "application/json")
	response, err := callers.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(data))
}

// Submit hands a job in until it is accepted, at most for ten seconds, and reports
// whether it was.
func (w *World) Submit(prefix, id string, job *Job) bool {
	w.mu.Lock()
	w.jobs[id] = job
	w.mu.Unlock()
	body, err := json.Marshal(job)
	if err != nil {
		fail("%v", err)
	}
	deadline := time.Now().Add(10 * time.Second)
	for i := 0; time.Now().Before(deadline); i++ {
		p := w.Entries[i%len(w.Entries)]
		status, answer := w.call(p, http.MethodPost, prefix+id, body)
		w.Notef("POST   %s%s at %s: %d %s", prefix, id, p.Name, status, answer)
		if status >= 200 && status < 300 {
			return true
		}
		if status == http.StatusNotFound {
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// State asks for the state of a job. It returns the state, or the status code.
func (w *World) State(prefix, id string) string {
	answer := ""
	for range 5 {
		for _, p := range w.Entries {
			status, body := w.call(p, http.MethodGet, prefix+id, nil)
			var state struct {
				State string `json:"state"`
			}
			if status == http.StatusOK && json.Unmarshal([]byte(body), &state) == nil {
				return state.State
			}
			answer = strconv.Itoa(status)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return answer
}

// WaitFor waits until a condition on the world holds, and reports whether it does.
func (w *World) WaitFor(limit time.Duration, holds func() bool) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		w.mu.Lock()
		held := holds()
		w.mu.Unlock()
		if held {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}
