package scheduler

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/estimator"
	"damaskspread.example/damaskspread/placer"
	"damaskspread.example/damaskspread/wire"
)

// Limits bound the work of a Planner and set its timeouts. A field that is zero
// or negative gets its default.
type Limits struct {
	// ClaimsPerCycle is the maximum number of claims in one scheduling cycle, also
	// after an outage.
	ClaimsPerCycle int
	// AttemptsPerCycle is the maximum number of calls of the placement policy in
	// one scheduling cycle.
	AttemptsPerCycle int
	// MaxEvictingPermille is the share of the tasks of a draining zone or host that
	// may be in eviction at the same time, in thousandths.
	MaxEvictingPermille int
	// CurrencyLimit is the age of the state above which nothing is planned.
	CurrencyLimit time.Duration
	// ReadWait is how long a read of the log waits for new records.
	ReadWait time.Duration
	// TaskHold is how long a host that sends no heartbeats keeps its tasks.
	TaskHold time.Duration
	// UnplaceableDelay is how long hosts and configuration have to be unchanged,
	// and the state current, before a task that fits no host is finished as
	// unplaceable.
	UnplaceableDelay time.Duration
	// ClaimTimeout is how long to wait until the state shows an appended claim.
	// After that the task is tried again.
	ClaimTimeout time.Duration
}

func (l Limits) withDefaults() Limits {
	setInt := func(field *int, fallback int) {
		if *field <= 0 {
			*field = fallback
		}
	}
	setDuration := func(field *time.Duration, fallback time.Duration) {
		if *field <= 0 {
			*field = fallback
		}
	}
	// 128 claims in a cycle of 100 ms are three times the peak rate of 370 starts
	// per second.
	setInt(&l.ClaimsPerCycle, 128)
	setInt(&l.AttemptsPerCycle, 512)
	setInt(&l.MaxEvictingPermille, 100)
	setDuration(&l.CurrencyLimit, 3*time.Second)
	setDuration(&l.ReadWait, 300*time.Millisecond)
	setDuration(&l.TaskHold, 15*time.Minute)
	setDuration(&l.UnplaceableDelay, 30*time.Second)
	setDuration(&l.ClaimTimeout, 10*time.Second)
	return l
}

// evictionTimeout is how long to wait until the state shows an appended eviction
// request. After that the task counts as not being evicted.
const evictionTimeout = 10 * time.Second

// runningTask is a task that is claimed in the state.
type runningTask struct {
	spec          *wire.TaskSpec
	attempt       int32
	host          string
	token         int64
	claimedAt     time.Time
	stopRequested bool
	// checkpoint is the latest checkpoint in the state.
	checkpoint string
	// evictionRequestedAt is when this planner appended an eviction request, or
	// zero. stopRequested is set once the state shows the request.
	evictionRequestedAt time.Time
}

// stopping reports whether the task is being evicted or canceled, so that its
// resources become free soon.
func (r *runningTask) stopping(now time.Time) bool {
	return r.stopRequested || !r.evictionRequestedAt.IsZero() && now.Sub(r.evictionRequestedAt) < evictionTimeout
}

// hostInfo is what the planner knows about a host in addition to the index.
type hostInfo struct {
	spec            *wire.HostSpec
	tasks           map[string]*runningTask
	alivePosition   *wire.Position
	aliveObservedAt time.Time
	// outagesAtAlive is the total of the outages at aliveObservedAt.
	outagesAtAlive time.Duration
	// aliveLoaded means that the latest heartbeat was in the state when the planner
	// first read the host, so that it may be older than aliveObservedAt.
	aliveLoaded bool
	// recordedSilence is the longest silence since the latest heartbeat that any entry
	// recorded.
	recordedSilence time.Duration
	leaving         bool
	// leavingSince is when the planner observed that the host is leaving, or earlier if
	// the state shows that it was.
	leavingSince time.Time
	expired      bool
	// releaseTriedAt, fenceTriedAt and readTriedAt are the times of the latest attempts.
	releaseTriedAt time.Time
	fenceTriedAt   time.Time
	readTriedAt    time.Time
}

