package coordinator

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// freshFor is the silence of an agent after which nothing new is assigned to
// its host.
const freshFor = 2500 * time.Millisecond

// repeatAfter is the age of an assignment that the agent doesn't list, after
// which its start is sent again.
const repeatAfter = 3 * time.Second

// round is what one cycle takes in and what it publishes.
type round struct {
	now     time.Duration
	changed []string
	lost    []tracker.ExecutorKey
	views   []*sessionView
	byKey   map[tracker.ExecutorKey]*sessionView
	// hosts are the targets of placement; nil if nothing may start now.
	hosts []*planner.Host
}

// sessionView is a session as the cycle sees it, with the orders to publish.
type sessionView struct {
	session  *session
	host     string
	key      tracker.ExecutorKey
	info     *wire.ExecutorInfo
	usable   bool
	opening  bool
	running  []*wire.TaskRun
	measured bool
	ends     []*wire.RunEnd
	endsSeen int64
	refusals []*wire.StartRefusal
	starts   []*wire.StartOrder
	stops    []*wire.StopOrder
}

// cycle applies all news, plans, stores the progress and publishes orders.
func (c *Coordinator) cycle(ctx context.Context, epoch int64) error {
	r := c.collect()
	c.applyJobs(r.changed)
	c.applyReports(r)
	c.applyLosses(r)
	c.orderStops(r)
	c.learn(r)
	c.plan(r)
	c.migrate(r)
	if err := c.store(ctx); err != nil {
		return err
	}
	c.publish(r, epoch)
	c.publishStatuses()
	c.closeJobs(r.changed, r.now)
	return nil
}

// collect empties the mailbox.
func (c *Coordinator) collect() *round {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &round{
		now:     c.Elapsed.Elapsed(),
		changed: slices.Collect(maps.Keys(c.changed)),
		lost:    c.lost,
		byKey:   map[tracker.ExecutorKey]*sessionView{},
	}
	c.changed = map[string]bool{}
	c.lost = nil
	for host, s := range c.sessions {
		if r.now > s.grantedUntil {
			log.Warn().Str("host", host).Str("executor", s.key.ID).Dur("silent", r.now-s.heardAt).
				Msg("lease is over: the runs of the executor are lost")
			delete(c.sessions, host)
			s.notify()
			r.lost = append(r.lost, s.key)
			continue
		}
		r.add(s)
	}
	return r
}

func (r *round) add(s *session) {
	view := &sessionView{
		session:  s,
		host:     s.host,
		key:      s.key,
		info:     s.info,
		usable:   s.reachable && !s.info.GetDraining() && r.now-s.heardAt < freshFor,
		opening:  s.opening,
		running:  s.running,
		measured: s.measured,
		ends:     s.ends,
		endsSeen: s.endsSeen,
		refusals: s.refusals,
	}
	s.ends = nil
	s.refusals = nil
	s.measured = false
	r.views = append(r.views, view)
	r.byKey[s.key] = view
}

func (c *Coordinator) applyJobs(ids []string) {
	for _, id := range ids {
		entry, known := c.Index.Lookup(id)
		if !known {
			continue
		}
		job := c.jobs[id]
		_, over := c.closed[id]
		if job == nil && !over && !indexer.Final(entry.Recorded()) {
			job = tracker.New(entry.Job())
			c.jobs[id] = job
		}
		if job != nil && entry.Canceled() {
			job.Cancel()
		}
	}
}

func (c *Coordinator) applyReports(r *round) {
	for _, view := range r.views {
		delete(c.orphans, view.key)
		for _, end := range view.ends {
			c.applyEnd(view, end)
		}
		for _, refusal := range view.refusals {
			c.applyRefusal(view, refusal)
		}
		if view.measured && !view.opening {
			c.repeatStarts(view, r.now)
		}
		if view.opening {
			r.lost = append(r.lost, c.replaced(view)...)
			c.reconcile(view)
		}
	}
}

func (c *Coordinator) applyEnd(view *sessionView, end *wire.RunEnd) {
	t := c.task(end.GetTask())
	if t == nil {
		return
	}
	first := t.Failures() == 0
	if !t.End(end) {
		return
	}
	c.judge(view.key, end.GetCause(), first)
	log.Info().Str("job", t.ID().Job).Str("task", end.GetTask()).Int32("run", end.GetRun()).
		Str("host", view.host).Str("cause", end.GetCause().String()).Msg("run ended")
}

func (c *Coordinator) task(name string) *tracker.Task {
	id, err := tracker.ParseTaskID(name)
	if err != nil {
		log.Warn().Err(err).Msg("report of an unknown task ignored")
		return nil
	}
	job := c.jobs[id.Job]
	if job == nil {
		return nil
	}
	return job.Task(id)
}

