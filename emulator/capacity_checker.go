package emulator

import (
	"fmt"
	"sync"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// CapacityGrace is how long after a capacity has shrunk a start may still use the
// larger one: the time in which an announcement and its consequences take effect,
// and one interval between announcements.
const CapacityGrace = capacityContact + announcementInterval

const (
	capacityContact      = 3 * time.Second
	announcementInterval = 1500 * time.Millisecond
)

// CapacityChecker checks from outside that no start brings the requests of the
// tasks on an executor over its capacity. A run that is being stopped counts until
// it ends. Set the exported fields before any call; the methods are safe for
// concurrent use.
type CapacityChecker struct {
	Clock damaskspread.Clock
	// Step returns the specification of a task.
	Step func(task string) *wire.JobStep

	mu         sync.Mutex
	executors  map[string]*checkedExecutor
	violations []string
}

// checkedExecutor is what the checker knows of one incarnation of an executor.
type checkedExecutor struct {
	// capacities are the capacities in force, oldest first, the last one now.
	capacities []datedCapacity
	requests   map[runID]*wire.Resources
}

// datedCapacity is a capacity and when it was replaced; zero for the present one.
type datedCapacity struct {
	capacity   *wire.Resources
	replacedAt time.Time
}

// Booted begins a new incarnation of an executor, which has no runs.
func (c *CapacityChecker) Booted(executor string, capacity *wire.Resources) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.executors == nil {
		c.executors = map[string]*checkedExecutor{}
	}
	c.executors[executor] = &checkedExecutor{
		capacities: []datedCapacity{{capacity: capacity}},
		requests:   map[runID]*wire.Resources{},
	}
}

// CapacityChanged records that an executor announces another capacity from now on.
func (c *CapacityChecker) CapacityChanged(executor string, capacity *wire.Resources) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.executors[executor]
	e.capacities[len(e.capacities)-1].replacedAt = c.Clock.Now()
	e.capacities = append(e.capacities, datedCapacity{capacity: capacity})
}

// Observe records a start or an end of a run.
func (c *CapacityChecker) Observe(event RunEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.executors[event.Executor]
	run := runID{task: event.Task, run: event.Run}
	if event.Cause != wire.EndCause_END_CAUSE_UNSPECIFIED {
		delete(e.requests, run)
		return
	}
	e.requests[run] = request(c.Step(event.Task))
	used, allowed := e.used(), e.allowed(c.Clock.Now())
	if used.GetMillicores() > allowed.GetMillicores() || used.GetMemoryBytes() > allowed.GetMemoryBytes() ||
		used.GetAccelerators() > allowed.GetAccelerators() {
		c.violations = append(c.violations, fmt.Sprintf("start of run %d of %s brings %s to %d runs, %v of %v",
			event.Run, event.Task, event.Executor, len(e.requests), used, allowed))
	}
}

// Violations returns a description of each start over a capacity.
func (c *CapacityChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string{}, c.violations...)
}

// request returns what a task of a step needs. A best-effort task needs no
// processors of its own.
func request(step *wire.JobStep) *wire.Resources {
	needed := &wire.Resources{
		MemoryBytes:  step.GetResources().GetMemoryBytes(),
		Accelerators: step.GetResources().GetAccelerators(),
	}
	if !step.GetFillsIdle() {
		needed.Millicores = step.GetResources().GetMillicores()
	}
	return needed
}

func (e *checkedExecutor) used() *wire.Resources {
	sum := &wire.Resources{}
	for _, needed := range e.requests {
		sum.Millicores += needed.GetMillicores()
		sum.MemoryBytes += needed.GetMemoryBytes()
		sum.Accelerators += needed.GetAccelerators()
	}
	return sum
}

// allowed returns for each resource the largest capacity in force within the last
// CapacityGrace.
func (e *checkedExecutor) allowed(now time.Time) *wire.Resources {
	largest := &wire.Resources{}
	for _, dated := range e.capacities {
		if !dated.replacedAt.IsZero() && now.Sub(dated.replacedAt) > CapacityGrace {
			continue
		}
		largest.Millicores = max(largest.Millicores, dated.capacity.GetMillicores())
		largest.MemoryBytes = max(largest.MemoryBytes, dated.capacity.GetMemoryBytes())
		largest.Accelerators = max(largest.Accelerators, dated.capacity.GetAccelerators())
	}
	return largest
}
