package runner

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/tracer"
	"damaskspread.example/damaskspread/tracker"
	"damaskspread.example/damaskspread/wire"
)

// startAttempt is a start order on its way to the executor for which it was given.
type startAttempt struct {
	info *wire.ExecutorInfo
	// session is that of the order, empty once the order has called the executor.
	session   string
	order     *wire.StartOrder
	key       runKey
	decidedAt time.Duration
	// mayHaveStarted means that a call of this or of an earlier order may still be
	// executed, so a refusal isn't definite.
	mayHaveStarted bool
}

// startDecision says whether a start order may be sent to the executor now.
type startDecision struct {
	lease damaskspread.Lease
	// handled means that the run is running, has ended or belongs to another
	// order, or that the executor for which the order was given has ended.
	handled bool
	// wait means that the order may be sent later; see mustWait.
	wait    bool
	refusal damaskspread.StartRefusal
	// definite means that the run was refused before and can't start any more.
	definite bool
}

// start repeats the order until the run has started or the order is finished.
func (r *Runner) start(ctx context.Context, a *startAttempt) {
	for ctx.Err() == nil {
		decision := r.decideStart(a)
		switch {
		case decision.handled:
			return
		case decision.refusal != "":
			r.refuseStart(ctx, a, &decision)
			return
		case decision.wait:
			r.pauseWithoutSlot(ctx)
			continue
		}
		a.session = ""
		if r.tryStart(ctx, a, &decision.lease) {
			return
		}
		r.pause(ctx, orderRetry)
	}
}

// decideStart checks whether a start is still allowed. The first order for a run
// that reaches this point owns it and either starts or refuses it; other orders for
// the run are skipped. An order ends with its executor: the leader releases the runs of
// an executor that was replaced or has left, and orders their next runs. It ends with its
// session too, because the leader repeats at the opening what it still wants to start;
// once the order has called the executor, it goes on until the outcome is known. An order
// to stop the run ends it: the stop makes the executor refuse later starts, and its lists
// show whether an earlier one has started the run.
func (r *Runner) decideStart(a *startAttempt) startDecision {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isPresent(a.info) || a.session != "" && a.session != r.session || r.stopOrders[a.key] {
		return startDecision{handled: true}
	}
	r.learnStep(a.order)
	owner := r.startOwners[a.key]
	decision := r.checkStart(a, owner)
	switch {
	case decision.refusal == "" || decision.definite || owner != nil:
	case a.mayHaveStarted:
		// The run has no owner yet, or lost it while another announcement hid the
		// executor.
		r.own(a.key, a.order)
	default:
		r.rememberRefusal(a.key, decision.refusal)
		decision.definite = true
	}
	return decision
}

// checkStart is decideStart without the record of a refusal. The caller holds the mutex.
func (r *Runner) checkStart(a *startAttempt, owner *wire.StartOrder) startDecision {
	decision := startDecision{lease: r.executorLease()}
	switch {
	case r.isRunning(a.key):
		r.learnRamp(a.key, a.order)
		decision.handled = true
	case r.unrecordedEnds.has(a.key):
		decision.handled = true
	case r.refusedRuns[a.key].reason != "":
		decision.refusal = r.refusedRuns[a.key].reason
		decision.definite = true
	case owner != nil && owner != a.order:
		decision.handled = true
	case r.info.GetDraining():
		decision.refusal = damaskspread.RefusedDraining
	case r.Elapsed.Elapsed()-a.decidedAt > damaskspread.MaxStartAge:
		decision.refusal = damaskspread.RefusedOrderExpired
	case decision.lease.DeadlineMs == 0:
		decision.refusal = damaskspread.RefusedLeaseOver
	case r.unrecordedEnds.earlierDone(a.key):
		decision.refusal = damaskspread.RefusedOldRun
	case r.mustWait(a.key):
		decision.wait = true
	case r.exceedsCapacity(a.key):
		decision.refusal = damaskspread.RefusedNoRoom
	default:
		r.learnRamp(a.key, a.order)
		r.own(a.key, a.order)
		r.tokens.used = true
		r.fenceLater(a.key)
	}
	return decision
}

