package validator

import (
	"time"

	"damaskspread.example/damaskspread/parser"
)

// JobSettings are the validated settings of a job-entry or job-agent process.
type JobSettings struct {
	process JobProcess
	listen  JobListen
	peers   JobPeers
	bounds  JobBounds

	scheduling JobScheduling
}

// JobProcess is the [process] section: settings of every process.
type JobProcess struct {
	id, zone, region, logLevel string
	processors                 float64
	memoryMegabytes            int
}

// JobListen is the [listen] section: the addresses that a process listens on. All
// of them are optional; an absent one is empty.
type JobListen struct {
	callers, ready, executors, agents, metrics string
}

// JobPeers is the [peers] section: the addresses that a process connects to.
type JobPeers struct {
	log, executor, advice string
}

// JobBounds is the [bounds] section: time limits that the operators guarantee to
// the process or require from it.
type JobBounds struct {
	leaseMax, stopWithin, drainFor, configWithin, visibleWithin, cancelWithin, statusFor, grace time.Duration
}

// JobScheduling is the [scheduling] section: how the leader and the entries decide
// when capacity is scarce.
type JobScheduling struct {
	bestEffortWait        time.Duration
	bestEffortSpeed       float64
	clearHosts            float64
	learnedRunTimes       bool
	speculativeCopies     bool
	pacedRecovery         bool
	order, preemption     string
	admission             bool
	admissionFromPriority int
}

// Process returns the section [process].
func (s *JobSettings) Process() *JobProcess { return &s.process }

// Listen returns the section [listen].
func (s *JobSettings) Listen() *JobListen { return &s.listen }

// Peers returns the section [peers].
func (s *JobSettings) Peers() *JobPeers { return &s.peers }

// Bounds returns the section [bounds].
func (s *JobSettings) Bounds() *JobBounds { return &s.bounds }

// Scheduling returns the section [scheduling].
func (s *JobSettings) Scheduling() *JobScheduling { return &s.scheduling }

// ID returns the name of the process in records and logs.
func (p *JobProcess) ID() string { return p.id }

// Zone returns the availability zone of the process.
func (p *JobProcess) Zone() string { return p.zone }

// Region returns the region of the process. It may be empty.
func (p *JobProcess) Region() string { return p.region }

// LogLevel returns the lowest level that is logged.
func (p *JobProcess) LogLevel() string { return p.logLevel }

// Processors returns how much processor time the process may use, in processors.
func (p *JobProcess) Processors() float64 { return p.processors }

// MemoryBytes returns the memory above which the process is killed.
func (p *JobProcess) MemoryBytes() int64 { return int64(p.memoryMegabytes) << 20 }

// Callers returns the address for callers; empty for an agent.
func (l *JobListen) Callers() string { return l.callers }

// Ready returns the address of the readiness check for the load balancer.
func (l *JobListen) Ready() string { return l.ready }

// Executors returns the address for the executor on the host.
func (l *JobListen) Executors() string { return l.executors }

// Agents returns the address for agents.
func (l *JobListen) Agents() string { return l.agents }

// Metrics returns the address of metrics.
func (l *JobListen) Metrics() string { return l.metrics }

// Log returns the address of the keyed log.
func (p *JobPeers) Log() string { return p.log }

// Executor returns the address of the executor on the host.
func (p *JobPeers) Executor() string { return p.executor }

// Advice returns the address of the admission advice service; it may be empty.
func (p *JobPeers) Advice() string { return p.advice }

// LeaseMax returns the longest lease that an executor accepts.
func (b *JobBounds) LeaseMax() time.Duration { return b.leaseMax }

// StopWithin returns the longest time that an executor takes to stop a task.
func (b *JobBounds) StopWithin() time.Duration { return b.stopWithin }

// DrainFor returns how long an executor keeps running after its drain notice.
func (b *JobBounds) DrainFor() time.Duration { return b.drainFor }

// ConfigWithin returns the time within which a new configuration takes effect.
func (b *JobBounds) ConfigWithin() time.Duration { return b.configWithin }

// VisibleWithin returns the time within which every entry process knows a job.
func (b *JobBounds) VisibleWithin() time.Duration { return b.visibleWithin }

// CancelWithin returns the time after a cancellation within which tasks of the job cease to
// start.
func (b *JobBounds) CancelWithin() time.Duration { return b.cancelWithin }

// StatusFor returns how long the status of a finished job is kept.
func (b *JobBounds) StatusFor() time.Duration { return b.statusFor }

// Grace returns the time between a termination signal and the kill.
func (b *JobBounds) Grace() time.Duration { return b.grace }

// BestEffortWait returns the longest wait of a best-effort task that fits by
// capacity; 0 means that it is unbounded.
func (s *JobScheduling) BestEffortWait() time.Duration { return s.bestEffortWait }

// BestEffortSpeed returns the share of its requested processors that a best-effort
// task must be predicted to get, otherwise it waits.
func (s *JobScheduling) BestEffortSpeed() float64 { return s.bestEffortSpeed }

// ClearHosts returns the share of a service's hosts that serving tasks leave clear while
// they fit on the others.
func (s *JobScheduling) ClearHosts() float64 { return s.clearHosts }

// SpeculativeCopies reports whether stragglers are copied.
func (s *JobScheduling) SpeculativeCopies() bool { return s.speculativeCopies }

// PacedRecovery reports whether late jobs leave room for returning callers after an
// outage of the log.
func (s *JobScheduling) PacedRecovery() bool { return s.pacedRecovery }

// LearnedRunTimes reports whether predictions use learned run times.
func (s *JobScheduling) LearnedRunTimes() bool { return s.learnedRunTimes }

