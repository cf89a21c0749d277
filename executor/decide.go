package executor

import (
	"time"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/wire"
)

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
	d := &decider{
		Situation: s,
		tasks:     map[attemptKey]*wire.WorkerTask{},
		claimed:   map[attemptKey]bool{},
	}
	d.Waiting = map[int64]string{}
	for _, task := range s.Status.GetTasks() {
		d.tasks[attemptKey{task: task.GetTask(), token: task.GetToken()}] = task
	}
	if s.View.Joined() {
		for _, claim := range s.View.Claims() {
			d.decideClaim(claim)
		}
	}
	for _, task := range s.Status.GetTasks() {
		id := attemptKey{task: task.GetTask(), token: task.GetToken()}
		if task.GetPhase() == wire.WorkerTaskPhase_WORKER_TASK_PHASE_RUNNING && !d.claimed[id] {
			d.decideUnclaimed(task)
		}
	}
	return d.Plan
}

func (d *decider) decideClaim(claim *wire.TaskState) {
	id := attemptKey{task: claim.GetSpec().GetTask(), token: damaskspread.Token(claim.GetToken())}
	d.claimed[id] = true
	task := d.tasks[id]
	switch {
	case claim.GetWorkerBoot() != d.Status.GetBoot():
		d.recordLost(claim, d.Attempts[id.token])
	case task == nil:
		d.decideStart(id, claim)
	case task.GetPhase() == wire.WorkerTaskPhase_WORKER_TASK_PHASE_RUNNING:
		d.decideRunning(claim, task)
	default:
		d.recordEnd(claim, task)
	}
}

// decideStart handles a claim whose attempt the worker does not list. An attempt
// that must not start is first stopped at the worker, so that neither a start
// order in transit nor a later process of this agent can start it after the
// rejection.
func (d *decider) decideStart(id attemptKey, claim *wire.TaskState) {
	reason, final := d.startObstacle(claim)
	if reason == "" && !d.Overdue[id.token] {
		d.Starts = append(d.Starts, &wire.StartRequest{
			Boot:         d.Status.GetBoot(),
			Spec:         claim.GetSpec(),
			Token:        id.token,
			LeaseUntilUs: d.Lease.UntilUs,
			NotAfterUs:   d.NotAfterUs,
			Checkpoint:   claim.GetCheckpoint(),
		})
		return
	}
	if reason != "" {
		d.Waiting[id.token] = reason
	}
	if final || d.Overdue[id.token] {
		d.Stops = append(d.Stops, Stop{
			Task:  id.task,
			Token: id.token,
		})
	}
}

// startObstacle returns why a claim may not start now, or "". If final is true,
// the claim can never start.
func (d *decider) startObstacle(claim *wire.TaskState) (reason string, final bool) {
	switch {
	case claim.GetCancelRequested():
		return "cancellation requested", true
	case claim.GetEvictionRequested():
		return "eviction requested", true
	case d.SeenTokens[damaskspread.Token(claim.GetToken())]:
		return "the worker lost the task", true
	case d.Draining, d.View.Leaving():
		return string(damaskspread.ReasonLeaving), true
	case !d.View.ZoneInService(d.Zone):
		return string(damaskspread.ReasonZoneOut), true
	case d.NotAfterUs <= d.Status.GetNowUs():
		return string(damaskspread.ReasonStaleConfiguration), false
	case !d.leaseMatchesBoot() || d.remaining(d.Lease.UntilUs) < 2*d.Margin:
		return "lease not confirmed", false
	default:
		return "", false
	}
}

func (d *decider) leaseMatchesBoot() bool { return d.Lease.Boot == d.Status.GetBoot() }

func (d *decider) remaining(untilUs int64) time.Duration {
	return time.Duration(untilUs-d.Status.GetNowUs()) * time.Microsecond
}

func (d *decider) decideRunning(claim *wire.TaskState, task *wire.WorkerTask) {
	until := task.GetLeaseUntilUs()
	if d.leaseMatchesBoot() {
		until = max(until, d.Lease.UntilUs)
	}
	stop := Stop{
		Task:       task.GetTask(),
		Token:      task.GetToken(),
		Checkpoint: claim.GetSpec().GetCanCheckpoint(),
	}
	switch {
	case claim.GetCancelRequested():
		stop.Checkpoint = false
		d.Stops = append(d.Stops, stop)
		return
	case claim.GetEvictionRequested(), d.Draining, d.remaining(until) < d.Margin:
		d.Stops = append(d.Stops, stop)
		return
	}
	if until > task.GetLeaseUntilUs() {
		d.Renewals = append(d.Renewals, &wire.Renewal{
			Task:         task.GetTask(),
			Token:        task.GetToken(),
			LeaseUntilUs: until,
		})
	}
	d.decideThrottle(claim, task)
}

// fullShare lets a task use all of its processors, in thousandths.
const fullShare = 1000

func (d *decider) decideThrottle(claim *wire.TaskState, task *wire.WorkerTask) {
	if claim.GetSpec().GetClass() != wire.TaskClass_TASK_CLASS_BATCH {
		return
	}
	share, inForce := d.Share, d.Throttled[task.GetToken()]
	if share == 0 && inForce != 0 {
		share = fullShare
	}
	if share != 0 && share != inForce {
		d.Throttles = append(d.Throttles, Throttle{
			Task:  task.GetTask(),
			Token: task.GetToken(),
			Share: share,
		})
	}
}

// decideUnclaimed handles a running task without a claim in the view. The claim
// no longer exists if the view includes its position. An older view may lack a
// claim that still holds, so the task runs until its lease is about to end.
func (d *decider) decideUnclaimed(task *wire.WorkerTask) {
	claimGone := d.View.Joined() && task.GetToken() < damaskspread.Token(&wire.Position{Offset: d.View.Offset() + 1})
	leaseEnding := d.remaining(task.GetLeaseUntilUs()) < d.Margin
	if claimGone || leaseEnding {
		d.Stops = append(d.Stops, Stop{
			Task:       task.GetTask(),
			Token:      task.GetToken(),
			Checkpoint: !claimGone,
		})
	}
}
