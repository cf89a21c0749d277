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
	// One in overdueStartRatio starts goes to the task that is furthest beyond
	// its max_wait, whatever its team's share. The other starts keep the shares
	// fair even if all tasks are overdue. Only starts are counted, not refusals,
	// because the search for the most overdue task looks at every team.
	overdueStartRatio = 4
	// retryInterval is the minimum time between attempts to place refused batch
	// tasks. With 36,000 tasks waiting for full hosts, an attempt in every cycle
	// costs four times as much and starts no more tasks.
	retryInterval = 400 * time.Millisecond
	// retryUnchangedInterval applies if no capacity was freed since the last
	// attempt. The load of services may still have changed.
	retryUnchangedInterval = 5 * time.Second
	// measuredHostsPerCycle is the number of hosts whose measured use is updated
	// in one scheduling cycle.
	measuredHostsPerCycle = 64
	// releaseInterval is the time between checks of all hosts for release. It is
	// short compared to the default TaskHold.
	releaseInterval    = time.Second
	unrunnableInterval = time.Second
	// maxFinishesPerCheck is the maximum number of tasks that one check of the
	// unrunnable tasks finishes.
	maxFinishesPerCheck = 128
)

// plan holds the records and the remaining budgets of one scheduling cycle.
type plan struct {
	now                time.Time
	records            []*wire.Record
	claimsLeft         int
	attemptsLeft       int
	preemptionAttempts int
}

func (p *Planner) addRecord(out *plan, record *wire.Record) {
	out.records = append(out.records, p.addMetadata(record, out.now))
}

// Plan returns the records to append now. age is the age of the state; Plan
// returns no records while it exceeds the currency limit.
func (p *Planner) Plan(now time.Time, age time.Duration) []*wire.Record {
	p.ensureInitialized()
	if age > p.limits.CurrencyLimit {
		p.hostsStableSince, p.stateCurrentSince = now, time.Time{}
		return nil
	}
	if p.stateCurrentSince.IsZero() {
		p.stateCurrentSince = now
	}
	p.outages.observe(now, age, 2*p.limits.ReadWait+readDelayMargin)
	out := &plan{
		now:          now,
		claimsLeft:   p.limits.ClaimsPerCycle,
		attemptsLeft: p.limits.AttemptsPerCycle,
	}
	for id := range p.quarantine.watched {
		admission := p.quarantine.admission(id, now)
		p.Index.SetAdmission(id, admission)
		if admission == placer.Open {
			delete(p.quarantine.watched, id)
		}
	}
	p.updateMeasuredUse()
	p.checkTasksOutsideQueues(out)
	p.checkUnrunnable(out)
	p.unblock(now)
	p.placeClass(out, &p.urgent)
	p.placeClass(out, &p.batch)
	p.drainZonesAndHosts(out)
	if now.Sub(p.hostsReleasedAt) >= releaseInterval {
		p.hostsReleasedAt = now
		p.recordSilences(out)
		p.releaseHosts(out)
	}
	p.applyResponses(out)
	return out.records
}

// updateMeasuredUse sets the measured use of some hosts in the index, taking the
// hosts in turn over the scheduling cycles.
func (p *Planner) updateMeasuredUse() {
	if p.Estimates == nil {
		return
	}
	for range min(measuredHostsPerCycle, len(p.hostList)) {
		p.measureCursor = (p.measureCursor + 1) % len(p.hostList)
		id := p.hostList[p.measureCursor].spec.GetHost()
		p.Index.SetMeasuredUse(id, p.Estimates.HostUse(id))
	}
}

// unblock lets refused tasks be tried again: urgent tasks in every cycle, as
// they can preempt batch tasks, and batch tasks after retryInterval if capacity
// may have become free.
func (p *Planner) unblock(now time.Time) {
	p.urgent.unblock()
	waited := now.Sub(p.unblockedAt)
	unchanged := p.Index.FreedCount() == p.freedSeen && !p.configChanged && !p.Index.Ramping(now)
	if waited < retryInterval || unchanged && waited < retryUnchangedInterval {
		return
	}
	p.unblockedAt = now
	p.freedSeen, p.configChanged = p.Index.FreedCount(), false
	p.urgent.clearRefusals()
	p.batch.clearRefusals()
	p.batch.unblock()
}