// Planner decides which scheduling records an entry appends to the log. It
// starts no goroutines, reads no clock and is not safe for concurrent use.
type Planner struct {
	// Entry is the ID of the entry that appends the records.
	Entry  string
	Index  *placer.Index
	Policy damaskspread.PlacementPolicy
	// Estimates may be nil. Then declared values are used and no task is
	// throttled or evicted for interference.
	Estimates *estimator.Estimator
	// Teams returns the configuration of a team; nil means no quotas. It is
	// called while the state is locked for reading and must not lock it again.
	Teams func(team string) Team
	// Drains reports whether the tasks of a zone are evicted while it is out of
	// service. If Drains is nil, they always are.
	Drains func(zone string) bool
	Limits Limits
	Random *rand.Rand

	// limits is Limits with defaults.
	limits Limits
	offset int64
	// hostsStableSince is when hosts or configuration last changed, or when the
	// replayed state last was not current.
	hostsStableSince time.Time
	hosts            map[string]*hostInfo
	hostList         []*hostInfo
	zonesOut         map[string]zoneOut
	drains           map[string]*drain
	liveEntries      []string
	teams            map[string]*team
	pending          map[string]*pendingTask
	running          map[string]*runningTask
	urgent           classQueue
	batch            classQueue
	// outsideQueues holds the pending tasks in states delayed, reserved and claimed,
	// unrunnable those in state unrunnable.
	outsideQueues       map[string]*pendingTask
	unrunnable          map[string]*pendingTask
	unrunnableCheckedAt time.Time
	// freedSeen is the value of Index.FreedCount when batch tasks were last
	// unblocked.
	freedSeen   uint64
	unblockedAt time.Time
	// batchReservations is the number of reservations for overdue batch tasks.
	batchReservations  int
	hostsReleasedAt    time.Time
	leavingHosts       int
	quarantine         *quarantine
	throttles          map[string]estimator.Response
	responsesAppliedAt time.Time
	// measureCursor is the index in hostList of the last host whose measured use
	// was updated.
	measureCursor int
	// stateCurrentSince is when the age of the replayed state last came within the
	// currency limit, or zero while it exceeds the limit.
	stateCurrentSince time.Time
	outages           logOutages
	// configChanged is set by a change of the configuration, after which refused
	// tasks may become placeable.
	configChanged bool
}

func (p *Planner) ensureInitialized() {
	p.limits = p.Limits.withDefaults()
	if p.hosts == nil {
		p.hosts = map[string]*hostInfo{}
		p.teams = map[string]*team{}
		p.running = map[string]*runningTask{}
		p.pending = map[string]*pendingTask{}
		p.outsideQueues = map[string]*pendingTask{}
		p.unrunnable = map[string]*pendingTask{}
		p.zonesOut = map[string]zoneOut{}
		p.drains = map[string]*drain{}
		p.throttles = map[string]estimator.Response{}
		p.urgent.teams = map[string]*teamQueue{}
		p.urgent.refusals = map[refusalKey]*refusalSet{}
		p.batch.teams = map[string]*teamQueue{}
		p.batch.refusals = map[refusalKey]*refusalSet{}
		p.quarantine = newQuarantine()
	}
}

// OwnsTask reports whether this entry places a task. All tasks of a team with a
// quota belong to one entry: the replayer doesn't check quotas, so two entries
// that place tasks of the same team could exceed the quota together.
func (p *Planner) OwnsTask(spec *wire.TaskSpec) bool {
	if p.team(spec.GetTeam()).config.limited() {
		return p.owns("team/" + spec.GetTeam())
	}
	return p.owns("task/" + spec.GetTask())
}

// owns reports whether rendezvous hashing over the live entries assigns key to
// this entry.
func (p *Planner) owns(key string) bool {
	bestEntry, highestHash := "", uint64(0)
	for _, entry := range p.liveEntries {
		if hash := xxhash.Sum64String(entry + "\x00" + key); bestEntry == "" || hash > highestHash {
			bestEntry, highestHash = entry, hash
		}
	}
	return bestEntry != "" && bestEntry == p.Entry
}

func (p *Planner) team(name string) *team {
	t := p.teams[name]
	if t == nil {
		t = &team{
			name: name,
		}
		if p.Teams != nil {
			t.config = p.Teams(name)
		}
		p.teams[name] = t
	}
	return t
}

