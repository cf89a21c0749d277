package coordinator

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// maxReportAge is the time since an agent's last report after which no new tasks
// are assigned to its host.
const maxReportAge = 2500 * time.Millisecond

// cycleState holds the inputs of one scheduling cycle and the orders that it
// publishes.
type cycleState struct {
	arrivals

	now time.Duration
	// inputs were read before the arrivals were taken: what the cycle knows is at least as
	// recent.
	inputs planInputs
	// sessionRecords are the changes of storedSessions, by host. An empty one removes
	// what is stored.
	sessionRecords map[string]*wire.ExecutorSession
	// witnessed has the keys of witnessedEnds.
	witnessed map[tracker.ExecutorKey]bool
	views     []*sessionView
	byKey     map[tracker.ExecutorKey]*sessionView
	// stoppedEarly has the stops that stopInNewSessions has ordered.
	stoppedEarly map[earlyStop]bool
	// hosts are the placement candidates; nil if no task may start in this cycle.
	hosts []*planner.Host
	// groups are the steps that were ready at the plan, in their order.
	groups []*tracker.Group
}

// sessionView is a copy of a session for one cycle, with the orders that the
// cycle publishes to it. The fields that session also has mean the same there.
type sessionView struct {
	session *session
	host    string
	key     tracker.ExecutorKey
	info    *wire.ExecutorInfo
	// candidate is the one of cycleState.hosts for the executor, nil without them.
	candidate *planner.Host
	// usable is set if new tasks may be assigned to the executor.
	usable    bool
	reachable bool
	// responds is set if the executor is reachable by an agent that has reported lately.
	responds    bool
	opening     bool
	running     []*wire.TaskRun
	runsUpdated bool
	endsMissing bool
	// endsPast is set if the ends may be long past: they come with the opening of the
	// session, or the agent has learned of them page by page.
	endsPast bool
	// listed has the runs of running, nil before lists is called.
	listed map[listedRun]bool
	// startsRepeated is set once the starts that were due are ordered again.
	startsDue, startsRepeated bool
	ends                      []*wire.RunEnd
	lastEnd                   int64
	refusals                  []*wire.StartRefusal
	exposures                 []*wire.CrashExposure
	// lastExposure is the highest number of a received exposure.
	lastExposure int64
	starts       []*wire.StartOrder
	stops        []*wire.StopOrder
}

// runCycle applies reports and job changes, plans, stores the progress and then
// publishes orders. It fails if the progress can't be stored.
func (c *Coordinator) runCycle(ctx context.Context, epoch int64) error {
	started := c.Elapsed.Elapsed()
	inputs := c.inputs(epoch)
	cycle := c.takeInputs()
	cycle.inputs = inputs
	c.reportSilence(epoch, cycle.now)
	c.assignments.Responds = cycle.responds
	c.applyJobs(cycle.changedJobs)
	c.applyDestinations(cycle.changedJobs, epoch)
	c.observeCrashes(cycle)
	c.applyReports(cycle)
	c.reviewSuspicions(cycle.now)
	c.applyAbsences(cycle)
	c.releaseLostTasks(cycle)
	c.storeOrphans(cycle)
	c.removeOldSessions(cycle)
	c.stopFinishedJobs(cycle)
	c.reviewCopies(cycle)
	c.observeUsage(cycle)
	c.runTimes.predict(c.jobs, cycle.views, cycle.now)
	c.observeLatencies(cycle)
	c.observeProgress(cycle)
	c.plan(cycle, epoch)
	c.planCopies(cycle, epoch)
	c.observeCalm(cycle)
	c.migrate(cycle)
	storing := c.Elapsed.Elapsed()
	c.progressWait.begin(storing)
	if err := c.reportStall(epoch, "append", func() error { return c.storeProgress(ctx, cycle) }); err != nil {
		return err
	}
	stored := c.Elapsed.Elapsed()
	c.progressWait.end()
	defer func() { c.gauges.cycleTime.Store(int64(c.Elapsed.Elapsed() - started - (stored - storing))) }()
	c.publish(cycle, epoch)
	c.appraiseLoad(cycle)
	c.answerPreview(cycle, epoch)
	c.gauges.openJobs.Store(int64(len(c.jobs)))
	c.gauges.waitingSteps.Store(int64(c.waiting.count()))
	c.publishStatuses()
	c.forgetDoneSteps()
	c.closeJobs(cycle.changedJobs, cycle.now)
	return nil
}

// takeInputs takes what arrived since the last cycle and ends the sessions whose
// lease has expired.
func (c *Coordinator) takeInputs() *cycleState {
	c.mu.Lock()
	defer c.mu.Unlock()
	cycle := &cycleState{
		now:       c.Elapsed.Elapsed(),
		arrivals:  c.arrivals.take(),
		witnessed: map[tracker.ExecutorKey]bool{},
		byKey:     map[tracker.ExecutorKey]*sessionView{},

		stoppedEarly:   map[earlyStop]bool{},
		sessionRecords: map[string]*wire.ExecutorSession{},
	}
	c.extendAfterOutage()
	for host, s := range c.sessions {
		if cycle.now > s.leaseEnd {
			log.Warn().Str("host", host).Str("executor", s.key.ID).Dur("silent", cycle.now-s.lastReportAt).
				Msg("executor lease expired; its runs are lost")
			delete(c.sessions, host)
			s.notify()
			cycle.lostExecutors = append(cycle.lostExecutors, lostExecutor{
				key:     s.key,
				host:    host,
				service: s.info.GetService(),
				session: s.id,
				cause:   tracer.LossLeaseExpired,
			})
			continue
		}
		c.reviewGrant(cycle, s)
		cycle.add(s)
	}
	return cycle
}