func (c *Coordinator) applyRefusal(view *sessionView, refusal *wire.StartRefusal) {
	t := c.task(refusal.GetTask())
	if t == nil || !t.Assigned() || t.Run() != refusal.GetRun() || t.Executor() != view.key {
		return
	}
	t.Release()
	c.advices.forgetRefused(t, refusal.GetReason())
	c.judgeRefusal(view.key, refusal.GetReason())
	log.Info().Str("job", t.ID().Job).Str("task", refusal.GetTask()).Int32("run", refusal.GetRun()).
		Str("host", view.host).Str("reason", refusal.GetReason()).Msg("start refused")
}

// replaced returns the incarnations that a session's executor replaced on its
// host; an earlier leader may have assigned tasks to them.
func (c *Coordinator) replaced(view *sessionView) []tracker.ExecutorKey {
	var keys []tracker.ExecutorKey
	for key, orphan := range c.orphans {
		if orphan.host == view.host {
			keys = append(keys, key)
			delete(c.orphans, key)
		}
	}
	return keys
}

// reconcile compares what runs on an executor with what was assigned to it.
func (c *Coordinator) reconcile(view *sessionView) {
	for _, run := range view.running {
		t := c.task(run.GetTask())
		if t == nil || !t.Assigned() || t.Run() != run.GetRun() || t.Executor() != view.key {
			view.stop(run.GetTask(), run.GetRun())
		}
	}
	c.eachAssigned(view.key, func(t *tracker.Task) {
		switch {
		case t.Job().Over():
			t.Stop()
			view.stop(t.ID().String(), t.Run())
		default:
			// The agent skips runs that are in progress, but learns their step.
			c.start(view, t)
		}
	})
}

// repeatStarts sends starts again whose runs the agent doesn't list. The agent
// skips runs that are in progress or have ended.
func (c *Coordinator) repeatStarts(view *sessionView, now time.Duration) {
	listed := map[string]int32{}
	for _, run := range view.running {
		listed[run.GetTask()] = run.GetRun()
	}
	c.eachAssigned(view.key, func(t *tracker.Task) {
		name := t.ID().String()
		if t.Stopping() || listed[name] == t.Run() || !t.Overdue(now, repeatAfter) {
			return
		}
		log.Info().Str("job", t.ID().Job).Str("task", name).Int32("run", t.Run()).Str("host", view.host).Msg("start repeated")
		c.start(view, t)
	})
}

func (c *Coordinator) eachAssigned(key tracker.ExecutorKey, visit func(*tracker.Task)) {
	for _, job := range c.jobs {
		job.EachTask(func(t *tracker.Task) {
			if t.Assigned() && t.Executor() == key {
				visit(t)
			}
		})
	}
}

func (v *sessionView) stop(task string, run int32) {
	v.stops = append(v.stops, &wire.StopOrder{
		Task: task,
		Run:  run,
	})
}

func (c *Coordinator) start(view *sessionView, t *tracker.Task) {
	ticket, _ := c.advices.ticket(t.GroupName(), view.key.ID)
	view.starts = append(view.starts, &wire.StartOrder{
		Ticket:     ticket,
		Task:       t.ID().String(),
		Run:        t.Run(),
		Spec:       t.Job().Spec().GetSpec(),
		Checkpoint: t.Checkpoint(),
		Step:       t.Step(),
	})
}

// applyLosses releases the tasks of executors that certainly run nothing.
func (c *Coordinator) applyLosses(r *round) {
	for key, orphan := range c.orphans {
		if r.now > orphan.deadline {
			delete(c.orphans, key)
			r.lost = append(r.lost, key)
		}
	}
	for _, key := range r.lost {
		released := 0
		c.eachAssigned(key, func(t *tracker.Task) {
			t.Release()
			released++
		})
		log.Info().Str("executor", key.ID).Int64("born", key.BornUnixMs).Int("tasks", released).Msg("executor lost")
	}
}

// orderStops stops the runs of jobs that are over.
func (c *Coordinator) orderStops(r *round) {
	for _, job := range c.jobs {
		if !job.Over() {
			continue
		}
		job.EachTask(func(t *tracker.Task) {
			view := r.byKey[t.Executor()]
			if !t.Assigned() || t.Stopping() || view == nil {
				return
			}
			t.Stop()
			view.stop(t.ID().String(), t.Run())
		})
	}
}

