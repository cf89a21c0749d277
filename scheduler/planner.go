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

// Limits bound the work of the planner. Zero values mean the defaults.
type Limits struct {
	// ClaimsPerRound bounds the records of one round, also after an outage.
	ClaimsPerRound int
	// AttemptsPerRound bounds the placement decisions of one round.
	AttemptsPerRound int
	// WavePermille is the share of a zone's tasks that may be leaving it at
	// once, in thousandths.
	WavePermille  int
	CurrencyLimit time.Duration
	TaskHold      time.Duration
	// Settle is how long the state has to be unchanged and current before a
	// task is ended because no host can hold it.
	Settle time.Duration
	// ClaimTimeout is how long a claim may stay without effect in the state.
	ClaimTimeout time.Duration
}

func (l Limits) withDefaults() Limits {
	set := func(v *int, value int) {
		if *v <= 0 {
			*v = value
		}
	}
	wait := func(v *time.Duration, value time.Duration) {
		if *v <= 0 {
			*v = value
		}
	}
	// 128 claims in a round of 100 ms are three times the peak of 370/s.
	set(&l.ClaimsPerRound, 128)
	set(&l.AttemptsPerRound, 512)
	set(&l.WavePermille, 100)
	wait(&l.CurrencyLimit, 3*time.Second)
	wait(&l.TaskHold, 15*time.Minute)
	wait(&l.Settle, 30*time.Second)
	wait(&l.ClaimTimeout, 10*time.Second)
	return l
}

// evictionTimeout is how long a requested eviction may stay without effect in
// the state before the task counts as staying.
const evictionTimeout = 10 * time.Second

// running is a claim that the state holds.
type running struct {
	spec    *wire.TaskSpec
	attempt int32
	host    string
	token   int64
	since   time.Time
	ending  bool
	// asked is when this planner requested the eviction; the state shows it
	// later.
	asked time.Time
}

// leaving reports whether the task's room will become free soon.
func (r *running) leaving(now time.Time) bool {
	return r.ending || !r.asked.IsZero() && now.Sub(r.asked) < evictionTimeout
}

// hostView is what the planner keeps of a host besides the index.
type hostView struct {
	spec     *wire.HostSpec
	tasks    map[string]*running
	alive    *wire.Position
	observed time.Time
	leaving  bool
	// left is when the departure was observed.
	left    time.Time
	expired bool
	// released and fenced are the times of the latest try.
	released time.Time
	fenced   time.Time
}

// Planner decides what an entry appends to the log. It is not safe for
// concurrent use, starts nothing and reads no clock.
type Planner struct {
	Entry  string
	Index  *placer.Index
	Policy damaskspread.PlacementPolicy
	// Estimates may be nil.
	Estimates *estimator.Estimator
	// Teams returns the configuration of a team; nil means no quotas. It is
	// called while the state is locked for reading and must not lock it again.
	Teams  func(team string) Team
	Limits Limits
	Random *rand.Rand

	limits     Limits
	offset     int64
	stable     time.Time
	hosts      map[string]*hostView
	hostList   []*hostView
	zonesOut   map[string]bool
	waveSizes  map[string]int
	entries    []string
	teams      map[string]*team
	pending    map[string]*item
	running    map[string]*running
	urgent     classQueue
	batch      classQueue
	parked     map[string]*item
	stuck      map[string]*item
	visited    time.Time
	refused    map[refusalKey][]refusedNeed
	freed      uint64
	unblocked  time.Time
	quarantine *quarantine
	throttles  map[string]estimator.Response
	responded  time.Time
	measured   int
	// current is since when the state has been current without a break.
	current time.Time
	// stale is set when a change of configuration may end refusals.
	stale bool
}

// refusalKey groups tasks that differ only in their processors and memory.
type refusalKey struct {
	accelerators int64
	zones        string
	firm         bool
	urgent       bool
}

type refusedNeed struct {
	need    *wire.Resources
	refusal *damaskspread.PlacementRefusedError
}

func (p *Planner) reset() {
	p.limits = p.Limits.withDefaults()
	if p.hosts == nil {
		p.hosts = map[string]*hostView{}
		p.teams = map[string]*team{}
		p.running = map[string]*running{}
		p.pending = map[string]*item{}
		p.parked = map[string]*item{}
		p.stuck = map[string]*item{}
		p.zonesOut = map[string]bool{}
		p.waveSizes = map[string]int{}
		p.refused = map[refusalKey][]refusedNeed{}
		p.throttles = map[string]estimator.Response{}
		p.urgent.teams = map[string]*teamQueue{}
		p.batch.teams = map[string]*teamQueue{}
		p.quarantine = newQuarantine()
	}
}

