package validator

import (
	"math"
	"time"

	"damaskspread.example/damaskspread/wire"
)

// Process is the [process] section: settings of every process.
type Process struct {
	id, role, region, zone, rack, host string
	monitorListen, pprofListen         string
	logLevel                           string
	seed                               int
}

// ID returns the name of the process in records and logs.
func (p *Process) ID() string { return p.id }

// Role returns entry, agent, emulator or dev.
func (p *Process) Role() string { return p.role }

// Region returns the region of the process.
func (p *Process) Region() string { return p.region }

// Zone returns the availability zone of the process.
func (p *Process) Zone() string { return p.zone }

// Rack returns the rack of the host; it may be empty.
func (p *Process) Rack() string { return p.rack }

// Host returns the host's id, by default the id of the process.
func (p *Process) Host() string { return p.host }

// MonitorListen returns the address of health and readiness checks and metrics.
func (p *Process) MonitorListen() string { return p.monitorListen }

// PprofListen returns the loopback address of pprof. pprof is off if it is empty.
func (p *Process) PprofListen() string { return p.pprofListen }

// LogLevel returns the lowest level that is logged.
func (p *Process) LogLevel() string { return p.logLevel }

// Seed returns the seed of the process's random numbers. 0 means that the process
// picks a seed and logs it.
func (p *Process) Seed() int { return p.seed }

func (p *Process) fields() []Field {
	return []Field{
		required("id", "name of the process in records and logs", name(&p.id)),
		optional("role", "dev", "what the process does", choice(&p.role, "entry", "agent", "emulator", "dev")),
		required("region", "region of the process", name(&p.region)),
		required("zone", "availability zone of the process", name(&p.zone)),
		optional("rack", "", "rack of the host", name(&p.rack)),
		optional("host", "", "id of the host; the process id if absent", name(&p.host)),
		optional("monitor_listen", "127.0.0.1:7402", "address of /healthz, /readyz and /metrics", address(&p.monitorListen, false)),
		optional("pprof_listen", "", "loopback address of pprof; off if absent", address(&p.pprofListen, true)),
		optional("log_level", "info", "least level that is logged", choice(&p.logLevel, "debug", "info", "warn", "error")),
		optional("seed", "0", "seed of the randomness; 0 picks one and logs it", integer(&p.seed, 0, math.MaxInt32)),
	}
}

// Log is the [log] section: the platform's log.
type Log struct {
	address                              string
	appendTimeout, readTimeout, readWait time.Duration
	retention                            time.Duration
}

// Address returns the log's address.
func (l *Log) Address() string { return l.address }

// AppendTimeout returns the deadline of an append.
func (l *Log) AppendTimeout() time.Duration { return l.appendTimeout }

// ReadTimeout returns the deadline of a read, not counting ReadWait.
func (l *Log) ReadTimeout() time.Duration { return l.readTimeout }

// ReadWait returns how long a read at the head waits for the next entry.
func (l *Log) ReadWait() time.Duration { return l.readWait }

// Retention returns how long the log keeps records. At least four snapshots are
// written in that period.
func (l *Log) Retention() time.Duration { return l.retention }

func (l *Log) fields() []Field {
	return []Field{
		optional("address", "127.0.0.1:7100", "address of the platform's log", address(&l.address, false)),
		optional("append_timeout", "2s", "deadline of an append", duration(&l.appendTimeout, 10*time.Millisecond, time.Minute)),
		optional("read_timeout", "2s", "deadline of a read on top of its wait", duration(&l.readTimeout, 10*time.Millisecond, time.Minute)),
		optional("read_wait", "500ms", "how long a read at the head waits for the next entry", duration(&l.readWait, time.Millisecond, time.Minute)),
		optional("retention", "24h", "how long the log keeps records; snapshots are written four times as often", duration(&l.retention, time.Second, 365*24*time.Hour)),
	}
}

// Entry is the [entry] section of an entry process.
type Entry struct {
	listen, peerListen, address string
	peers                       []string
	drainDelay                  time.Duration
}

// Listen returns the address for callers and operators.
func (e *Entry) Listen() string { return e.listen }

// PeerListen returns the address for agents and other entry processes.
func (e *Entry) PeerListen() string { return e.peerListen }

// Address returns the address that agents and other entry processes connect to, by
// default PeerListen.
func (e *Entry) Address() string { return e.address }

// Peers returns the addresses of other entry processes. A process that starts while
// the log is down fetches the state from them.
func (e *Entry) Peers() []string { return e.peers }

// DrainDelay returns how long a stopping process still accepts requests after its
// readiness check starts to fail.
func (e *Entry) DrainDelay() time.Duration { return e.drainDelay }

