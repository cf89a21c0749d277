package scheduler

import (
	"cmp"
	"container/heap"
	"errors"
	"slices"
	"strings"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/placer"
	"damaskspread.example/damaskspread/wire"
)

const (
	// overdueEvery gives one of that many starts to the task that waited
	// longest beyond its max_wait, whatever its team's share; the others keep
	// the shares fair when everything is overdue. The search looks at every
	// team, so refusals don't count.
	overdueEvery = 4
	// retryEvery is the pause between tries of refused batch tasks. With 36,000
	// tasks waiting for room on full hosts, a try in every round costs four
	// times as much and starts as many tasks.
	retryEvery     = 400 * time.Millisecond
	retryUnchanged = 5 * time.Second
	// measuredPerRound bounds how many hosts are compared with their samples.
	measuredPerRound = 64
	// sweepEvery is short against TaskHold and spares most rounds a look at
	// every host.
	sweepEvery      = time.Second
	visitStuckEvery = time.Second
	// finishedPerVisit bounds the records that end tasks.
	finishedPerVisit = 128
)

// plan collects the records of one round.
type plan struct {
	now       time.Time
	records   []*wire.Record
	claims    int
	attempts  int
	preempted int
}

func (p *Planner) add(out *plan, record *wire.Record) {
	out.records = append(out.records, p.sign(record, out.now))
}

// Plan returns the records to append now. It returns nothing while the age of
// the state exceeds the currency limit.
func (p *Planner) Plan(now time.Time, age time.Duration) []*wire.Record {
	p.reset()
	if age > p.limits.CurrencyLimit {
		p.stable, p.current = now, time.Time{}
		return nil
	}
	if p.current.IsZero() {
		p.current = now
	}
	out := &plan{
		now:      now,
		claims:   p.limits.ClaimsPerRound,
		attempts: p.limits.AttemptsPerRound,
	}
	for id := range p.quarantine.watched {
		admission := p.quarantine.admission(id, now)
		p.Index.SetAdmission(id, admission)
		if admission == placer.Open {
			delete(p.quarantine.watched, id)
		}
	}
	p.measure()
	p.visitParked(out)
	p.visitStuck(out)
	p.unblock(now)
	p.placeClass(out, &p.urgent)
	p.placeClass(out, &p.batch)
	p.leave(out)
	if now.Sub(p.swept) >= sweepEvery {
		p.swept = now
		p.releaseHosts(out)
	}
	p.respond(out)
	return out.records
}

// measure compares a few hosts per round with what their tasks really use.
func (p *Planner) measure() {
	if p.Estimates == nil {
		return
	}
	for range min(measuredPerRound, len(p.hostList)) {
		p.measured = (p.measured + 1) % len(p.hostList)
		id := p.hostList[p.measured].spec.GetHost()
		p.Index.SetMeasured(id, p.Estimates.HostUse(id))
	}
}

// unblock lets refused tasks try again once room may have appeared. Urgent
// tasks always try, as they can preempt.
func (p *Planner) unblock(now time.Time) {
	p.urgent.unblock()
	waited := now.Sub(p.unblocked)
	unchanged := p.Index.Freed() == p.freed && !p.stale && !p.Index.Ramping(now)
	// The load of services changes without room appearing.
	if waited < retryEvery || unchanged && waited < retryUnchanged {
		return
	}
	p.unblocked = now
	p.freed, p.stale = p.Index.Freed(), false
	p.urgent.forget()
	p.batch.forget()
	p.batch.unblock()
}

// visitParked handles the tasks that are outside the queues, in a fixed order.
func (p *Planner) visitParked(out *plan) {
	for _, i := range sortedItems(p.parked) {
		switch i.location {
		case delayed:
			if !out.now.Before(i.since) {
				p.move(i, queued, out.now)
			}
		case claimed:
			if out.now.Sub(i.since) > p.limits.ClaimTimeout {
				p.dropClaim(i.spec.GetTask(), i.record, out.now)
			}
		case reserved:
			p.useReservation(out, i)
		}
	}
}

// visitStuck handles the tasks that no host can hold. A burst of them can be
// large, so they are not visited in every round.
func (p *Planner) visitStuck(out *plan) {
	if out.now.Sub(p.visited) < visitStuckEvery {
		return
	}
	p.visited = out.now
	finished := 0
	for _, i := range sortedItems(p.stuck) {
		if finished < finishedPerVisit && p.endStuck(out, i) {
			finished++
		}
	}
}

func sortedItems(m map[string]*item) []*item {
	items := make([]*item, 0, len(m))
	for _, i := range m {
		items = append(items, i)
	}
	slices.SortFunc(items, func(a, b *item) int {
		return cmp.Or(a.deadline.Compare(b.deadline), strings.Compare(a.spec.GetTask(), b.spec.GetTask()))
	})
	return items
}

