package executor

import (
	"fmt"
	"strings"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// workerFault begins the detail of a failure that the worker itself caused.
const workerFault = "worker"

// neverStarted is the detail of an attempt that was stopped before a start.
const neverStarted = "never_started"

// maxRetries bounds the failures that are blamed on workers: a job that fails
// on that many hosts can probably never run.
const maxRetries = 5

// Situation is everything that Decide depends on. The view must be read
// before the status: then a claim that the view lacks and a task that the
// status shows cannot be a start that is still to come.
type Situation struct {
	View   View
	Status *wire.StatusResponse
	Zone   string
	Lease  Lease
	Margin time.Duration
	// NotAfterUs is the latest start time by the worker's clock. Starts need
	// it to be in the future.
	NotAfterUs int64
	Draining   bool
	// Known holds the tokens that this boot of the worker showed before.
	Known map[int64]bool
	// Overdue holds the tokens of claims that waited too long for a start,
	// Reasons why claims wait.
	Overdue map[int64]bool
	Reasons map[int64]string
	// Share is the share of processors that batch tasks may use, in
	// thousandths; zero means no limit. Throttled holds the shares in force.
	Share     int
	Throttled map[int64]int
}

// Stop is the order to end an attempt.
type Stop struct {
	Task       string
	Token      int64
	Checkpoint bool
}

// Throttle is the order to limit a task to a share of its processors.
type Throttle struct {
	Task  string
	Token int64
	Share int
}

// Plan holds the orders of one pass. Renewals come before everything else.
type Plan struct {
	Renewals  []*wire.Renewal
	Stops     []Stop
	Starts    []*wire.StartRequest
	Throttles []Throttle
	Records   []*wire.Record
	// Waiting says why a claim has not started.
	Waiting map[int64]string
}

type attempt struct {
	task  string
	token int64
}

type planner struct {
	Situation
	Plan
	tasks   map[attempt]*wire.WorkerTask
	covered map[attempt]bool
}

// Decide returns the orders that bring the worker in line with the claims.
func Decide(s Situation) Plan {
	p := &planner{
		Situation: s,
		tasks:     map[attempt]*wire.WorkerTask{},
		covered:   map[attempt]bool{},
	}
	p.Waiting = map[int64]string{}
	for _, task := range s.Status.GetTasks() {
		p.tasks[attempt{task: task.GetTask(), token: task.GetToken()}] = task
	}
	if s.View.Joined() {
		for _, claim := range s.View.Claims() {
			p.decideClaim(claim)
		}
	}
	for _, task := range s.Status.GetTasks() {
		id := attempt{task: task.GetTask(), token: task.GetToken()}
		if task.GetPhase() == wire.WorkerTaskPhase_WORKER_TASK_PHASE_RUNNING && !p.covered[id] {
			p.decideUncovered(task)
		}
	}
	return p.Plan
}

func (p *planner) decideClaim(claim *wire.TaskState) {
	id := attempt{task: claim.GetSpec().GetTask(), token: damaskspread.Token(claim.GetToken())}
	p.covered[id] = true
	task := p.tasks[id]
	switch {
	case claim.GetWorkerBoot() != p.Status.GetBoot():
		p.evicted(claim, "", "the worker restarted")
	case task == nil:
		p.decideStart(id, claim)
	case task.GetPhase() == wire.WorkerTaskPhase_WORKER_TASK_PHASE_RUNNING:
		p.decideRunning(claim, task)
	default:
		p.reportEnded(claim, task)
	}
}

// decideStart handles a claim whose attempt never reached the worker. A claim
// that will not start is first stopped at the worker, so that neither a start
// order under way nor a successor of this agent can start it after the
// rejection.
func (p *planner) decideStart(id attempt, claim *wire.TaskState) {
	reason, final := p.obstacle(claim)
	if reason == "" && !p.Overdue[id.token] {
		p.Starts = append(p.Starts, &wire.StartRequest{
			Boot:         p.Status.GetBoot(),
			Spec:         claim.GetSpec(),
			Token:        id.token,
			LeaseUntilUs: p.Lease.UntilUs,
			NotAfterUs:   p.NotAfterUs,
			Checkpoint:   claim.GetCheckpoint(),
		})
		return
	}
	if reason != "" {
		p.Waiting[id.token] = reason
	}
	if final || p.Overdue[id.token] {
		p.Stops = append(p.Stops, Stop{
			Task:  id.task,
			Token: id.token,
		})
	}
}

// obstacle returns why a claim may not start now, and whether waiting is
// pointless.
func (p *planner) obstacle(claim *wire.TaskState) (reason string, final bool) {
	switch {
	case claim.GetCancelRequested():
		return "cancellation requested", true
	case claim.GetEvictionRequested():
		return "eviction requested", true
	case p.Known[damaskspread.Token(claim.GetToken())]:
		return "the worker lost the task", true
	case p.Draining, p.View.Leaving():
		return string(damaskspread.ReasonLeaving), true
	case !p.View.ZoneInService(p.Zone):
		return string(damaskspread.ReasonZoneOut), true
	case p.NotAfterUs <= p.Status.GetNowUs():
		return string(damaskspread.ReasonStaleConfiguration), false
	case !p.leaseUsable() || p.remaining(p.Lease.UntilUs) < 2*p.Margin:
		return "lease not confirmed", false
	default:
		return "", false
	}
}

func (p *planner) leaseUsable() bool { return p.Lease.Boot == p.Status.GetBoot() }

func (p *planner) remaining(untilUs int64) time.Duration {
	return time.Duration(untilUs-p.Status.GetNowUs()) * time.Microsecond
}

func (p *planner) decideRunning(claim *wire.TaskState, task *wire.WorkerTask) {
	until := task.GetLeaseUntilUs()
	if p.leaseUsable() {
		until = max(until, p.Lease.UntilUs)
	}
	stop := Stop{
		Task:       task.GetTask(),
		Token:      task.GetToken(),
		Checkpoint: claim.GetSpec().GetCanCheckpoint(),
	}
	switch {
	case claim.GetCancelRequested():
		stop.Checkpoint = false
		p.Stops = append(p.Stops, stop)
		return
	case claim.GetEvictionRequested(), p.Draining, p.remaining(until) < p.Margin:
		p.Stops = append(p.Stops, stop)
		return
	}
	if until > task.GetLeaseUntilUs() {
		p.Renewals = append(p.Renewals, &wire.Renewal{
			Task:         task.GetTask(),
			Token:        task.GetToken(),
			LeaseUntilUs: until,
		})
	}
	p.decideThrottle(claim, task)
}

// wholeShare lets a task use all of its processors.
const wholeShare = 1000

func (p *planner) decideThrottle(claim *wire.TaskState, task *wire.WorkerTask) {
	if claim.GetSpec().GetClass() != wire.TaskClass_TASK_CLASS_BATCH {
		return
	}
	share, inForce := p.Share, p.Throttled[task.GetToken()]
	if share == 0 && inForce != 0 {
		share = wholeShare
	}
	if share != 0 && share != inForce {
		p.Throttles = append(p.Throttles, Throttle{
			Task:  task.GetTask(),
			Token: task.GetToken(),
			Share: share,
		})
	}
}

// decideUncovered handles a running task without a claim in the view. Only a
// view that includes the claim's position proves that the claim is void.
func (p *planner) decideUncovered(task *wire.WorkerTask) {
	void := p.View.Joined() && task.GetToken() < damaskspread.Token(&wire.Position{Offset: p.View.Offset() + 1})
	ending := p.remaining(task.GetLeaseUntilUs()) < p.Margin
	if void || ending {
		p.Stops = append(p.Stops, Stop{
			Task:       task.GetTask(),
			Token:      task.GetToken(),
			Checkpoint: !void,
		})
	}
}

// reportEnded reports an attempt that ended at the worker, whoever ended it.
func (p *planner) reportEnded(claim *wire.TaskState, task *wire.WorkerTask) {
	stopped := task.GetPhase() == wire.WorkerTaskPhase_WORKER_TASK_PHASE_STOPPED
	switch {
	case task.GetPhase() == wire.WorkerTaskPhase_WORKER_TASK_PHASE_SUCCEEDED:
		p.finished(claim, wire.TaskResult_TASK_RESULT_SUCCEEDED, task.GetDetail())
	case task.GetPhase() == wire.WorkerTaskPhase_WORKER_TASK_PHASE_FAILED:
		p.finished(claim, wire.TaskResult_TASK_RESULT_FAILED, task.GetDetail())
	case claim.GetCancelRequested():
		p.finished(claim, wire.TaskResult_TASK_RESULT_CANCELED, "canceled")
	case stopped && task.GetDetail() == neverStarted:
		p.rejected(claim, p.Reasons[task.GetToken()])
	case stopped:
		p.evicted(claim, task.GetCheckpoint(), "stopped")
	default:
		p.evicted(claim, task.GetCheckpoint(), "the lease ended")
	}
}

func (p *planner) finished(claim *wire.TaskState, result wire.TaskResult, detail string) {
	p.record("finished", claim, &wire.Record{
		Body: &wire.Record_TaskFinished{
			TaskFinished: &wire.TaskFinished{
				Task:    claim.GetSpec().GetTask(),
				Attempt: claim.GetAttempt(),
				Host:    claim.GetHost(),
				Result:  result,
				Detail:  detail,
				Retry: result == wire.TaskResult_TASK_RESULT_FAILED &&
					strings.HasPrefix(detail, workerFault) && claim.GetFailures() < maxRetries,
			},
		},
	})
}

func (p *planner) evicted(claim *wire.TaskState, checkpoint, reason string) {
	p.record("evicted", claim, &wire.Record{
		Body: &wire.Record_TaskEvicted{
			TaskEvicted: &wire.TaskEvicted{
				Task:       claim.GetSpec().GetTask(),
				Attempt:    claim.GetAttempt(),
				Host:       claim.GetHost(),
				Checkpoint: checkpoint,
				Reason:     reason,
			},
		},
	})
}

func (p *planner) rejected(claim *wire.TaskState, reason string) {
	if reason == "" {
		reason = "stopped before the start"
	}
	p.record("rejected", claim, &wire.Record{
		Body: &wire.Record_ClaimRejected{
			ClaimRejected: &wire.ClaimRejected{
				Task:    claim.GetSpec().GetTask(),
				Attempt: claim.GetAttempt(),
				Host:    claim.GetHost(),
				Reason:  reason,
			},
		},
	})
}

// record gives the record an id that every repetition shares.
func (p *planner) record(kind string, claim *wire.TaskState, record *wire.Record) {
	record.Id = fmt.Sprintf("%s/%s/%d/%d", kind, claim.GetSpec().GetTask(), claim.GetAttempt(), damaskspread.Token(claim.GetToken()))
	p.Records = append(p.Records, record)
}
