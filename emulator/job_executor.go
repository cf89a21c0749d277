package emulator

import (
	"sync"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// defaultListedEnds is how many ends the platform's executors list at a time.
const defaultListedEnds = 500

// JobExecutor is an in-memory executor of one host: it runs tasks under a lease
// by its own clock and lists the runs that ended until Renew acknowledges them. Like
// the platform's executors, it starts a higher run of a task while a lower one is
// still in progress. It implements damaskspread.TaskExecutor. Call Boot before any
// other method; all methods are safe for concurrent use.
type JobExecutor struct {
	Clock damaskspread.Clock
	// TaskDuration returns how long a task runs; if negative, it runs until
	// stopped.
	TaskDuration func(task string) time.Duration
	// StopTime is how long a run takes to end after a stop order; until then it is
	// listed as running.
	StopTime time.Duration
	// MaxListedEnds is how many ends Renew returns at a time; 500 if 0, as on the platform.
	MaxListedEnds int
	// Observe is called at each start and end of a run, with the executor's lock
	// held; it may be nil.
	Observe func(event RunEvent)
	// Acknowledged is called for each end that Renew drops from the list, and whether the
	// lease has lapsed since the end, with the executor's lock held; it may be nil.
	Acknowledged func(end *wire.RunEnd, lapsed bool)
	// Crashes reports whether a task crashes the executor shortly after its start;
	// nil if none does.
	Crashes func(task string) bool

	mu           sync.Mutex
	id           string
	bornUnixMs   int64
	startedAt    time.Time
	highestToken int64
	leaseEnd     time.Time
	runs         map[runID]*jobRun
	// endedRun has the highest run of each task that was stopped or has ended.
	endedRun      map[string]int32
	ended         []*wire.RunEnd
	lastEndNumber int64
	// lapsedEnds is the number of the last end before the latest lapse of the lease.
	lapsedEnds   int64
	unresponsive bool
	resetting    bool
	// fails reports whether a task fails at once; nil if none does.
	fails               func(task string) bool
	losesStartResponses bool
	// holdsStart reports whether a start call gets no response; heldStarts has the
	// calls without one that were not carried out yet.
	holdsStart func(order *wire.StartOrder) bool
	heldStarts []lateStart
	// capacity replaces that of Info; nil until SetCapacity.
	capacity *wire.Resources
	// crashAt is when a started task crashes the executor; zero if none does.
	crashAt time.Time
	down    bool
	changed chan struct{}
}

// RunEvent is a start or an end of a run on the executor.
type RunEvent struct {
	Executor string
	Task     string
	Run      int32
	// Cause is unspecified for a start.
	Cause wire.EndCause
}

// runID identifies one run of a task.
type runID struct {
	task string
	run  int32
}

type jobRun struct {
	endsAt      time.Time
	longRunning bool
	fails       bool
	stopping    bool
	checkpoint  string
}

// Boot starts a new incarnation, which has no runs and no lease. Runs of the
// previous one are reported to Observe with the cause LEASE_EXPIRED.
func (e *JobExecutor) Boot(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	e.loseRuns()
	e.down = false
	e.crashAt = time.Time{}
	e.startedAt = e.Clock.Now()
	e.id = id
	e.bornUnixMs = max(e.bornUnixMs+1, e.startedAt.UnixMilli())
	e.highestToken = 0
	e.leaseEnd = time.Time{}
	e.runs = map[runID]*jobRun{}
	e.endedRun = map[string]int32{}
	e.ended = nil
	e.lastEndNumber = 0
	e.lapsedEnds = 0
	e.signal()
}

// SetCapacity changes the capacity that the executor announces from now on. The
// executor starts what it is told to whatever its capacity.
func (e *JobExecutor) SetCapacity(capacity *wire.Resources) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.capacity = capacity
}

// Info returns the executor's announcement, with the given capacity unless
// SetCapacity has set another. It also ends the runs whose time or
// lease is over, so that their ends are observed even if no other call arrives.
func (e *JobExecutor) Info(service, zone string, capacity *wire.Resources, labels ...string) *wire.ExecutorInfo {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	if e.capacity != nil {
		capacity = e.capacity
	}
	return &wire.ExecutorInfo{
		Id:         e.id,
		BornUnixMs: e.bornUnixMs,
		Service:    service,
		Zone:       zone,
		Capacity:   capacity,
		Labels:     labels,
		ClockMs:    e.clockMs(),
	}
}

// SetUnresponsive makes calls wait for their deadline and fail, without effect.
func (e *JobExecutor) SetUnresponsive(unresponsive bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unresponsive = unresponsive
}

// SetResetting makes calls, held ones included, fail without effect because their
// connection breaks off. The runs go on.
func (e *JobExecutor) SetResetting(resetting bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resetting = resetting
}

// SetFailingTasks makes tasks that start from now on fail at once.
func (e *JobExecutor) SetFailingTasks(failing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fails = nil
	if failing {
		e.fails = func(string) bool { return true }
	}
}

// SetFailing makes the tasks for which fails returns true, and that start from now on, fail
// at once.
func (e *JobExecutor) SetFailing(fails func(task string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fails = fails
}

// SetLosingStartResponses makes starts take effect and fail with an unknown
// outcome.
func (e *JobExecutor) SetLosingStartResponses(losing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.losesStartResponses = losing
}

// SetStopTime changes how long a run takes to end after a stop order from now on.
func (e *JobExecutor) SetStopTime(stopTime time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.StopTime = stopTime
}

// Running returns the number of runs in progress.
func (e *JobExecutor) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	return len(e.runs)
}

// clockMs returns the reading of the executor's clock, which starts at 1.
func (e *JobExecutor) clockMs() int64 { return e.Clock.Since(e.startedAt).Milliseconds() + 1 }

func (e *JobExecutor) signal() {
	if e.changed != nil {
		close(e.changed)
	}
	e.changed = make(chan struct{})
}

func (e *JobExecutor) observe(id runID, cause wire.EndCause) {
	if e.Observe != nil {
		e.Observe(RunEvent{Executor: e.id, Task: id.task, Run: id.run, Cause: cause})
	}
}

// advance ends the runs that finished, or whose lease expired, by now. It
// requires the lock.
func (e *JobExecutor) advance() {
	now := e.Clock.Now()
	if !e.crashAt.IsZero() && !now.Before(e.crashAt) {
		e.crash()
	}
	for id, run := range e.runs {
		switch {
		case run.stopping && !now.Before(run.endsAt):
			e.endRun(id, run, wire.EndCause_END_CAUSE_STOPPED)
		case !run.longRunning && !now.Before(run.endsAt) && !run.endsAt.After(e.leaseEnd):
			cause := wire.EndCause_END_CAUSE_DONE
			if run.fails {
				cause = wire.EndCause_END_CAUSE_FAILED
			}
			e.endRun(id, run, cause)
		case now.After(e.leaseEnd):
			e.endRun(id, run, wire.EndCause_END_CAUSE_LEASE_EXPIRED)
		}
	}
	if now.After(e.leaseEnd) {
		e.lapsedEnds = e.lastEndNumber
	}
}

func (e *JobExecutor) endRun(id runID, run *jobRun, cause wire.EndCause) {
	delete(e.runs, id)
	e.endedRun[id.task] = max(e.endedRun[id.task], id.run)
	e.lastEndNumber++
	e.ended = append(e.ended, &wire.RunEnd{
		Number:     e.lastEndNumber,
		Task:       id.task,
		Run:        id.run,
		Cause:      cause,
		Checkpoint: run.checkpoint,
	})
	e.observe(id, cause)
	e.signal()
}
