package scheduler

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/placer"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

// preemptedFor begins the reason of an eviction that makes room for an urgent
// task. Other entries read it and keep the room free as well.
const preemptedFor = "preempted for task "

// Reload replaces everything known by the whole state.
func (p *Planner) Reload(s *replayer.State, now time.Time) {
	p.reset()
	p.stable = now
	p.refreshEntries(s)
	for state := range s.Hosts() {
		p.refreshHost(s, state.GetSpec().GetHost(), now)
	}
	p.refreshConfiguration(s, now)
	known := map[string]bool{}
	for task := range p.pending {
		known[task] = true
	}
	for task := range p.running {
		known[task] = true
	}
	for task := range s.Pending() {
		known[task.GetSpec().GetTask()] = true
	}
	for state := range s.Hosts() {
		for task := range s.ClaimsOf(state.GetSpec().GetHost()) {
			known[task.GetSpec().GetTask()] = true
		}
	}
	for task := range known {
		p.refreshTask(s, task, now)
	}
	p.offset = s.Offset()
}

// Observe takes the changes since the last call; the state may be newer.
func (p *Planner) Observe(s *replayer.State, changes []replayer.Change, now time.Time) {
	p.reset()
	for _, c := range changes {
		switch c.Kind() {
		case replayer.Void:
			if c.Record().GetTaskClaimed() != nil {
				p.dropClaim(c.Subject(), c.Record().GetId(), now)
			}
		case replayer.SectionChanged:
			p.refreshConfiguration(s, now)
		case replayer.HostChanged:
			p.refreshHost(s, c.Subject(), now)
		case replayer.EntryChanged:
			p.refreshEntries(s)
			p.refreshOwners(now)
		case replayer.TaskChanged:
			p.observeResult(c, now)
			p.refreshTask(s, c.Subject(), now)
			p.observePreemption(c, now)
		}
	}
	p.offset = s.Offset()
}

func (p *Planner) observeResult(c replayer.Change, now time.Time) {
	body := c.Record().GetTaskFinished()
	if body == nil || body.GetHost() == "" {
		return
	}
	switch body.GetResult() {
	case wire.TaskResult_TASK_RESULT_SUCCEEDED:
		p.quarantine.succeeded(body.GetHost(), body.GetTask())
		if p.Estimates != nil {
			p.Estimates.Ended(body.GetTask(), true)
		}
	case wire.TaskResult_TASK_RESULT_FAILED:
		p.quarantine.failure(body.GetHost(), body.GetTask(), now)
	}
}

// observePreemption keeps the room that another entry's urgent task asked for.
func (p *Planner) observePreemption(c replayer.Change, now time.Time) {
	body := c.Record().GetEvictionRequested()
	if body == nil || !strings.HasPrefix(body.GetReason(), preemptedFor) {
		return
	}
	i := p.pending[strings.TrimPrefix(body.GetReason(), preemptedFor)]
	if i == nil || i.location != foreign {
		return
	}
	p.move(i, reserved, now)
	p.Index.Reserve(i.spec, c.PreviousHost())
}

func (p *Planner) refreshEntries(s *replayer.State) {
	p.entries = p.entries[:0]
	for entry := range s.Entries() {
		if !entry.GetEntry().GetLeaving() {
			p.entries = append(p.entries, entry.GetEntry().GetEntry())
		}
	}
}

// refreshOwners gives pending tasks to this entry or takes them from it.
// Claims on their way stay until the state decides about them.
func (p *Planner) refreshOwners(now time.Time) {
	for _, i := range p.pending {
		owned := p.Owned(i.spec)
		switch {
		case i.location == claimed:
		case owned && i.location == foreign:
			p.move(i, queued, now)
		case !owned && i.location != foreign:
			p.move(i, foreign, now)
		}
	}
}

func (p *Planner) refreshConfiguration(s *replayer.State, now time.Time) {
	for _, h := range p.hostList {
		zone := h.spec.GetZone()
		out := !s.ZoneInService(zone)
		if out == p.zonesOut[zone] {
			continue
		}
		p.Index.SetZone(zone, !out, now)
		delete(p.zonesOut, zone)
		delete(p.waveSizes, zone)
		if out {
			p.zonesOut[zone] = true
		}
	}
	if p.Teams != nil {
		for name, t := range p.teams {
			t.grant = p.Teams(name)
		}
	}
	// A new quota can end a refusal and moves the tasks to another owner.
	p.stale = true
	p.stable = now
	p.refreshOwners(now)
}

