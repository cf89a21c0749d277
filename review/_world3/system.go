package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// system is a small deployment: the project's programs as processes of their own, the store
// and the executors as stand-ins, all on loopback addresses.
type system struct {
	record *record
	// root is the project's root, dir a temporary folder.
	root, dir string
	store     *store
	gangs     *gangs
	storeAddr string
	entries   []*process
	agents    []*process
	executors []*executor
	// fronts are the addresses for clients.
	fronts []string
	client *http.Client
}

// process is one process of the system.
type process struct {
	name, role, settings string
	log                  *os.File
	cmd                  *exec.Cmd
	exited               chan struct{}
}

// reservedPorts holds the listeners of freePort until all ports are chosen.
var reservedPorts []net.Listener

func freePort() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	reservedPorts = append(reservedPorts, listener)
	return listener.Addr().String(), nil
}

func releasePorts() {
	for _, listener := range reservedPorts {
		_ = listener.Close()
	}
	reservedPorts = nil
}

// settings fills in the project's template for one process: sections {{#a}}..{{/a}} and
// values {{a}}. port is the first one of portRange.
func (s *system) settingsOf(fields map[string]string) (string, error) {
	template, err := os.ReadFile(filepath.Join(s.root, "deploy", "settings.ini"))
	if err != nil {
		return "", err
	}
	text := string(template)
	for {
		begin := strings.Index(text, "{{#")
		if begin < 0 {
			break
		}
		name, _, _ := strings.Cut(text[begin+3:], "}}")
		open, closing := "{{#"+name+"}}", "{{/"+name+"}}"
		last := strings.Index(text, closing)
		inner := ""
		if fields[name] != "" {
			inner = text[begin+len(open) : last]
		}
		text = text[:begin] + inner + text[last+len(closing):]
	}
	for name, value := range fields {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	return text, nil
}

// bounds are those of the small deployment lanterne-plie.
var bounds = map[string]string{
	"bounds.holdMaxMs": "10000", "bounds.stopMs": "400", "bounds.drainMs": "2000", "bounds.configApplyMs": "2000",
	"bounds.visible_ms": "3000", "bounds.status_s": "120", "bounds.graceS": "6", "region": "r",
}

func (s *system) newProcess(name, role string, fields map[string]string) (*process, error) {
	for key, value := range bounds {
		fields[key] = value
	}
	fields["nodeName"] = name
	text, err := s.settingsOf(fields)
	if err != nil {
		return nil, err
	}
	p := &process{name: name, role: role, settings: filepath.Join(s.dir, name+".ini")}
	if p.log, err = os.Create(filepath.Join(s.dir, name+".log")); err != nil {
		return nil, err
	}
	return p, os.WriteFile(p.settings, []byte(text), 0o600)
}

// children are the processes that this program has started and not seen end.
var children = struct {
	sync.Mutex
	commands map[*exec.Cmd]bool
}{commands: map[*exec.Cmd]bool{}}

func killChildren() {
	children.Lock()
	defer children.Unlock()
	for command := range children.commands {
		_ = command.Process.Kill()
	}
}

// run starts the process with the command of the deploy file.
func (s *system) run(p *process) error {
	p.cmd = exec.Command("target/damaskspread", p.role)
	p.cmd.Dir = s.root
	p.cmd.Env = []string{"DAMASKSPREAD_CONFIG=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	children.Lock()
	children.commands[p.cmd] = true
	children.Unlock()
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		children.Lock()
		delete(children.commands, cmd)
		children.Unlock()
		close(exited)
	}(p.cmd, p.exited)
	s.record.write("%s started, pid %d", p.name, p.cmd.Process.Pid)
	return nil
}

// signal sends a signal to a process that this program started.
func (s *system) signal(p *process, signal syscall.Signal) {
	s.record.write("%s gets %s", p.name, signal)
	_ = p.cmd.Process.Signal(signal)
	if signal == syscall.SIGKILL {
		<-p.exited
	}
}

// newSystem builds and starts a deployment with so many entries and executors.
func newSystem(r *record, root string, entries, executors int, shape func(i int, e *executor)) (*system, error) {
	dir, err := os.MkdirTemp("", "world3-")
	if err != nil {
		return nil, err
	}
	s := &system{record: r, root: root, dir: dir, store: newStore(), gangs: newGangs(), client: &http.Client{Timeout: 3 * time.Second}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.storeAddr = listener.Addr().String()
	go func() { _ = http.Serve(listener, s.store) }()
	for i := range entries {
		if err := s.addEntry(i); err != nil {
			return nil, err
		}
	}
	for i := range executors {
		if err := s.addExecutor(i, shape); err != nil {
			return nil, err
		}
	}
	releasePorts()
	s.putConfig()
	for _, p := range append(append([]*process(nil), s.entries...), s.agents...) {
		if err := s.run(p); err != nil {
			return nil, err
		}
	}
	for i, e := range s.executors {
		if err := e.boot(fmt.Sprintf("i-%d-1", i+1)); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *system) addEntry(i int) error {
	fields := map[string]string{"zone": zoneOf(i), "limits.cpuShare": "0.16", "limits.memoryMb": "284", "platform.address": s.storeAddr, "ip": "127.0.0.1"}
	ports := make([]string, 4)
	for j := range ports {
		port, err := freePort()
		if err != nil {
			return err
		}
		ports[j] = port
	}
	fields["listen.front"], fields["listen.ready"] = ports[0], ports[1]
	fields["portRange.0"] = strings.TrimPrefix(ports[2], "127.0.0.1:")
	fields["portRange.1"] = strings.TrimPrefix(ports[3], "127.0.0.1:")
	s.fronts = append(s.fronts, ports[0])
	p, err := s.newProcess(fmt.Sprintf("edge-%d", i+1), "job-entry", fields)
	s.entries = append(s.entries, p)
	return err
}

func (s *system) addExecutor(i int, shape func(i int, e *executor)) error {
	control, err := freePort()
	if err != nil {
		return err
	}
	metrics, err := freePort()
	if err != nil {
		return err
	}
	app, err := freePort()
	if err != nil {
		return err
	}
	e := &executor{
		record: s.record, service: service, zone: zoneOf(i), labels: []string{"a", fmt.Sprintf("r-%d", i/3)},
		cpu: 16000, memMb: 62500, stopTime: 200 * time.Millisecond, holdMax: 10 * time.Second, gangs: s.gangs, control: control, address: app,
	}
	if shape != nil {
		shape(i, e)
	}
	s.executors = append(s.executors, e)
	fields := map[string]string{
		"zone": zoneOf(i), "limits.cpuShare": "0.24", "limits.memoryMb": "152", "platform.address": s.storeAddr, "app": app,
		"listen.control": control, "ip": "127.0.0.1", "portRange.1": strings.TrimPrefix(metrics, "127.0.0.1:"),
	}
	p, err := s.newProcess(fmt.Sprintf("side-%d", i+1), "job-agent", fields)
	s.agents = append(s.agents, p)
	return err
}

func zoneOf(i int) string { return string(rune('a'+i%4)) + "-zone" }

const (
	service   = "plieur"
	queueHost = "nony24.example"
	// queuePath is a queue of priority 0, laterPath one of priority 2.
	queuePath = "/lohu930/"
	laterPath = "/pufi791/"
)

// putConfig writes the operator's configuration: two queues.
func (s *system) putConfig() {
	config, _ := json.Marshal(map[string]any{
		"version":  7,
		"routes":   []any{route("r-1", queuePath, 0), route("r-2", laterPath, 2)},
		"services": []any{map[string]any{"name": service, "enforcesCapacity": false, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	s.store.put("keyed.op", "config", config)
}

func route(name, path string, priority int) map[string]any {
	return map[string]any{
		"name": name, "host": queueHost, "pathPrefix": path, "type": "non_idempotent", "timeoutMs": 3000, "sloMs": 250,
		"priority": priority, "service": service, "maxAttempts": 4, "stretch": 2.0,
	}
}

// stop kills the processes that this program started and removes its folder.
func (s *system) stop() {
	for _, p := range append(append([]*process(nil), s.entries...), s.agents...) {
		if p == nil || p.cmd == nil || p.cmd.Process == nil {
			continue
		}
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
		return
	}
	fmt.Println("logs in", s.dir)
}

// call sends one request of a client; status is 0 without an answer.
func (s *system) call(front, method, path string, body any) (status int, answer map[string]any) {
	var reader io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		reader = bytes.NewReader(data)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, reader)
	if err != nil {
		return 0, nil
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", "3000")
	resp, err := s.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	_ = json.NewDecoder(resp.Body).Decode(&answer)
	return resp.StatusCode, answer
}

// submit hands a job in until it is accepted, at one entry after the other.
func (s *system) submit(path string, body any, within time.Duration) bool {
	for deadline, i := time.Now().Add(within), 0; time.Now().Before(deadline); i++ {
		status, _ := s.call(s.fronts[i%len(s.fronts)], http.MethodPost, path, body)
		s.record.write("POST %s at edge-%d: %d", path, i%len(s.fronts)+1, status)
		if status/100 == 2 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// awaitState asks for the state of a job until it is one of the wanted ones.
func (s *system) awaitState(path string, within time.Duration, wanted ...string) string {
	last := ""
	for deadline, i := time.Now().Add(within), 0; time.Now().Before(deadline); i++ {
		status, answer := s.call(s.fronts[i%len(s.fronts)], http.MethodGet, path, nil)
		state, _ := answer["state"].(string)
		if state != last && status == http.StatusOK {
			last = state
			s.record.write("GET %s at edge-%d: %d %s", path, i%len(s.fronts)+1, status, state)
		}
		for _, want := range wanted {
			if status == http.StatusOK && state == want {
				return state
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return last
}

// awaitReady waits until all entries say that they are ready and each executor was held.
func (s *system) awaitReady(within time.Duration) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := true
		for _, e := range s.executors {
			e.mu.Lock()
			ready = ready && e.leaseEnd.After(time.Now())
			e.mu.Unlock()
		}
		if ready {
			return true
		}
	}
	return false
}
