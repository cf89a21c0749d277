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
	// urgentHold leaves time for a second try on another host within the
	// 4.8 s in which urgent work has to start.
	urgentHold = 2400 * time.Millisecond
	// foreignHold outlasts the tries of the entry that asked for the room.
	foreignHold = 5 * time.Second
	// batchHold bounds how long room is gathered for an overdue batch task.
	batchHold = 5 * time.Minute
	// batchReservations bounds the hosts that are kept partly empty for
	// overdue batch tasks.
	batchReservations = 8
	// preemptionHosts and preemptionsPerRound bound the search for victims.
	preemptionHosts     = 64
	preemptionsPerRound = 32
)

// preempt reserves room for an urgent task on the host with the cheapest
// victims and requests their eviction.
func (p *Planner) preempt(out *plan, i *item) bool {
	if out.preempted >= preemptionsPerRound {
		return false
	}
	out.preempted++
	best, least, chosen := "", 0.0, []*running(nil)
	for _, room := range p.Index.Capable(i.spec, preemptionHosts, p.Random) {
		if slices.Contains(i.avoid, room.Host) {
			continue
		}
		victims, cost, ok := p.victims(room.Host, i.spec.GetResources(), room.Free, out.now)
		if ok && (best == "" || cost < least) {
			best, least, chosen = room.Host, cost, victims
		}
	}
	if best == "" {
		return false
	}
	for _, v := range chosen {
		p.evict(out, v, preemptedFor+i.spec.GetTask())
	}
	p.move(i, reserved, out.now)
	p.Index.Reserve(i.spec, best)
	return true
}

func (p *Planner) evict(out *plan, r *running, reason string) {
	r.asked = out.now
	p.add(out, &wire.Record{
		Body: &wire.Record_EvictionRequested{
			EvictionRequested: &wire.EvictionRequested{
				Task:    r.spec.GetTask(),
				Attempt: r.attempt,
				Reason:  reason,
			},
		},
	})
}

// victims returns the cheapest batch tasks whose room is enough.
func (p *Planner) victims(host string, need, free *wire.Resources, now time.Time) ([]*running, float64, bool) {
	var candidates []*running
	for _, r := range p.hosts[host].tasks {
		switch {
		case r.leaving(now):
			add(free, r.spec.GetResources(), 1)
		case !isUrgent(r.spec):
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, func(a, b *running) int {
		if c := cmp.Compare(evictionCost(a, now), evictionCost(b, now)); c != 0 {
			return c
		}
		return cmp.Compare(a.spec.GetTask(), b.spec.GetTask())
	})
	n := 0
	for ; n < len(candidates) && !replayer.Fits(need, free); n++ {
		add(free, candidates[n].spec.GetResources(), 1)
	}
	if !replayer.Fits(need, free) {
		return nil, 0, false
	}
	chosen, cost := []*running(nil), 0.0
	// Later, larger victims can make earlier ones unnecessary.
	for _, r := range slices.Backward(candidates[:n]) {
		add(free, r.spec.GetResources(), -1)
		if replayer.Fits(need, free) {
			continue
		}
		add(free, r.spec.GetResources(), 1)
		chosen = append(chosen, r)
		cost += evictionCost(r, now)
	}
	return chosen, cost, true
}

// evictionCost ranks checkpointable tasks first, then by lost work; the small
// part of a checkpointable task's time prefers the youngest.
func evictionCost(r *running, now time.Time) float64 {
	seconds := now.Sub(r.since).Seconds()
	if r.spec.GetCanCheckpoint() {
		return 1 + seconds/1e6
	}
	return 1_000 + seconds*float64(max(r.spec.GetResources().GetMillicores(), 1))/1_000
}

func add(total, part *wire.Resources, sign int64) {
	total.Millicores += sign * part.GetMillicores()
	total.MemoryBytes += sign * part.GetMemoryBytes()
	total.Accelerators += sign * part.GetAccelerators()
}

// reserveRoom gathers room for an overdue batch task as others end. Without
// it, small tasks would take every freed part before a large one fits.
func (p *Planner) reserveRoom(out *plan, i *item) bool {
	if p.gathering >= batchReservations {
		return false
	}
	need, best, least := i.spec.GetResources(), "", 0.0
	for _, room := range p.Index.Capable(i.spec, preemptionHosts, p.Random) {
		missing := max(
			ratio(need.GetMillicores()-room.Free.GetMillicores(), max(need.GetMillicores(), 1)),
			ratio(need.GetMemoryBytes()-room.Free.GetMemoryBytes(), max(need.GetMemoryBytes(), 1)),
			ratio(need.GetAccelerators()-room.Free.GetAccelerators(), max(need.GetAccelerators(), 1)),
		)
		if best == "" || missing < least {
			best, least = room.Host, missing
		}
	}
	if best == "" {
		return false
	}
	p.move(i, reserved, out.now)
	p.Index.Reserve(i.spec, best)
	return true
}

// useReservation claims the reserved room once it is free.
func (p *Planner) useReservation(out *plan, i *item) {
	hold := batchHold
	owned := p.Owned(i.spec)
	switch {
	case !owned:
		hold = foreignHold
	case i.urgent:
		hold = urgentHold
	}
	host, boot, usable, ready := p.Index.Reserved(i.spec.GetTask())
	if owned && ready && out.claims > 0 && p.team(i.spec.GetTeam()).overQuota(i.spec.GetResources()) == nil {
		p.claim(out, i, damaskspread.Placement{
			Host:       host,
			WorkerBoot: boot,
			Reason:     "room was made for this task",
		})
		return
	}
	if usable && out.now.Sub(i.since) < hold {
		return
	}
	to := queued
	if !owned {
		to = foreign
	}
	p.move(i, to, out.now)
}