// CostOrder reports whether steps start in the order of their cost of waiting
// instead of that of their deadlines.
func (s *JobScheduling) CostOrder() bool { return s.order == orderCost }

// LostWorkPreemption reports whether the tasks to preempt are chosen by the work
// that is lost.
func (s *JobScheduling) LostWorkPreemption() bool { return s.preemption == preemptionLostWork }

// Admission reports whether entries refuse jobs that would end too late.
func (s *JobScheduling) Admission() bool { return s.admission }

// AdmissionFromPriority returns the lowest priority number of the queues whose
// jobs may be refused.
func (s *JobScheduling) AdmissionFromPriority() int32 { return int32(s.admissionFromPriority) }

func (s *JobSettings) sections() []SectionSchema {
	return []SectionSchema{
		{name: "process", fields: s.process.fields()},
		{name: "listen", fields: s.listen.fields()},
		{name: "peers", fields: s.peers.fields()},
		{name: "bounds", fields: s.bounds.fields()},
		{name: "scheduling", fields: s.scheduling.fields()},
	}
}

func (p *JobProcess) fields() []Field {
	return []Field{
		required("id", "name of the process in records and logs", name(&p.id)),
		required("zone", "availability zone of the process", name(&p.zone)),
		optional("region", "", "region of the process", name(&p.region)),
		optional("log_level", "info", "least level that is logged", choice(&p.logLevel, "debug", "info", "warn", "error")),
		optional("processors", "1", "share of a processor that the process may use", number(&p.processors, 0.001, 1024)),
		optional("memory_mb", "256", "memory in MiB above which the process is killed", integer(&p.memoryMegabytes, 16, 1<<20)),
	}
}

func (l *JobListen) fields() []Field {
	return []Field{
		optional("callers", "", "address for callers (HTTP)", address(&l.callers, false)),
		optional("ready", "", "address of readiness for the load balancer", address(&l.ready, false)),
		optional("executors", "", "address for the executor on the host", address(&l.executors, false)),
		optional("agents", "", "address for agents", address(&l.agents, false)),
		optional("metrics", "", "address of metrics", address(&l.metrics, false)),
	}
}

func (p *JobPeers) fields() []Field {
	return []Field{
		required("log", "address of the keyed log", address(&p.log, false)),
		optional("executor", "", "address of the executor on the host", address(&p.executor, false)),
		optional("advice", "", "address of the admission advice", address(&p.advice, false)),
	}
}

func (b *JobBounds) fields() []Field {
	bound := func(key, defaultText, description string, target *time.Duration) Field {
		return optional(key, defaultText, description, duration(target, time.Millisecond, 24*time.Hour))
	}
	return []Field{
		bound("lease_max", "10s", "longest lease that an executor accepts", &b.leaseMax),
		bound("stop_within", "400ms", "longest time that an executor takes to stop a task", &b.stopWithin),
		bound("drain_for", "2s", "how long an executor keeps running after its notice", &b.drainFor),
		bound("config_within", "2s", "time within which a configuration is in force", &b.configWithin),
		bound("visible_within", "3s", "time within which every entry process knows a job", &b.visibleWithin),
		bound("cancel_within", "3s", "time within which a cancellation keeps tasks of the job from starting", &b.cancelWithin),
		bound("status_for", "2m", "how long a finished job stays known", &b.statusFor),
		bound("grace", "6s", "time between a termination signal and the kill", &b.grace),
	}
}

// Values of order and preemption in [scheduling].
const (
	orderDeadline      = "deadline"
	orderCost          = "cost"
	preemptionPriority = "priority"
	preemptionLostWork = "lost_work"
)

func (s *JobScheduling) fields() []Field {
	return []Field{
		optional("best_effort_wait", "0s", "longest wait of a best-effort task that fits by capacity, a quarter of it while the service is mostly free; 0 leaves it unbounded",
			duration(&s.bestEffortWait, 0, time.Hour)),
		optional("best_effort_speed", "0.5", "share of its requested processors that a best-effort task must be predicted to get to start",
			number(&s.bestEffortSpeed, 0.1, 1)),
		optional("clear_hosts", "0", "share of a service's hosts that serving tasks leave clear while they fit on the others, for best-effort tasks that interfere with them",
			number(&s.clearHosts, 0, 0.5)),
		optional("learned_run_times", "no", "predictions use learned run times", boolean(&s.learnedRunTimes)),
		optional("speculative_copies", "no", "stragglers of steps that allow it are copied to idle hosts", boolean(&s.speculativeCopies)),
		optional("paced_recovery", "no", "after an outage of the log, late jobs leave room for callers that return", boolean(&s.pacedRecovery)),
		optional("order", orderDeadline, "order in which waiting steps start", choice(&s.order, orderDeadline, orderCost)),
		optional("preemption", preemptionPriority, "how the tasks to preempt are chosen",
			choice(&s.preemption, preemptionPriority, preemptionLostWork)),
		optional("admission", "no", "jobs that would end too late to be of use are refused", boolean(&s.admission)),
		optional("admission_from_priority", "1", "lowest priority number of the queues whose jobs may be refused",
			integer(&s.admissionFromPriority, 0, 1<<20)),
	}
}

// LoadJobSettings parses and validates the settings of a job-entry or job-agent
// process. The settings are usable only without diagnostics.
func LoadJobSettings(file, text string) (*JobSettings, []Diagnostic) {
	settings := &JobSettings{}
	return settings, readSettings(parser.Parse(file, text), settings.sections())
}

// JobSettingsSchema returns the section types of JobSettings.
func JobSettingsSchema() []SectionSchema { return (&JobSettings{}).sections() }
