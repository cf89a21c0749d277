package coordinator

import (
	"cmp"
	"slices"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
)

const (
	// maxInputAge is the age of the known jobs or of the configuration above
	// which no tasks are assigned.
	maxInputAge         = 1500 * time.Millisecond
	defaultCancelWithin = 3 * time.Second
	// maxStartDelay is the longest time between the decision to start a run and the arrival of
	// the call at an executor that responds.
	maxStartDelay = damaskspread.MaxStartAge + damaskspread.OrderTimeout
	// maxExcessAge makes agents refuse an order whatever the age of its inputs.
	maxExcessAge = time.Minute
)

// plan orders again the starts that are due and assigns pending tasks to hosts, unless the
// known jobs or the configuration are older than maxInputAge.
func (c *Coordinator) plan(cycle *cycleState, epoch int64) {
	inputs := &cycle.inputs
	old := checkInputs(inputs.jobsAge, inputs.configAge) != nil
	c.reportOldInputs(epoch, inputs.jobsAge, inputs.configAge, old)
	if old {
		c.readWait.begin(cycle.now)
		return
	}
	c.readWait.end()
	cycle.hosts = c.hosts(cycle)
	c.repeatStarts(cycle)
	groups := c.readyGroups(cycle)
	c.countWaits(groups, cycle.now)
	c.Planner.Order(groups, c.Clock.Now().UnixMilli())
	cycle.groups = groups
	c.adviceCache.requestMissing(groups, cycle.hosts)
	planned := c.paceLate(groups, cycle, epoch)
	assignments := c.Planner.Plan(planned, cycle.hosts)
	c.recordFirstCost(assignments)
	for _, assignment := range assignments {
		view := cycle.byKey[assignment.Host.Key]
		assignment.Task.Assign(view.key, view.host, assignment.Run, cycle.now)
		c.recordLimitedStart(&assignment, view, cycle.now)
		c.addStartOrder(view, assignment.Task)
		traceAssigned(view, assignment.Task, inputs)
	}
	c.preempt(cycle, planned)
	c.reportWaiting(groups, cycle, epoch)
	c.reportHeld(cycle, epoch)
}

// planInputs describes what the decision to start a run was based on.
type planInputs struct {
	epoch, configVersion int64
	configAge, jobsAge   time.Duration
}

func (c *Coordinator) inputs(epoch int64) planInputs {
	config, configAge := c.Operations.Config()
	return planInputs{
		epoch:         epoch,
		configVersion: config.GetVersion(),
		configAge:     configAge,
		jobsAge:       c.JobsTail.Age(),
	}
}

// excessAge returns by how much the decision to start a run counts as older than it is,
// because its inputs are so old that a cancellation would otherwise not be in force within
// CancelWithin: the age of the inputs and the delays of an order add up.
func (c *Coordinator) excessAge(inputs *planInputs) time.Duration {
	allowed := max(0, cmp.Or(c.CancelWithin, defaultCancelWithin)-maxStartDelay)
	return min(max(0, inputs.jobsAge-allowed, inputs.configAge-allowed), maxExcessAge)
}

// traceAssigned writes to the trace that the task's latest run was assigned.
func traceAssigned(view *sessionView, t *tracker.Task, inputs *planInputs) {
	tracer.Write(&tracer.TaskAssigned{
		Job:           t.ID().Job,
		Task:          t.ID().String(),
		Run:           t.Run(),
		Host:          view.host,
		Executor:      view.key.ID,
		Born:          view.key.BornUnixMs,
		Session:       view.session.id,
		Epoch:         inputs.epoch,
		ConfigVersion: inputs.configVersion,
		ConfigAge:     tracer.Milliseconds(inputs.configAge),
		JobsAge:       tracer.Milliseconds(inputs.jobsAge),
	})
}

// preempt stops less urgent tasks to free capacity for the most urgent task that
// fits on no host. It does so for one task per cycle, and never for a best-effort
// task.
func (c *Coordinator) preempt(cycle *cycleState, groups []*tracker.Group) {
	for _, group := range groups {
		if group.Step().GetFillsIdle() {
			continue
		}
		// The tasks of a step are alike: what fits for none of them need not be
		// tried with each.
		t := group.First()
		if t == nil {
			continue
		}
		victims := c.Planner.ChooseVictims(group, t, cycle.hosts, cycle.now, c.Clock.Now().UnixMilli())
		for _, victim := range victims {
			c.preemptTask(cycle, victim, t)
		}
		if len(victims) > 0 {
			return
		}
	}
}

func (c *Coordinator) preemptTask(cycle *cycleState, victim, urgent *tracker.Task) {
	view := cycle.byKey[victim.Executor()]
	if view == nil {
		return
	}
	victim.MarkStopping()
	view.addStopOrder(victim.ID().String(), victim.Run(), tracer.StopOrdered{
		Reason: tracer.StopPreempted,
		For:    urgent.ID().String(),
	})
}

func (c *Coordinator) readyGroups(cycle *cycleState) []*tracker.Group {
	now := c.Clock.Now().UnixMilli()
	var groups []*tracker.Group
	for id, job := range c.jobs {
		if c.isHeld(id, cycle.now) {
			continue
		}
		groups = append(groups, job.Ready(now)...)
	}
	return c.withoutUnassigned(groups)
}

// hosts returns the placement candidates, sorted by name, with the tasks that are
// assigned to them.
func (c *Coordinator) hosts(cycle *cycleState) []*planner.Host {
	zonesOut := c.Operations.ZonesOut()
	hosts := make([]*planner.Host, 0, len(cycle.views))
	for _, view := range cycle.views {
		host := &planner.Host{
			Key:           view.key,
			Name:          view.host,
			Service:       view.info.GetService(),
			Zone:          view.info.GetZone(),
			Labels:        view.info.GetLabels(),
			Capacity:      view.info.GetCapacity(),
			Usable:        view.usable && !zonesOut[view.info.GetZone()] && !c.inCrashLoop(view, cycle.now),
			Now:           cycle.now,
			ProbationFrom: cycle.now - planner.ProbationTime,
		}
		c.setLatency(host, view)
		c.markSuspect(host, cycle.now)
		for _, t := range c.assignments.On(view.key) {
			host.AddAssigned(t)
		}
		c.addCopiedRuns(host)
		hosts = append(hosts, host)
		view.candidate = host
	}
	slices.SortFunc(hosts, func(a, b *planner.Host) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	c.clearSuspicions(hosts, cycle.now)
	return hosts
}
