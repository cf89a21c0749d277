package scheduler

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/placer"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

// refreshEntries updates the live entries and reports whether they changed.
func (p *Planner) refreshEntries(s *replayer.State) bool {
	var liveEntries []string
	for entry := range s.Entries() {
		if !entry.GetEntry().GetLeaving() {
			liveEntries = append(liveEntries, entry.GetEntry().GetEntry())
		}
	}
	slices.Sort(liveEntries)
	if slices.Equal(liveEntries, p.liveEntries) {
		return false
	}
	p.liveEntries = liveEntries
	return true
}

// refreshOwnership queues the pending tasks that this entry owns now and removes
// those that it no longer owns. Planned claims stay until the state shows or
// ignores them.
func (p *Planner) refreshOwnership(now time.Time) {
	for _, task := range p.pending {
		owned := p.OwnsTask(task.spec)
		switch {
		case task.state == claimed:
		case owned && task.state == notOwned:
			p.move(task, queued, now)
		case !owned && task.state != notOwned:
			p.move(task, notOwned, now)
		}
	}
}

func (p *Planner) refreshConfiguration(s *replayer.State, now time.Time) {
	for _, h := range p.hostList {
		zone := h.spec.GetZone()
		if s.ZoneInService(zone) == p.isOut(zone) {
			p.Index.SetZone(zone, s.ZoneInService(zone), now)
			delete(p.drains, zone)
		}
		p.refreshZone(s, zone, now)
	}
	if p.Teams != nil {
		for name, t := range p.teams {
			t.config = p.Teams(name)
		}
	}
	// A new quota can make refused tasks placeable and change the owner of the
	// team's tasks.
	p.configChanged = true
	p.hostsStableSince = now
	p.refreshOwnership(now)
}

// refreshZone updates since when a zone is out of service. A publication that leaves it
// out may begin its drain, so the time counts from there.
func (p *Planner) refreshZone(s *replayer.State, zone string, now time.Time) {
	if s.ZoneInService(zone) {
		delete(p.zonesOut, zone)
		return
	}
	section := s.ZoneSection(zone)
	published := damaskspread.Token(section.GetPosition())
	if p.isOut(zone) && p.zonesOut[zone].published == published {
		return
	}
	p.zonesOut[zone] = zoneOut{
		published: published,
		since:     now.Add(-s.ElapsedSince(section.GetPublishedElapsedMs())),
	}
}

func (p *Planner) isOut(zone string) bool {
	_, out := p.zonesOut[zone]
	return out
}

func (p *Planner) refreshHost(s *replayer.State, id string, now time.Time) {
	state, ok := s.Host(id)
	if !ok {
		return
	}
	h := p.hosts[id]
	if h == nil {
		h = &hostInfo{
			tasks: map[string]*runningTask{},
		}
		p.hosts[id] = h
		p.hostList = append(p.hostList, h)
		failedAt := now.Add(-s.ElapsedSince(state.GetFailedElapsedMs()))
		failingSince := now.Add(-s.ElapsedSince(state.GetFailingSinceElapsedMs()))
		p.quarantine.restore(id, state.GetConsecutiveFailures(), failingSince, failedAt)
	}
	if h.spec != nil && h.spec.GetWorkerBoot() != state.GetSpec().GetWorkerBoot() {
		p.quarantine.forgetHost(id)
		p.Index.SetAdmission(id, placer.Open)
	}
	changed := h.spec != state.GetSpec() || h.leaving != state.GetLeaving() || h.expired != state.GetExpired()
	if first := h.alivePosition == nil; first || damaskspread.Token(h.alivePosition) != damaskspread.Token(state.GetAlive()) {
		h.alivePosition = proto.CloneOf(state.GetAlive())
		h.aliveObservedAt = now
		h.outagesAtAlive = p.outages.total
		h.aliveLoaded, h.recordedSilence = first, 0
	}
	p.adoptSilence(h, time.Duration(state.GetSilentMs())*time.Millisecond, now)
	if !changed {
		return
	}
	switch {
	case !h.leaving && state.GetLeaving():
		p.leavingHosts++
		h.leavingSince = now.Add(-s.ElapsedSince(state.GetLeavingElapsedMs()))
	case h.leaving && !state.GetLeaving():
		p.leavingHosts--
	}
	h.spec, h.leaving, h.expired = state.GetSpec(), state.GetLeaving(), state.GetExpired()
	p.hostsStableSince = now
	p.Index.SetHost(state)
	p.Index.SetZone(h.spec.GetZone(), s.ZoneInService(h.spec.GetZone()), now)
	p.refreshZone(s, h.spec.GetZone(), now)
	if p.Estimates != nil {
		p.Estimates.SetHost(h.spec)
	}
}

