// Package emulator provides test doubles for the systems that surround the
// project: the platform's log and workers, a keyed log, an executor and a sample
// endpoint. The clients for the real systems are in packages connector and platform.
//
// Platform and Endpoint serve HTTP and are told over HTTP which faults to
// inject; KeyedLog and JobExecutor are called in process and have setters for
// faults.
//
// A Platform owns its streams, its workers and the history of every task. One
// lock guards all of them, so the events of the history are totally ordered. It
// starts one goroutine per listener, which waits for connections. No timers end
// tasks and leases: each access to the state first computes from the clock what
// has ended since the previous one.
package emulator

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/samber/oops"
	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
	"damaskspread.example/damaskspread/wire/wireconnect"
)

// Worker describes the worker to emulate for one host.
type Worker struct {
	Host     string
	Address  string
	Capacity *wire.Resources
}

// Platform emulates the log and one worker per host. Set the exported fields
// before Listen. The methods are safe for concurrent use once Listen returned.
type Platform struct {
	Clock          damaskspread.Clock
	LogAddress     string
	ControlAddress string
	Workers        []Worker
	// RetainEntries and RetainFor limit the number and the age of the entries
	// retained per stream; zero is unlimited.
	RetainEntries int
	RetainFor     time.Duration
	// AppendsPerSecond limits appends over all streams; zero is unlimited.
	AppendsPerSecond int
	// UsageLag is the age of usage samples when a worker reports them.
	UsageLag time.Duration

	mu          sync.Mutex
	log         *appendLog
	logFaults   *faultInjector
	workers     map[string]*worker
	checkpoints map[string]time.Duration
	history     History
	servers     []*server
	urls        map[string]string
}

type server struct {
	listener net.Listener
	http     *http.Server
}

// Event is one change of a task at a worker. Its kind is start, checkpoint,
// stop, finish, fail, lapse (of the lease) or lost (with a restart of the worker). A
// restart also gives unread, for a finished task whose end no caller has read.
type Event struct {
	Kind       string `json:"kind"`
	Host       string `json:"host"`
	Task       string `json:"task"`
	Token      int64  `json:"token"`
	WorkerUs   int64  `json:"worker_us"`
	WallUnixUs int64  `json:"wall_unix_us"`
	// ProgressMs is the work done when the event happened.
	ProgressMs int64 `json:"progress_ms"`
}

// Violation is a breach of an invariant (kind two_hosts), or a refused start
// that would have been one (kind over_commitment_attempt).
type Violation struct {
	Kind       string `json:"kind"`
	Host       string `json:"host"`
	Task       string `json:"task"`
	Detail     string `json:"detail"`
	WallUnixUs int64  `json:"wall_unix_us"`
}

// History lists what the emulated workers did, as tests check it.
type History struct {
	Events     []Event     `json:"events"`
	Violations []Violation `json:"violations"`
	// MaxCommitted has, per host and resource, the highest sum of the requests
	// of tasks that ran at the same time.
	MaxCommitted map[string]*wire.Resources `json:"max_committed"`
}

// compressMinBytes is the size from which responses are compressed. Most
// messages are smaller; compressing them took most of the time of simulated
// runs.
const compressMinBytes = 4096

// Listen binds the addresses, so that the URLs are known before Run. After an
// error no address is bound.
func (p *Platform) Listen() error {
	p.log = newAppendLog(p)
	p.logFaults = newFaultInjector(p.Clock)
	p.workers = map[string]*worker{}
	p.checkpoints = map[string]time.Duration{}
	p.history.MaxCommitted = map[string]*wire.Resources{}
	p.urls = map[string]string{}
	_, logHandler := wireconnect.NewLogServiceHandler(p.log, connect.WithCompressMinBytes(compressMinBytes))
	if err := p.bind("log", p.LogAddress, p.logFaults.wrap(logHandler)); err != nil {
		return err
	}
	for _, spec := range p.Workers {
		w := newWorker(p, spec)
		p.workers[spec.Host] = w
		_, handler := wireconnect.NewWorkerServiceHandler(w, connect.WithCompressMinBytes(compressMinBytes))
		if err := p.bind("worker/"+spec.Host, spec.Address, w.faults.wrap(handler)); err != nil {
			return err
		}
	}
	control := http.NewServeMux()
	control.HandleFunc("POST /faults", p.serveFaults)
	control.HandleFunc("GET /records", p.serveRecords)
	return p.bind("control", p.ControlAddress, control)
}

func (p *Platform) bind(name, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		p.close()
		return oops.Wrapf(err, "listen for %s", name)
	}
	p.urls[name] = "http://" + listener.Addr().String()
	p.servers = append(p.servers, &server{
		listener: listener,
		http:     &http.Server{Handler: handler},
	})
	return nil
}

func (p *Platform) close() {
	for _, s := range p.servers {
		_ = s.http.Close()
		_ = s.listener.Close()
	}
	if p.logFaults != nil {
		p.logFaults.close()
	}
	for _, w := range p.workers {
		w.faults.close()
	}
}

// Run serves until the tomb dies, then closes all listeners and connections.
// Listen must have succeeded before.
func (p *Platform) Run(t *tomb.Tomb) error {
	for _, s := range p.servers {
		t.Go(func() error {
			if err := s.http.Serve(s.listener); err != nil && t.Alive() {
				return oops.Wrapf(err, "serve %s", s.listener.Addr())
			}
			return nil
		})
	}
	<-t.Dying()
	p.close()
	return nil
}

// LogURL is the base URL of the log.
func (p *Platform) LogURL() string { return p.urls["log"] }

// WorkerURL is the base URL of a host's worker, empty for an unknown host.
func (p *Platform) WorkerURL(host string) string { return p.urls["worker/"+host] }

// ControlURL is the base URL of POST /faults and GET /records.
func (p *Platform) ControlURL() string { return p.urls["control"] }

func (p *Platform) serveRecords(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p.History())
}

// History returns a copy of the history up to now.
func (p *Platform) History() History {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advanceAll()
	h := History{
		Events:       append([]Event{}, p.history.Events...),
		Violations:   append([]Violation{}, p.history.Violations...),
		MaxCommitted: map[string]*wire.Resources{},
	}
	for host, most := range p.history.MaxCommitted {
		h.MaxCommitted[host] = most
	}
	return h
}

// advanceAll updates the tasks of all workers to the present. It requires the lock.
func (p *Platform) advanceAll() {
	for _, w := range p.workers {
		w.advance()
	}
}

// recordViolation requires the lock.
func (p *Platform) recordViolation(kind, host, task, detail string) {
	p.history.Violations = append(p.history.Violations, Violation{
		Kind:       kind,
		Host:       host,
		Task:       task,
		Detail:     detail,
		WallUnixUs: p.Clock.Now().UnixMicro(),
	})
}
