package scheduler

import (
	"cmp"
	"slices"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/estimator"
	"damaskspread.example/damaskspread/wire"
)

const (
	// smallestWave keeps small zones moving.
	smallestWave = 4
	// releasedPerRound bounds the host releases of a round, as each returns
	// all tasks of a host to the queue.
	releasedPerRound = 8
	// releaseRetry is the pause before a release without effect is repeated.
	releaseRetry = 10 * time.Second
	// releaseGrace lets agents renew after an outage before their hosts are
	// released.
	releaseGrace = 10 * time.Second
	fenceRetry   = 5 * time.Second
	// leaveGrace covers drain_timeout and the start of a successor: an agent
	// that restarts adopts its tasks, so evicting them would stop them for
	// nothing.
	leaveGrace   = time.Minute
	respondEvery = time.Second
)

// leave evicts the tasks of zones that are out of service and of hosts that
// are leaving and were not replaced in time, a bounded number at a time.
func (p *Planner) leave(out *plan) {
	groups := map[string][]*running{}
	for _, h := range p.hostList {
		if h.expired || len(h.tasks) == 0 {
			continue
		}
		group := ""
		switch {
		case p.zonesOut[h.spec.GetZone()]:
			group = h.spec.GetZone()
		case h.leaving && out.now.Sub(h.left) >= leaveGrace:
			group = "host " + h.spec.GetHost()
		default:
			continue
		}
		for _, r := range h.tasks {
			groups[group] = append(groups[group], r)
		}
	}
	for group := range p.waveSizes {
		if groups[group] == nil {
			delete(p.waveSizes, group)
		}
	}
	for _, group := range sortedKeys(groups) {
		p.leaveGroup(out, group, groups[group])
	}
}

func (p *Planner) leaveGroup(out *plan, group string, tasks []*running) {
	if p.waveSizes[group] == 0 {
		p.waveSizes[group] = max(smallestWave, len(tasks)*p.limits.WavePermille/1000)
	}
	left := p.waveSizes[group]
	var staying []*running
	for _, r := range tasks {
		if r.leaving(out.now) {
			left--
		} else if p.Owned(r.spec) {
			staying = append(staying, r)
		}
	}
	if left <= 0 || len(staying) == 0 {
		return
	}
	slices.SortFunc(staying, func(a, b *running) int {
		return cmp.Or(
			cmp.Compare(leaveRank(a), leaveRank(b)),
			cmp.Compare(a.spec.GetTask(), b.spec.GetTask()),
		)
	})
	for _, r := range staying[:min(left, len(staying))] {
		p.evict(out, r, "leaving "+group)
	}
}

// leaveRank moves urgent tasks first and tasks that lose their work last, as
// they may still finish.
func leaveRank(r *running) int {
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

// releaseHosts returns the tasks of hosts whose leases have certainly ended.
func (p *Planner) releaseHosts(out *plan) {
	if out.now.Sub(p.current) < releaseGrace {
		return
	}
	hold := p.limits.TaskHold + p.limits.TaskHold/10
	released := 0
	for _, h := range p.hostList {
		if len(h.tasks) == 0 || out.now.Sub(h.observed) <= hold || out.now.Sub(h.released) < releaseRetry ||
			!p.owns("host/"+h.spec.GetHost()) {
			continue
		}
		h.released = out.now
		p.add(out, releaseRecord(h.spec, h.alive, wire.ReleaseReason_RELEASE_REASON_HOLD_PASSED))
		if released++; released == releasedPerRound {
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

// Fence is a request to stop all tasks of an expired host.
type Fence struct {
	Spec *wire.HostSpec
	// MinToken is above the token of every claim of the host: an expired host
	// gets no further claims until it joins again.
	MinToken int64
	alive    *wire.Position
}

// Fences returns the expired hosts that may be fenced now.
func (p *Planner) Fences(now time.Time, age time.Duration) []Fence {
	if age > p.limits.CurrencyLimit {
		return nil
	}
	var fences []Fence
	for _, h := range p.hostList {
		if !h.expired || len(h.tasks) == 0 || now.Sub(h.fenced) < fenceRetry || !p.owns("host/"+h.spec.GetHost()) {
			continue
		}
		h.fenced = now
		fences = append(fences, Fence{
			Spec: h.spec,
			MinToken: damaskspread.Token(&wire.Position{
				Offset: p.offset + 1,
			}),
			alive: h.alive,
		})
	}
	return fences
}

// Fenced returns the record that releases a host after its worker confirmed
// the fence. It returns nil if the host joined again in the meantime.
func (p *Planner) Fenced(f Fence, now time.Time) *wire.Record {
	h := p.hosts[f.Spec.GetHost()]
	if h == nil || !h.expired || h.spec.GetWorkerBoot() != f.Spec.GetWorkerBoot() {
		return nil
	}
	return p.sign(releaseRecord(f.Spec, f.alive, wire.ReleaseReason_RELEASE_REASON_FENCED), now)
}

// respond turns the estimator's responses into evictions and throttles.
func (p *Planner) respond(out *plan) {
	if p.Estimates == nil || out.now.Sub(p.responded) < respondEvery {
		return
	}
	p.responded = out.now
	for _, response := range p.Estimates.Respond() {
		r := p.running[response.Task]
		if r == nil {
			continue
		}
		switch response.Action {
		case estimator.Evict:
			if !r.leaving(out.now) {
				p.evict(out, r, response.Reason)
			}
		case estimator.Throttle:
			p.throttles[response.Task] = response
		default:
			delete(p.throttles, response.Task)
		}
	}
}
