package executor

import (
	"fmt"
	"strings"
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

// workerFaultPrefix begins the detail of a failure that the worker caused.
const workerFaultPrefix = "worker"

// neverStarted is the detail of an attempt that was stopped before it started.
const neverStarted = "never_started"

// maxWorkerFaults is the number of failures after which a failure caused by a
// worker is not retried: a task that failed on that many hosts can probably
// never run.
const maxWorkerFaults = 5

// Situation is the input of Decide. The view must be read before the status: then
// a task that the status shows without a claim in the view is never one whose
// start is still pending.
type Situation struct {
	View   View
	Status *wire.StatusResponse
	Zone   string
	Lease  Lease
	// Margin is how long before the end of its lease a task is stopped.
	Margin time.Duration
	// NotAfterUs is the latest start time by the worker's clock; nothing starts
	// once it has passed.
	NotAfterUs int64
	Draining   bool
	// SeenTokens holds the tokens that this boot of the worker has shown or
	// started.
	SeenTokens map[int64]bool
	// Attempts holds the latest known state of claimed attempts by token, also of
	// those of earlier boots, which the status lists no more.
	Attempts map[int64]*wire.WorkerTask
	// Overdue holds the tokens of claims that waited too long for a start.
	Overdue map[int64]bool
	// Reasons says by token why claims wait.
	Reasons map[int64]string
	// Share is the share of processors that batch tasks may use, in
	// thousandths; zero means no limit.
	Share int
	// Throttled holds the shares in force by token.
	Throttled map[int64]int
}

// Stop is the order to stop an attempt, after a checkpoint if Checkpoint is set.
type Stop struct {
	Task       string
	Token      int64
	Checkpoint bool
}

// Throttle is the order to limit a task to a share of its processors, in
// thousandths.
type Throttle struct {
	Task  string
	Token int64
	Share int
}

// Plan holds the orders and records of one pass. Renewals are sent first.
type Plan struct {
	Renewals  []*wire.Renewal
	Stops     []Stop
	Starts    []*wire.StartRequest
	Throttles []Throttle
	Records   []*wire.Record
	// Waiting says by token why a claim has not started.
	Waiting map[int64]string
}

// attemptKey identifies an attempt by its task and the token of its claim.
type attemptKey struct {
	task  string
	token int64
}

// decider holds the state of one call of Decide.
type decider struct {
	Situation
	Plan
	tasks map[attemptKey]*wire.WorkerTask
	// claimed holds the attempts that have a claim in the view.
	claimed map[attemptKey]bool
}

// Decide returns the orders that bring the worker's tasks in line with the
// claims, and the records about attempts that have ended. It has no side effects.
func Decide(s Situation) Plan {
	p := &decider{
		Situation: s,
		tasks:     map[attemptKey]*wire.WorkerTask{},
		claimed:   map[attemptKey]bool{},
	}
	p.Waiting = map[int64]string{}
	for _, task := range s.Status.GetTasks() {
		p.tasks[attemptKey{task: task.GetTask(), token: task.GetToken()}] = task
	}
	if s.View.Joined() {
		for _, claim := range s.View.Claims() {
			p.decideClaim(claim)
		}
	}
	for _, task := range s.Status.GetTasks() {
		id := attemptKey{task: task.GetTask(), token: task.GetToken()}
		if task.GetPhase() == wire.WorkerTaskPhase_WORKER_TASK_PHASE_RUNNING && !p.claimed[id] {
			p.decideUnclaimed(task)
		}
	}
	return p.Plan
}

func (p *decider) decideClaim(claim *wire.TaskState) {
	id := attemptKey{task: claim.GetSpec().GetTask(), token: damaskspread.Token(claim.GetToken())}
	p.claimed[id] = true
	task := p.tasks[id]
	switch {
	case claim.GetWorkerBoot() != p.Status.GetBoot():
		p.recordLost(claim, p.Attempts[id.token])
	case task == nil:
		p.decideStart(id, claim)
	case task.GetPhase() == wire.WorkerTaskPhase_WORKER_TASK_PHASE_RUNNING:
		p.decideRunning(claim, task)
	default:
		p.recordEnd(claim, task)
	}
}

// decideStart handles a claim whose attempt the worker does not list. An attempt
// that must not start is first stopped at the worker, so that neither a start
// order in transit nor a later process of this agent can start it after the
// rejection.
func (p *decider) decideStart(id attemptKey, claim *wire.TaskState) {
	reason, final := p.startObstacle(claim)
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

// startObstacle returns why a claim may not start now, or "". If final is true,
// the claim can never start.
func (p *decider) startObstacle(claim *wire.TaskState) (reason string, final bool) {
	switch {
	case claim.GetCancelRequested():
		return "cancellation requested", true
	case claim.GetEvictionRequested():
		return "eviction requested", true
	case p.SeenTokens[damaskspread.Token(claim.GetToken())]:
		return "the worker lost the task", true
	case p.Draining, p.View.Leaving():
		return string(damaskspread.ReasonLeaving), true
	case !p.View.ZoneInService(p.Zone):
		return string(damaskspread.ReasonZoneOut), true
	case p.NotAfterUs <= p.Status.GetNowUs():
		return string(damaskspread.ReasonStaleConfiguration), false
	case !p.leaseMatchesBoot() || p.remaining(p.Lease.UntilUs) < 2*p.Margin:
		return "lease not confirmed", false
	default:
		return "", false
	}
}

func (p *decider) leaseMatchesBoot() bool { return p.Lease.Boot == p.Status.GetBoot() }

func (p *decider) remaining(untilUs int64) time.Duration {
	return time.Duration(untilUs-p.Status.GetNowUs()) * time.Microsecond
}

func (p *decider) decideRunning(claim *wire.TaskState, task *wire.WorkerTask) {
	until := task.GetLeaseUntilUs()
	if p.leaseMatchesBoot() {
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

// fullShare lets a task use all of its processors, in thousandths.
const fullShare = 1000

func (p *decider) decideThrottle(claim *wire.TaskState, task *wire.WorkerTask) {
	if claim.GetSpec().GetClass() != wire.TaskClass_TASK_CLASS_BATCH {
		return
	}
	share, inForce := p.Share, p.Throttled[task.GetToken()]
	if share == 0 && inForce != 0 {
		share = fullShare
	}
	if share != 0 && share != inForce {
		p.Throttles = append(p.Throttles, Throttle{
			Task:  task.GetTask(),
			Token: task.GetToken(),
			Share: share,
		})
	}
}

// decideUnclaimed handles a running task without a claim in the view. The claim
// no longer exists if the view includes its position. An older view may lack a
// claim that still holds, so the task runs until its lease is about to end.
func (p *decider) decideUnclaimed(task *wire.WorkerTask) {
	claimGone := p.View.Joined() && task.GetToken() < damaskspread.Token(&wire.Position{Offset: p.View.Offset() + 1})
	leaseEnding := p.remaining(task.GetLeaseUntilUs()) < p.Margin
	if claimGone || leaseEnding {
		p.Stops = append(p.Stops, Stop{
			Task:       task.GetTask(),
			Token:      task.GetToken(),
			Checkpoint: !claimGone,
		})
	}
}

// recordLost adds the record of an attempt of an earlier boot: its end if the worker
// has shown one, else an eviction with its latest checkpoint. task may be nil.
func (p *decider) recordLost(claim *wire.TaskState, task *wire.WorkerTask) {
	if hasEnded(task) {
		p.recordEnd(claim, task)
		return
	}
	p.recordEvicted(claim, task.GetCheckpoint(), "the worker restarted")
}

// recordEnd adds the record of an attempt that ended at the worker for any cause.
func (p *decider) recordEnd(claim *wire.TaskState, task *wire.WorkerTask) {
	stopped := task.GetPhase() == wire.WorkerTaskPhase_WORKER_TASK_PHASE_STOPPED
	switch {
	case task.GetPhase() == wire.WorkerTaskPhase_WORKER_TASK_PHASE_SUCCEEDED:
		p.recordFinished(claim, wire.TaskResult_TASK_RESULT_SUCCEEDED, task.GetDetail())
	case task.GetPhase() == wire.WorkerTaskPhase_WORKER_TASK_PHASE_FAILED:
		p.recordFinished(claim, wire.TaskResult_TASK_RESULT_FAILED, task.GetDetail())
	case claim.GetCancelRequested():
		p.recordFinished(claim, wire.TaskResult_TASK_RESULT_CANCELED, "canceled")
	case stopped && task.GetDetail() == neverStarted:
		p.recordRejected(claim, p.Reasons[task.GetToken()])
	case stopped:
		p.recordEvicted(claim, task.GetCheckpoint(), "stopped")
	default:
		p.recordEvicted(claim, task.GetCheckpoint(), "the lease ended")
	}
}

func (p *decider) recordFinished(claim *wire.TaskState, result wire.TaskResult, detail string) {
	p.addRecord("finished", claim, &wire.Record{
		Body: &wire.Record_TaskFinished{
			TaskFinished: &wire.TaskFinished{
				Task:    claim.GetSpec().GetTask(),
				Attempt: claim.GetAttempt(),
				Host:    claim.GetHost(),
				Result:  result,
				Detail:  detail,
				Retry: result == wire.TaskResult_TASK_RESULT_FAILED &&
					strings.HasPrefix(detail, workerFaultPrefix) && claim.GetFailures() < maxWorkerFaults,
			},
		},
	})
}

func (p *decider) recordEvicted(claim *wire.TaskState, checkpoint, reason string) {
	p.addRecord("evicted", claim, &wire.Record{
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

func (p *decider) recordRejected(claim *wire.TaskState, reason string) {
	if reason == "" {
		reason = "stopped before the start"
	}
	p.addRecord("rejected", claim, &wire.Record{
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

// addRecord adds a record with an id that stays the same when it is written again.
func (p *decider) addRecord(kind string, claim *wire.TaskState, record *wire.Record) {
	record.Id = fmt.Sprintf("%s/%s/%d/%d", kind, claim.GetSpec().GetTask(), claim.GetAttempt(), damaskspread.Token(claim.GetToken()))
	p.Records = append(p.Records, record)
}