// responds reports whether the executor has a session and responds.
func (cycle *cycleState) responds(executor tracker.ExecutorKey) bool {
	view := cycle.byKey[executor]
	return view != nil && view.responds
}

// add copies a session into the cycle and clears what the cycle took from it.
func (cycle *cycleState) add(s *session) {
	responds := s.reachable && cycle.now-s.lastReportAt < maxReportAge
	view := &sessionView{
		session:      s,
		host:         s.host,
		key:          s.key,
		info:         s.info,
		usable:       responds && !s.info.GetDraining() && cycle.now >= s.noRoomUntil,
		reachable:    s.reachable,
		responds:     responds,
		opening:      s.opening,
		running:      s.running,
		runsUpdated:  s.runsUpdated,
		endsMissing:  s.endsMissing,
		endsPast:     s.opening || s.endsMissing || s.endsWereMissing,
		startsDue:    s.startsDue,
		ends:         s.ends,
		lastEnd:      s.lastEnd,
		refusals:     s.refusals,
		exposures:    s.exposures,
		lastExposure: s.lastExposure,
	}
	s.ends = nil
	s.refusals = nil
	s.exposures = nil
	s.runsUpdated = false
	s.endsWereMissing = s.endsMissing
	cycle.views = append(cycle.views, view)
	cycle.byKey[s.key] = view
}

// applyJobs adds new jobs and cancels those that clients canceled.
func (c *Coordinator) applyJobs(ids map[string]bool) {
	for id := range ids {
		entry, known := c.Index.Lookup(id)
		if !known {
			continue
		}
		job := c.jobs[id]
		_, over := c.closed[id]
		if job == nil && !over && !indexer.Final(entry.RecordedState()) {
			job = tracker.New(entry.Job())
			c.assignments.Add(job)
			c.jobs[id] = job
		}
		if job != nil && entry.Canceled() {
			job.Cancel()
		}
	}
}

// addStopOrder adds a stop order for a run and writes event, whose Reason the
// caller sets, to the trace.
func (v *sessionView) addStopOrder(task string, run int32, event tracer.StopOrdered) {
	event.Job = tracker.JobOf(task)
	event.Task = task
	event.Run = run
	event.Host = v.host
	event.Executor = v.key.ID
	event.Born = v.key.BornUnixMs
	event.Session = v.session.id
	tracer.Write(&event)
	v.stops = append(v.stops, &wire.StopOrder{
		Task: task,
		Run:  run,
	})
}

// addStartOrder adds a start order for the task's current run.
func (c *Coordinator) addStartOrder(view *sessionView, t *tracker.Task) {
	ticket, _ := c.adviceCache.ticket(t.GroupName(), view.key.ID)
	view.starts = append(view.starts, &wire.StartOrder{
		Ticket:     ticket,
		Task:       t.ID().String(),
		Run:        t.Run(),
		Spec:       t.Job().Spec().GetSpec(),
		Checkpoint: t.Checkpoint(),
		Step:       t.Step(),
		Percent:    t.StartPercent(),
	})
}

// repeatStartOrder adds a start order for a run that may have been ordered before.
func (c *Coordinator) repeatStartOrder(view *sessionView, t *tracker.Task) {
	c.addStartOrder(view, t)
	order := view.starts[len(view.starts)-1]
	order.Repeated = true
	order.Percent = c.repeatedPercent(t)
}

// publish adds the cycle's orders to the sessions and acknowledges the run ends,
// exposures and absences whose effects are stored.
func (c *Coordinator) publish(cycle *cycleState, epoch int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.epoch != epoch {
		return
	}
	for _, a := range cycle.absences {
		close(a.stored)
	}
	c.publishGrants(cycle)
	startsDecidedAt := cycle.now - c.excessAge(&cycle.inputs)
	for _, view := range cycle.views {
		s := view.session
		if c.sessions[view.host] != s {
			continue
		}
		if view.opening {
			s.opening = false
		}
		if view.startsRepeated {
			s.startsDue = false
		}
		for _, order := range view.stops {
			s.addStop(order, cycle.now)
		}
		for _, order := range view.starts {
			s.addStart(order, startsDecidedAt)
		}
		updated := len(view.stops)+len(view.starts) > 0 || view.lastEnd > s.endsRecorded || view.lastExposure > s.exposuresRecorded
		s.endsRecorded = view.lastEnd
		s.exposuresRecorded = view.lastExposure
		if updated {
			s.notify()
		}
	}
}