func (e *Entry) fields() []Field {
	return []Field{
		optional("listen", "127.0.0.1:7400", "address for callers and operators (HTTP)", address(&e.listen, false)),
		optional("peer_listen", "127.0.0.1:7401", "address for agents and other entries", address(&e.peerListen, false)),
		optional("address", "", "address that agents and other entries use; peer_listen if absent", address(&e.address, false)),
		optional("peers", "", "addresses of other entries, for a start while the log is down", addresses(&e.peers)),
		optional("drain_delay", "2s", "how long a stopping process accepts requests after /readyz turned false", duration(&e.drainDelay, 0, time.Minute)),
	}
}

// Agent is the [agent] section of an agent process.
type Agent struct {
	entries         []string
	listen, address string
}

// Entries returns the addresses of entry processes.
func (a *Agent) Entries() []string { return a.entries }

// Listen returns the address for entry processes and other agents.
func (a *Agent) Listen() string { return a.listen }

// Address returns the address that the agent announces, by default Listen.
func (a *Agent) Address() string { return a.address }

func (a *Agent) fields() []Field {
	return []Field{
		optional("entries", "127.0.0.1:7401", "addresses of entry processes", addresses(&a.entries)),
		optional("listen", "127.0.0.1:7410", "address for entries and other agents", address(&a.listen, false)),
		optional("address", "", "address that the agent announces; listen if absent", address(&a.address, false)),
	}
}

// Endpoint is the [endpoint] section: the endpoint on the agent's host.
type Endpoint struct {
	service, address   string
	slots, connections int
	reserved           wire.Resources
}

// Service returns the endpoint's service; empty for a host without endpoint.
func (e *Endpoint) Service() string { return e.service }

// Address returns the endpoint's HTTP address.
func (e *Endpoint) Address() string { return e.address }

// Slots returns the maximum number of concurrent requests.
func (e *Endpoint) Slots() int { return e.slots }

// Connections returns the maximum number of connections to the endpoint.
func (e *Endpoint) Connections() int { return e.connections }

// Reserved returns the resources that are reserved for the endpoint on its host.
// Callers must not modify the result.
func (e *Endpoint) Reserved() *wire.Resources { return &e.reserved }

// Spec returns the description of the endpoint that its host announces, or nil
// without a service.
func (e *Endpoint) Spec() *wire.EndpointSpec {
	if e.service == "" {
		return nil
	}
	return &wire.EndpointSpec{
		Service:     e.service,
		Slots:       int32(e.slots),
		Connections: int32(e.connections),
		Reserved:    &e.reserved,
	}
}

func (e *Endpoint) fields() []Field {
	return append(
		[]Field{
			optional("service", "", "service of the endpoint; no endpoint if absent", name(&e.service)),
			optional("address", "127.0.0.1:7420", "HTTP address of the endpoint", address(&e.address, false)),
			optional("slots", "8", "requests that run at once", integer(&e.slots, 1, 100_000)),
			optional("connections", "64", "connections that the endpoint accepts", integer(&e.connections, 1, 1_000_000)),
		},
		resourceFields(&e.reserved, "reserved_", "0", "held by the endpoint on its host", false)...,
	)
}

// Worker is the [worker] section: the platform's worker on the agent's host.
type Worker struct {
	address string
	timeout time.Duration
}

// Address returns the worker's address; empty for a host that runs no tasks.
func (w *Worker) Address() string { return w.address }

// Timeout returns the deadline of a call to the worker.
func (w *Worker) Timeout() time.Duration { return w.timeout }

func (w *Worker) fields() []Field {
	return []Field{
		optional("address", "", "address of the platform's worker; no tasks if absent", address(&w.address, false)),
		optional("timeout", "2s", "deadline of a call to the worker", duration(&w.timeout, 10*time.Millisecond, time.Minute)),
	}
}

// Emulator is the [emulator] section: the emulated platform.
type Emulator struct {
	listen    string
	workers   int
	retention time.Duration
}

// Listen returns the address of the emulated log and of the fault injection API.
func (e *Emulator) Listen() string { return e.listen }

// Workers returns the number of emulated workers.
func (e *Emulator) Workers() int { return e.workers }

// Retention returns how long the emulated log keeps records.
func (e *Emulator) Retention() time.Duration { return e.retention }

func (e *Emulator) fields() []Field {
	return []Field{
		optional("listen", "127.0.0.1:7100", "address of the emulated log and of the fault switches", address(&e.listen, false)),
		optional("workers", "3", "number of emulated workers", integer(&e.workers, 0, 10_000)),
		optional("retention", "24h", "how long the emulated log keeps records", duration(&e.retention, time.Second, 365*24*time.Hour)),
	}
}
