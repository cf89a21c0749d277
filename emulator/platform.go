// Package emulator is a test scaffold: it emulates the platform's log and
// workers, and a sample endpoint, with faults that tests switch over HTTP.
//
// A Platform owns its streams, workers and the history of every task; one
// lock guards all of them, so the history is a single order of events. It
// starts one goroutine per listener. Task ends and lease ends are computed
// from the clock when the state is next looked at, not by timers.
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

// Worker describes one emulated worker.
type Worker struct {
	Host     string
	Address  string
	Capacity *wire.Resources
}

// Platform emulates the log and one worker per host.
type Platform struct {
	Clock          damaskspread.Clock
	LogAddress     string
	ControlAddress string
	Workers        []Worker
	// RetainEntries and RetainFor bound the entries kept per stream; zero
	// keeps all.
	RetainEntries int
	RetainFor     time.Duration
	// AppendsPerSecond limits appends over all streams; zero is unlimited.
	AppendsPerSecond int
	// UsageLag is the age of usage samples.
	UsageLag time.Duration

	mu          sync.Mutex
	log         *appendLog
	logGate     *gate
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

// Event is one change of a task at a worker.
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

// Violation is a broken or attempted breach of an invariant.
type Violation struct {
	Kind       string `json:"kind"`
	Host       string `json:"host"`
	Task       string `json:"task"`
	Detail     string `json:"detail"`
	WallUnixUs int64  `json:"wall_unix_us"`
}

// History is what the platform itself observed.
type History struct {
	Events       []Event                    `json:"events"`
	Violations   []Violation                `json:"violations"`
	MaxCommitted map[string]*wire.Resources `json:"max_committed"`
}

// compressMinBytes spares the small messages of most calls the cost of gzip,
// which took most of the time of simulated runs.
const compressMinBytes = 4096

// Listen binds the addresses, so that the URLs are known before Run.
func (p *Platform) Listen() error {
	p.log = newAppendLog(p)
	p.logGate = newGate(p.Clock)
	p.workers = map[string]*worker{}
	p.checkpoints = map[string]time.Duration{}
	p.history.MaxCommitted = map[string]*wire.Resources{}
	p.urls = map[string]string{}
	_, logHandler := wireconnect.NewLogServiceHandler(p.log, connect.WithCompressMinBytes(compressMinBytes))
	if err := p.bind("log", p.LogAddress, p.logGate.wrap(logHandler)); err != nil {
		return err
	}
	for _, spec := range p.Workers {
		w := newWorker(p, spec)
		p.workers[spec.Host] = w
		_, handler := wireconnect.NewWorkerServiceHandler(w, connect.WithCompressMinBytes(compressMinBytes))
		if err := p.bind("worker/"+spec.Host, spec.Address, w.gate.wrap(handler)); err != nil {
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
	if p.logGate != nil {
		p.logGate.close()
	}
	for _, w := range p.workers {
		w.gate.close()
	}
}

// Run serves until the tomb dies. Listen must have succeeded before.
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

// WorkerURL is the base URL of a host's worker.
func (p *Platform) WorkerURL(host string) string { return p.urls["worker/"+host] }

// ControlURL is the base URL of /faults and /records.
func (p *Platform) ControlURL() string { return p.urls["control"] }

func (p *Platform) serveRecords(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p.Records())
}

// Records returns the history up to now.
func (p *Platform) Records() History {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settleAll()
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

func (p *Platform) settleAll() {
	for _, w := range p.workers {
		w.settle()
	}
}

func (p *Platform) violate(kind, host, task, detail string) {
	p.history.Violations = append(p.history.Violations, Violation{
		Kind:       kind,
		Host:       host,
		Task:       task,
		Detail:     detail,
		WallUnixUs: p.Clock.Now().UnixMicro(),
	})
}