// checkTasksOutsideQueues handles the tasks that are delayed, claimed or
// reserved, in order of their deadlines.
func (p *Planner) checkTasksOutsideQueues(out *plan) {
	for _, task := range sortedTasks(p.outsideQueues) {
		switch task.state {
		case delayed:
			if !out.now.Before(task.since) {
				p.move(task, queued, out.now)
			}
		case claimed:
			if out.now.Sub(task.since) > p.limits.ClaimTimeout {
				p.dropClaim(task.spec.GetTask(), task.claimRecordID, out.now)
			}
		case reserved:
			p.checkReservation(out, task)
		}
	}
}

// checkUnrunnable finishes or requeues the unrunnable tasks. There can be many
// of them, so it doesn't check them in every scheduling cycle.
func (p *Planner) checkUnrunnable(out *plan) {
	if out.now.Sub(p.unrunnableCheckedAt) < unrunnableInterval {
		return
	}
	p.unrunnableCheckedAt = out.now
	finished := 0
	for _, task := range sortedTasks(p.unrunnable) {
		if finished < maxFinishesPerCheck && p.finishUnrunnable(out, task) {
			finished++
		}
	}
}

func sortedTasks(byID map[string]*pendingTask) []*pendingTask {
	tasks := make([]*pendingTask, 0, len(byID))
	for _, task := range byID {
		tasks = append(tasks, task)
	}
	slices.SortFunc(tasks, func(a, b *pendingTask) int {
		return cmp.Or(a.deadline.Compare(b.deadline), strings.Compare(a.spec.GetTask(), b.spec.GetTask()))
	})
	return tasks
}

// finishUnrunnable finishes a task that cannot run, or queues it again if hosts
// or configuration changed after it was refused. It reports whether it finished
// the task.
func (p *Planner) finishUnrunnable(out *plan, task *pendingTask) bool {
	id := task.spec.GetTask()
	taskAtFault := p.quarantine.taskAtFault(id)
	switch {
	case taskAtFault && out.now.Sub(task.since) < p.limits.ClaimTimeout && task.failures > 0:
		return false
	case taskAtFault:
	case p.hostsStableSince.After(task.since):
		p.move(task, queued, out.now)
		return false
	case out.now.Sub(p.hostsStableSince) < p.limits.UnplaceableDelay || out.now.Sub(task.since) < p.limits.UnplaceableDelay:
		return false
	}
	result, detail := wire.TaskResult_TASK_RESULT_UNPLACEABLE, ""
	if taskAtFault {
		result = wire.TaskResult_TASK_RESULT_FAILED
		detail = "failed on " + strings.Join(p.quarantine.failedOn[id], ", ") + ", which run other tasks"
	} else {
		detail = task.refusal.Error()
	}
	p.addRecord(out, &wire.Record{
		Body: &wire.Record_TaskFinished{
			TaskFinished: &wire.TaskFinished{
				Task:    id,
				Attempt: task.attempt,
				Result:  result,
				Detail:  detail,
			},
		},
	})
	task.failures++
	task.since = out.now
	return true
}

