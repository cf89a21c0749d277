package coordinator

import (
	"sync/atomic"
	"time"
)

// gauges are numbers for readers on other goroutines.
type gauges struct {
	// openJobs and waitingSteps are the numbers of jobs and of waits, as of the last cycle.
	openJobs, waitingSteps atomic.Int64
	// pacedSteps is the number of steps with late tasks that the last cycle held back.
	pacedSteps atomic.Int64
	// advisedSteps is the number of steps in the cache of advice, as of the last removal.
	advisedSteps atomic.Int64
	// cycleTime is how long the last cycle took without its append, in nanoseconds.
	cycleTime atomic.Int64
}

// OpenJobs is the number of jobs that this process schedules; 0 while it does
// not lead.
func (c *Coordinator) OpenJobs() int64 { return c.gauges.openJobs.Load() }

// WaitingSteps is the number of steps with tasks that wait for a host; 0 while
// this process does not lead.
func (c *Coordinator) WaitingSteps() int64 { return c.gauges.waitingSteps.Load() }

// PacedSteps is the number of steps of which late tasks wait after an outage of the log,
// so that callers that return find room; 0 while this process does not lead.
func (c *Coordinator) PacedSteps() int64 { return c.gauges.pacedSteps.Load() }

// AdvisedSteps is the number of steps whose tickets this process keeps, as of the latest
// step that was done.
func (c *Coordinator) AdvisedSteps() int64 { return c.gauges.advisedSteps.Load() }

// CycleTime is how long the last scheduling cycle of this process computed. A
// leader falls behind when it nears maxCycleInterval.
func (c *Coordinator) CycleTime() time.Duration { return time.Duration(c.gauges.cycleTime.Load()) }
