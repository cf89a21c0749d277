package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
)

const (
	// minCycleInterval batches the reports that arrive between two cycles.
	minCycleInterval = 10 * time.Millisecond
	// maxCycleInterval bounds how late a cycle notices that a deadline has
	// passed, such as the end of a lease.
	maxCycleInterval = 100 * time.Millisecond
)

// StartLeading tells the coordinator that this process was elected leader of an
// epoch. Run then takes over.
func (c *Coordinator) StartLeading(epoch int64) {
	c.mu.Lock()
	c.epoch = epoch
	c.mu.Unlock()
	c.agentCalls.reset()
	c.statusWait.end()
	c.readWait.end()
	c.progressWait.end()
	c.progressWait.begin(c.Elapsed.Elapsed())
	c.signal()
}

// StopLeading tells the coordinator that this process is no longer the leader. It
// closes all sessions and ends the calls to the log that are in progress.
func (c *Coordinator) StopLeading() {
	c.mu.Lock()
	c.epoch = 0
	c.leading = false
	if c.endTerm != nil {
		c.endTerm()
	}
	for _, s := range c.sessions {
		s.notify()
	}
	c.sessions = map[string]*session{}
	c.histories = map[string]*hostHistory{}
	c.mu.Unlock()
	c.signal()
}

// lead takes over and runs scheduling cycles until the epoch ends.
func (c *Coordinator) lead(ctx context.Context, epoch int64) {
	term, cancel := c.beginTerm(ctx, epoch)
	defer cancel()
	c.progressWait.begin(c.Elapsed.Elapsed())
	if err := c.reportStall(epoch, "takeover", func() error { return c.takeOver(term, epoch) }); err != nil {
		log.Warn().Int64("epoch", epoch).Err(err).Msg("leader takeover failed")
		damaskspread.Pause(ctx, c.Clock, maxCycleInterval)
		return
	}
	c.held = waitReports{}
	c.recovery = recovery{}
	c.inputsOld = false
	c.unstoppable = 0
	c.agentsSilent = false
	c.tookOverAt = c.Elapsed.Elapsed()
	c.oldSessionsRemoved = false
	var background sync.WaitGroup
	background.Go(func() { c.statuses.run(term) })
	background.Go(func() { c.adviceCache.run(term) })
	background.Go(func() { c.removeRefusals(term) })
	for c.currentEpoch() == epoch && ctx.Err() == nil {
		if err := c.runCycle(term, epoch); err != nil {
			log.Warn().Int64("epoch", epoch).Err(err).Msg("leadership ended: job progress could not be stored")
			c.stepDown(epoch)
			break
		}
		damaskspread.Pause(ctx, c.Clock, c.pauseAfterCycle())
		c.waitForSignal(ctx)
	}
	cancel()
	background.Wait()
	c.gauges.openJobs.Store(0)
	c.gauges.waitingSteps.Store(0)
	c.gauges.pacedSteps.Store(0)
}

// beginTerm returns a context that ends with the term of an epoch.
func (c *Coordinator) beginTerm(ctx context.Context, epoch int64) (context.Context, context.CancelFunc) {
	term, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endTerm = cancel
	if c.epoch != epoch {
		cancel()
	}
	return term, cancel
}

// pauseAfterCycle is at least as long as the last cycle computed. Half of the time is
// then left for reports, renewals and callers where processors are scarce, and
// more changes share a cycle.
func (c *Coordinator) pauseAfterCycle() time.Duration {
	return max(minCycleInterval, min(c.CycleTime(), maxCycleInterval))
}

// stepDown ends the leadership of an epoch, unless a later one has begun.
func (c *Coordinator) stepDown(epoch int64) {
	if c.currentEpoch() == epoch {
		c.StopLeading()
	}
}

// waitForSignal waits for a signal, at most maxCycleInterval.
func (c *Coordinator) waitForSignal(ctx context.Context) {
	timer := c.Clock.NewTimer(maxCycleInterval)
	defer timer.Stop()
	select {
	case <-c.wake:
	case <-timer.Chan():
	case <-ctx.Done():
	}
}
