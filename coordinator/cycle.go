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
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// freshFor is the silence of an agent after which nothing new is assigned to
// its host.
const freshFor = 2500 * time.Millisecond

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
	c.plan(r, epoch)
	c.migrate(r)
	if err := c.store(ctx); err != nil {
		return err
	}
	c.publish(r, epoch)
	c.openJobs.Store(int64(len(c.jobs)))
	c.waitingSteps.Store(int64(len(c.waiting)))
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

// stop orders the stop of a run; the event tells why.
func (v *sessionView) stop(task string, run int32, event tracer.StopOrdered) {
	event.Job = tracker.JobOf(task)
	event.Task = task
	event.Run = run
	event.Host = v.host
	tracer.Write(&event)
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
			view.stop(t.ID().String(), t.Run(), tracer.StopOrdered{
				Reason: tracer.StopJobOver,
			})
		})
	}
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
