package scheduler

import (
	"strings"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/replayer"
	"damaskspread.example/damaskspread/wire"
)

// preemptionReasonPrefix starts the reason of an eviction request that frees
// capacity for an urgent task; the task's ID follows. Other entries parse the
// reason and reserve the capacity as well.
const preemptionReasonPrefix = "preempted for task "

// Reload reads the whole state instead of changes. It is required before the first
// Observe and after changes were dropped.
func (p *Planner) Reload(s *replayer.State, now time.Time) {
	p.ensureInitialized()
	p.hostsStableSince = now
	p.refreshEntries(s)
	for state := range s.Hosts() {
		p.refreshHost(s, state.GetSpec().GetHost(), now)
	}
	p.refreshConfiguration(s, now)
	tasks := map[string]bool{}
	for task := range p.pending {
		tasks[task] = true
	}
	for task := range p.running {
		tasks[task] = true
	}
	for task := range s.Pending() {
		tasks[task.GetSpec().GetTask()] = true
	}
	for state := range s.Hosts() {
		for task := range s.ClaimsOf(state.GetSpec().GetHost()) {
			tasks[task.GetSpec().GetTask()] = true
		}
	}
	for task := range tasks {
		p.refreshTask(s, task, now)
	}
	p.offset = s.Offset()
}

// Observe applies the changes since the last call. s may be newer than the
// changes.
func (p *Planner) Observe(s *replayer.State, changes []replayer.Change, now time.Time) {
	p.ensureInitialized()
	for _, c := range changes {
		switch c.Kind() {
		case replayer.RecordIgnored:
			if c.Record().GetTaskClaimed() != nil {
				p.dropClaim(c.Subject(), c.Record().GetId(), now)
			}
		case replayer.SectionChanged:
			p.refreshConfiguration(s, now)
		case replayer.HostChanged:
			p.refreshHost(s, c.Subject(), now)
		case replayer.EntryChanged:
			// This includes every heartbeat of an entry. Ownership changes only
			// with the set of live entries.
			if p.refreshEntries(s) {
				p.refreshOwnership(now)
			}
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
		p.quarantine.recordSuccess(body.GetHost(), body.GetTask())
		if p.Estimates != nil {
			p.Estimates.Ended(body.GetTask(), true)
		}
	case wire.TaskResult_TASK_RESULT_FAILED:
		p.quarantine.recordFailure(body.GetHost(), body.GetTask(), now)
	}
}

// observePreemption reserves the capacity that another entry frees for an urgent
// task by an eviction request.
func (p *Planner) observePreemption(c replayer.Change, now time.Time) {
	body := c.Record().GetEvictionRequested()
	if body == nil || !strings.HasPrefix(body.GetReason(), preemptionReasonPrefix) {
		return
	}
	task := p.pending[strings.TrimPrefix(body.GetReason(), preemptionReasonPrefix)]
	if task == nil || task.state != notOwned {
		return
	}
	p.move(task, reserved, now)
	p.Index.Reserve(task.spec, c.PreviousHost())
}

// Reconfigure sets the objective of the policy and the estimator, and reads the
// configuration of teams and zones again.
func (p *Planner) Reconfigure(s *replayer.State, objective damaskspread.Objective, now time.Time) {
	p.ensureInitialized()
	if policy, ok := p.Policy.(damaskspread.WeightedPolicy); ok {
		policy.SetObjective(objective)
	}
	if p.Estimates != nil {
		p.Estimates.SetObjective(objective)
	}
	p.refreshConfiguration(s, now)
}