// mustWait reports whether the start of a run has to wait. The caller holds the mutex.
func (r *Runner) mustWait(key runKey) bool {
	switch {
	case r.token == 0 || r.mayHaveRestarted():
		// Another life of the executor would carry out the order.
		return true
	case r.otherRunInProgress(key):
		return true
	case key.run > 1 && r.unrecordedEnds.more:
		// An earlier run of the task may be done by an end that the lists leave out.
		return true
	default:
		// Without room for one member, the others of its gang start in vain. The leader
		// gives away the room of a whole gang with the first end of a member, before each
		// executor has listed its own.
		return r.steps[key].GetGang() && r.exceedsCapacity(key)
	}
}

// refuseStart reports a definite refusal to the leader. Otherwise it stops the run, and the
// executor's lists show whether it has started.
func (r *Runner) refuseStart(ctx context.Context, a *startAttempt, decision *startDecision) {
	if !a.mayHaveStarted || decision.definite {
		r.reportRefusal(a.info, a.key, decision.refusal)
		return
	}
	r.traceOwnStop(a.info, a.key, tracer.StopRefused, string(decision.refusal))
	if !r.stop(ctx, a.info, &wire.StopOrder{Task: a.key.task, Run: a.key.run}) {
		r.dropOwner(a.info, a.key)
	}
}

// tryStart calls the executor once and reports whether the order is finished.
func (r *Runner) tryStart(ctx context.Context, a *startAttempt, lease *damaskspread.Lease) bool {
	err := r.callStart(ctx, a.info, a.order, lease)
	var unknown *damaskspread.WorkerUnknownError
	if errors.As(err, &unknown) {
		a.mayHaveStarted = true
		r.checkAfterStart(a.info)
	}
	r.watchStart(a.info, a.key, err)
	if err != nil {
		return r.handleStartError(a, lease.Token, err)
	}
	tracer.Write(&tracer.TaskStarted{
		Job:        tracker.JobOf(a.key.task),
		Task:       a.key.task,
		Run:        a.key.run,
		Executor:   a.info.GetId(),
		Born:       a.info.GetBornUnixMs(),
		Token:      lease.Token,
		DeadlineMs: lease.DeadlineMs,
		Age:        tracer.Milliseconds(r.Elapsed.Elapsed() - a.decidedAt),
	})
	r.beginAtPace(ctx, a.info, a.key, lease.Token)
	return true
}

func (r *Runner) callStart(ctx context.Context, info *wire.ExecutorInfo, order *wire.StartOrder, lease *damaskspread.Lease) error {
	callCtx, cancel := context.WithTimeout(ctx, damaskspread.OrderTimeout)
	defer cancel()
	return r.Executor.Start(callCtx, info.GetId(), order, lease)
}

// handleStartError reports definite refusals to the leader and returns whether
// the order is finished. If an earlier call got no response, or another process of
// the agent may have made one, the refusal of a repeated call does not show whether
// the run starts; the executor's lists or a stop order show it.
func (r *Runner) handleStartError(a *startAttempt, token int64, err error) bool {
	var refused *damaskspread.StartRefusedError
	var fenced *damaskspread.FencedError
	var wrong *damaskspread.WrongIncarnationError
	switch {
	case errors.As(err, &wrong):
		return true
	case errors.As(err, &fenced) && !a.mayHaveStarted && r.isLatestToken(token):
		r.reportRefusal(a.info, a.key, damaskspread.RefusedOrderExpired)
		return true
	case !errors.As(err, &refused):
		log.Debug().Str("task", a.key.task).Int32("run", a.key.run).Err(err).Msg("start call failed; retrying")
		return false
	case refused.Reason == damaskspread.RefusedOldRun:
		// The run may have ended on this executor; its next lists show it.
		r.scheduleCheck(a.info, a.key, 0)
		return true
	case a.mayHaveStarted:
		log.Info().Str("task", a.key.task).Int32("run", a.key.run).Err(err).Msg("repeated start refused; an earlier call may have started the run")
		return false
	default:
		r.reportRefusal(a.info, a.key, refused.Reason)
		return true
	}
}