func (p *Planner) queueFor(spec *wire.TaskSpec) *classQueue {
	if isUrgent(spec) {
		return &p.urgent
	}
	return &p.batch
}

// move changes the state of a pending task. It releases what the task held in
// the old state: its place in a queue, its reservation or its claim.
func (p *Planner) move(task *pendingTask, to pendingState, since time.Time) {
	switch task.state {
	case queued:
		p.queueFor(task.spec).remove(task)
	case delayed, reserved:
		delete(p.outsideQueues, task.spec.GetTask())
	case unrunnable:
		delete(p.unrunnable, task.spec.GetTask())
	case claimed:
		delete(p.outsideQueues, task.spec.GetTask())
		p.release(task.spec)
		task.host, task.claimRecordID, task.claimReason = "", "", ""
	}
	if task.state == reserved {
		p.Index.Unreserve(task.spec.GetTask())
		if !task.urgent {
			p.batchReservations--
		}
	}
	task.state = to
	task.since = since
	switch to {
	case queued:
		p.queueFor(task.spec).push(task, task.team)
	case delayed, reserved, claimed:
		p.outsideQueues[task.spec.GetTask()] = task
		if to == reserved && !task.urgent {
			p.batchReservations++
		}
	case unrunnable:
		p.unrunnable[task.spec.GetTask()] = task
	}
}

// commit counts the resources of a task as used on its host and by its team.
func (p *Planner) commit(spec *wire.TaskSpec, host string) {
	p.Index.Commit(spec, host)
	p.team(spec.GetTeam()).addUsage(spec.GetResources(), 1)
}

func (p *Planner) release(spec *wire.TaskSpec) {
	p.Index.Release(spec.GetTask())
	p.team(spec.GetTeam()).addUsage(spec.GetResources(), -1)
}

func (p *Planner) newRecordID() string {
	return fmt.Sprintf("%s-%016x%016x", p.Entry, p.Random.Uint64(), p.Random.Uint64())
}

func (p *Planner) addMetadata(record *wire.Record, now time.Time) *wire.Record {
	record.Id = p.newRecordID()
	record.Actor = p.Entry
	record.RecordedUnixMs = now.UnixMilli()
	return record
}

// HandleAppendResult reports the result of appending planned records. Claims that
// were certainly not appended are dropped at once. Claims that may have been
// appended keep their resources until the state shows them or ClaimTimeout passes.
func (p *Planner) HandleAppendResult(records []*wire.Record, err error, now time.Time) {
	if err == nil || !notAppended(err) {
		return
	}
	for _, record := range records {
		if body := record.GetTaskClaimed(); body != nil {
			p.dropClaim(body.GetTask(), record.GetId(), now)
		}
		if body := record.GetEvictionRequested(); body != nil && p.running[body.GetTask()] != nil {
			p.running[body.GetTask()].evictionRequestedAt = time.Time{}
		}
	}
}

// notAppended reports whether an append that failed with err certainly had no
// effect.
func notAppended(err error) bool {
	var unavailable *damaskspread.LogUnavailableError
	var refused *damaskspread.RefusalError
	return errors.As(err, &unavailable) ||
		errors.As(err, &refused) && refused.Outcome == wire.Outcome_OUTCOME_NOT_RUN
}

// dropClaim releases a claim that had no effect and queues the task again after
// a back-off. The back-off grows exponentially, so that a host or zone that
// keeps rejecting claims is not tried in a tight loop.
func (p *Planner) dropClaim(taskID, claimRecordID string, now time.Time) {
	task := p.pending[taskID]
	if task == nil || task.state != claimed || task.claimRecordID != claimRecordID {
		return
	}
	backoff := 200 * time.Millisecond << min(task.failures, 6)
	backoff += time.Duration(p.Random.Int64N(int64(backoff)))
	task.failures++
	p.move(task, delayed, now.Add(backoff))
}

// Throttles returns the tasks to be throttled, in no particular order. The
// planner doesn't notify the agents.
func (p *Planner) Throttles() []estimator.Response {
	list := make([]estimator.Response, 0, len(p.throttles))
	for _, throttle := range p.throttles {
		list = append(list, throttle)
	}
	return list
}
