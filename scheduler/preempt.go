package scheduler

import (
	"cmp"
	"slices"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

const (
	// urgentReservationTimeout leaves time for a second attempt on another host
	// within the 4.8 s in which urgent tasks have to start.
	urgentReservationTimeout = 2400 * time.Millisecond
	// notOwnedReservationTimeout is longer than the attempts of the entry that
	// requested the eviction.
	notOwnedReservationTimeout = 5 * time.Second
	// batchReservationTimeout bounds how long a reservation waits for capacity to
	// become free for an overdue batch task.
	batchReservationTimeout = 5 * time.Minute
	// maxBatchReservations bounds the number of hosts that are kept partly empty
	// for overdue batch tasks.
	maxBatchReservations = 8
	// reservationCandidates and preemptionAttemptsPerCycle bound the cost of
	// searching hosts for a reservation and victims for a preemption.
	reservationCandidates      = 64
	preemptionAttemptsPerCycle = 32
)

// preempt requests the eviction of the cheapest batch tasks that make a sampled
// host fit an urgent task, and reserves the host for it. It reports whether it
// found such a host.
func (p *Planner) preempt(out *plan, task *pendingTask) bool {
	if out.preemptionAttempts >= preemptionAttemptsPerCycle {
		return false
	}
	out.preemptionAttempts++
	bestHost, lowestCost, bestVictims := "", 0.0, []*runningTask(nil)
	for _, candidate := range p.Index.Candidates(task.spec, reservationCandidates, p.Random) {
		if slices.Contains(task.avoid, candidate.Host) {
			continue
		}
		victims, cost, ok := p.victims(candidate.Host, task.spec.GetResources(), candidate.Free, out.now)
		if ok && (bestHost == "" || cost < lowestCost) {
			bestHost, lowestCost, bestVictims = candidate.Host, cost, victims
		}
	}
	if bestHost == "" {
		return false
	}
	for _, v := range bestVictims {
		p.evict(out, v, preemptionReasonPrefix+task.spec.GetTask())
	}
	p.move(task, reserved, out.now)
	p.Index.Reserve(task.spec, bestHost)
	return true
}

func (p *Planner) evict(out *plan, r *runningTask, reason string) {
	r.evictionRequestedAt = out.now
	p.addRecord(out, &wire.Record{
		Body: &wire.Record_EvictionRequested{
			EvictionRequested: &wire.EvictionRequested{
				Task:    r.spec.GetTask(),
				Attempt: r.attempt,
				Reason:  reason,
			},
		},
	})
}

// victims returns the cheapest batch tasks of a host whose eviction frees need,
// together with their eviction cost. It modifies free.
func (p *Planner) victims(host string, need, free *wire.Resources, now time.Time) ([]*runningTask, float64, bool) {
	var candidates []*runningTask
	for _, r := range p.hosts[host].tasks {
		switch {
		case r.stopping(now):
			addResources(free, r.spec.GetResources(), 1)
		case !isUrgent(r.spec):
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, func(a, b *runningTask) int {
		if c := cmp.Compare(evictionCost(a, now), evictionCost(b, now)); c != 0 {
			return c
		}
		return cmp.Compare(a.spec.GetTask(), b.spec.GetTask())
	})
	taken := 0
	for ; taken < len(candidates) && !replayer.Fits(need, free); taken++ {
		addResources(free, candidates[taken].spec.GetResources(), 1)
	}
	if !replayer.Fits(need, free) {
		return nil, 0, false
	}
	selected, cost := []*runningTask(nil), 0.0
	// Skip victims that became unnecessary because a later victim frees enough.
	for _, r := range slices.Backward(candidates[:taken]) {
		addResources(free, r.spec.GetResources(), -1)
		if replayer.Fits(need, free) {
			continue
		}
		addResources(free, r.spec.GetResources(), 1)
		selected = append(selected, r)
		cost += evictionCost(r, now)
	}
	return selected, cost, true
}

// evictionCost returns the relative cost of evicting a task. Checkpointable tasks
// are cheapest; among them, the youngest is preferred slightly. Other tasks cost
// the work that they would lose, in processor seconds, plus a constant.
func evictionCost(r *runningTask, now time.Time) float64 {
	seconds := now.Sub(r.claimedAt).Seconds()
	if r.spec.GetCanCheckpoint() {
		return 1 + seconds/1e6
	}
	return 1_000 + seconds*float64(max(r.spec.GetResources().GetMillicores(), 1))/1_000
}

func addResources(total, part *wire.Resources, sign int64) {
	total.Millicores += sign * part.GetMillicores()
	total.MemoryBytes += sign * part.GetMemoryBytes()
	total.Accelerators += sign * part.GetAccelerators()
}

// reserveCapacity reserves a host for an overdue batch task, so that capacity
// freed there accumulates for the task. Without it, small tasks would take freed
// capacity before a large task fits. It reports whether it reserved a host.
func (p *Planner) reserveCapacity(out *plan, task *pendingTask) bool {
	if p.batchReservations >= maxBatchReservations {
		return false
	}
	need, bestHost, lowestMissing := task.spec.GetResources(), "", 0.0
	for _, candidate := range p.Index.Candidates(task.spec, reservationCandidates, p.Random) {
		missing := max(
			ratio(need.GetMillicores()-candidate.Free.GetMillicores(), max(need.GetMillicores(), 1)),
			ratio(need.GetMemoryBytes()-candidate.Free.GetMemoryBytes(), max(need.GetMemoryBytes(), 1)),
			ratio(need.GetAccelerators()-candidate.Free.GetAccelerators(), max(need.GetAccelerators(), 1)),
		)
		if bestHost == "" || missing < lowestMissing {
			bestHost, lowestMissing = candidate.Host, missing
		}
	}
	if bestHost == "" {
		return false
	}
	p.move(task, reserved, out.now)
	p.Index.Reserve(task.spec, bestHost)
	return true
}

// checkReservation claims the reserved host once the capacity is free, or drops
// the reservation if the host takes no more tasks or the timeout passed.
func (p *Planner) checkReservation(out *plan, task *pendingTask) {
	timeout := batchReservationTimeout
	owned := p.OwnsTask(task.spec)
	switch {
	case !owned:
		timeout = notOwnedReservationTimeout
	case task.urgent:
		timeout = urgentReservationTimeout
	}
	host, boot, usable, ready := p.Index.Reserved(task.spec.GetTask())
	if owned && ready && out.claimsLeft > 0 && p.team(task.spec.GetTeam()).checkQuota(task.spec.GetResources()) == nil {
		p.claim(out, task, damaskspread.Placement{
			Host:       host,
			WorkerBoot: boot,
			Reason:     "room was made for this task",
		})
		return
	}
	if usable && out.now.Sub(task.since) < timeout {
		return
	}
	to := queued
	if !owned {
		to = notOwned
	}
	p.move(task, to, out.now)
}
