package scheduler

import (
	"cmp"
	"slices"
	"time"

	"damaskspread.example/damaskspread/estimator"
	"damaskspread.example/damaskspread/wire"
)

const (
	// minDrainLimit keeps the drain limit of small zones above zero.
	minDrainLimit = 4
	// finishGrace is how long a draining zone keeps tasks that cannot be
	// checkpointed and are expected to end within that time. Only such tasks lose
	// work in a drain.
	finishGrace = time.Minute
	// maxReleasesPerCheck is the maximum number of hosts released in one check. Each
	// release returns all tasks of a host to the queue.
	maxReleasesPerCheck = 8
	// releaseRetryInterval is the time after which a release that had no effect is
	// repeated.
	releaseRetryInterval = 10 * time.Second
	// releaseGrace gives agents time to renew their leases after an outage, before
	// their hosts are released.
	releaseGrace = 10 * time.Second
	// leavingHostGrace is how long a leaving host keeps its tasks. It covers
	// drain_timeout and the restart of the agent: a restarted agent adopts the
	// running tasks, so evicting them earlier would stop them needlessly.
	leavingHostGrace = time.Minute
	responseInterval = time.Second
)

// drainZonesAndHosts evicts the tasks of zones that are out of service and of
// hosts that have been leaving for longer than leavingHostGrace. The number of
// concurrent evictions of each zone or host is bounded.
func (p *Planner) drainZonesAndHosts(out *plan) {
	if len(p.zonesOut) == 0 && p.leavingHosts == 0 && len(p.drains) == 0 {
		return
	}
	groups := map[string][]*runningTask{}
	for _, h := range p.hostList {
		if h.expired || len(h.tasks) == 0 {
			continue
		}
		group := ""
		switch {
		case p.isOut(h.spec.GetZone()) && p.drainsZone(h.spec.GetZone()):
			group = h.spec.GetZone()
		case h.leaving && out.now.Sub(h.leavingSince) >= leavingHostGrace:
			group = "host " + h.spec.GetHost()
		default:
			continue
		}
		for _, r := range h.tasks {
			groups[group] = append(groups[group], r)
		}
	}
	for group := range p.drains {
		if groups[group] == nil {
			delete(p.drains, group)
		}
	}
	for _, group := range sortedKeys(groups) {
		p.drainGroup(out, group, groups[group])
	}
}

func (p *Planner) drainsZone(zone string) bool { return p.Drains == nil || p.Drains(zone) }

func (p *Planner) drainGroup(out *plan, group string, tasks []*runningTask) {
	d := p.drains[group]
	if d == nil {
		d = &drain{
			limit:     max(minDrainLimit, len(tasks)*p.limits.MaxEvictingPermille/1000),
			startedAt: p.drainStart(group, p.hosts[tasks[0].host]),
		}
		p.drains[group] = d
	}
	budget := d.limit
	var candidates []*runningTask
	for _, r := range tasks {
		if r.stopping(out.now) {
			budget--
		} else if p.OwnsTask(r.spec) && !p.mayFinish(r, d, out.now) {
			candidates = append(candidates, r)
		}
	}
	if budget <= 0 || len(candidates) == 0 {
		return
	}
	slices.SortFunc(candidates, func(a, b *runningTask) int {
		return cmp.Or(
			cmp.Compare(drainOrder(a), drainOrder(b)),
			cmp.Compare(a.spec.GetTask(), b.spec.GetTask()),
		)
	})
	for _, r := range candidates[:min(budget, len(candidates))] {
		p.evict(out, r, "leaving "+group)
	}
}

// drain is the drain of one zone or host. limit is the maximum number of its tasks
// that may be stopping at the same time.
type drain struct {
	limit     int
	startedAt time.Time
}

// zoneOut is a zone that is out of service.
type zoneOut struct {
	// published is the token of the publication that took the zone out, or of the
	// latest one since.
	published int64
	// since is the time of that publication.
	since time.Time
}

// drainStart returns when the drain of a zone, or of the host, began.
func (p *Planner) drainStart(group string, h *hostInfo) time.Time {
	if group == h.spec.GetZone() {
		return p.zonesOut[group].since
	}
	return h.leavingSince.Add(leavingHostGrace)
}

// mayFinish reports whether a task that cannot be checkpointed is not evicted yet,
// because it is expected to end within finishGrace of the start of the drain.
func (p *Planner) mayFinish(r *runningTask, d *drain, now time.Time) bool {
	if isUrgent(r.spec) || r.spec.GetCanCheckpoint() || !p.isOut(p.hosts[r.host].spec.GetZone()) {
		return false
	}
	graceLeft := finishGrace - now.Sub(d.startedAt)
	return graceLeft > 0 && p.expectedDuration(r.spec)-now.Sub(r.claimedAt) <= graceLeft
}

func (p *Planner) expectedDuration(spec *wire.TaskSpec) time.Duration {
	if p.Estimates != nil {
		return p.Estimates.Estimate(spec).Duration
	}
	return time.Duration(spec.GetExpectedDurationMs()) * time.Millisecond
}

// drainOrder ranks the tasks of a drain, the first to evict lowest: urgent tasks
// first, and tasks that cannot be checkpointed last, as they may still finish.
func drainOrder(r *runningTask) int {
	switch {
	case isUrgent(r.spec):
		return 0
	case r.spec.GetCanCheckpoint():
		return 1
	}
	return 2
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// releaseHosts releases the hosts without heartbeats for more than TaskHold plus
// a margin of a tenth, whose leases have certainly ended. A release returns the
// host's tasks to the queue, so that those that its worker has finished meanwhile
// run again. For this reason, time in which an agent could not record their results
// does not count (see silence).
func (p *Planner) releaseHosts(out *plan) {
	if out.now.Sub(p.stateCurrentSince) < releaseGrace {
		return
	}
	releaseAfter := p.limits.TaskHold + p.limits.TaskHold/10
	released := 0
	for _, h := range p.hostList {
		if len(h.tasks) == 0 || p.silence(h, out.now) <= releaseAfter || out.now.Sub(h.releaseTriedAt) < releaseRetryInterval ||
			!p.owns("host/"+h.spec.GetHost()) {
			continue
		}
		h.releaseTriedAt = out.now
		p.addRecord(out, releaseRecord(h.spec, h.alivePosition, wire.ReleaseReason_RELEASE_REASON_HOLD_PASSED))
		if released++; released == maxReleasesPerCheck {
			return
		}
	}
}

func releaseRecord(spec *wire.HostSpec, alive *wire.Position, reason wire.ReleaseReason) *wire.Record {
	return &wire.Record{
		Body: &wire.Record_HostReleased{
			HostReleased: &wire.HostReleased{
				Host:       spec.GetHost(),
				WorkerBoot: spec.GetWorkerBoot(),
				Alive:      alive,
				Reason:     reason,
			},
		},
	}
}

// applyResponses turns the estimator's responses to interference into evictions
// and throttles.
func (p *Planner) applyResponses(out *plan) {
	if p.Estimates == nil || out.now.Sub(p.responsesAppliedAt) < responseInterval {
		return
	}
	p.responsesAppliedAt = out.now
	for _, response := range p.Estimates.Respond() {
		r := p.running[response.Task]
		if r == nil {
			continue
		}
		switch response.Action {
		case estimator.Evict:
			if !r.stopping(out.now) {
				p.evict(out, r, response.Reason)
			}
		case estimator.Throttle:
			p.throttles[response.Task] = response
		default:
			delete(p.throttles, response.Task)
		}
	}
}