func (p *Planner) refreshHost(s *replayer.State, id string, now time.Time) {
	state, ok := s.Host(id)
	if !ok {
		return
	}
	h := p.hosts[id]
	if h == nil {
		h = &hostView{
			tasks: map[string]*running{},
		}
		p.hosts[id] = h
		p.hostList = append(p.hostList, h)
		p.quarantine.restore(id, state.GetConsecutiveFailures(), now)
	}
	if h.spec != nil && h.spec.GetWorkerBoot() != state.GetSpec().GetWorkerBoot() {
		p.quarantine.restarted(id)
		p.Index.SetAdmission(id, placer.Open)
	}
	changed := h.spec != state.GetSpec() || h.leaving != state.GetLeaving() || h.expired != state.GetExpired()
	if h.alive == nil || damaskspread.Token(h.alive) != damaskspread.Token(state.GetAlive()) {
		h.alive = proto.CloneOf(state.GetAlive())
		h.observed = now
	}
	if !changed {
		return
	}
	if state.GetLeaving() && !h.leaving {
		h.left = now
	}
	h.spec, h.leaving, h.expired = state.GetSpec(), state.GetLeaving(), state.GetExpired()
	p.stable = now
	p.Index.SetHost(state)
	p.Index.SetZone(h.spec.GetZone(), s.ZoneInService(h.spec.GetZone()), now)
	if !s.ZoneInService(h.spec.GetZone()) {
		p.zonesOut[h.spec.GetZone()] = true
	}
	if p.Estimates != nil {
		p.Estimates.SetHost(h.spec)
	}
}

// refreshTask makes the planner agree with the state about one task.
func (p *Planner) refreshTask(s *replayer.State, id string, now time.Time) {
	task, ok := s.Task(id)
	phase := task.GetPhase()
	if !ok {
		phase = wire.TaskPhase_TASK_PHASE_FINISHED
	}
	if r := p.running[id]; r != nil &&
		(phase != wire.TaskPhase_TASK_PHASE_CLAIMED || r.attempt != task.GetAttempt()) {
		p.forgetRunning(r)
	}
	switch phase {
	case wire.TaskPhase_TASK_PHASE_PENDING:
		p.refreshPending(task, now)
	case wire.TaskPhase_TASK_PHASE_CLAIMED:
		committed := p.confirmClaim(task)
		p.forgetPending(id, now)
		p.refreshRunning(task, committed, now)
	default:
		p.forgetPending(id, now)
		p.quarantine.ended(id)
	}
}

func (p *Planner) refreshPending(task *wire.TaskState, now time.Time) {
	id := task.GetSpec().GetTask()
	i := p.pending[id]
	if i != nil && i.attempt == task.GetAttempt() {
		return
	}
	if i == nil {
		i = &item{
			spec:     task.GetSpec(),
			deadline: deadlineOf(task.GetSpec()),
		}
		p.pending[id] = i
	}
	i.attempt = task.GetAttempt()
	if p.quarantine.failed[id] == nil && task.GetFailedHost() != "" {
		p.quarantine.failed[id] = []string{task.GetFailedHost()}
	}
	i.avoid = p.quarantine.failed[id]
	to := foreign
	switch {
	case !p.Owned(i.spec):
	case p.quarantine.culprit(id):
		to = stuck
	default:
		to = queued
	}
	p.move(i, to, now)
}

func (p *Planner) forgetPending(id string, now time.Time) {
	if i := p.pending[id]; i != nil {
		p.move(i, foreign, now)
		delete(p.pending, id)
	}
}

// confirmClaim keeps the room of a claim that took effect as it was planned.
// Returning and taking it again would look like new room to refused tasks.
func (p *Planner) confirmClaim(task *wire.TaskState) bool {
	id := task.GetSpec().GetTask()
	i := p.pending[id]
	if i == nil || i.location != claimed || i.host != task.GetHost() {
		return false
	}
	delete(p.parked, id)
	delete(p.pending, id)
	return true
}

func (p *Planner) refreshRunning(task *wire.TaskState, committed bool, now time.Time) {
	id := task.GetSpec().GetTask()
	r := p.running[id]
	if r == nil {
		r = &running{
			spec:    task.GetSpec(),
			attempt: task.GetAttempt(),
			host:    task.GetHost(),
			token:   damaskspread.Token(task.GetToken()),
			since:   now,
		}
		p.running[id] = r
		if !committed {
			p.commit(r.spec, r.host)
		}
		if h := p.hosts[r.host]; h != nil {
			h.tasks[id] = r
		}
		if p.Estimates != nil {
			p.Estimates.Started(r.spec, r.host, r.token)
		}
	}
	r.ending = task.GetEvictionRequested() || task.GetCancelRequested()
}

func (p *Planner) forgetRunning(r *running) {
	id := r.spec.GetTask()
	delete(p.running, id)
	delete(p.throttles, id)
	p.release(r.spec)
	if h := p.hosts[r.host]; h != nil {
		delete(h.tasks, id)
	}
	if p.Estimates != nil {
		p.Estimates.Ended(id, false)
	}
}
