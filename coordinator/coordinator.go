// Package coordinator schedules the jobs of the fleet while this process is
// the scheduling leader.
//
// A Coordinator owns the jobs, the sessions with the agents, and the progress
// topic of the log. Run has one goroutine that takes events, plans, stores the
// progress and only then publishes orders; another writes the statuses that
// callers see. Calls of agents run on the goroutines of the HTTP server: they
// leave their report in a session and wait there for orders.
//
// The mutex guards sessions and the mailbox. The jobs belong to the goroutine
// of Run alone.
package coordinator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/elector"
	"damaskspread.example/damaskspread/estimator"
	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tailer"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

const (
	// minCycle lets reports gather before the next round.
	minCycle = 10 * time.Millisecond
	// maxCycle bounds how late a timed event is noticed.
	maxCycle = 100 * time.Millisecond
	// maxPlanAge is the age of the jobs or the configuration above which
	// nothing new starts.
	maxPlanAge = 1500 * time.Millisecond
	// leaseDrift covers the rate of an executor's clock.
	leaseDrift = 1.05
	leaseSlack = 200 * time.Millisecond
)

// orphan is an executor with tasks of an earlier leader and no session yet.
type orphan struct {
	host string
	// deadline is when its lease is certainly over.
	deadline time.Duration
}

// Coordinator schedules jobs. Its fields are set before Run.
type Coordinator struct {
	Log        damaskspread.KeyedLog
	Index      *indexer.Index
	JobsTail   *tailer.Tailer
	Operations damaskspread.OperatorView
	Election   *elector.Elector
	Planner    *planner.Planner
	Pressure   *estimator.Pressure
	// Advisor is nil on deployments without admission advice.
	Advisor damaskspread.StepAdvisor
	Clock   damaskspread.Clock
	Elapsed damaskspread.ElapsedClock
	// LeaseFor is the lease that one report of an agent earns.
	LeaseFor time.Duration
	// StatusFor is how long a finished job stays known.
	StatusFor time.Duration

	mu       sync.Mutex
	epoch    int64
	leading  bool
	sessions map[string]*session
	changed  map[string]bool
	// lost are incarnations of executors that have certainly ended.
	lost []tracker.ExecutorKey
	wake chan struct{}
	// pressures are the published effects of images on each other.
	pressures       []*wire.ImagePressure
	pressureVersion int64
	pressureAt      time.Duration

	jobs       map[string]*tracker.Job
	closed     map[string]time.Duration
	orphans    map[tracker.ExecutorKey]orphan
	suspicions map[tracker.ExecutorKey]*suspicion
	published  map[string]wire.JobState
	// waiting are the steps with tasks that wait for a host.
	waiting map[string]*waitingStep
	// closing are jobs whose final status is recorded while runs still stop.
	closing []string
	// removed are records of the progress that are no longer needed.
	removed []*wire.KeyedRecord
	// openJobs and waitingSteps are the sizes of jobs and waiting for others.
	openJobs, waitingSteps atomic.Int64

	progress *writer
	advices  *advices
	statuses *statusWriter
}

// Init prepares the coordinator for calls before Run.
func (c *Coordinator) Init() {
	c.wake = make(chan struct{}, 1)
	c.sessions = map[string]*session{}
	c.changed = map[string]bool{}
}

// Won starts the leadership of an epoch.
func (c *Coordinator) Won(epoch int64) {
	c.mu.Lock()
	c.epoch = epoch
	c.mu.Unlock()
	c.signal()
}

// Lost ends the leadership.
func (c *Coordinator) Lost() {
	c.mu.Lock()
	c.epoch = 0
	c.leading = false
	for _, s := range c.sessions {
		s.notify()
	}
	c.sessions = map[string]*session{}
	c.mu.Unlock()
	c.signal()
}

// JobsChanged tells that the log has news of jobs.
func (c *Coordinator) JobsChanged(ids []string) {
	c.mu.Lock()
	for _, id := range ids {
		c.changed[id] = true
	}
	c.mu.Unlock()
	c.signal()
}

// OpenJobs is the number of jobs that this process schedules.
func (c *Coordinator) OpenJobs() int64 { return c.openJobs.Load() }

// WaitingSteps is the number of steps with tasks that wait for a host.
func (c *Coordinator) WaitingSteps() int64 { return c.waitingSteps.Load() }

// Sessions is the number of agents that this process leads.
func (c *Coordinator) Sessions() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.sessions)
}

func (c *Coordinator) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Coordinator) currentEpoch() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch
}

// Run leads whenever this process is the leader.
func (c *Coordinator) Run(tb *tomb.Tomb) error {
	ctx := tb.Context(context.Background())
	for tb.Alive() {
		if epoch := c.currentEpoch(); epoch != 0 {
			c.lead(ctx, epoch)
			continue
		}
		select {
		case <-c.wake:
		case <-tb.Dying():
		}
	}
	return nil
}

// lead schedules until another process leads.
func (c *Coordinator) lead(ctx context.Context, epoch int64) {
	term, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := c.takeOver(term, epoch); err != nil {
		log.Warn().Int64("epoch", epoch).Err(err).Msg("taking over failed")
		damaskspread.Pause(ctx, c.Clock, maxCycle)
		return
	}
	var duties sync.WaitGroup
	duties.Go(func() { c.statuses.run(term) })
	duties.Go(func() { c.advices.run(term) })
	for c.currentEpoch() == epoch && ctx.Err() == nil {
		if err := c.cycle(term, epoch); err != nil {
			log.Warn().Int64("epoch", epoch).Err(err).Msg("leadership ended: progress was not stored")
			c.abandon(epoch)
			break
		}
		damaskspread.Pause(ctx, c.Clock, minCycle)
		c.await(ctx)
	}
	cancel()
	duties.Wait()
	c.openJobs.Store(0)
	c.waitingSteps.Store(0)
}

// abandon drops a leadership whose epoch is fenced.
func (c *Coordinator) abandon(epoch int64) {
	if c.currentEpoch() == epoch {
		c.Lost()
	}
}

// await waits for news or for the next timed event.
func (c *Coordinator) await(ctx context.Context) {
	timer := c.Clock.NewTimer(maxCycle)
	defer timer.Stop()
	select {
	case <-c.wake:
	case <-timer.Chan():
	case <-ctx.Done():
	}
}