// Owned reports whether this entry places a task. The tasks of a team with a
// quota share one owner: the replayer checks no quotas, so two entries that
// place tasks of one team could exceed it together.
func (p *Planner) Owned(spec *wire.TaskSpec) bool {
	if p.team(spec.GetTeam()).grant.limited() {
		return p.owns("team/" + spec.GetTeam())
	}
	return p.owns("task/" + spec.GetTask())
}

// owns selects one of the live entries by rendezvous hashing.
func (p *Planner) owns(key string) bool {
	best, highest := "", uint64(0)
	for _, entry := range p.entries {
		if h := xxhash.Sum64String(entry + "\x00" + key); best == "" || h > highest {
			best, highest = entry, h
		}
	}
	return best != "" && best == p.Entry
}

func (p *Planner) team(name string) *team {
	t := p.teams[name]
	if t == nil {
		t = &team{
			name: name,
		}
		if p.Teams != nil {
			t.grant = p.Teams(name)
		}
		p.teams[name] = t
	}
	return t
}

func (p *Planner) class(spec *wire.TaskSpec) *classQueue {
	if isUrgent(spec) {
		return &p.urgent
	}
	return &p.batch
}

// move brings a pending task to another location.
func (p *Planner) move(i *item, to location, since time.Time) {
	switch i.location {
	case queued:
		p.class(i.spec).remove(i)
	case delayed, reserved:
		delete(p.parked, i.spec.GetTask())
	case stuck:
		delete(p.stuck, i.spec.GetTask())
	case claimed:
		delete(p.parked, i.spec.GetTask())
		p.release(i.spec)
		i.host, i.record, i.chosen = "", "", ""
	}
	if i.location == reserved {
		p.Index.Unreserve(i.spec.GetTask())
	}
	i.location = to
	i.since = since
	switch to {
	case queued:
		p.class(i.spec).push(i, p.team(i.spec.GetTeam()))
	case delayed, reserved, claimed:
		p.parked[i.spec.GetTask()] = i
	case stuck:
		p.stuck[i.spec.GetTask()] = i
	}
}

// commit counts a task against its host and team.
func (p *Planner) commit(spec *wire.TaskSpec, host string) {
	p.Index.Commit(spec, host)
	p.team(spec.GetTeam()).charge(spec.GetResources(), 1)
}

func (p *Planner) release(spec *wire.TaskSpec) {
	p.Index.Release(spec.GetTask())
	p.team(spec.GetTeam()).charge(spec.GetResources(), -1)
}

func (p *Planner) recordID() string {
	return fmt.Sprintf("%s-%016x%016x", p.Entry, p.Random.Uint64(), p.Random.Uint64())
}

func (p *Planner) sign(record *wire.Record, now time.Time) *wire.Record {
	record.Id = p.recordID()
	record.Actor = p.Entry
	record.RecordedUnixMs = now.UnixMilli()
	return record
}

// Appended tells what became of the records of a plan. A claim that was
// certainly not appended is dropped at once; one that may have been appended
// keeps its room until the state shows it or ClaimTimeout passes.
func (p *Planner) Appended(records []*wire.Record, err error, now time.Time) {
	if err == nil || !certainlyLost(err) {
		return
	}
	for _, record := range records {
		if body := record.GetTaskClaimed(); body != nil {
			p.dropClaim(body.GetTask(), record.GetId(), now)
		}
		if body := record.GetEvictionRequested(); body != nil && p.running[body.GetTask()] != nil {
			p.running[body.GetTask()].asked = time.Time{}
		}
	}
}

func certainlyLost(err error) bool {
	var unavailable *damaskspread.LogUnavailableError
	var refused *damaskspread.RefusalError
	return errors.As(err, &unavailable) ||
		errors.As(err, &refused) && refused.Outcome == wire.Outcome_OUTCOME_NOT_RUN
}

// dropClaim returns a claim without effect to the queue, after a pause that
// grows so that a host or zone that stays closed is not tried in a loop.
func (p *Planner) dropClaim(task, record string, now time.Time) {
	i := p.pending[task]
	if i == nil || i.location != claimed || i.record != record {
		return
	}
	pause := 200 * time.Millisecond << min(i.failures, 6)
	pause += time.Duration(p.Random.Int64N(int64(pause)))
	i.failures++
	p.move(i, delayed, now.Add(pause))
}

// Throttles returns the throttled tasks; the agents are told elsewhere.
func (p *Planner) Throttles() []estimator.Response {
	list := make([]estimator.Response, 0, len(p.throttles))
	for _, t := range p.throttles {
		list = append(list, t)
	}
	return list
}