// placeClass places tasks of one class, always taking the next task of the team
// with the smallest share.
func (p *Planner) placeClass(out *plan, class *classQueue) {
	total := p.Index.Total()
	refusalKnown := func(task *pendingTask) bool { return p.refusalKnown(out, task) }
	byShare := make(teamHeap, 0, len(class.teams))
	for _, t := range class.teams {
		if head := t.head(refusalKnown); head != nil {
			byShare = append(byShare, rankedTeam{
				queue: t,
				head:  head,
				share: t.team.weightedShare(total),
			})
		}
	}
	heap.Init(&byShare)
	for overdueDueAt := out.claimsLeft - overdueStartRatio; len(byShare) > 0 && out.claimsLeft > 0 && out.attemptsLeft > 0; {
		index := 0
		if out.claimsLeft <= overdueDueAt {
			index = max(0, byShare.mostOverdue(out.now))
			overdueDueAt = out.claimsLeft - overdueStartRatio
		}
		p.tryPlace(out, byShare[index].head)
		byShare[index].head = byShare[index].queue.head(refusalKnown)
		if byShare[index].head == nil {
			heap.Remove(&byShare, index)
			continue
		}
		byShare[index].share = byShare[index].queue.team.weightedShare(total)
		heap.Fix(&byShare, index)
	}
}

// tryPlace claims a host for a queued task or handles the refusal.
func (p *Planner) tryPlace(out *plan, task *pendingTask) {
	if refusal := task.team.checkQuota(task.need); refusal != nil {
		p.handleRefusal(out, task, refusal)
		return
	}
	if known := task.queue.refusals.find(task.need); known != nil {
		p.handleRefusal(out, task, known)
		return
	}
	out.attemptsLeft--
	placement, err := p.Policy.Place(&damaskspread.PlacementTask{
		Spec:  task.spec,
		Avoid: task.avoid,
	}, out.now)
	var refusal *damaskspread.PlacementRefusedError
	switch {
	case err == nil:
		p.claim(out, task, placement)
		return
	case !errors.As(err, &refusal):
		refusal = &damaskspread.PlacementRefusedError{
			Binding: damaskspread.BindingNoHost,
			Detail:  err.Error(),
		}
	}
	if !refusal.Never && lacksCapacity(refusal) {
		task.queue.refusals.add(task.need, refusal)
	}
	p.handleRefusal(out, task, refusal)
}

// refusalKnown reports whether an attempt to place a task would only repeat a
// known refusal. It has to be cheap: in a full cluster, most queues are skipped
// by it after each retry. It is false for urgent tasks, which may preempt, and
// for overdue tasks while they may still get a reservation.
func (p *Planner) refusalKnown(out *plan, task *pendingTask) bool {
	if task.urgent || task.deadline.Before(out.now) && p.batchReservations < maxBatchReservations {
		return false
	}
	known := task.queue.refusals.find(task.need)
	if known == nil {
		return false
	}
	task.refusal = known
	return true
}

func (p *Planner) claim(out *plan, task *pendingTask, placement damaskspread.Placement) {
	out.claimsLeft--
	p.addRecord(out, &wire.Record{
		Body: &wire.Record_TaskClaimed{
			TaskClaimed: &wire.TaskClaimed{
				Task:       task.spec.GetTask(),
				Attempt:    task.attempt,
				Host:       placement.Host,
				WorkerBoot: placement.WorkerBoot,
				Reason:     placement.Reason,
			},
		},
	})
	p.move(task, claimed, out.now)
	task.host = placement.Host
	task.claimReason = placement.Reason
	task.claimRecordID = out.records[len(out.records)-1].GetId()
	task.refusal = nil
	p.commit(task.spec, task.host)
}

// handleRefusal keeps the refusal of a task and decides how the task waits: as
// unrunnable, with a reservation, or in its queue, which is then blocked.
func (p *Planner) handleRefusal(out *plan, task *pendingTask, refusal *damaskspread.PlacementRefusedError) {
	task.refusal = refusal
	switch {
	case refusal.Never:
		p.move(task, unrunnable, out.now)
		return
	case !lacksCapacity(refusal):
	case task.urgent && p.preempt(out, task):
		return
	case !task.urgent && task.deadline.Before(out.now) && p.reserveCapacity(out, task):
		return
	}
	task.queue.blocked = true
}

func lacksCapacity(refusal *damaskspread.PlacementRefusedError) bool {
	switch refusal.Binding {
	case damaskspread.BindingMillicores, damaskspread.BindingMemory,
		damaskspread.BindingAccelerators, damaskspread.BindingCombination:
		return true
	}
	return false
}