// endStuck finishes a task that can never run, or tries it again after the
// hosts changed.
func (p *Planner) endStuck(out *plan, i *item) bool {
	id := i.spec.GetTask()
	culprit := p.quarantine.culprit(id)
	switch {
	case culprit && out.now.Sub(i.since) < p.limits.ClaimTimeout && i.failures > 0:
		return false
	case culprit:
	case p.stable.After(i.since):
		p.move(i, queued, out.now)
		return false
	case out.now.Sub(p.stable) < p.limits.Settle || out.now.Sub(i.since) < p.limits.Settle:
		return false
	}
	result, detail := wire.TaskResult_TASK_RESULT_UNPLACEABLE, ""
	if culprit {
		result = wire.TaskResult_TASK_RESULT_FAILED
		detail = "failed on " + strings.Join(p.quarantine.failed[id], ", ") + ", which run other tasks"
	} else {
		detail = i.refusal.Error()
	}
	p.add(out, &wire.Record{
		Body: &wire.Record_TaskFinished{
			TaskFinished: &wire.TaskFinished{
				Task:    id,
				Attempt: i.attempt,
				Result:  result,
				Detail:  detail,
			},
		},
	})
	i.failures++
	i.since = out.now
	return true
}

// placeClass starts tasks of one class by the shares of their teams.
func (p *Planner) placeClass(out *plan, class *classQueue) {
	total := p.Index.Total()
	settled := func(i *item) bool { return p.settled(out, i) }
	r := make(round, 0, len(class.teams))
	for _, t := range class.teams {
		if head := t.head(settled); head != nil {
			r = append(r, ranked{
				queue: t,
				head:  head,
				share: t.team.share(total),
			})
		}
	}
	heap.Init(&r)
	for due := out.claims - overdueEvery; len(r) > 0 && out.claims > 0 && out.attempts > 0; {
		at := 0
		if out.claims <= due {
			at = max(0, r.overdue(out.now))
			due = out.claims - overdueEvery
		}
		p.try(out, r[at].head)
		r[at].head = r[at].queue.head(settled)
		if r[at].head == nil {
			heap.Remove(&r, at)
			continue
		}
		r[at].share = r[at].queue.team.share(total)
		heap.Fix(&r, at)
	}
}

// try places one queued task or sets it aside with its refusal.
func (p *Planner) try(out *plan, i *item) {
	if refusal := i.team.overQuota(i.need); refusal != nil {
		p.refuse(out, i, refusal)
		return
	}
	if known := i.queue.refused.known(i.need); known != nil {
		p.refuse(out, i, known)
		return
	}
	out.attempts--
	placement, err := p.Policy.Place(&damaskspread.PlacementTask{
		Spec:  i.spec,
		Avoid: i.avoid,
	}, out.now)
	var refusal *damaskspread.PlacementRefusedError
	switch {
	case err == nil:
		p.claim(out, i, placement)
		return
	case !errors.As(err, &refusal):
		refusal = &damaskspread.PlacementRefusedError{
			Binding: damaskspread.BindingNoHost,
			Detail:  err.Error(),
		}
	}
	if !refusal.Never && lacksRoom(refusal) {
		i.queue.refused.remember(i.need, refusal)
	}
	p.refuse(out, i, refusal)
}

// settled reports whether trying a task would only repeat a known refusal. Most
// queues of a full cluster end here after room appeared elsewhere, so it has to
// be cheap. Urgent tasks may preempt and overdue ones may reserve room; both
// are tried in the order of their teams.
func (p *Planner) settled(out *plan, i *item) bool {
	if i.urgent || i.deadline.Before(out.now) && p.gathering < batchReservations {
		return false
	}
	known := i.queue.refused.known(i.need)
	if known == nil {
		return false
	}
	i.refusal = known
	return true
}

func (p *Planner) claim(out *plan, i *item, placement damaskspread.Placement) {
	out.claims--
	p.add(out, &wire.Record{
		Body: &wire.Record_TaskClaimed{
			TaskClaimed: &wire.TaskClaimed{
				Task:       i.spec.GetTask(),
				Attempt:    i.attempt,
				Host:       placement.Host,
				WorkerBoot: placement.WorkerBoot,
				Reason:     placement.Reason,
			},
		},
	})
	p.move(i, claimed, out.now)
	i.host = placement.Host
	i.chosen = placement.Reason
	i.record = out.records[len(out.records)-1].GetId()
	i.refusal = nil
	p.commit(i.spec, i.host)
}

// refuse keeps a task that has no host now.
func (p *Planner) refuse(out *plan, i *item, refusal *damaskspread.PlacementRefusedError) {
	i.refusal = refusal
	switch {
	case refusal.Never:
		p.move(i, stuck, out.now)
		return
	case !lacksRoom(refusal):
	case i.urgent && p.preempt(out, i):
		return
	case !i.urgent && i.deadline.Before(out.now) && p.reserveRoom(out, i):
		return
	}
	i.queue.blocked = true
}

func lacksRoom(refusal *damaskspread.PlacementRefusedError) bool {
	switch refusal.Binding {
	case damaskspread.BindingMillicores, damaskspread.BindingMemory,
		damaskspread.BindingAccelerators, damaskspread.BindingShape:
		return true
	}
	return false
}