// plan assigns waiting tasks, unless what this process knows is too old.
func (c *Coordinator) plan(r *round) {
	_, age := c.Operations.Config()
	if age > maxPlanAge || c.JobsTail.Age() > maxPlanAge {
		return
	}
	r.hosts = c.hosts(r)
	groups := c.readyGroups()
	planner.Order(groups)
	c.advices.prepare(groups, r.hosts)
	for _, assignment := range c.Planner.Plan(groups, r.hosts) {
		view := r.byKey[assignment.Host.Key]
		assignment.Task.Assign(view.key, view.host, assignment.Run, r.now)
		c.start(view, assignment.Task)
		log.Info().Str("job", assignment.Task.ID().Job).Str("task", assignment.Task.ID().String()).
			Int32("run", assignment.Run).Str("host", view.host).Msg("task assigned")
	}
	c.preempt(r, groups)
}

// preempt makes room for the most urgent tasks that fit nowhere. Filling tasks
// wait instead.
func (c *Coordinator) preempt(r *round, groups []*tracker.Group) {
	for _, group := range groups {
		if group.Step().GetFillsIdle() {
			continue
		}
		for _, t := range group.Tasks() {
			if !t.Pending() {
				continue
			}
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
	view.stop(victim.ID().String(), victim.Run())
	log.Info().Str("job", victim.ID().Job).Str("task", victim.ID().String()).Int32("run", victim.Run()).
		Str("host", view.host).Str("for", urgent.ID().String()).Msg("task stopped to make room")
}

func (c *Coordinator) readyGroups() []*tracker.Group {
	now := c.Clock.Now().UnixMilli()
	var groups []*tracker.Group
	for _, job := range c.jobs {
		groups = append(groups, job.Ready(now)...)
	}
	slices.SortFunc(groups, func(a, b *tracker.Group) int {
		return int(a.Job().Spec().GetAcceptedUnixMs() - b.Job().Spec().GetAcceptedUnixMs())
	})
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
	return hosts
}

// store makes the changes of the round durable.
func (c *Coordinator) store(ctx context.Context) error {
	records := c.removed
	c.removed = nil
	for id, job := range c.jobs {
		if !job.TakeDirty() {
			continue
		}
		value, err := proto.Marshal(job.Progress())
		if err != nil {
			return err
		}
		records = append(records, &wire.KeyedRecord{
			Key:   id,
			Value: value,
		})
	}
	if len(records) == 0 {
		return nil
	}
	return c.progress.append(ctx, records)
}

// publish gives orders and recorded ends to the sessions.
func (c *Coordinator) publish(r *round, epoch int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.epoch != epoch {
		return
	}
	for _, view := range r.views {
		s := view.session
		if c.sessions[view.host] != s {
			continue
		}
		if view.opening {
			s.opening = false
		}
		for _, order := range view.stops {
			s.addStop(order, r.now)
		}
		for _, order := range view.starts {
			s.addStart(order, r.now)
		}
		news := len(view.stops)+len(view.starts) > 0 || view.endsSeen > s.endsRecorded
		s.endsRecorded = view.endsSeen
		if news {
			s.notify()
		}
	}
}

func (c *Coordinator) publishStatuses() {
	for id, job := range c.jobs {
		state := job.State()
		if c.published[id] == state || state == wire.JobState_JOB_STATE_QUEUED {
			continue
		}
		c.published[id] = state
		c.statuses.status(id, state)
		log.Info().Str("job", id).Str("state", state.String()).Msg("job state changed")
	}
}

// closeJobs forgets jobs that are over, once their status is in the log, and
// removes them after the time for which callers may ask for them.
func (c *Coordinator) closeJobs(changed []string, now time.Duration) {
	for _, id := range changed {
		entry, known := c.Index.Lookup(id)
		job := c.jobs[id]
		if !known || job == nil || !indexer.Final(entry.Recorded()) {
			continue
		}
		c.closing = append(c.closing, id)
	}
	c.closing = slices.DeleteFunc(c.closing, func(id string) bool { return c.closeJob(id, now) })
	for id, since := range c.closed {
		if now-since > c.StatusFor {
			delete(c.closed, id)
			c.statuses.add(indexer.RemovalRecords(id)...)
		}
	}
}

// closeJob reports whether the job is closed; runs that still stop keep it.
func (c *Coordinator) closeJob(id string, now time.Duration) bool {
	job := c.jobs[id]
	if job == nil {
		return true
	}
	busy := false
	job.EachTask(func(t *tracker.Task) { busy = busy || t.Assigned() })
	if busy {
		return false
	}
	delete(c.jobs, id)
	delete(c.published, id)
	c.closed[id] = now
	c.removed = append(c.removed, &wire.KeyedRecord{Key: id})
	return true
}
