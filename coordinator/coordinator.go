// Package coordinator assigns the tasks of jobs to executors while this process
// is the scheduling leader. It exchanges reports and orders with the agents;
// package planner makes the placement decisions.
//
// A Coordinator owns the jobs, the sessions with the agents, and the progress
// topic of the log. The goroutine of Run repeats scheduling cycles: it applies
// reports and job changes, plans, stores the progress, and only then publishes
// orders. Between cycles it waits for a signal or a timer. While the process
// leads, a second goroutine writes the job statuses that clients see and a third
// one requests admission advice. Exchange runs on the goroutines of the HTTP
// server: it merges the report into the agent's session and waits for orders.
// PreviewJob waits there for the goroutine of Run, which answers at most one call
// at the end of a cycle.
//
// The mutex guards the sessions, the interference weights, and the inputs
// of the next cycle. The jobs are accessed by the goroutine of Run only.
package coordinator

import (
	"context"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/appraiser"
	"damaskspread.example/damaskspread/assessor"
	"damaskspread.example/damaskspread/elector"
	"damaskspread.example/damaskspread/estimator"
	"damaskspread.example/damaskspread/indexer"
	"damaskspread.example/damaskspread/planner"
	"damaskspread.example/damaskspread/tailer"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// Coordinator schedules jobs while this process is the leader. The exported
// fields are set before Init and Run. The exported methods are safe for
// concurrent use.
type Coordinator struct {
	Log        damaskspread.KeyedLog
	Index      *indexer.Index
	JobsTail   *tailer.Tailer
	Operations damaskspread.OperatorView
	Elector    *elector.Elector
	Planner    *planner.Planner
	// InterferenceModel learns the interference between images; nil disables it.
	InterferenceModel *estimator.InterferenceModel
	// Appraiser computes the load estimate for entries; with nil there is none.
	Appraiser *appraiser.Appraiser
	// Screen decides on the jobs of previews; with nil there are no previews.
	Screen JobScreen
	// Advisor is nil on deployments without admission advice.
	Advisor damaskspread.StepAdvisor
	Clock   damaskspread.Clock
	// Elapsed measures leases and intervals; it is monotonic.
	Elapsed damaskspread.ElapsedClock
	// LeaseDuration is the duration of the lease that each report of an agent
	// renews.
	LeaseDuration time.Duration
	// LongestLease is the longest lease that executors accept, which leaders of earlier
	// versions may have granted; LeaseDuration if 0.
	LongestLease time.Duration
	// MaxAppendBytes bounds one append to the log; damaskspread.MaxAppendBytes if 0.
	MaxAppendBytes int
	// LearnRunTimes makes predictions use run times that were observed.
	LearnRunTimes bool
	// SpeculativeCopies makes stragglers of steps that allow it be copied.
	SpeculativeCopies bool
	// RecoveryTime is how long after an outage of the log late jobs leave room for callers
	// that were refused meanwhile and return; with 0 they start at once.
	RecoveryTime time.Duration
	// CancelWithin is the time after the acknowledgement of a cancellation within which an
	// agent in contact starts no task of the job any more; 3 s if 0.
	CancelWithin time.Duration
	// StatusRetention is how long the status of a finished job is kept in the log.
	StatusRetention time.Duration
	// RefusalRetention is how long the refusal of a job is kept in the log; 2 minutes
	// if 0.
	RefusalRetention time.Duration

	mu sync.Mutex
	// epoch is 0 while another process leads; leading is set once the takeover
	// of the epoch has completed.
	epoch   int64
	leading bool
	// unconfirmed is set while the last confirmed renewal of the leadership is older than
	// elector.ConfirmationTimeout, as of the last cycle.
	unconfirmed bool
	// endTerm cancels the calls of the term in progress; nil before the first one.
	endTerm context.CancelFunc
	// issuedTokens is the number of fencing tokens given to sessions in this term, several
	// to a session.
	issuedTokens int64
	sessions     map[string]*session     // by host
	histories    map[string]*hostHistory // of this leader's term, by host
	// storedSessions has what is stored of the sessions, also those of earlier leaders,
	// by host.
	storedSessions map[string]*wire.ExecutorSession
	// arrivals are the inputs of the next cycle.
	arrivals  arrivals
	wake      chan struct{}
	pressures pressures

	// appliedConfig is the configuration by which the jobs have their destinations, nil if
	// they have those of earlier leaders.
	appliedConfig *wire.FleetConfig
	// jobs has each job until its final status is recorded and no task of it is
	// assigned.
	jobs map[string]*tracker.Job
	// assignments has the assigned tasks of jobs by executor.
	assignments *tracker.Assignments
	// closed is when each finished job was dropped from jobs.
	closed  map[string]time.Duration
	orphans map[tracker.ExecutorKey]orphan
	// failures weighs the failures of tasks.
	failures assessor.Failures
	// suspicions has the executors with failures since their last success.
	suspicions map[tracker.ExecutorKey]*suspicion
	// crashes are the crashes of executors that this leader has seen, by service.
	crashes map[string]*assessor.Crashes
	// publishedStates are the states last passed to the status writer, by job.
	publishedStates map[string]wire.JobState
	// waiting are the steps with tasks that wait for a host, by Group.Name.
	waiting waitReports
	// held are the jobs and tasks that the plan leaves out, by name.
	held waitReports
	// recovery paces the starts of late jobs after an outage of the log.
	recovery recovery
	// agentCalls is when an agent has called last in this term; agentsSilent is set if all
	// were silent in the last cycle.
	agentCalls   agentCalls
	agentsSilent bool
	// tookOverAt is the beginning of this leader's term, oldSessionsRemoved is set once
	// removeOldSessions is done in it.
	tookOverAt         time.Duration
	oldSessionsRemoved bool
	// inputsOld is set while no tasks are assigned because the inputs are too old.
	inputsOld bool
	// unstoppable is the number of runs in the latest line of reportUnstoppable.
	unstoppable int
	// firstCosts has the latest step that was started, by service, if steps are
	// ordered by cost.
	firstCosts map[string]*tracer.WaitCost
	// latencies are the reports on the serving tasks of each executor, kept only if
	// the wait of best-effort tasks is bounded.
	latencies map[tracker.ExecutorKey]*hostLatency
	// holds are the jobs whose progress could not be decoded.
	holds *holds
	// suspended are jobs whose progress the log rejects.
	suspended map[string]bool
	// unassigned are the runs in progress whose tasks are not assigned to their
	// executors.
	unassigned []unassignedRun
	// unlisted are those of unassigned that the list of an opening lacks, while the agent does
	// not know all ends of the executor.
	unlisted map[unassignedRun]bool
	// copies are those of unassigned that were copied.
	copies map[unassignedRun]*copiedRun
	// copiesPlannedAt is when stragglers were last looked for.
	copiesPlannedAt time.Duration
	// runProgress has the progress of the runs that may be copied.
	runProgress map[listedRun]*runProgress
	// closing are jobs whose final status is recorded but which still have runs
	// that are stopping.
	closing []string
	// tombstones remove the progress records of closed jobs.
	tombstones []*wire.KeyedRecord
	gauges     gauges
	// previews has the calls of PreviewJob that wait for a cycle. nextPreview is the
	// earliest time of the next answer.
	previews    chan *previewCall
	nextPreview time.Duration
	// runTimes is nil unless LearnRunTimes is set.
	runTimes *runTimes

	progress    *writer
	adviceCache *adviceCache
	statuses    *statusWriter
	// progressWait is the wait for the first cycle of a term or for an append of a cycle,
	// statusWait that of the status writer, readWait that for inputs that are new enough.
	progressWait, statusWait, readWait logWait
}

// Init must be called before Run and before any other method.
func (c *Coordinator) Init() {
	c.wake = make(chan struct{}, 1)
	c.previews = make(chan *previewCall, maxPreviewCalls)
	c.sessions = map[string]*session{}
	c.histories = map[string]*hostHistory{}
	c.storedSessions = map[string]*wire.ExecutorSession{}
	if c.LearnRunTimes {
		c.runTimes = &runTimes{}
	}
}

// JobsChanged tells the coordinator which jobs changed in the index.
func (c *Coordinator) JobsChanged(ids []string) {
	c.mu.Lock()
	c.arrivals.addChangedJobs(ids)
	c.mu.Unlock()
	c.signal()
}

// Sessions is the number of agents with an open session.
func (c *Coordinator) Sessions() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.sessions)
}

// signal starts the next scheduling cycle early.
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

// Run schedules whenever this process is the leader, until the tomb dies.
func (c *Coordinator) Run(tb *tomb.Tomb) error {
	ctx := tb.Context(context.Background())
	c.Planner.Doubtful = c.doubtful
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
