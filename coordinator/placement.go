package coordinator

import (
	"slices"

	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
)

// plan assigns waiting tasks, unless what this process knows is too old.
func (c *Coordinator) plan(r *round, epoch int64) {
	config, configAge := c.Operations.Config()
	jobsAge := c.JobsTail.Age()
	if configAge > maxPlanAge || jobsAge > maxPlanAge {
		return
	}
	r.hosts = c.hosts(r)
	groups := c.readyGroups()
	planner.Order(groups, c.Clock.Now().UnixMilli())
	c.advices.prepare(groups, r.hosts)
	for _, assignment := range c.Planner.Plan(groups, r.hosts) {
		view := r.byKey[assignment.Host.Key]
		assignment.Task.Assign(view.key, view.host, assignment.Run, r.now)
		c.start(view, assignment.Task)
		tracer.Write(&tracer.TaskAssigned{
			Job:           assignment.Task.ID().Job,
			Task:          assignment.Task.ID().String(),
			Run:           assignment.Run,
			Host:          view.host,
			Executor:      view.key.ID,
			Epoch:         epoch,
			ConfigVersion: config.GetVersion(),
			ConfigAge:     tracer.Milliseconds(configAge),
			JobsAge:       tracer.Milliseconds(jobsAge),
		})
	}
	c.preempt(r, groups)
	c.noteWaiting(groups, r, epoch)
}

// preempt makes room for the most urgent tasks that fit nowhere. Filling tasks
// wait instead.
func (c *Coordinator) preempt(r *round, groups []*tracker.Group) {
	for _, group := range groups {
		if group.Step().GetFillsIdle() {
			continue
		}
		for _, t := range pending(group) {
			victims := c.Planner.Preempt(group, t, r.hosts)
			for _, victim := range victims {
				c.stopForRoom(r, victim, t)
			}
			if len(victims) > 0 {
				return
			}
		}
	}
}

func (c *Coordinator) stopForRoom(r *round, victim, urgent *tracker.Task) {
	view := r.byKey[victim.Executor()]
	if view == nil {
		return
	}
	victim.Stop()
	view.stop(victim.ID().String(), victim.Run(), tracer.StopOrdered{
		Reason: tracer.StopForRoom,
		For:    urgent.ID().String(),
	})
}

func (c *Coordinator) readyGroups() []*tracker.Group {
	now := c.Clock.Now().UnixMilli()
	var groups []*tracker.Group
	for _, job := range c.jobs {
		groups = append(groups, job.Ready(now)...)
	}
	return groups
}

// hosts are the targets of placement with what occupies them.
func (c *Coordinator) hosts(r *round) []*planner.Host {
	zonesOut := c.Operations.ZonesOut()
	byKey := map[tracker.ExecutorKey]*planner.Host{}
	var hosts []*planner.Host
	for _, view := range r.views {
		host := &planner.Host{
			Key:      view.key,
			Name:     view.host,
			Service:  view.info.GetService(),
			Zone:     view.info.GetZone(),
			Labels:   view.info.GetLabels(),
			Capacity: view.info.GetCapacity(),
			Usable:   view.usable && !zonesOut[view.info.GetZone()],
		}
		host.Strained = c.strained(view)
		c.markSuspect(host, r.now)
		byKey[view.key] = host
		hosts = append(hosts, host)
	}
	slices.SortFunc(hosts, func(a, b *planner.Host) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	for _, job := range c.jobs {
		job.EachTask(func(t *tracker.Task) {
			if host := byKey[t.Executor()]; host != nil && t.Assigned() {
				host.Hold(t)
			}
		})
	}
	c.forgetSuspicions(hosts, r.now)
	return hosts
}