// refreshTask updates what the planner knows about a task from the state.
func (p *Planner) refreshTask(s *replayer.State, id string, now time.Time) {
	task, ok := s.Task(id)
	phase := task.GetPhase()
	if !ok {
		phase = wire.TaskPhase_TASK_PHASE_FINISHED
	}
	if r := p.running[id]; r != nil &&
		(phase != wire.TaskPhase_TASK_PHASE_CLAIMED || r.attempt != task.GetAttempt()) {
		p.removeRunning(r)
	}
	switch phase {
	case wire.TaskPhase_TASK_PHASE_PENDING:
		p.refreshPending(task, now)
	case wire.TaskPhase_TASK_PHASE_CLAIMED:
		committed := p.confirmClaim(task)
		p.removePending(id, now)
		p.refreshRunning(s, task, committed, now)
	default:
		p.removePending(id, now)
		p.quarantine.forgetTask(id)
	}
}

func (p *Planner) refreshPending(state *wire.TaskState, now time.Time) {
	id := state.GetSpec().GetTask()
	task := p.pending[id]
	if task != nil && task.attempt == state.GetAttempt() {
		return
	}
	if task == nil {
		task = &pendingTask{
			spec:     state.GetSpec(),
			team:     p.team(state.GetSpec().GetTeam()),
			need:     state.GetSpec().GetResources(),
			urgent:   isUrgent(state.GetSpec()),
			deadline: deadlineOf(state.GetSpec()),
		}
		p.pending[id] = task
	}
	task.attempt = state.GetAttempt()
	if p.quarantine.failedOn[id] == nil && state.GetFailedHost() != "" {
		p.quarantine.failedOn[id] = []string{state.GetFailedHost()}
	}
	task.avoid = p.quarantine.failedOn[id]
	to := notOwned
	switch {
	case !p.OwnsTask(task.spec):
	case p.quarantine.taskAtFault(id):
		to = unrunnable
	default:
		to = queued
	}
	p.move(task, to, now)
}

func (p *Planner) removePending(id string, now time.Time) {
	if task := p.pending[id]; task != nil {
		p.move(task, notOwned, now)
		delete(p.pending, id)
	}
}

// confirmClaim removes a pending task whose claim took effect as planned and
// reports whether it did. The claim's commitment stays: releasing and committing
// it again would count as freed capacity and trigger retries of refused tasks.
func (p *Planner) confirmClaim(state *wire.TaskState) bool {
	id := state.GetSpec().GetTask()
	task := p.pending[id]
	if task == nil || task.state != claimed || task.host != state.GetHost() {
		return false
	}
	delete(p.outsideQueues, id)
	delete(p.pending, id)
	return true
}

func (p *Planner) refreshRunning(s *replayer.State, task *wire.TaskState, committed bool, now time.Time) {
	id := task.GetSpec().GetTask()
	r := p.running[id]
	if r == nil {
		r = &runningTask{
			spec:      task.GetSpec(),
			attempt:   task.GetAttempt(),
			host:      task.GetHost(),
			token:     damaskspread.Token(task.GetToken()),
			claimedAt: now.Add(-s.ElapsedSince(task.GetClaimedElapsedMs())),
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
	r.stopRequested = task.GetEvictionRequested() || task.GetCancelRequested()
	r.checkpoint = task.GetCheckpoint()
}

func (p *Planner) removeRunning(r *runningTask) {
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
